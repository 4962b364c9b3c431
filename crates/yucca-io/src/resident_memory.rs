//! The resident memory of this process, read from `/proc`.

use std::fs;

/// Name of the field in the status of a process, and its unit.
const FIELD: &str = "VmRSS:";
const UNIT: &str = "kB";

/// Returns the resident memory of this process in bytes; `None` if the kernel does not tell it.
pub fn resident_bytes() -> Option<usize> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    parse(&status)
}

/// Returns the resident memory that the text of `/proc/<pid>/status` names.
pub fn parse(status: &str) -> Option<usize> {
    let field = status.lines().find_map(|line| line.strip_prefix(FIELD))?;
    let kilobytes: usize = field.trim().strip_suffix(UNIT)?.trim().parse().ok()?;
    kilobytes.checked_mul(1_024)
}
