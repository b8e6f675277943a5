//! Which requests are kept from backend servers, because servers end under them.

mod mark;
mod proven;
mod suspect;
mod unwritten;

use std::collections::{HashMap, HashSet};

pub use mark::{Mark, MarkChange};

use super::catalog::BackendId;
use super::feed::random_wait;
use super::fingerprint::Fingerprint;
use super::server_ends::EndedRun;
use crate::ids::Millis;
use proven::Proven;
use suspect::Suspect;
use unwritten::Unwritten;

/// When requests are kept from servers, and when they are tried once more.
#[derive(Clone, Copy, Debug)]
pub struct QuarantinePolicy {
    /// Ends of servers under a request from which on it is kept from them. One end says little: all that ran on the
    /// server look alike.
    pub ends: usize,
    /// Trials of such a request, over all gateways: an innocent one is let go by the first that is answered. They are for
    /// requests of which no trial was seen to end its server; the others have fewer.
    pub trials: u8,
    /// Trials of a request under which more servers have ended.
    pub trials_of_more: u8,
    /// Time between two trials.
    pub rest: Millis,
    /// Time for which a trial is waited for.
    pub trial_lasts: Millis,
    /// Time after the last end for which it is remembered.
    pub keep: Millis,
    /// Time for which a first end is not written: most requests are answered by the next server meanwhile.
    pub hold: Millis,
    /// Requests that are remembered at most.
    pub max_suspects: usize,
}

impl Default for QuarantinePolicy {
    /// Two ends, and as many trials that a deadly request has three sends at most after its third end, also if nobody saw
    /// how they ended.
    ///
    /// ```
    /// use redwingfold_core::QuarantinePolicy;
    /// let policy = QuarantinePolicy::default();
    /// assert!(policy.ends + usize::from(policy.trials) <= 3 + 3);
    /// assert!(policy.trials_of_more <= 3);
    /// ```
    fn default() -> Self {
        Self {
            ends: 2,
            trials: 4,
            trials_of_more: 2,
            rest: Millis(5_000),
            trial_lasts: Millis(2_000),
            keep: Millis(24 * 3_600_000),
            hold: Millis(1_000),
            max_suspects: 2_048,
        }
    }
}

/// Time within which marks are written again that a store lost as it came back from an older copy.
const RESTORED_WITHIN: Millis = Millis(1_000);

/// Time between withdrawals of marks that keep nothing from servers: what ran on a server when it ended is mostly answered
/// by another within seconds, at times that all differ, and is withdrawn together.
const WITHDRAWN_EVERY: Millis = Millis(3_000);

/// Returns the next time for such withdrawals.
fn next_turn(now: Millis) -> Millis {
    Millis((now.0 / WITHDRAWN_EVERY.0 + 1) * WITHDRAWN_EVERY.0)
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is sent on.
    Free,
    /// It is refused; the time until it may be tried again.
    Refused(Millis),
    /// It may be sent to one server, by the gateway that gets to write the mark of the trial with this number.
    Trial(u8),
}

/// What one gateway knows of requests under which servers ended.
///
/// Load pattern: one request ends each server that runs it, and comes again under new ids, at any gateway, often or
/// rarely. Each id is sent to as many servers as its route allows: of twelve servers ten were down at a time, and a
/// third of all callers were refused or failed. Here a second end makes the request known, and what is known is in
/// the store, so that neither lost messages nor lost gateways bring it back: beyond the runs that are under way
/// by then it reaches a few servers more, and they only to let go of a request that was not to blame.
///
/// A request that ran beside a deadly one is known by what that one never has, an answer. Each whole answer clears the
/// request at all gateways, and one that was answered of late is not suspected for single ends of servers.
#[derive(Clone, Debug)]
pub struct Quarantine {
    policy: QuarantinePolicy,
    suspects: HashMap<Fingerprint, Suspect>,
    proven: Proven,
    unwritten: Unwritten,
    /// Whether the others should know at once of something that waits to be written.
    is_urgent: bool,
}

