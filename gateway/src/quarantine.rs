//! Quarantine of requests and prompt parts that are suspected of terminating servers, shared by all gateways.
//!
//! A quarantined request may be sent only as a numbered trial. Marks in the store, which gateways also send to each other,
//! record the servers that terminated under a request and its trials.

use std::net::SocketAddr;

use async_channel::{Receiver, Sender, bounded};
use redwingfold_core::{
    BackendId, EndedRun, ErrorKind, Fingerprint, MarkChange, Millis, Quarantine, RequestAdmission,
    SuspectTrial,
};

use crate::clock::within;
use crate::exchange::FetchedMarks;
use crate::feeds::Feed;
use crate::gateway::{Gateway, StoreCopy};
use crate::request::InFlightRequest;
use crate::response::RequestError;
use crate::server_choice::ServerChoice;

/// Timeout of a trial claim. It covers a store call in progress that is never answered, the pause after it, and the call
/// that makes the claim. With a shorter one, each claim would time out just before its turn while the store is unavailable.
const CLAIM_TIMEOUT: Millis = Millis(4_000);

/// Maximum number of pending claims; beyond it, requests are rejected immediately.
const MAX_PENDING_CLAIMS: usize = 64;

/// `Retry-After` of a request that may not be sent now for a reason that will end soon.
const SHORT_RETRY_AFTER: Millis = Millis(2_000);

/// A request's claim to a trial of each suspect that it has. It is granted to the first gateway that writes the marks of
/// the trials to the store.
#[derive(Debug)]
pub struct TrialClaim {
    /// The trials, at least one.
    pub trials: Vec<SuspectTrial>,
    result_tx: Sender<bool>,
}

impl TrialClaim {
    /// Sends the result to the waiting request. Returns `false` if the request no longer waits for it.
    pub fn resolve(self, is_granted: bool) -> bool {
        self.result_tx.try_send(is_granted).is_ok()
    }
}

/// A granted trial.
#[derive(Clone, Debug)]
pub(crate) struct Trial {
    granted: Vec<SuspectTrial>,
    sends: u32,
    /// Whether the trial allows no further send.
    is_exhausted: bool,
}

impl Trial {
    /// Counts a send of the request, which uses up the trial.
    pub(crate) fn record_send(&mut self) {
        self.sends += 1;
        self.is_exhausted = true;
    }

    /// Records that the server reported that it did not run the request. The first trial may then be sent once more,
    /// because a refusal by a full or restarted server says nothing about the request.
    pub(crate) fn record_not_run(&mut self) {
        let is_first = self.granted.iter().all(|trial| trial.number == 1);
        self.is_exhausted = !is_first || self.sends > 1;
    }
}

