//! Claims, which run a non-repeatable service call with an idempotency key at most once.
//!
//! Before such a call runs, its entry appends a claim to the log. The first valid claim of a key
//! holds it; a later call with the same key gets the outcome of that run.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use redwingfold_core::{
    Claim, ClaimFold, ClaimId, ClaimStatus, ErrorKind, KeyHash, Millis, Offset, RequestId, RunState,
};

use super::connections::side_connection;
use super::context::Entry;
use super::response::RequestError;
use super::sides::SideLink;
use crate::peer::call;
use crate::platform::{LogError, stream};
use crate::wire::{Call, Closed, Outcome, Reply, new_claim_id};

/// Number of log partitions for claims. After an append only the claim's own partition is read; in
/// a single stream each entry would have to read the claims of all others.
const PARTITION_COUNT: u128 = 65_536;

/// Partitions whose fold is cached.
const MAX_CACHED_FOLDS: usize = 512;

const PAGE_RECORDS: usize = 1000;
const CALL_TIMEOUT: Millis = Millis(2_000);

/// Claims that are appended for one call before it fails, if each earlier claim of its key turns
/// out to be closed.
const MAX_CLAIM_ATTEMPTS: usize = 3;

/// Cached folds of the partitions that were read, by partition.
#[derive(Debug, Default)]
pub(crate) struct ClaimFolds(Mutex<HashMap<String, Arc<smol::lock::Mutex<ClaimFold>>>>);

impl ClaimFolds {
    fn fold(&self, partition: &str) -> Arc<smol::lock::Mutex<ClaimFold>> {
        let mut folds = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if folds.len() >= MAX_CACHED_FOLDS && !folds.contains_key(partition) {
            folds.clear();
        }
        folds.entry(partition.to_owned()).or_default().clone()
    }
}

fn partition_of(key: KeyHash) -> String {
    format!("{}{}", stream::CLAIMS_PREFIX, key.0 % PARTITION_COUNT)
}

/// The result of claiming a call.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// The call must run, with this claim and on the side that it names.
    Run(Claim),
    /// The call has already run, with this response.
    AlreadyRan { status: u16, content_type: Option<String>, body: Vec<u8> },
}

/// Claims a call for execution on one side.
///
/// If another claim holds the key, its outcome is resolved first: a response is returned, and a
/// claim that was closed without a run is replaced.
pub(crate) async fn claim_call(
    entry: &Arc<Entry>,
    link: &SideLink,
    key: KeyHash,
    request: RequestId,
) -> Result<ClaimResult, RequestError> {
    let mut replaces = None;
    for _ in 0..MAX_CLAIM_ATTEMPTS {
        let claim = Claim {
            id: new_claim_id(),
            key,
            request,
            host: link.host.clone(),
            incarnation: link.incarnation,
            replaces,
        };
        match append_and_read(entry, &claim).await? {
            ClaimStatus::HoldsKey => return Ok(ClaimResult::Run(claim)),
            ClaimStatus::Absent => return Err(log_unavailable("the claim is not in the log")),
            ClaimStatus::HeldByOther(holder) => match resolve_holder(entry, &holder).await? {
                HolderOutcome::Ran(ran) => return Ok(ran),
                HolderOutcome::Closed(id) => replaces = Some(id),
            },
        }
    }
    Err(RequestError {
        run_state: RunState::NotRun,
        ..RequestError::new(ErrorKind::StillRunning, "claimed by others")
    })
}

fn log_unavailable(detail: impl Into<String>) -> RequestError {
    RequestError::new(ErrorKind::LogAway, detail)
}

/// Appends a claim and reads its partition up to it.
///
/// If the outcome of the append is unknown, the claim is looked up by its id. A claim that is not
/// found may still be appended later. The call is then refused as not run, which stays true: this
/// entry never runs it, and the entry that handles a repeat of the call has the side that the claim
/// names close it.
async fn append_and_read(entry: &Entry, claim: &Claim) -> Result<ClaimStatus, RequestError> {
    let partition = partition_of(claim.key);
    let json = serde_json::to_vec(claim).unwrap_or_default();
    let up_to = match entry.daemon.log.append(&partition, json).await {
        Ok(offset) => Some(offset),
        Err(LogError::Unknown(why)) => {
            let pairs: [(&str, &dyn std::fmt::Display); 2] =
                [("request", &claim.request), ("why", &why)];
            entry.daemon.telemetry.info("claim_answer_lost", &pairs);
            None
        }
        Err(e) => return Err(log_unavailable(e.to_string())),
    };
    let fold = entry.claims.fold(&partition);
    let mut fold = fold.lock().await;
    read_up_to(entry, &partition, &mut fold, up_to).await?;
    Ok(fold.status(claim))
}

/// Reads a partition into its fold, up to an offset or up to the current end.
async fn read_up_to(
    entry: &Entry,
    partition: &str,
    fold: &mut ClaimFold,
    up_to: Option<Offset>,
) -> Result<(), RequestError> {
    loop {
        let from = Offset(fold.offset().0 + 1);
        if up_to.is_some_and(|up_to| from > up_to) {
            return Ok(());
        }
        let page = entry.daemon.log.read(partition, from, PAGE_RECORDS, Millis(0)).await;
        let page = page.map_err(|e| log_unavailable(e.to_string()))?;
        for (offset, raw) in &page.records {
            fold.apply(*offset, raw);
        }
        if page.records.is_empty() || fold.offset().0 + 1 >= page.next.0 {
            return Ok(());
        }
    }
}

enum HolderOutcome {
    Ran(ClaimResult),
    /// The holder's claim was closed and never runs.
    Closed(ClaimId),
}

/// Requests the outcome of the holder's claim from the side that the claim names. The claim is
/// closed if the side has not received it.
async fn resolve_holder(entry: &Entry, holder: &Claim) -> Result<HolderOutcome, RequestError> {
    let unknown = |detail: &str| RequestError::new(ErrorKind::OutcomeUnknown, detail);
    let connection = side_connection(entry, &holder.host).await;
    let connection =
        connection.ok_or_else(|| unknown("the side that may have run it is out of reach"))?;
    let reply = call(&connection.conn, &Call::Outcome(holder.clone()), CALL_TIMEOUT).await;
    let outcome = match reply {
        Ok(Reply::Outcome(outcome)) => outcome,
        _ => return Err(unknown("the side that may have run it does not answer")),
    };
    entry.daemon.telemetry.info(
        "claim_settled",
        &[("claim", &holder.id), ("host", &holder.host), ("outcome", &outcome.name())],
    );
    match outcome {
        Outcome::Done { status, content_type, body: Some(body) } => {
            Ok(HolderOutcome::Ran(ClaimResult::AlreadyRan { status, content_type, body }))
        }
        Outcome::Done { .. } => Err(RequestError {
            run_state: RunState::Ran,
            ..unknown("it ran, and its answer is no longer kept")
        }),
        Outcome::Running => Err(RequestError::new(ErrorKind::StillRunning, "")),
        Outcome::Unknown => Err(unknown("")),
        Outcome::NotSeen => {
            match call(&connection.conn, &Call::Close(holder.clone()), CALL_TIMEOUT).await {
                Ok(Reply::Closed(Closed::Never)) => Ok(HolderOutcome::Closed(holder.id)),
                Ok(Reply::Closed(Closed::TooLate)) => {
                    Err(RequestError::new(ErrorKind::StillRunning, ""))
                }
                _ => Err(unknown("")),
            }
        }
    }
}
