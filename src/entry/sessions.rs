//! Sessions keep their version, through whatever entry they come.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    Config, ErrorKind, HostId, Incarnation, Pin, PinKey, SessionId, VersionName,
};

use super::auth::Caller;
use super::context::Entry;
use super::response::RequestError;
use super::sides::SideLink;
use crate::clock::wall;
use crate::peer::call;
use crate::wire::{Call, Reply};

/// Pins that a holder is given at once.
const REPLICATION_BATCH_PINS: usize = 500;

/// Which holders were given a pin, and which start of each.
///
/// A holder that was replaced under the same name has lost its pins. Were that not seen, sessions
/// would lose their copies one by one as hosts are replaced, until none is left and the session
/// gets another version.
type HolderSet = Vec<(HostId, Option<Incarnation>)>;

/// Pins that this entry has seen. They never change but by a withdrawal, which the entry knows of.
/// One counts only while its holders are those that have it.
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
        let (pin, held) = pins.get(key)?;
        (held == holders).then(|| pin.clone())
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

/// Gives the pins that this entry knows to the holders that lack them: hosts come and go more often
/// than some sessions send requests.
pub(crate) async fn replicate_pins(entry: Arc<Entry>) {
    let mut batches = BTreeMap::<HostId, Vec<(PinKey, Pin)>>::new();
    let mut replicated = Vec::new();
    for (key, pin, held) in entry.sessions.all() {
        let holders = current_holders(&entry, &key);
        if holders == held {
            continue;
        }
        for (host, _) in holders.iter().filter(|holder| !held.contains(holder)) {
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

/// The version of a session's request.
#[derive(Debug)]
pub(crate) struct SessionVersion {
    pub(crate) version: VersionName,
    /// The version that it had until its withdrawal.
    pub(crate) moved_from: Option<VersionName>,
}

/// Returns the version that a session keeps; `proposed` is taken if it has none, and only then needed.
pub(crate) async fn session_version(
    entry: &Arc<Entry>,
    config: &Config,
    caller: &Caller,
    session: &SessionId,
    name: &str,
    proposed: Result<VersionName, RequestError>,
) -> Result<SessionVersion, RequestError> {
    let key = PinKey {
        customer: caller.customer.clone(),
        session: session.clone(),
        name: name.to_owned(),
    };
    let holders = current_holders(entry, &key);
    let cached = entry.sessions.get(&key, &holders);
    let (held, copies) = match cached {
        Some(pin) => (Some(pin), Vec::new()),
        None => find_pin(entry, &key).await?,
    };
    let may_run = |v: &VersionName| config.may_run(&caller.customer, Some(session), v);
    let (pin, moved_from) = match held {
        Some(pin) => match may_run(&pin.version) {
            Ok(()) => {
                repair_copies(entry, &key, &pin, &copies);
                (pin, None)
            }
            Err(ErrorKind::Withdrawn) => {
                let next = Pin { moves: pin.moves + 1, since: wall(), version: proposed? };
                (set_pin(entry, &key, next).await?, Some(pin.version))
            }
            Err(kind) => {
                let why = format!("the session keeps {}", pin.version);
                return Err(RequestError::new(kind, why));
            }
        },
        None => {
            let first = Pin { moves: 0, since: wall(), version: proposed? };
            (set_pin(entry, &key, first).await?, None)
        }
    };
    // Another entry may have been faster with another version; it counts, if it may run.
    may_run(&pin.version).map_err(|kind| RequestError::new(kind, "the session's version"))?;
    entry.sessions.put(&key, &pin, holders);
    Ok(SessionVersion { version: pin.version, moved_from })
}

/// What each holder has, in the order of rank; `None` for one that did not answer.
type HolderReplies = Vec<(Option<Arc<SideLink>>, Option<Option<Pin>>)>;

async fn query_holder(entry: &Entry, link: &SideLink, request: Call) -> Option<Option<Pin>> {
    match call(&link.conn, &request, entry.settings.sessions.timeout_ms).await {
        Ok(Reply::Pin(pin)) => Some(pin),
        _ => None,
    }
}

/// Asks all holders at once for the pin that they have.
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
    let mut copies = HolderReplies::new();
    for (link, task) in queries {
        let pin = match task {
            Some(task) => task.await,
            None => None,
        };
        copies.push((link, pin));
    }
    if copies.iter().all(|(_, answer)| answer.is_none()) {
        return Err(no_holder_error());
    }
    let pins = copies.iter().filter_map(|(_, answer)| answer.clone().flatten());
    let held = pins.reduce(|a, b| if b.replaces(&a) { b } else { a });
    Ok((held, copies))
}

fn no_holder_error() -> RequestError {
    RequestError::new(ErrorKind::NoBackend, "no holder of the session's version can be reached")
}

/// Sets a pin: the first holder that answers decides, the others take over what it says.
async fn set_pin(entry: &Arc<Entry>, key: &PinKey, proposed: Pin) -> Result<Pin, RequestError> {
    let holders = entry.sides.holders(key, entry.settings.sessions.copies);
    let mut links = holders.into_iter().filter_map(|(_, link)| link);
    let mut decided = None;
    for link in links.by_ref() {
        let request = Call::PinSet(key.clone(), proposed.clone());
        if let Some(Some(pin)) = query_holder(entry, &link, request).await {
            decided = Some(pin);
            break;
        }
    }
    let pin = decided.ok_or_else(no_holder_error)?;
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

/// Gives the pin to holders that answered and lack it, such as replaced ones.
fn repair_copies(entry: &Arc<Entry>, key: &PinKey, pin: &Pin, copies: &HolderReplies) {
    for (link, answer) in copies {
        match (link, answer) {
            (Some(link), Some(held)) if held.as_ref() != Some(pin) => {
                let (entry, link) = (entry.clone(), link.clone());
                let request = Call::PinMerge(key.clone(), pin.clone());
                smol::spawn(async move { query_holder(&entry, &link, request).await }).detach();
            }
            _ => {}
        }
    }
}
