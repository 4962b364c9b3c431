//! Roles of engines.
