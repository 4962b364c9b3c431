//! Exchange with the other hosts.
