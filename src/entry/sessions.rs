//! Session affinity: a session's requests run on one model version, whichever entry receives them.
//!
//! The version is stored as a pin, replicated on several sides (the pin's holders).

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    Config, ErrorKind, HostId, Incarnation, Pin, PinKey, SessionId, VersionName,
};

use super::auth::Caller;
use super::context::Entry;
use super::response::RequestError;
use super::sides::SideLink;
use crate::clock::unix_time;
use crate::peer::call;
use crate::wire::{Call, Reply};

/// Pins sent to a holder in one call.
const REPLICATION_BATCH_PINS: usize = 500;

/// The holders that a pin was sent to, each with its incarnation if it was connected.
///
/// The incarnation detects a holder that was replaced under the same host name and so lost its
/// pins. Otherwise a session's copies would be lost one by one as hosts are replaced, until none is
/// left and the session moves to another version.
type HolderSet = Vec<(HostId, Option<Incarnation>)>;

/// Cache of the pins that this entry has used.
///
/// A pin changes only when its version is withdrawn, which the entry checks in the configuration.
/// A cached pin is valid only while its current holders are those that it was sent to.
#[derive(Debug)]
pub(crate) struct SessionCache {
    max_pins: usize,
    pins: Mutex<HashMap<PinKey, (Pin, HolderSet)>>,
}

