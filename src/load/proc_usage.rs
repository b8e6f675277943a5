//! CPU time and memory of a process, from `/proc`.

use std::time::Duration;

use eyre::{Context, OptionExt};
use serde::Serialize;

/// Clock ticks per second of the CPU times in `/proc` (`USER_HZ`), 100 on current Linux systems.
const TICKS_PER_SECOND: u64 = 100;

/// Resource usage of a process.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProcUsage {
    /// CPU time since the start of the process.
    pub cpu: Duration,
    /// Resident set size in bytes.
    pub resident: u64,
}

/// Reads the resource usage of a process.
///
/// # Errors
///
/// If the process does not exist or its files in `/proc` cannot be read.
pub fn proc_usage(pid: u32) -> eyre::Result<ProcUsage> {
    let path = format!("/proc/{pid}/stat");
    let stat = std::fs::read_to_string(&path).wrap_err(path)?;
    // The second field is the program's name in parentheses, which may contain spaces and
    // parentheses.
    let (_, rest) = stat.rsplit_once(')').ok_or_eyre("no program name in /proc stat")?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let number = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    let cpu = Duration::from_millis((number(11) + number(12)) * 1000 / TICKS_PER_SECOND);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|v| v.split_whitespace().next()?.parse::<u64>().ok());
    Ok(ProcUsage { cpu, resident: kib.unwrap_or(0) * 1024 })
}
