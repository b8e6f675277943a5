//! Quarantine of requests and prompt parts that crash backend servers.

mod admission;
mod answered;
mod mark;
mod pending_changes;
mod policy;
mod suspect;
mod verdict;

use std::collections::{HashMap, HashSet};

pub use admission::{Admission, RequestAdmission, SuspectTrial};
pub use mark::{Mark, MarkChange};
pub use policy::QuarantinePolicy;

use super::catalog::BackendId;
use super::feed::random_wait;
use super::fingerprint::Fingerprint;
use super::interrupted_runs::EndedRun;
use crate::ids::Millis;
use answered::{AnsweredRequests, CONTENT_EXCUSES, PART_EXCUSES};
use pending_changes::PendingChanges;
use suspect::Suspect;

/// Time over which the gateways of a fleet spread the rewriting of marks that the store lost in a restore.
const RESTORE_SPREAD: Millis = Millis(1_000);

/// Interval between withdrawals of marks of requests that are not quarantined. Requests from an ended server are mostly
/// answered elsewhere within seconds, at different times; their marks are withdrawn in one batch.
const WITHDRAWAL_INTERVAL: Millis = Millis(3_000);

/// Returns the time of the next such batch.
fn next_withdrawal(now: Millis) -> Millis {
    Millis((now.0 / WITHDRAWAL_INTERVAL.0 + 1) * WITHDRAWAL_INTERVAL.0)
}

/// The suspect requests and prompt parts that one gateway has on record, and the marks that it has yet to write.
///
/// Failure: a poison request ends every server that runs it. Its caller sends it again under new request ids, through
/// any gateway, and each id is retried on as many servers as its route allows. Ten of twelve servers were down at a
/// time, and a third of all callers were refused or failed. The quarantine identifies requests by a fingerprint of
/// their content. From the second end on, the request is sent only as a trial. The marks are kept in the store, so that
/// neither lost messages nor restarts of gateways release the request. Beyond the runs that are in flight at that time,
/// it reaches only the few servers of its trials, which exist to release innocent requests.
///
/// An innocent request that ran beside a poison request is recognized by its answers, because a poison request is never
/// answered. Each complete answer releases the request at all gateways, and a request that was answered recently is not
/// suspected because of single ends.
///
/// Failure: a part of prompts ends every server that starts to write an answer to a prompt with it. No two requests with
/// the part are alike, so that each one has no marks when it arrives and ends two servers. Therefore an end is recorded
/// for each shared part of the prompt as well as for the content, under a [`Fingerprint`] of its own; the module `verdict`
/// says which of them are quarantined.
#[derive(Clone, Debug)]
pub struct Quarantine {
    policy: QuarantinePolicy,
    suspects: HashMap<Fingerprint, Suspect>,
    answered: AnsweredRequests,
    answered_parts: AnsweredRequests,
    /// The suspects that are quarantined.
    quarantined: HashSet<Fingerprint>,
    /// Whether marks have changed on which `quarantined` depends.
    is_verdict_stale: bool,
    newly_quarantined: Vec<Fingerprint>,
    pending: PendingChanges,
    /// Whether a pending change should be written and sent to the other gateways immediately.
    is_urgent: bool,
}