impl SessionCache {
    pub(crate) fn new(max_pins: usize) -> Self {
        Self { max_pins, pins: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PinKey, (Pin, HolderSet)>> {
        self.pins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, key: &PinKey, holders: &HolderSet) -> Option<Pin> {
        let pins = self.lock();
        let (pin, sent_to) = pins.get(key)?;
        (sent_to == holders).then(|| pin.clone())
    }

    fn put(&self, key: &PinKey, pin: &Pin, holders: HolderSet) {
        let mut pins = self.lock();
        if pins.len() >= self.max_pins {
            pins.clear();
        }
        pins.insert(key.clone(), (pin.clone(), holders));
    }

    fn all(&self) -> Vec<(PinKey, Pin, HolderSet)> {
        self.lock()
            .iter()
            .map(|(key, (pin, holders))| (key.clone(), pin.clone(), holders.clone()))
            .collect()
    }
}

fn current_holders(entry: &Entry, key: &PinKey) -> HolderSet {
    let copies = entry.settings.sessions.copies;
    entry
        .sides
        .holders(key, copies)
        .into_iter()
        .map(|(h, link)| (h, link.map(|l| l.incarnation)))
        .collect()
}

/// Sends the cached pins to the holders that lack them.
///
/// Repairing a pin only when its session sends a request isn't enough: a rarely used session could
/// lose all copies in between as hosts are replaced.
pub(crate) async fn replicate_pins(entry: Arc<Entry>) {
    let mut batches = BTreeMap::<HostId, Vec<(PinKey, Pin)>>::new();
    let mut replicated = Vec::new();
    for (key, pin, sent_to) in entry.sessions.all() {
        let holders = current_holders(&entry, &key);
        if holders == sent_to {
            continue;
        }
        for (host, _) in holders.iter().filter(|holder| !sent_to.contains(holder)) {
            batches.entry(host.clone()).or_default().push((key.clone(), pin.clone()));
        }
        replicated.push((key, pin, holders));
    }
    let mut is_complete = true;
    for (host, pins) in batches {
        let Some(link) = entry.sides.get(&host) else { continue };
        for batch in pins.chunks(REPLICATION_BATCH_PINS) {
            let request = Call::PinMergeAll(batch.to_vec());
            let timeout = entry.settings.sessions.timeout_ms;
            is_complete &= call(&link.conn, &request, timeout).await == Ok(Reply::Held);
        }
    }
    if is_complete {
        let count = replicated.len();
        for (key, pin, holders) in replicated {
            entry.sessions.put(&key, &pin, holders);
        }
        entry.daemon.telemetry.count("session.swept", count as i64);
    }
}

/// The version that a session's request runs on.
#[derive(Debug)]
pub(crate) struct SessionVersion {
    pub(crate) version: VersionName,
    /// The session's previous version, if that was withdrawn.
    pub(crate) moved_from: Option<VersionName>,
}

/// Returns the version that a session is pinned to.
///
/// A session without a pin, or whose version was withdrawn, is pinned to `proposed`; only then does
/// an error in `proposed` fail the request.
pub(crate) async fn session_version(
    entry: &Arc<Entry>,
    config: &Config,
    caller: &Caller,
    session: &SessionId,
    model_name: &str,
    proposed: Result<VersionName, RequestError>,
) -> Result<SessionVersion, RequestError> {
    let key = PinKey {
        customer: caller.customer.clone(),
        session: session.clone(),
        name: model_name.to_owned(),
    };
    let holders = current_holders(entry, &key);
    let cached = entry.sessions.get(&key, &holders);
    let (current_pin, replies) = match cached {
        Some(pin) => (Some(pin), Vec::new()),
        None => find_pin(entry, &key).await?,
    };
    let may_run = |v: &VersionName| config.check_access(&caller.customer, Some(session), v);
    let (pin, moved_from) = match current_pin {
        Some(pin) => match may_run(&pin.version) {
            Ok(()) => {
                repair_copies(entry, &key, &pin, &replies);
                (pin, None)
            }
            Err(ErrorKind::Withdrawn) => {
                let moved_pin =
                    Pin { moves: pin.moves + 1, since: unix_time(), version: proposed? };
                (set_pin(entry, &key, moved_pin).await?, Some(pin.version))
            }
            Err(kind) => {
                let detail = format!("the session keeps {}", pin.version);
                return Err(RequestError::new(kind, detail));
            }
        },
        None => {
            let first_pin = Pin { moves: 0, since: unix_time(), version: proposed? };
            (set_pin(entry, &key, first_pin).await?, None)
        }
    };
    // Another entry may have set another version first. That one is used, if it is allowed to run.
    may_run(&pin.version).map_err(|kind| RequestError::new(kind, "the session's version"))?;
    entry.sessions.put(&key, &pin, holders);
    Ok(SessionVersion { version: pin.version, moved_from })
}

/// The reply of each holder, in rank order. The outer `Option` is `None` if the holder did not
/// reply, the inner one if it has no pin.
type HolderReplies = Vec<(Option<Arc<SideLink>>, Option<Option<Pin>>)>;

async fn query_holder(entry: &Entry, link: &SideLink, request: Call) -> Option<Option<Pin>> {
    match call(&link.conn, &request, entry.settings.sessions.timeout_ms).await {
        Ok(Reply::Pin(pin)) => Some(pin),
        _ => None,
    }
}

/// Queries all holders in parallel and returns the newest pin, with each holder's reply.
async fn find_pin(
    entry: &Arc<Entry>,
    key: &PinKey,
) -> Result<(Option<Pin>, HolderReplies), RequestError> {
    let holders = entry.sides.holders(key, entry.settings.sessions.copies);
    let queries: Vec<_> = holders
        .into_iter()
        .map(|(_, link)| {
            let (entry, key) = (entry.clone(), key.clone());
            let task = link.clone().map(|link| {
                smol::spawn(async move { query_holder(&entry, &link, Call::PinGet(key)).await })
            });
            (link, task)
        })
        .collect();
    let mut replies = HolderReplies::new();
    for (link, task) in queries {
        let pin = match task {
            Some(task) => task.await,
            None => None,
        };
        replies.push((link, pin));
    }
    if replies.iter().all(|(_, reply)| reply.is_none()) {
        return Err(no_holder_error());
    }
    let pins = replies.iter().filter_map(|(_, reply)| reply.clone().flatten());
    let newest = pins.reduce(|a, b| if b.replaces(&a) { b } else { a });
    Ok((newest, replies))
}

fn no_holder_error() -> RequestError {
    RequestError::new(ErrorKind::NoBackend, "no holder of the session's version can be reached")
}

/// Sets a pin: the first holder in rank order that replies decides which pin is stored, and that
/// pin is sent to the holders after it.
async fn set_pin(entry: &Arc<Entry>, key: &PinKey, proposed: Pin) -> Result<Pin, RequestError> {
    let holders = entry.sides.holders(key, entry.settings.sessions.copies);
    let mut links = holders.into_iter().filter_map(|(_, link)| link);
    let mut stored_pin = None;
    for link in links.by_ref() {
        let request = Call::PinSet(key.clone(), proposed.clone());
        if let Some(Some(pin)) = query_holder(entry, &link, request).await {
            stored_pin = Some(pin);
            break;
        }
    }
    let pin = stored_pin.ok_or_else(no_holder_error)?;
    let merges: Vec<_> = links
        .map(|link| {
            let (entry, request) = (entry.clone(), Call::PinMerge(key.clone(), pin.clone()));
            smol::spawn(async move { query_holder(&entry, &link, request).await })
        })
        .collect();
    for task in merges {
        task.await;
    }
    Ok(pin)
}

/// Sends the pin, in the background, to holders that replied without it, such as replaced hosts.
fn repair_copies(entry: &Arc<Entry>, key: &PinKey, pin: &Pin, replies: &HolderReplies) {
    for (link, reply) in replies {
        match (link, reply) {
            (Some(link), Some(held_pin)) if held_pin.as_ref() != Some(pin) => {
                let (entry, link) = (entry.clone(), link.clone());
                let request = Call::PinMerge(key.clone(), pin.clone());
                smol::spawn(async move { query_holder(&entry, &link, request).await }).detach();
            }
            _ => {}
        }
    }
}
