//! Claims on calls that may not be repeated.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use redwingfold_core::{
    Claim, ClaimFold, ClaimId, ErrorKind, KeyHash, Millis, Offset, RequestId, RunState, Standing,
};

use super::answer::Failed;
use super::connections::reach;
use super::context::Entry;
use super::sides::SideLink;
use crate::peer::call;
use crate::platform::{LogError, stream};
use crate::wire::{Call, Closed, Outcome, Reply, new_claim_id};

/// Partitions of the claims. A claim is followed by a read of its partition only: with all claims
/// in one stream, each daemon would read those of all the others.
const PARTITIONS: u128 = 65_536;

/// Partitions whose fold is kept.
const MAX_FOLDS: usize = 512;

const PAGE: usize = 1000;
const CALL_TIMEOUT: Millis = Millis(2_000);

/// How often a call whose claim was closed is claimed anew before it is given up.
const MAX_ROUNDS: usize = 3;

/// The folds of partitions that were read.
#[derive(Debug, Default)]
pub(crate) struct Claims(Mutex<HashMap<String, Arc<smol::lock::Mutex<ClaimFold>>>>);

impl Claims {
    fn fold(&self, partition: &str) -> Arc<smol::lock::Mutex<ClaimFold>> {
        let mut folds = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if folds.len() >= MAX_FOLDS && !folds.contains_key(partition) {
            folds.clear();
        }
        folds.entry(partition.to_owned()).or_default().clone()
    }
}

fn partition_of(key: KeyHash) -> String {
    format!("{}{}", stream::CLAIMS, key.0 % PARTITIONS)
}

/// What to do with a call.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// Run it, under this claim and at the side that it names.
    Run(Claim),
    /// It ran before, with this outcome.
    Ran { status: u16, content_type: Option<String>, body: Vec<u8> },
}

/// Claims a call for a run at one side.
pub(crate) async fn claim(
    entry: &Arc<Entry>,
    link: &SideLink,
    key: KeyHash,
    request: RequestId,
) -> Result<Claimed, Failed> {
    let mut replaces = None;
    for _ in 0..MAX_ROUNDS {
        let claim = Claim {
            id: new_claim_id(),
            key,
            request,
            host: link.host.clone(),
            incarnation: link.incarnation,
            replaces,
        };
        match append_and_read(entry, &claim).await? {
            Standing::Holds => return Ok(Claimed::Run(claim)),
            Standing::Absent => return Err(log_away("the claim is not in the log")),
            Standing::Behind(holder) => match settle(entry, &holder).await? {
                Settled::Ran(ran) => return Ok(ran),
                Settled::Closed(id) => replaces = Some(id),
            },
        }
    }
    Err(Failed {
        run: RunState::NotRun,
        ..Failed::new(ErrorKind::StillRunning, "claimed by others")
    })
}

fn log_away(why: impl Into<String>) -> Failed {
    Failed::new(ErrorKind::LogAway, why)
}

/// Appends a claim and reads its partition up to it.
///
/// An append without a clear answer is looked for by its id. If it is not there it may still come;
/// the call is refused as not run, and stays so: this entry never runs it, and the side that the
/// claim names closes it when a repeat of the call asks.
async fn append_and_read(entry: &Entry, claim: &Claim) -> Result<Standing, Failed> {
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
        Err(e) => return Err(log_away(e.to_string())),
    };
    let fold = entry.claims.fold(&partition);
    let mut fold = fold.lock().await;
    read_up_to(entry, &partition, &mut fold, up_to).await?;
    Ok(fold.standing(claim))
}

/// Folds a partition up to an offset, or up to its end as of now.
async fn read_up_to(
    entry: &Entry,
    partition: &str,
    fold: &mut ClaimFold,
    up_to: Option<Offset>,
) -> Result<(), Failed> {
    loop {
        let from = Offset(fold.offset().0 + 1);
        if up_to.is_some_and(|up_to| from > up_to) {
            return Ok(());
        }
        let page = entry.daemon.log.read(partition, from, PAGE, Millis(0)).await;
        let page = page.map_err(|e| log_away(e.to_string()))?;
        for (offset, raw) in &page.records {
            fold.apply(*offset, raw);
        }
        if page.records.is_empty() || fold.offset().0 + 1 >= page.next.0 {
            return Ok(());
        }
    }
}

enum Settled {
    Ran(Claimed),
    /// The holder's claim will never run.
    Closed(ClaimId),
}

/// Asks the side that the holder's claim names what became of it, and closes it if it never came.
async fn settle(entry: &Entry, holder: &Claim) -> Result<Settled, Failed> {
    let unknown = |why: &str| Failed::new(ErrorKind::OutcomeUnknown, why);
    let reached = reach(entry, &holder.host).await;
    let reached =
        reached.ok_or_else(|| unknown("the side that may have run it is out of reach"))?;
    let reply = call(&reached.conn, &Call::Outcome(holder.clone()), CALL_TIMEOUT).await;
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
            Ok(Settled::Ran(Claimed::Ran { status, content_type, body }))
        }
        Outcome::Done { .. } => Err(Failed {
            run: RunState::Ran,
            ..unknown("it ran, and its answer is no longer kept")
        }),
        Outcome::Running => Err(Failed::new(ErrorKind::StillRunning, "")),
        Outcome::Unknown => Err(unknown("")),
        Outcome::NotSeen => {
            match call(&reached.conn, &Call::Close(holder.clone()), CALL_TIMEOUT).await {
                Ok(Reply::Closed(Closed::Never)) => Ok(Settled::Closed(holder.id)),
                Ok(Reply::Closed(Closed::TooLate)) => Err(Failed::new(ErrorKind::StillRunning, "")),
                _ => Err(unknown("")),
            }
        }
    }
}
