//! The memory of callers' requests: reserved before a body is received, and given back when its request ends.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    ByteCount, Evicted, HolderNumber, MemoryFull, MemoryOwner, MemoryPhase, MemoryPolicy, Millis,
    RequestMemory,
};
use redwingfold_http::Signal;

use crate::settings::LimitSettings;

/// Memory of a request besides its body.
const REQUEST_BYTES: usize = 4 * 1024;

/// Number of largest bodies whose memory is reserved if the settings do not say otherwise.
const DEFAULT_LARGEST_BODIES: usize = 32;

/// Copies of a body that a request holds: a chat request keeps its body and the text of its prompt.
const COPIES: usize = 2;

/// The account of all requests of an entry.
#[derive(Debug)]
pub(crate) struct BodyMemory(Mutex<Account>);

#[derive(Debug)]
struct Account {
    memory: RequestMemory,
    signals: HashMap<HolderNumber, Arc<Signal>>,
    /// Requests that were refused for want of memory.
    refused: u64,
    /// Requests that lost their memory to others.
    evicted: u64,
}

/// The memory of one request, until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBody {
    account: Arc<BodyMemory>,
    number: HolderNumber,
    /// Set when the request loses its memory.
    signal: Arc<Signal>,
}

impl BodyMemory {
    /// Creates an account with the memory that the settings allow.
    pub(crate) fn new(limits: &LimitSettings) -> Self {
        let default = DEFAULT_LARGEST_BODIES * limits.body_bytes;
        let policy = MemoryPolicy {
            total: ByteCount(limits.body_memory_bytes.unwrap_or(default)),
            per_request: ByteCount(REQUEST_BYTES),
            ..MemoryPolicy::default()
        };
        let memory = RequestMemory::new(policy);
        Self(Mutex::new(Account { memory, signals: HashMap::new(), refused: 0, evicted: 0 }))
    }

    /// Returns the numbers of requests that were refused for want of memory, and that lost theirs to others.
    pub(crate) fn counts(&self) -> (u64, u64) {
        let account = self.lock();
        (account.refused, account.evicted)
    }

    fn lock(&self) -> MutexGuard<'_, Account> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves memory for a request whose head was received.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is none.
    pub(crate) fn open(
        self: &Arc<Self>,
        owner: MemoryOwner,
        now: Millis,
    ) -> Result<HeldBody, MemoryFull> {
        let mut account = self.lock();
        let opened = account.memory.open(owner, now);
        let (number, evicted) = opened.inspect_err(|_| account.refused += 1)?;
        account.evict(evicted);
        let signal = Arc::new(Signal::default());
        account.signals.insert(number, signal.clone());
        Ok(HeldBody { account: self.clone(), number, signal })
    }
}

impl Account {
    fn evict(&mut self, evicted: Evicted) {
        self.evicted += evicted.len() as u64;
        for signal in evicted.iter().filter_map(|(number, _)| self.signals.remove(number)) {
            signal.set();
        }
    }
}

impl HeldBody {
    /// Reserves memory for a body of `bytes`, of which `received` have just been received.
    ///
    /// # Errors
    ///
    /// [`MemoryFull`] if there is not enough.
    pub(crate) fn resize(
        &self,
        bytes: usize,
        received: usize,
        now: Millis,
    ) -> Result<(), MemoryFull> {
        let mut account = self.account.lock();
        account.memory.record_progress(self.number, received, now);
        let resized = account.memory.resize(self.number, COPIES * bytes, now);
        let evicted = resized.inspect_err(|_| account.refused += 1)?;
        account.evict(evicted);
        Ok(())
    }

    /// Records that the whole body was received.
    pub(crate) fn record_whole(&self, now: Millis) {
        self.account.lock().memory.set_phase(self.number, MemoryPhase::Working, now);
    }

    /// Waits until the request has lost its memory.
    pub(crate) async fn wait_evicted(&self) {
        self.signal.wait().await;
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut account = self.account.lock();
        account.memory.close(self.number);
        account.signals.remove(&self.number);
    }
}