impl Quarantine {
    /// Makes an empty quarantine.
    ///
    /// ```
    /// use redwingfold_core::{
    ///     Admission, BackendId, EndedRun, Fingerprint, Millis, Quarantine, QuarantinePolicy,
    /// };
    /// let mut quarantine = Quarantine::new(QuarantinePolicy::default());
    /// let run = |sent_at| EndedRun { request: Fingerprint(7), sent_at: Millis(sent_at) };
    /// quarantine.ended(&BackendId::from("e1"), run(0), Millis(50));
    /// assert_eq!(quarantine.admission(Fingerprint(7), Millis(50)), Admission::Free);
    /// quarantine.ended(&BackendId::from("e2"), run(60), Millis(99));
    /// assert_eq!(quarantine.admission(Fingerprint(7), Millis(99)), Admission::Trial(1));
    /// assert!(quarantine.completed(Fingerprint(7), Millis(200)));
    /// assert_eq!(quarantine.admission(Fingerprint(7), Millis(200)), Admission::Free);
    /// ```
    pub fn new(policy: QuarantinePolicy) -> Self {
        Self {
            policy,
            suspects: HashMap::new(),
            proven: Proven::default(),
            unwritten: Unwritten::default(),
            is_urgent: false,
        }
    }

    /// Takes that a server has ended while it ran a request; returns how many have, if this one counts.
    pub fn ended(&mut self, server: &BackendId, run: EndedRun, now: Millis) -> Option<usize> {
        if self.proven.bears(run, now) {
            return None;
        }
        let mark = Mark::End(server.clone());
        let until = now.after(self.policy.keep);
        let suspect = self.suspect(run.request, now);
        if !suspect.add(&mark, now, until) {
            return None;
        }
        let ends = suspect.ends();
        self.unwritten.add(run.request, mark, now.after(self.policy.hold), now);
        if ends >= self.policy.ends {
            self.unwritten.hurry(run.request, now);
            self.is_urgent = true;
        }
        Some(ends)
    }

    /// Takes that a request under which a server ended has run on another one for a while: its first end waits on to be
    /// written, as it will most likely be answered.
    ///
    /// Load pattern: a third of 180 servers end at once, and 103 gateways each go on elsewhere with a dozen streams of
    /// some seconds. Written and withdrawn one by one, their marks were too many to be told, so that each gateway read the
    /// store for each of the others.
    pub fn runs_on(&mut self, request: Fingerprint, now: Millis) {
        if self.is_suspect(request) {
            self.unwritten.hold(request, now.after(self.policy.hold), now);
        }
    }

    /// Takes that a request has ended without an answer: what is known of it is not held back any longer.
    pub fn gave_up(&mut self, request: Fingerprint, now: Millis) {
        if self.suspects.contains_key(&request) {
            self.unwritten.hurry(request, now);
        }
    }

    /// Takes that a server has answered a request to its end: it is not to blame. `true` if it was kept from servers.
    pub fn completed(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.proven.completed(request, now);
        let Some(suspect) = self.suspects.remove(&request) else { return false };
        let was_kept = suspect.ends() >= self.policy.ends;
        let due = if was_kept { now } else { next_turn(now) };
        self.is_urgent |= was_kept;
        self.unwritten.withdraw(request, suspect.marks(), due, now);
        was_kept
    }

    /// Says what may be done with a request.
    pub fn admission(&self, request: Fingerprint, now: Millis) -> Admission {
        match self.suspects.get(&request) {
            Some(suspect) if suspect.ends() >= self.policy.ends && now < suspect.until => {
                suspect.admission(&self.policy, now)
            }
            _ => Admission::Free,
        }
    }

    /// Says whether a server has ended under a request.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns the number of the last trial of a request; 0 if there was none.
    pub fn trials(&self, request: Fingerprint) -> u8 {
        self.suspects.get(&request).map_or(0, Suspect::trials)
    }

