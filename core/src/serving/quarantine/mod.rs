//! Which requests are kept from backend servers, because servers end under them.

mod answered;
mod mark;
mod pending_changes;
mod suspect;

use std::collections::{HashMap, HashSet};

pub use mark::{Mark, MarkChange};

use super::catalog::BackendId;
use super::feed::wait;
use super::fingerprint::Fingerprint;
use super::interrupted_runs::EndedRun;
use crate::ids::Millis;
use answered::AnsweredRequests;
use pending_changes::PendingChanges;
use suspect::Suspect;

/// When requests are kept from servers, and when they are tried once more.
#[derive(Clone, Copy, Debug)]
pub struct QuarantinePolicy {
    /// Ends of servers under a request from which on it is kept from them. One end says little: all that ran on the
    /// server look alike.
    pub min_ends: usize,
    /// Trials of such a request, over all gateways: an innocent one is let go by the first that is answered. They are for
    /// requests of which no trial was seen to end its server; the others have fewer.
    pub max_trials: u8,
    /// Trials of a request under which more servers have ended.
    pub max_trials_after_more_ends: u8,
    /// Time between two trials.
    pub trial_interval: Millis,
    /// Time for which a trial is waited for.
    pub trial_timeout: Millis,
    /// Time after the last end for which it is remembered.
    pub retention: Millis,
    /// Time for which a first end is not written: most requests are answered by the next server meanwhile.
    pub write_delay: Millis,
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
    /// assert!(policy.min_ends + usize::from(policy.max_trials) <= 3 + 3);
    /// assert!(policy.max_trials_after_more_ends <= 3);
    /// ```
    fn default() -> Self {
        Self {
            min_ends: 2,
            max_trials: 4,
            max_trials_after_more_ends: 2,
            trial_interval: Millis(5_000),
            trial_timeout: Millis(2_000),
            retention: Millis(24 * 3_600_000),
            write_delay: Millis(1_000),
            max_suspects: 2_048,
        }
    }
}

/// Time within which marks are written again that a store lost as it came back from an older copy.
const RESTORE_SPREAD: Millis = Millis(1_000);

/// Time between withdrawals of marks that keep nothing from servers: what ran on a server when it ended is mostly answered
/// by another within seconds, at times that all differ, and is withdrawn together.
const WITHDRAWAL_INTERVAL: Millis = Millis(3_000);