impl Quarantine {
    /// Creates an empty quarantine.
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
            answered: AnsweredRequests::new(CONTENT_EXCUSES),
            answered_parts: AnsweredRequests::new(PART_EXCUSES),
            quarantined: HashSet::new(),
            is_verdict_stale: false,
            newly_quarantined: Vec::new(),
            pending: PendingChanges::default(),
            is_urgent: false,
        }
    }

    /// Records that a server ended while it ran a request. Returns the number of ends on record for the request, or
    /// `None` if this end does not count.
    pub fn record_end(&mut self, server: &BackendId, run: EndedRun, now: Millis) -> Option<usize> {
        if self.answered_like(run.request).excuse_end(run, now) {
            return None;
        }
        let mark = Mark::End(server.clone());
        let until = now.after(self.policy.retention_of(run.request));
        let suspect = self.suspect_entry(run.request, now);
        if !suspect.add(&mark, now, until) {
            return None;
        }
        let ends = suspect.ends();
        self.pending.add(run.request, mark, now.after(self.policy.write_delay), now);
        if ends >= self.policy.min_ends_of(run.request) {
            self.pending.expedite(run.request, now);
            self.is_urgent = true;
            self.is_verdict_stale = true;
        }
        self.update_verdict();
        Some(ends)
    }

    /// Returns and clears the list of suspects that were quarantined because of ends that this gateway recorded.
    pub fn take_newly_quarantined(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.newly_quarantined)
    }

    /// Postpones the write of a first end, because the request has been running on another server for a while and will
    /// most likely be answered.
    ///
    /// Load pattern: a third of 180 servers end at once, and each of 103 gateways resumes a dozen streams of some
    /// seconds elsewhere. If their marks were written and withdrawn one by one, they would not fit into the messages
    /// between gateways, and each gateway would read the store for the changes of each other one.
    pub fn postpone_marks(&mut self, request: Fingerprint, now: Millis) {
        if self.is_suspect(request) {
            self.pending.postpone(request, now.after(self.policy.write_delay), now);
        }
    }

    /// Makes the pending marks of a request due, because the request failed and no answer will clear it.
    pub fn expedite_marks(&mut self, request: Fingerprint, now: Millis) {
        if self.suspects.contains_key(&request) {
            self.pending.expedite(request, now);
        }
    }

    /// Records a complete answer to a request and clears its marks. Returns whether the request was quarantined.
    pub fn record_answer(&mut self, request: Fingerprint, now: Millis) -> bool {
        self.answered_like(request).record_answer(request, now);
        let Some(suspect) = self.suspects.remove(&request) else { return false };
        let was_quarantined = self.quarantined.contains(&request);
        self.is_verdict_stale |= suspect.ends() >= self.policy.min_ends_of(request);
        self.update_verdict();
        let due = if was_quarantined { now } else { next_withdrawal(now) };
        self.is_urgent |= was_quarantined;
        self.pending.withdraw(request, suspect.marks(), due, now);
        was_quarantined
    }

    /// Returns whether a request may be sent that has this content, or this part in its prompt.
    pub fn admission(&self, request: Fingerprint, now: Millis) -> Admission {
        match self.suspects.get(&request) {
            Some(suspect) if self.quarantined.contains(&request) && now < suspect.expires_at => {
                suspect.admission(request, &self.policy, now)
            }
            _ => Admission::Allowed,
        }
    }

    /// Returns whether a request with these fingerprints may be sent.
    ///
    /// A request with several quarantined parts is not a trial at first. If it ended its server, each of the parts would
    /// have used up a trial, and a sound one among them could be refused for long.
    ///
    /// ```
    /// use redwingfold_core::{
    ///     BackendId, EndedRun, Fingerprint, Millis, Quarantine, QuarantinePolicy, RequestAdmission,
    /// };
    /// let mut quarantine = Quarantine::new(QuarantinePolicy::default());
    /// let part = Fingerprint::of_prompt_part(0x5c1e);
    /// for (n, server) in (1..).zip(["e1", "e2", "e3"]) {
    ///     for request in [Fingerprint(n), part] {
    ///         let run = EndedRun { request, sent_at: Millis(n * 100) };
    ///         quarantine.record_end(&BackendId::from(server), run, Millis(n * 100 + 50));
    ///     }
    /// }
    /// let sound = [Fingerprint(8), Fingerprint::of_prompt_part(0x77)];
    /// assert_eq!(quarantine.request_admission(&sound, Millis(400)), RequestAdmission::Allowed);
    /// let admission = quarantine.request_admission(&[Fingerprint(9), part], Millis(400));
    /// assert!(matches!(admission, RequestAdmission::Trial(trials) if trials[0].suspect == part));
    /// ```
    pub fn request_admission(&self, keys: &[Fingerprint], now: Millis) -> RequestAdmission {
        let mut trials = Vec::new();
        let mut refused: Option<(Millis, Fingerprint)> = None;
        for key in keys {
            match self.admission(*key, now) {
                Admission::Allowed => {}
                Admission::Refused(left) => refused = refused.max(Some((left, *key))),
                Admission::Trial(number) => trials.push(SuspectTrial { suspect: *key, number }),
            }
        }
        if let [_, _, ..] = trials[..] {
            let wait_of = |trial: &SuspectTrial| {
                let ended_at = self.suspects.get(&trial.suspect).map_or(now, |s| s.last_end_at);
                (self.policy.shared_trial_delay.since(now.since(ended_at)), trial.suspect)
            };
            let wait = trials.iter().map(wait_of).max().filter(|(wait, _)| *wait > Millis(0));
            refused = refused.max(wait);
        }
        match refused {
            Some((left, suspect)) => RequestAdmission::Refused { suspect, left },
            None if trials.is_empty() => RequestAdmission::Allowed,
            None => RequestAdmission::Trial(trials),
        }
    }

    /// Returns whether a server has ended under a request.
    pub fn is_suspect(&self, request: Fingerprint) -> bool {
        self.suspects.contains_key(&request)
    }

    /// Returns the number of the last trial of a request, or 0 if there was none.
    pub fn last_trial(&self, request: Fingerprint) -> u8 {
        self.suspects.get(&request).map_or(0, Suspect::last_trial)
    }

    /// Records that this gateway is claiming a trial from the store, so that no other request of this gateway claims
    /// the same one.
    pub fn record_claim(&mut self, request: Fingerprint, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.last_trial_at = Some(now);
        }
    }

    /// Starts a trial of these suspects without a claim, because the store is unavailable. Returns whether it is allowed.
    ///
    /// Failure: the store is unavailable while servers end for unrelated reasons. A request that ran on two of them
    /// would be refused until the store is back. Each gateway may start one such trial, and its mark is written later.
    pub fn start_local_trial(&mut self, trials: &[SuspectTrial], now: Millis) -> bool {
        let mark = Mark::Trial(1);
        let is_unused = |trial: &SuspectTrial| {
            let suspect = self.suspects.get(&trial.suspect);
            trial.number == 1 && suspect.is_some_and(|s| !s.marks().contains(&mark))
        };
        if !trials.iter().all(is_unused) {
            return false;
        }
        for SuspectTrial { suspect: key, .. } in trials {
            let until = now.after(self.policy.retention_of(*key));
            if let Some(suspect) = self.suspects.get_mut(key) {
                suspect.add(&mark, now, until);
                self.pending.add(*key, mark.clone(), now, now);
            }
        }
        true
    }

    /// Returns a trial that was not sent to any server, so that another request may use it.
    pub fn return_trial(&mut self, request: Fingerprint, trial: u8, now: Millis) {
        if let Some(suspect) = self.suspects.get_mut(&request) {
            suspect.remove(&Mark::Trial(trial));
            suspect.last_trial_at = None;
            self.pending.withdraw(request, vec![Mark::Trial(trial)], now, now);
        }
    }

    /// Applies changes read from the store or received from another gateway. Returns the requests that are newly
    /// quarantined.
    pub fn apply_changes(&mut self, changes: &[MarkChange], now: Millis) -> Vec<Fingerprint> {
        changes.iter().for_each(|change| self.apply_change(change, now));
        self.update_verdict();
        self.take_newly_quarantined()
    }

    fn apply_change(&mut self, change: &MarkChange, now: Millis) {
        let MarkChange { request, mark, age } = change;
        let Some(age) = age else {
            self.forget(*request, mark);
            return;
        };
        if !self.pending.confirm_present(*request, mark) {
            return;
        }
        let left = self.policy.retention_of(*request).since(*age);
        let ended_at = now.since(*age);
        if left == Millis(0)
            || self.answered_like(*request).excuse_reported_end(*request, ended_at, now)
        {
            self.pending.withdraw(*request, vec![mark.clone()], now, now);
            self.is_urgent = true;
            return;
        }
        let min_ends = self.policy.min_ends_of(*request);
        let suspect = self.suspect_entry(*request, now);
        suspect.add(mark, ended_at, now.after(left));
        self.is_verdict_stale |= suspect.ends() >= min_ends;
    }

    fn answered_like(&mut self, key: Fingerprint) -> &mut AnsweredRequests {
        if key.is_prompt_part() { &mut self.answered_parts } else { &mut self.answered }
    }

    fn update_verdict(&mut self) {
        if !std::mem::take(&mut self.is_verdict_stale) {
            return;
        }
        let found = verdict::quarantined(&self.suspects, &self.policy);
        self.newly_quarantined.extend(found.difference(&self.quarantined));
        self.quarantined = found;
    }

    /// Applies a snapshot of the store; marks that are not in it were withdrawn. Returns the requests that are newly
    /// quarantined.
    pub fn apply_snapshot(&mut self, marks: &[MarkChange], now: Millis) -> Vec<Fingerprint> {
        let gone = self.missing_from(marks);
        gone.iter().for_each(|(request, mark)| self.forget(*request, mark));
        self.apply_changes(marks, now)
    }

    /// Applies a snapshot of a store that was restored from an older copy, and writes the marks again that the copy
    /// lacks. Each gateway waits a random time, based on `draw` and the size of the fleet; when the first one has
    /// written the marks, the others drop theirs.
    ///
    /// If missing marks were taken as withdrawn, requests under which servers have ended would be released.
    pub fn apply_restored_snapshot(
        &mut self,
        marks: &[MarkChange],
        fleet: usize,
        now: Millis,
        draw: u64,
    ) -> Vec<Fingerprint> {
        let due = now.after(random_wait(RESTORE_SPREAD, fleet, draw));
        for (request, mark) in self.missing_from(marks) {
            let until = self.suspects.get(&request).map_or(now, |suspect| suspect.expires_at);
            let age = self.policy.retention_of(request).since(until.since(now));
            self.pending.add(request, mark, due, now.since(age));
        }
        self.apply_changes(marks, now)
    }

    /// Returns the marks on record that are in the store, for another gateway. Each has the age of its request's newest,
    /// by which the receiver removes the entry at the same time.
    pub fn stored_marks(&self, now: Millis) -> Vec<MarkChange> {
        let marks_of = |(request, suspect): (&Fingerprint, &Suspect)| {
            let age = self.policy.retention_of(*request).since(suspect.expires_at.since(now));
            let change = |mark| MarkChange { request: *request, mark, age: Some(age) };
            suspect.marks().into_iter().map(change).collect::<Vec<_>>()
        };
        let is_stored = |change: &MarkChange| !self.pending.contains(change.request, &change.mark);
        self.suspects.iter().flat_map(marks_of).filter(is_stored).collect()
    }

    /// Returns the marks on record that are not among `marks` and have no pending change.
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

    /// Returns the pending changes that are due, at most `max` of them.
    pub fn due_changes(&self, now: Millis, max: usize) -> Vec<MarkChange> {
        self.pending.due(now, max)
    }

    /// Returns whether a pending change should reach the other gateways immediately.
    pub fn is_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Returns and clears the flag of [`Self::is_urgent`], before the pending changes are written.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.is_urgent)
    }

    /// Returns the time at which the next pending change is due.
    pub fn next_due_at(&self) -> Option<Millis> {
        self.pending.next_due_at()
    }

    /// Removes changes that were written to the store from the pending ones.
    pub fn confirm_written(&mut self, changes: &[MarkChange]) {
        self.pending.confirm_written(changes);
    }

    /// Returns the number of suspect requests, and how many of them are quarantined.
    pub fn counts(&self, now: Millis) -> (usize, usize) {
        let is_quarantined =
            |request: &&Fingerprint| self.admission(**request, now) != Admission::Allowed;
        (self.suspects.len(), self.suspects.keys().filter(is_quarantined).count())
    }

    fn forget(&mut self, request: Fingerprint, mark: &Mark) {
        self.pending.confirm_withdrawn(request, mark);
        if let Some(suspect) = self.suspects.get_mut(&request) {
            self.is_verdict_stale |= suspect.ends() >= self.policy.min_ends_of(request);
            suspect.remove(mark);
            if suspect.marks().is_empty() {
                self.suspects.remove(&request);
            }
        }
    }

    /// Returns the entry of a request, and evicts another one if the table is full.
    fn suspect_entry(&mut self, request: Fingerprint, now: Millis) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            self.make_room(now);
        }
        self.suspects.entry(request).or_default()
    }

    /// Removes expired entries. If the table is still full, evicts the entry that matters least: one that is not
    /// quarantined before one that is, then the one with the fewest ends, then the oldest one. Parts that are used once
    /// therefore do not evict one under which several servers have ended.
    fn make_room(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| now < suspect.expires_at);
        if self.suspects.len() < self.policy.max_suspects {
            return;
        }
        let rank = |(request, suspect): &(&Fingerprint, &Suspect)| {
            (self.quarantined.contains(request), suspect.ends(), suspect.expires_at)
        };
        let least = self.suspects.iter().min_by_key(rank);
        let Some(request) = least.map(|(request, _)| *request) else { return };
        if let Some(suspect) = self.suspects.remove(&request) {
            self.is_verdict_stale = true;
            self.pending.withdraw(request, suspect.marks(), now, now);
        }
    }
}