    /// Notes that this gateway asks the store for a trial, so that no other of its requests does.
    pub fn claims(&mut self, request: Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.tried_at = Some(now);
        }
    }

    /// Takes that the store cannot be asked for a trial; `true` if this gateway may make one by itself.
    ///
    /// Load pattern: the store is away while servers end for reasons of their own. Without this, a request that met two of
    /// them would be refused until it is back. It is one trial for each gateway, whose mark is written later.
    pub fn tries_alone(&mut self, request: Fingerprint, trial: u8, now: Millis) -> bool {
        let until = now.after(self.policy.keep);
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        let mark = Mark::Trial(trial);
        let may = trial == 1 && suspect.add(&mark, now, until);
        if may {
            self.unwritten.add(request, mark, now, now);
        }
        may
    }

    /// Takes that a trial was not sent to any server, so that another one may be.
    pub fn unused(&mut self, request: Fingerprint, trial: u8, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.remove(&Mark::Trial(trial));
            suspect.tried_at = None;
            self.unwritten.withdraw(request, vec![Mark::Trial(trial)], now, now);
        }
    }

    /// Takes what the store says; returns the requests that are kept from servers from now on.
    pub fn hear(&mut self, changes: &[MarkChange], now: Millis) -> Vec<Fingerprint> {
        changes.iter().filter(|change| self.hear_one(change, now)).map(|c| c.request).collect()
    }

    fn hear_one(&mut self, change: &MarkChange, now: Millis) -> bool {
        let MarkChange { request, mark, age } = change;
        let Some(age) = age else {
            self.forget(*request, mark);
            return false;
        };
        if !self.unwritten.is_there(*request, mark) {
            return false;
        }
        let left = self.policy.keep.since(*age);
        if left == Millis(0) || self.proven.has(*request, now) {
            self.unwritten.withdraw(*request, vec![mark.clone()], now, now);
            self.is_urgent = true;
            return false;
        }
        let ends = self.policy.ends;
        let suspect = self.suspect(*request, now);
        let was_kept = suspect.ends() >= ends;
        suspect.add(mark, now.since(*age), now.after(left));
        !was_kept && suspect.ends() >= ends
    }

    /// Takes all that the store says; what it does not have any more was withdrawn.
    pub fn hear_all(&mut self, marks: &[MarkChange], now: Millis) -> Vec<Fingerprint> {
        let gone = self.not_among(marks);
        gone.iter().for_each(|(request, mark)| self.forget(*request, mark));
        self.hear(marks, now)
    }

    /// Takes all that the store says after it has come back from an older copy; what that lacks is written again. Each
    /// gateway of a fleet waits a time by `draw`, a random number, and one that has written lets the others be.
    ///
    /// Taken for withdrawn, the marks that the copy lacks would let a request go under which servers have ended.
    pub fn hear_older_copy(
        &mut self,
        marks: &[MarkChange],
        fleet: usize,
        now: Millis,
        draw: u64,
    ) -> Vec<Fingerprint> {
        let due = now.after(random_wait(RESTORED_WITHIN, fleet, draw));
        for (request, mark) in self.not_among(marks) {
            let until = self.suspects.get(&request).map_or(now, |suspect| suspect.until);
            let age = self.policy.keep.since(until.since(now));
            self.unwritten.add(request, mark, due, now.since(age));
        }
        self.hear(marks, now)
    }

    /// Returns the marks that are known here and are not among some, but for those that wait to be written.
    fn not_among(&self, marks: &[MarkChange]) -> Vec<(Fingerprint, Mark)> {
        let listed: HashSet<_> = marks.iter().map(|m| (m.request, &m.mark)).collect();
        let known = self.suspects.iter().flat_map(|(request, suspect)| {
            suspect.marks().into_iter().map(|mark| (*request, mark))
        });
        let is_missing = |(request, mark): &(Fingerprint, Mark)| {
            !listed.contains(&(*request, mark)) && !self.unwritten.has(*request, mark)
        };
        known.filter(is_missing).collect()
    }

    /// Returns what is to be written to the store now, at most `max` changes.
    pub fn due(&self, now: Millis, max: usize) -> Vec<MarkChange> {
        self.unwritten.due(now, max)
    }

    /// Says whether the others should know at once of what waits to be written.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Takes that it is about to be written.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Returns when something is to be written.
    pub fn due_at(&self) -> Option<Millis> {
        self.unwritten.due_at()
    }

    /// Takes that changes were written.
    pub fn written(&mut self, changes: &[MarkChange]) {
        self.unwritten.written(changes);
    }

    /// Returns how many requests are suspected, and how many of them are kept from servers.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let is_kept = |request: &&Fingerprint| self.admission(**request, now) != Admission::Free;
        (self.suspects.len(), self.suspects.keys().filter(is_kept).count())
    }

    fn forget(&mut self, request: Fingerprint, mark: &Mark) {
        self.unwritten.is_gone(request, mark);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.remove(mark);
            if suspect.marks().is_empty() {
                self.suspects.remove(&request);
            }
        }
    }

    /// Returns what is known of a request, with room for a new one.
    fn suspect(&mut self, request: Fingerprint, now: Millis) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            self.make_room(now);
        }
        self.suspects.entry(request).or_default()
    }

    /// Forgets what is too old, and beyond the most that are remembered what matters least: a request that is not kept
    /// from servers before one that is, and the oldest of these.
    fn make_room(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| now < suspect.until);
        if self.suspects.len() < self.policy.max_suspects {
            return;
        }
        let ends = self.policy.ends;
        let least = self.suspects.iter().min_by_key(|(_, s)| (s.ends() >= ends, s.until));
        let Some(request) = least.map(|(request, _)| *request) else { return };
        if let Some(suspect) = self.suspects.remove(&request) {
            self.unwritten.withdraw(request, suspect.marks(), now, now);
        }
    }
}
