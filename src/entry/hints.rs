//! Prefix cache hints: prompts with the same prefix are routed to the backend server that probably
//! has the prefix in its engine's cache.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use redwingfold_core::{HostId, Millis, VersionName};

/// Characters at the start of a prompt that are hashed as its prefix.
const PREFIX_CHARS: usize = 64;

/// Age at which a hint expires; engines evict prefixes without reporting it in time.
const MAX_HINT_AGE: Millis = Millis(60_000);

const MAX_HINTS: usize = 50_000;

/// The backend server that each prefix was last sent to, by prefix hash.
#[derive(Debug, Default)]
pub(crate) struct PrefixHints(Mutex<HashMap<u64, Hint>>);

#[derive(Debug)]
struct Hint {
    host: HostId,
    backend: String,
    recorded_at: Millis,
}

/// Returns the hash of a version and the prefix of a prompt.
pub(crate) fn prefix_hash(version: &VersionName, prompt: &str) -> u64 {
    let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
    xxhash_rust::xxh3::xxh3_64(format!("{version}\0{prefix}").as_bytes())
}

impl PrefixHints {
    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Hint>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the share of the prompt that a backend server probably has cached, from 1 for a new
    /// hint down to 0 at `MAX_HINT_AGE`.
    pub(crate) fn cached_share(
        &self,
        prefix: u64,
        host: &HostId,
        backend: &str,
        now: Millis,
    ) -> f32 {
        match self.lock().get(&prefix) {
            Some(hint) if hint.host == *host && hint.backend == backend => {
                let age = now.since(hint.recorded_at).0.min(MAX_HINT_AGE.0) as f32;
                1.0 - age / MAX_HINT_AGE.0 as f32
            }
            _ => 0.0,
        }
    }

    pub(crate) fn record(&self, prefix: u64, host: &HostId, backend: &str, now: Millis) {
        let mut hints = self.lock();
        if hints.len() >= MAX_HINTS {
            hints.retain(|_, hint| now.since(hint.recorded_at) < MAX_HINT_AGE);
        }
        if hints.len() < MAX_HINTS {
            let hint = Hint { host: host.clone(), backend: backend.to_owned(), recorded_at: now };
            hints.insert(prefix, hint);
        }
    }
}
