//! Small fakes at the interfaces and the scenario language; for tests only.
