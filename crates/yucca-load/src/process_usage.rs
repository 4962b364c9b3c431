//! CPU time and memory of a process, read from `/proc`.

use std::fs;

use anyhow::Context;

/// Unit of the times in `/proc/<pid>/stat`: `USER_HZ`, which Linux fixes in its user-space ABI.
const TICKS_PER_S: f64 = 100.0;

/// CPU time and memory of a process at the time of reading.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// User and system CPU time since the start of the process, in seconds.
    pub cpu_s: f64,
    /// Resident memory (`VmRSS`), in units of 10^6 bytes.
    pub rss_mb: f64,
    /// Peak resident memory (`VmHWM`), in units of 10^6 bytes.
    pub peak_rss_mb: f64,
}

impl ProcessUsage {
    /// Reads the current values of a running process.
    ///
    /// # Errors
    ///
    /// If the process has ended or `/proc` cannot be read.
    pub fn read(pid: u32) -> anyhow::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat"))
            .with_context(|| format!("process {pid} has ended"))?;
        // The second field, the name in parentheses, may contain spaces.
        let after_name = stat
            .rsplit_once(')')
            .context("/proc/<pid>/stat has no process name")?
            .1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| -> anyhow::Result<f64> {
            Ok(fields
                .get(index)
                .context("/proc/<pid>/stat has too few fields")?
                .parse()?)
        };
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        // Fields 14 (utime) and 15 (stime), counted from 1; `fields` starts at field 3.
        Ok(Self {
            cpu_s: (ticks(11)? + ticks(12)?) / TICKS_PER_S,
            rss_mb: status_mb(&status, "VmRSS:")?,
            peak_rss_mb: status_mb(&status, "VmHWM:")?,
        })
    }
}

/// Value of a line such as `VmRSS:   1024 kB`, converted from KiB to units of 10^6 bytes.
fn status_mb(status: &str, field: &str) -> anyhow::Result<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kb = line.and_then(|line| line.split_whitespace().next());
    Ok(kb
        .context("/proc/<pid>/status lacks a memory field")?
        .parse::<f64>()?
        * 1_024.0
        / 1e6)
}