/// Returns the next time for such withdrawals.
fn next_withdrawal(now: Millis) -> Millis {
    Millis((now.0 / WITHDRAWAL_INTERVAL.0 + 1) * WITHDRAWAL_INTERVAL.0)
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It is sent on.
    Allowed,
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
    answered: AnsweredRequests,
    pending: PendingChanges,
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
    /// quarantine.record_end(&BackendId::from("e1"), run(0), Millis(50));
    /// assert_eq!(quarantine.admission(Fingerprint(7), Millis(50)), Admission::Allowed);
    /// quarantine.record_end(&BackendId::from("e2"), run(60), Millis(99));
    /// assert_eq!(quarantine.admission(Fingerprint(7), Millis(99)), Admission::Trial(1));
    /// assert!(quarantine.record_answer(Fingerprint(7), Millis(200)));
    /// assert_eq!(quarantine.admission(Fingerprint(7), Millis(200)), Admission::Allowed);
    /// ```
    pub fn new(policy: QuarantinePolicy) -> Self {
        Self {
            policy,
            suspects: HashMap::new(),
            answered: AnsweredRequests::default(),
            pending: PendingChanges::default(),
            is_urgent: false,
        }
    }

    /// Takes that a server has ended while it ran a request; returns how many have, if this one counts.
    pub fn record_end(&mut self, server: &BackendId, run: EndedRun, now: Millis) -> Option<usize> {
        if self.answered.excuse_end(run, now) {
            return None;
        }
        let mark = Mark::End(server.clone());
        let until = now.after(self.policy.retention);
        let suspect = self.suspect_entry(run.request, now);
        if !suspect.add(&mark, now, until) {
            return None;
        }
        let ends = suspect.ends();
        self.pending.add(run.request, mark, now.after(self.policy.write_delay), now);
        if ends >= self.policy.min_ends {
            self.pending.expedite(run.request, now);
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
    pub fn postpone_marks(&mut self, request: Fingerprint, now: Millis) {
        if self.is_suspect(request) {
            self.pending.postpone(request, now.after(self.policy.write_delay), now);
        }
    }

    /// Takes that a request has ended without an answer: what is known of it is not held back any longer.
    pub fn expedite_marks(&mut self, request: Fingerprint, now: Millis) {
        if self.suspects.contains_key(&request) {
            self.pending.expedite(request, now);
        }
    }

    /// Takes that a server has answered a request to its end: it is not to blame. `true` if it was kept from servers.
    pub fn record_answer(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.answered.record_answer(request, now);
        let Some(suspect) = self.suspects.remove(&request) else { return false };
        let was_quarantined = suspect.ends() >= self.policy.min_ends;
        let due = if was_quarantined { now } else { next_withdrawal(now) };
        self.is_urgent |= was_quarantined;
        self.pending.withdraw(request, suspect.marks(), due, now);
        was_quarantined
    }

    /// Says what may be done with a request.
    pub fn admission(&self, request: Fingerprint, now: Millis) -> Admission {
        match self.suspects.get(&request) {
            Some(suspect) if suspect.ends() >= self.policy.min_ends && now < suspect.expires_at => {
                suspect.admission(&self.policy, now)
            }
            _ => Admission::Allowed,
        }
    }

    /// Says whether a server has ended under a request.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns the number of the last trial of a request; 0 if there was none.
    pub fn last_trial(&self, request: Fingerprint) -> u8 {
        self.suspects.get(&request).map_or(0, Suspect::last_trial)
    }

    /// Notes that this gateway asks the store for a trial, so that no other of its requests does.
    pub fn record_claim(&mut self, request: Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.last_trial_at = Some(now);
        }
    }

    /// Takes that the store cannot be asked for a trial; `true` if this gateway may make one by itself.
    ///
    /// Load pattern: the store is away while servers end for reasons of their own. Without this, a request that met two of
    /// them would be refused until it is back. It is one trial for each gateway, whose mark is written later.
    pub fn start_local_trial(&mut self, request: Fingerprint, trial: u8, now: Millis) -> bool {
        let until = now.after(self.policy.retention);
        let Some(suspect) = self.suspects.get_mut(&request) else { return false };
        let mark = Mark::Trial(trial);
        let may = trial == 1 && suspect.add(&mark, now, until);
        if may {
            self.pending.add(request, mark, now, now);
        }
        may
    }

    /// Takes that a trial was not sent to any server, so that another one may be.
    pub fn return_trial(&mut self, request: Fingerprint, trial: u8, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.remove(&Mark::Trial(trial));
            suspect.last_trial_at = None;
            self.pending.withdraw(request, vec![Mark::Trial(trial)], now, now);
        }
    }

    /// Takes what the store says; returns the requests that are kept from servers from now on.
    pub fn apply_changes(&mut self, changes: &[MarkChange], now: Millis) -> Vec<Fingerprint> {
        changes.iter().filter(|change| self.apply_change(change, now)).map(|c| c.request).collect()
    }

    fn apply_change(&mut self, change: &MarkChange, now: Millis) -> bool {
        let MarkChange { request, mark, age } = change;
        let Some(age) = age else {
            self.forget(*request, mark);
            return false;
        };
        if !self.pending.confirm_present(*request, mark) {
            return false;
        }
        let left = self.policy.retention.since(*age);
        if left == Millis(0) || self.answered.contains(*request, now) {
            self.pending.withdraw(*request, vec![mark.clone()], now, now);
            self.is_urgent = true;
            return false;
        }
        let ends = self.policy.min_ends;
        let suspect = self.suspect_entry(*request, now);
        let was_quarantined = suspect.ends() >= ends;
        suspect.add(mark, now.since(*age), now.after(left));
        !was_quarantined && suspect.ends() >= ends
    }

    /// Takes all that the store says; what it does not have any more was withdrawn.
    pub fn apply_snapshot(&mut self, marks: &[MarkChange], now: Millis) -> Vec<Fingerprint> {
        let gone = self.missing_from(marks);
        gone.iter().for_each(|(request, mark)| self.forget(*request, mark));
        self.apply_changes(marks, now)
    }

    /// Takes all that the store says after it has come back from an older copy; what that lacks is written again. Each
    /// gateway of a fleet waits a time by `draw`, a random number, and one that has written lets the others be.
    ///
    /// Taken for withdrawn, the marks that the copy lacks would let a request go under which servers have ended.
    pub fn apply_restored_snapshot(
        &mut self,
        marks: &[MarkChange],
        fleet: usize,
        now: Millis,
        draw: u64,
    ) -> Vec<Fingerprint> {
        let due = now.after(wait(RESTORE_SPREAD, fleet, draw));
        for (request, mark) in self.missing_from(marks) {
            let until = self.suspects.get(&request).map_or(now, |suspect| suspect.expires_at);
            let age = self.policy.retention.since(until.since(now));
            self.pending.add(request, mark, due, now.since(age));
        }
        self.apply_changes(marks, now)
    }

    /// Returns the marks that are known here and are not among some, but for those that wait to be written.
    fn missing_from(&self, marks: &[MarkChange]) -> Vec<(Fingerprint, Mark)> {
        let listed: HashSet<_> = marks.iter().map(|m| (m.request, &m.mark)).collect();
        let known = self.suspects.iter().flat_map(|(request, suspect)| {
            suspect.marks().into_iter().map(|mark| (*request, mark))
        });
        let is_missing = |(request, mark): &(Fingerprint, Mark)| {
            !listed.contains(&(*request, mark)) && !self.pending.contains(*request, mark)
        };
        known.filter(is_missing).collect()
    }

    /// Returns what is to be written to the store now, at most `max` changes.
    pub fn due_changes(&self, now: Millis, max: usize) -> Vec<MarkChange> {
        self.pending.due(now, max)
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
    pub fn next_due_at(&self) -> Option<Millis> {
        self.pending.next_due_at()
    }

    /// Takes that changes were written.
    pub fn confirm_written(&mut self, changes: &[MarkChange]) {
        self.pending.confirm_written(changes);
    }

    /// Returns how many requests are suspected, and how many of them are kept from servers.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let is_quarantined =
            |request: &&Fingerprint| self.admission(**request, now) != Admission::Allowed;
        (self.suspects.len(), self.suspects.keys().filter(is_quarantined).count())
    }

    fn forget(&mut self, request: Fingerprint, mark: &Mark) {
        self.pending.confirm_withdrawn(request, mark);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.remove(mark);
            if suspect.marks().is_empty() {
                self.suspects.remove(&request);
            }
        }
    }

    /// Returns what is known of a request, with room for a new one.
    fn suspect_entry(&mut self, request: Fingerprint, now: Millis) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            self.make_room(now);
        }
        self.suspects.entry(request).or_default()
    }

    /// Forgets what is too old, and beyond the most that are remembered what matters least: a request that is not kept
    /// from servers before one that is, and the oldest of these.
    fn make_room(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
        if self.suspects.len() < self.policy.max_suspects {
            return;
        }
        let ends = self.policy.min_ends;
        let least = self.suspects.iter().min_by_key(|(_, s)| (s.ends() >= ends, s.expires_at));
        let Some(request) = least.map(|(request, _)| *request) else { return };
        if let Some(suspect) = self.suspects.remove(&request) {
            self.pending.withdraw(request, suspect.marks(), now, now);
        }
    }
}
