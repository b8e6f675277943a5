//! What a process has used, by the kernel's own accounts.

use std::time::Duration;

use eyre::{Context, OptionExt};
use serde::Serialize;

/// Clock ticks a second in `/proc`, as on every Linux of this decade.
const TICKS_PER_SECOND: u64 = 100;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProcUsage {
    /// Processor time since its start.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Reads a process's use of processor and memory.
///
/// # Errors
///
/// If there is no such process.
pub fn proc_usage(pid: u32) -> eyre::Result<ProcUsage> {
    let path = format!("/proc/{pid}/stat");
    let stat = std::fs::read_to_string(&path).wrap_err(path)?;
    // The second field is the program's name in parentheses, which may hold anything.
    let (_, rest) = stat.rsplit_once(')').ok_or_eyre("no name in stat")?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let number = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    let cpu = Duration::from_millis((number(11) + number(12)) * 1000 / TICKS_PER_SECOND);
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|v| v.split_whitespace().next()?.parse::<u64>().ok());
    Ok(ProcUsage { cpu, resident: kib.unwrap_or(0) * 1024 })
}
