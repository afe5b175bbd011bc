//! Operations that may run at most once.
