//! Reasons of decisions, kept in a bounded ring.
