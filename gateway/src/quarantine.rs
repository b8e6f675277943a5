//! Keeping requests from servers that ended under them, together with the other gateways.

use std::net::SocketAddr;

use async_channel::{Receiver, Sender, bounded};
use redwingfold_core::{
    Admission, BackendId, EndedRun, ErrorKind, Fingerprint, MarkChange, Millis, Quarantine,
};

use crate::answer::Failed;
use crate::choice::Choice;
use crate::clock::within;
use crate::feeds::Feed;
use crate::gateway::{Gateway, StoreCopy};
use crate::request::Flight;

/// Longest wait for the store to grant a trial: covers a call under way that is not answered, the pause after it and the
/// call for the trial. With less, each claim is given up just before its turn for as long as the store is away.
const CLAIM_LIMIT: Millis = Millis(4_000);

/// Trials that wait to be granted at a time; with more, requests are refused at once.
const MAX_CLAIMS: usize = 64;

/// Time after which a caller should come back whose request may not be tried now, for a reason that ends soon.
const SOON: Millis = Millis(2_000);

/// A trial that a request asks for. Of all gateways, the one that writes its mark first gets it.
#[derive(Debug)]
pub struct TrialClaim {
    /// The request.
    pub request: Fingerprint,
    /// Number of the trial.
    pub trial: u8,
    granted: Sender<bool>,
}

impl TrialClaim {
    /// Tells the request whether it may be sent; `false` if it does not wait any longer.
    pub fn resolve(self, is_granted: bool) -> bool {
        self.granted.try_send(is_granted).is_ok()
    }
}

/// A trial that was granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    number: u8,
    sends: u32,
    /// Whether no more may be sent.
    is_over: bool,
}

impl Trial {
    /// Counts a send.
    pub(crate) fn sent(&mut self) {
        self.sends += 1;
        self.is_over = true;
    }

    /// Takes that the server says that it did not run the request. The first trial may then be sent once more: a server
    /// that is full or has just started anew says nothing of the request.
    pub(crate) fn was_not_run(&mut self) {
        self.is_over = self.number > 1 || self.sends > 1;
    }
}

impl Gateway {
    /// Works with what is known of requests under which servers ended.
    pub fn with_quarantine<T>(&self, f: impl FnOnce(&mut Quarantine) -> T) -> T {
        f(&mut self.quarantine.borrow_mut())
    }

    /// Takes the next trial that a request asks for.
    pub fn next_claim(&self) -> Option<TrialClaim> {
        self.claims.borrow_mut().pop_front()
    }

    /// Says whether the marks of requests should be read, or some written.
    pub fn is_mark_sync_due(&self) -> bool {
        let now = self.now();
        let is_write_due = self.with_quarantine(|q| q.due_at()).is_some_and(|at| at <= now);
        let is_read_due = self.with_feeds(|feeds| feeds.is_due(Feed::Marks, now));
        is_write_due || is_read_due || !self.claims.borrow().is_empty()
    }

    /// Waits until a request asks for a trial, or marks are to be written, at most for a time.
    pub async fn wait_for_mark_work(&self, limit: Millis) {
        let moved = self.marks_changed.listen();
        if self.claims.borrow().is_empty() {
            within(limit, moved).await;
        }
    }

    /// Waits until it is time for calls again: a period of reads, or until a request asks for a trial or is to be kept from
    /// servers. What happens together is written together, and a gateway that misses many messages reads once.
    pub async fn wait_for_next_mark_sync(&self) {
        let until = self.now().after(self.settings.feeds.marks);
        while self.claims.borrow().is_empty()
            && !self.with_quarantine(|q| q.is_urgent())
            && self.now() < until
        {
            self.wait_for_mark_work(until.since(self.now())).await;
        }
    }

    /// Takes an own read of marks that began at `began` and ended at position `next`; `all_of` is the copy of the store
    /// if it brought all of them.
    pub fn apply_read_marks(
        &self,
        began: Millis,
        next: u64,
        all_of: Option<StoreCopy>,
        marks: Vec<MarkChange>,
    ) {
        let now = self.now();
        let fleet = self.with_feeds(|feeds| feeds.fleet_size());
        let kept = self.with_quarantine(|q| match all_of {
            None => q.hear(&marks, now),
            Some(StoreCopy::Current) => q.hear_all(&marks, now),
            Some(StoreCopy::Older) => q.hear_older_copy(&marks, fleet, now, fastrand::u64(..)),
        });
        self.log_kept(&kept, None);
        let told = if all_of.is_some() { Vec::new() } else { marks };
        self.with_feeds(|feeds| feeds.record_marks_read(began, next, told));
        self.state_changed.notify(usize::MAX);
        self.gossip_due.notify(usize::MAX);
    }