impl Gateway {
    /// Calls `f` with the quarantine state.
    pub fn with_quarantine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.quarantine.borrow_mut())
    }

    /// Removes and returns the oldest pending claim.
    pub fn next_claim(&self) -> Option<TrialClaim> {
        self.trial_claims.borrow_mut().pop_front()
    }

    /// Returns whether marks are due to be read or written, or claims are pending.
    pub fn is_mark_sync_due(&self) -> bool {
        let now = self.now();
        let is_write_due = self.with_quarantine(|q| q.next_due_at()).is_some_and(|at| at <= now);
        let is_read_due = self.with_feeds(|feeds| feeds.is_due(Feed::Marks, now));
        is_write_due || is_read_due || !self.trial_claims.borrow().is_empty()
    }

    /// Waits until a claim is pending or marks are to be written, at most for `limit`.
    pub async fn wait_for_mark_work(&self, limit: Millis) {
        let changed = self.marks_changed.listen();
        if self.trial_claims.borrow().is_empty() {
            within(limit, changed).await;
        }
    }

    /// Waits for one read period, or until a claim is pending or a mark is urgent. The wait batches marks that are created
    /// at about the same time into one write, and lets a gateway that missed many messages catch up with one read.
    pub async fn wait_for_next_mark_sync(&self) {
        let until = self.now().after(self.settings.feeds.marks);
        while self.trial_claims.borrow().is_empty()
            && !self.with_quarantine(|q| q.is_urgent())
            && self.now() < until
        {
            self.wait_for_mark_work(until.since(self.now())).await;
        }
    }

    /// Applies marks that this gateway read from the store. The read started at `began` and ended at offset `next`;
    /// `snapshot_source` is the copy of the store that it came from if it returned all marks, or `None` if it returned
    /// only new ones.
    pub fn apply_read_marks(
        &self,
        began: Millis,
        next: u64,
        snapshot_source: Option<StoreCopy>,
        marks: Vec<MarkChange>,
    ) {
        let now = self.now();
        let fleet = self.with_feeds(|feeds| feeds.fleet_size());
        let quarantined = self.with_quarantine(|q| match snapshot_source {
            None => q.apply_changes(&marks, now),
            Some(StoreCopy::Current) => q.apply_snapshot(&marks, now),
            Some(StoreCopy::Older) => {
                q.apply_restored_snapshot(&marks, fleet, now, fastrand::u64(..))
            }
        });
        self.log_quarantined(&quarantined, None);
        let forwarded = if snapshot_source.is_some() { Vec::new() } else { marks };
        self.with_feeds(|feeds| feeds.record_marks_read(began, next, forwarded));
        self.state_changed.notify(usize::MAX);
        self.gossip_due.notify(usize::MAX);
    }

    /// Applies all marks of another gateway, which had them from this copy of the store.
    pub fn apply_fetched_marks(&self, fetched: &FetchedMarks, copy: StoreCopy) {
        let now = self.now();
        let fleet = self.with_feeds(|feeds| feeds.fleet_size());
        let quarantined = self.with_quarantine(|q| match copy {
            StoreCopy::Current => q.apply_snapshot(&fetched.marks, now),
            StoreCopy::Older => {
                q.apply_restored_snapshot(&fetched.marks, fleet, now, fastrand::u64(..))
            }
        });
        self.log_quarantined(&quarantined, None);
        self.with_feeds(|feeds| feeds.record_fetched_marks(fetched.as_of, fetched.next));
        self.state_changed.notify(usize::MAX);
        self.gossip_due.notify(usize::MAX);
    }

    /// Applies marks that were received from a peer.
    pub(crate) fn apply_peer_marks(&self, peer: SocketAddr, marks: &[MarkChange]) {
        let quarantined = self.with_quarantine(|q| q.apply_changes(marks, self.now()));
        self.log_quarantined(&quarantined, Some(peer));
        if self.with_quarantine(|q| q.is_urgent()) {
            self.marks_changed.notify(usize::MAX);
        }
    }

    /// Records that a server terminated while it ran these requests.
    pub(crate) fn record_ended_runs(&self, server: &BackendId, runs: &[EndedRun]) {
        for run in runs {
            let ends = self.with_quarantine(|q| q.record_end(server, *run, self.now()));
            let counted = ends.map_or_else(|| "no".to_owned(), |ends| ends.to_string());
            self.telemetry.count("servers.ended_under", 1);
            self.telemetry.info(
                "server_ended",
                &[("server", server), ("content", &run.request), ("ends", &counted)],
            );
        }
        let quarantined = self.with_quarantine(Quarantine::take_newly_quarantined);
        self.log_quarantined(&quarantined, None);
        self.marks_changed.notify(usize::MAX);
    }

    /// Records that a server completed a request, which lifts the quarantine of its content and of its prompt's parts.
    pub(crate) fn record_completion(&self, keys: &[Fingerprint]) {
        for key in keys {
            if self.with_quarantine(|q| q.record_answer(*key, self.now())) {
                self.telemetry.count("quarantine.lifted", 1);
                self.telemetry.info("request_cleared", &[("content", key)]);
                self.marks_changed.notify(usize::MAX);
            }
        }
    }

    fn log_quarantined(&self, requests: &[Fingerprint], source: Option<SocketAddr>) {
        let source = source.map_or_else(|| "self".to_owned(), |addr| addr.to_string());
        for request in requests {
            self.telemetry.count("quarantine.begun", 1);
            self.telemetry
                .info("request_quarantined", &[("content", request), ("told_by", &source)]);
        }
    }

    /// Queues a claim to a trial and waits for its result; the store grants each trial to one gateway.
    async fn claim_trial(&self, trials: &[SuspectTrial], time_left: Millis) -> bool {
        if self.trial_claims.borrow().len() >= MAX_PENDING_CLAIMS {
            return false;
        }
        let (result_tx, result_rx): (_, Receiver<bool>) = bounded(1);
        self.with_quarantine(|q| {
            trials.iter().for_each(|trial| q.record_claim(trial.suspect, self.now()));
        });
        let claim = TrialClaim { trials: trials.to_vec(), result_tx };
        self.trial_claims.borrow_mut().push_back(claim);
        self.marks_changed.notify(usize::MAX);
        let is_granted =
            matches!(within(CLAIM_TIMEOUT.min(time_left), result_rx.recv()).await, Some(Ok(true)));
        for SuspectTrial { suspect, number } in trials {
            self.telemetry.info(
                "trial_claimed",
                &[("content", suspect), ("trial", number), ("granted", &is_granted)],
            );
        }
        is_granted
    }
}

