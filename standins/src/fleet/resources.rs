//! Memory and descriptors of a process.

use std::collections::HashSet;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// State of a listening socket in the kernel's table, whose receive queue counts connections.
const LISTENING: &str = "0A";

/// What a process takes up.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Resources {
    /// Resident memory, in bytes.
    pub resident: usize,
    /// Bytes that lie unread in its sockets.
    pub unread: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl Resources {
    /// Reads them; all are 0 once the process has ended.
    pub fn of(process: u32) -> Self {
        let descriptors = std::fs::read_dir(format!("/proc/{process}/fd"));
        let links: Vec<PathBuf> = descriptors
            .into_iter()
            .flatten()
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .collect();
        let sockets = links.iter().filter_map(|link| {
            Some(link.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned())
        });
        Self {
            resident: status_kb(process, "VmRSS:") * 1024,
            unread: unread(process, &sockets.collect()),
            descriptors: links.len(),
        }
    }

    /// Returns resident memory and unread bytes together.
    pub fn memory(&self) -> usize {
        self.resident + self.unread
    }
}

fn status_kb(process: u32, name: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let value = status.lines().find_map(|line| line.strip_prefix(name));
    value.and_then(|v| v.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
}

/// Returns the bytes in the receive queues of sockets, given by their inodes.
fn unread(process: u32, sockets: &HashSet<String>) -> usize {
    let table = std::fs::read_to_string(format!("/proc/{process}/net/tcp")).unwrap_or_default();
    let queued = |line: &str| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let is_counted = *fields.get(3)? != LISTENING && sockets.contains(*fields.get(9)?);
        let (_, received) = fields.get(4)?.split_once(':')?;
        is_counted.then(|| usize::from_str_radix(received, 16).unwrap_or(0))
    };
    table.lines().skip(1).filter_map(queued).sum()
}

/// Samples the resources of a process until it is dropped.
#[derive(Debug)]
pub struct ResourceWatch {
    process: u32,
    shared: Arc<WatchState>,
    sampler: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct WatchState {
    is_over: AtomicBool,
    memory: AtomicUsize,
    descriptors: AtomicUsize,
    largest: Mutex<Resources>,
}

impl ResourceWatch {
    /// Starts to sample a process.
    pub fn start(process: u32) -> Self {
        let shared = Arc::new(WatchState::default());
        let state = shared.clone();
        let sampler = std::thread::spawn(move || {
            while !state.is_over.load(Ordering::SeqCst) {
                state.record(Resources::of(process));
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { process, shared, sampler: Some(sampler) }
    }

    /// Returns the most memory so far, in bytes: the largest sample, or the most resident memory that the kernel counted.
    pub fn peak_memory(&self) -> usize {
        let counted = status_kb(self.process, "VmHWM:") * 1024;
        self.shared.memory.load(Ordering::SeqCst).max(counted)
    }

    /// Returns the sample with the most memory.
    pub fn largest(&self) -> Resources {
        *self.shared.largest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the most open file descriptors so far.
    pub fn peak_descriptors(&self) -> usize {
        self.shared.descriptors.load(Ordering::SeqCst)
    }
}

impl WatchState {
    fn record(&self, sample: Resources) {
        self.descriptors.fetch_max(sample.descriptors, Ordering::SeqCst);
        if self.memory.fetch_max(sample.memory(), Ordering::SeqCst) < sample.memory() {
            *self.largest.lock().unwrap_or_else(PoisonError::into_inner) = sample;
        }
    }
}

impl Drop for ResourceWatch {
    fn drop(&mut self) {
        self.shared.is_over.store(true, Ordering::SeqCst);
        self.sampler.take().map(JoinHandle::join);
    }
}
