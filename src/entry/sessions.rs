//! Sessions keep their version, through whatever entry they come.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use redwingfold_core::{
    Config, ErrorKind, HostId, Incarnation, Pin, PinKey, SessionId, VersionName,
};

use super::answer::Failed;
use super::auth::Caller;
use super::context::Entry;
use super::sides::SideLink;
use crate::clock::wall;
use crate::peer::call;
use crate::wire::{Call, Reply};

/// Pins that a holder is given at once.
const SWEEP_BATCH: usize = 500;

/// Which holders were given a pin, and which start of each.
///
/// A holder that was replaced under the same name has lost its pins. Were that not seen, sessions
/// would lose their copies one by one as hosts are replaced, until none is left and the session
/// gets another version.
type Stamp = Vec<(HostId, Option<Incarnation>)>;

/// Pins that this entry has seen. They never change but by a withdrawal, which the entry knows of.
/// One counts only while its holders are those that have it.
#[derive(Debug)]
pub(crate) struct SessionCache {
    max: usize,
    pins: Mutex<HashMap<PinKey, (Pin, Stamp)>>,
}

impl SessionCache {
    pub(crate) fn new(max: usize) -> Self {
        Self { max, pins: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<PinKey, (Pin, Stamp)>> {
        self.pins.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn get(&self, key: &PinKey, stamp: &Stamp) -> Option<Pin> {
        let pins = self.lock();
        let (pin, held) = pins.get(key)?;
        (held == stamp).then(|| pin.clone())
    }

    fn put(&self, key: &PinKey, pin: &Pin, stamp: Stamp) {
        let mut pins = self.lock();
        if pins.len() >= self.max {
            pins.clear();
        }
        pins.insert(key.clone(), (pin.clone(), stamp));
    }

    fn all(&self) -> Vec<(PinKey, Pin, Stamp)> {
        self.lock()
            .iter()
            .map(|(key, (pin, stamp))| (key.clone(), pin.clone(), stamp.clone()))
            .collect()
    }
}

fn stamp_of(entry: &Entry, key: &PinKey) -> Stamp {
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
pub(crate) async fn sweep(entry: Arc<Entry>) {
    let mut batches = BTreeMap::<HostId, Vec<(PinKey, Pin)>>::new();
    let mut given = Vec::new();
    for (key, pin, held) in entry.sessions.all() {
        let stamp = stamp_of(&entry, &key);
        if stamp == held {
            continue;
        }
        for (host, _) in stamp.iter().filter(|holder| !held.contains(holder)) {
            batches.entry(host.clone()).or_default().push((key.clone(), pin.clone()));
        }
        given.push((key, pin, stamp));
    }
    let mut is_complete = true;
    for (host, pins) in batches {
        let Some(link) = entry.sides.get(&host) else { continue };
        for batch in pins.chunks(SWEEP_BATCH) {
            let question = Call::PinMergeAll(batch.to_vec());
            let timeout = entry.settings.sessions.timeout_ms;
            is_complete &= call(&link.conn, &question, timeout).await == Ok(Reply::Held);
        }
    }
    if is_complete {
        let count = given.len();
        for (key, pin, stamp) in given {
            entry.sessions.put(&key, &pin, stamp);
        }
        entry.daemon.telemetry.count("session.swept", count as i64);
    }
}

/// The version of a session's request.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) version: VersionName,
    /// The version that it had until its withdrawal.
    pub(crate) moved_from: Option<VersionName>,
}

/// Returns the version that a session keeps; `proposed` is taken if it has none, and only then needed.
pub(crate) async fn version_of(
    entry: &Arc<Entry>,
    config: &Config,
    caller: &Caller,
    session: &SessionId,
    name: &str,
    proposed: Result<VersionName, Failed>,
) -> Result<Kept, Failed> {
    let key = PinKey {
        customer: caller.customer.clone(),
        session: session.clone(),
        name: name.to_owned(),
    };
    let stamp = stamp_of(entry, &key);
    let cached = entry.sessions.get(&key, &stamp);
    let (held, copies) = match cached {
        Some(pin) => (Some(pin), Vec::new()),
        None => find(entry, &key).await?,
    };
    let may_run = |v: &VersionName| config.may_run(&caller.customer, Some(session), v);
    let (pin, moved_from) = match held {
        Some(pin) => match may_run(&pin.version) {
            Ok(()) => {
                repair(entry, &key, &pin, &copies);
                (pin, None)
            }
            Err(ErrorKind::Withdrawn) => {
                let next = Pin { moves: pin.moves + 1, since: wall(), version: proposed? };
                (set(entry, &key, next).await?, Some(pin.version))
            }
            Err(kind) => {
                let why = format!("the session keeps {}", pin.version);
                return Err(Failed::new(kind, why));
            }
        },
        None => {
            let first = Pin { moves: 0, since: wall(), version: proposed? };
            (set(entry, &key, first).await?, None)
        }
    };
    // Another entry may have been faster with another version; it counts, if it may run.
    may_run(&pin.version).map_err(|kind| Failed::new(kind, "the session's version"))?;
    entry.sessions.put(&key, &pin, stamp);
    Ok(Kept { version: pin.version, moved_from })
}

/// What each holder has, in the order of rank; `None` for one that did not answer.
type Copies = Vec<(Option<Arc<SideLink>>, Option<Option<Pin>>)>;

async fn ask(entry: &Entry, link: &SideLink, question: Call) -> Option<Option<Pin>> {
    match call(&link.conn, &question, entry.settings.sessions.timeout_ms).await {
        Ok(Reply::Pin(pin)) => Some(pin),
        _ => None,
    }
}

/// Asks all holders at once for the pin that they have.
async fn find(entry: &Arc<Entry>, key: &PinKey) -> Result<(Option<Pin>, Copies), Failed> {
    let holders = entry.sides.holders(key, entry.settings.sessions.copies);
    let asked: Vec<_> = holders
        .into_iter()
        .map(|(_, link)| {
            let (entry, key) = (entry.clone(), key.clone());
            let task = link.clone().map(|link| {
                smol::spawn(async move { ask(&entry, &link, Call::PinGet(key)).await })
            });
            (link, task)
        })
        .collect();
    let mut copies = Copies::new();
    for (link, task) in asked {
        let pin = match task {
            Some(task) => task.await,
            None => None,
        };
        copies.push((link, pin));
    }
    if copies.iter().all(|(_, answer)| answer.is_none()) {
        return Err(no_holder());
    }
    let pins = copies.iter().filter_map(|(_, answer)| answer.clone().flatten());
    let held = pins.reduce(|a, b| if b.replaces(&a) { b } else { a });
    Ok((held, copies))
}

fn no_holder() -> Failed {
    Failed::new(ErrorKind::NoBackend, "no holder of the session's version can be reached")
}

/// Sets a pin: the first holder that answers decides, the others take over what it says.
async fn set(entry: &Arc<Entry>, key: &PinKey, proposed: Pin) -> Result<Pin, Failed> {
    let holders = entry.sides.holders(key, entry.settings.sessions.copies);
    let mut links = holders.into_iter().filter_map(|(_, link)| link);
    let mut decided = None;
    for link in links.by_ref() {
        let question = Call::PinSet(key.clone(), proposed.clone());
        if let Some(Some(pin)) = ask(entry, &link, question).await {
            decided = Some(pin);
            break;
        }
    }
    let pin = decided.ok_or_else(no_holder)?;
    let merges: Vec<_> = links
        .map(|link| {
            let (entry, question) = (entry.clone(), Call::PinMerge(key.clone(), pin.clone()));
            smol::spawn(async move { ask(&entry, &link, question).await })
        })
        .collect();
    for merge in merges {
        merge.await;
    }
    Ok(pin)
}

/// Gives the pin to holders that answered and lack it, such as replaced ones.
fn repair(entry: &Arc<Entry>, key: &PinKey, pin: &Pin, copies: &Copies) {
    for (link, answer) in copies {
        match (link, answer) {
            (Some(link), Some(held)) if held.as_ref() != Some(pin) => {
                let (entry, link) = (entry.clone(), link.clone());
                let question = Call::PinMerge(key.clone(), pin.clone());
                smol::spawn(async move { ask(&entry, &link, question).await }).detach();
            }
            _ => {}
        }
    }
}
