//! Times that may be before the start of a host's monotonic clock.

/// Returns a time or a period as a signed number of milliseconds.
pub(crate) fn signed_ms(time_ms: u64) -> i64 {
    i64::try_from(time_ms).unwrap_or(i64::MAX)
}