impl InFlightRequest {
    /// Checks whether the request may be sent now. A quarantined request is rejected, or claims a trial. Called before each
    /// send, as the request may have been quarantined since the last one.
    pub(crate) async fn check_quarantine(&mut self) -> Result<(), RequestError> {
        match (&self.trial, self.admission()) {
            (Some(trial), _) if trial.is_exhausted => {
                Err(self.quarantined_error(trial.granted[0].suspect, SHORT_RETRY_AFTER))
            }
            (_, RequestAdmission::Allowed) => Ok(()),
            (_, RequestAdmission::Refused { suspect, left }) => {
                Err(self.quarantined_error(suspect, left))
            }
            (Some(_), RequestAdmission::Trial(trials)) => {
                Err(self.quarantined_error(trials[0].suspect, SHORT_RETRY_AFTER))
            }
            (None, RequestAdmission::Trial(trials)) => {
                let suspect = trials[0].suspect;
                // Without an available server, the trial would be used up without a send.
                if let ServerChoice::RetryAfter(left) = self.choose_server()? {
                    return Err(self.quarantined_error(suspect, left));
                }
                if self.gw.claim_trial(&trials, self.time_left()).await {
                    self.trial = Some(Trial { granted: trials, sends: 0, is_exhausted: false });
                    return Ok(());
                }
                // The trial of another gateway may have been answered meanwhile.
                match self.is_send_admitted() {
                    true => Ok(()),
                    false => Err(self.quarantined_error(suspect, SHORT_RETRY_AFTER)),
                }
            }
        }
    }

    /// Returns whether the request may be sent without a further check. It may have been quarantined while it waited for
    /// its turn at a server.
    pub(crate) fn is_send_admitted(&self) -> bool {
        self.admission() == RequestAdmission::Allowed
    }

    /// Returns whether the quarantine allows another send of the request.
    pub(crate) fn is_retry_admitted(&self) -> bool {
        match &self.trial {
            Some(trial) => !trial.is_exhausted,
            None => !matches!(self.admission(), RequestAdmission::Refused { .. }),
        }
    }

    /// Returns whether the request is quarantined or a trial.
    pub(crate) fn is_quarantined(&self) -> bool {
        !self.is_send_admitted() || self.trial.is_some()
    }

    /// Returns whether the request may be sent, except for the suspects that it is a granted trial of.
    fn admission(&self) -> RequestAdmission {
        let granted = self.trial.as_ref().map_or(&[][..], |trial| &trial.granted);
        let is_open = |key: &&Fingerprint| granted.iter().all(|trial| trial.suspect != **key);
        let keys: Vec<_> = self.suspect_keys.iter().filter(is_open).copied().collect();
        self.gw.with_quarantine(|q| q.request_admission(&keys, self.gw.now()))
    }

    fn quarantined_error(&self, suspect: Fingerprint, left: Millis) -> RequestError {
        let why = format!("servers have ended under {suspect}");
        let error = RequestError::new(ErrorKind::Quarantined, why);
        RequestError { run_state: self.run_state, retry_after: Some(left), ..error }
    }

    /// Releases the request's trial if nothing was sent. Otherwise records that the request ended, after which a mark that
    /// was delayed because the request might still complete is written.
    pub(crate) fn settle_quarantine(&self) {
        let now = self.gw.now();
        self.gw.with_quarantine(|q| match &self.trial {
            Some(trial) if trial.sends == 0 => {
                let granted = trial.granted.iter();
                granted.for_each(|trial| q.return_trial(trial.suspect, trial.number, now));
            }
            _ => self.suspect_keys.iter().for_each(|key| q.expedite_marks(*key, now)),
        });
        if self.gw.with_quarantine(|q| q.next_due_at()).is_some_and(|at| at <= now) {
            self.gw.marks_changed.notify(usize::MAX);
        }
    }
}