    /// Takes marks of which another gateway told.
    pub(crate) fn apply_peer_marks(&self, from: SocketAddr, marks: &[MarkChange]) {
        let kept = self.with_quarantine(|q| q.hear(marks, self.now()));
        self.log_kept(&kept, Some(from));
        if self.with_quarantine(|q| q.is_urgent()) {
            self.marks_changed.notify(usize::MAX);
        }
    }

    /// Takes that a server has ended while it ran requests.
    pub(crate) fn ended_under(&self, server: &BackendId, runs: &[EndedRun]) {
        for run in runs {
            let ends = self.with_quarantine(|q| q.ended(server, *run, self.now()));
            let counted = ends.map_or_else(|| "no".to_owned(), |ends| ends.to_string());
            self.telemetry.count("servers.ended_under", 1);
            self.telemetry.info(
                "server_ended",
                &[("server", server), ("content", &run.request), ("ends", &counted)],
            );
            if ends == Some(self.settings.quarantine.ends) {
                self.log_kept(&[run.request], None);
            }
        }
        self.marks_changed.notify(usize::MAX);
    }

    /// Takes that a server has answered a request to its end.
    pub(crate) fn completed(&self, request: Fingerprint) {
        if self.with_quarantine(|q| q.completed(request, self.now())) {
            self.telemetry.count("quarantine.lifted", 1);
            self.telemetry.info("request_cleared", &[("content", &request)]);
            self.marks_changed.notify(usize::MAX);
        }
    }

    fn log_kept(&self, requests: &[Fingerprint], told_by: Option<SocketAddr>) {
        let told_by = told_by.map_or_else(|| "self".to_owned(), |peer| peer.to_string());
        for request in requests {
            self.telemetry.count("quarantine.begun", 1);
            self.telemetry
                .info("request_quarantined", &[("content", request), ("told_by", &told_by)]);
        }
    }

    /// Asks the store for a trial, which it grants to one gateway of all.
    async fn claim_trial(&self, request: Fingerprint, trial: u8, patience: Millis) -> bool {
        if self.claims.borrow().len() >= MAX_CLAIMS {
            return false;
        }
        let (granted, answer): (_, Receiver<bool>) = bounded(1);
        self.with_quarantine(|q| q.claims(request, self.now()));
        self.claims.borrow_mut().push_back(TrialClaim { request, trial, granted });
        self.marks_changed.notify(usize::MAX);
        let is_granted =
            matches!(within(CLAIM_LIMIT.min(patience), answer.recv()).await, Some(Ok(true)));
        self.telemetry.info(
            "trial_claimed",
            &[("content", &request), ("trial", &trial), ("granted", &is_granted)],
        );
        is_granted
    }
}

impl Flight {
    /// Looks at whether the request may be sent to a server now: refuses it if servers have ended under it, or makes it
    /// the trial of one. More may be known than at its last send.
    pub(crate) async fn pass_quarantine(&mut self) -> Result<(), Failed> {
        match (self.trial, self.admission()) {
            (Some(trial), _) if trial.is_over => Err(self.quarantined(SOON)),
            (Some(_), _) | (None, Admission::Free) => Ok(()),
            (None, Admission::Refused(left)) => Err(self.quarantined(left)),
            (None, Admission::Trial(number)) => {
                // One that finds no server would be used up for nothing.
                if let Choice::RetryAfter(left) = self.pick()? {
                    return Err(self.quarantined(left));
                }
                if !self.gw.claim_trial(self.fingerprint, number, self.left()).await {
                    return Err(self.quarantined(SOON));
                }
                self.trial = Some(Trial { number, sends: 0, is_over: false });
                Ok(())
            }
        }
    }

    /// Says whether the request may go to a server once more, as far as its quarantine is concerned.
    pub(crate) fn may_go_on(&self) -> bool {
        match self.trial {
            Some(trial) => !trial.is_over,
            None => !matches!(self.admission(), Admission::Refused(_)),
        }
    }

    /// Says whether the request is kept from servers, or is a trial.
    pub(crate) fn is_quarantined(&self) -> bool {
        self.trial.is_some() || self.admission() != Admission::Free
    }

    fn admission(&self) -> Admission {
        self.gw.with_quarantine(|q| q.admission(self.fingerprint, self.gw.now()))
    }

    fn quarantined(&self, left: Millis) -> Failed {
        let why = format!("servers have ended under {}", self.fingerprint);
        let failed = Failed::new(ErrorKind::Quarantined, why);
        Failed { run: self.run, retry_after: Some(left), ..failed }
    }

    /// Gives back a trial of which nothing was sent, and lets others know of a request that had no answer.
    pub(crate) fn leave_quarantine(&self) {
        let now = self.gw.now();
        self.gw.with_quarantine(|q| match self.trial {
            Some(trial) if trial.sends == 0 => q.unused(self.fingerprint, trial.number, now),
            _ => q.gave_up(self.fingerprint, now),
        });
        if self.gw.with_quarantine(|q| q.due_at()).is_some_and(|at| at <= now) {
            self.gw.marks_changed.notify(usize::MAX);
        }
    }
}
