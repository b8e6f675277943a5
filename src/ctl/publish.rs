//! The `diff`, `publish` and `withdraw` commands: append changes to the log and read their verdicts
//! back.

use std::collections::BTreeMap;
use std::path::PathBuf;

use redwingfold_core::{
    Change, Config, ConfigRecord, Millis, Object, ObjectKey, Offset, RequestId,
    StreamsOnWithdrawal, Verdict, Withdrawal,
};
use serde_json::json;
use smol::Timer;

use super::Exit;
use super::args::{Publish, Withdraw};
use super::check::find_problems;
use super::context::Ctl;
use super::objects::read_objects;
use super::table::{print_json, print_table};
use crate::clock::{to_duration, unix_time};
use crate::config_store::{Catchup, read_all};
use crate::platform::{LogError, stream};
use crate::wire::{Call, Reply};

/// Maximum number of attempts to append a record and read it back.
const MAX_ATTEMPTS: u32 = 5;

/// Number of newest records that are sent to the daemons directly. A daemon that lacks older ones
/// reads them from the log.
const MAX_PUSHED_RECORDS: usize = 32;

const RETRY_DELAY: Millis = Millis(500);

fn changed_objects(config: &Config, objects: &[Object]) -> Vec<Object> {
    let is_changed = |o: &&Object| config.objects.get(&o.key()).is_none_or(|s| s.object != **o);
    objects.iter().filter(is_changed).cloned().collect()
}

/// Shows what publishing files would change.
pub(crate) async fn diff(ctl: &Ctl, files: &[PathBuf]) -> eyre::Result<Exit> {
    let config = ctl.config().await?;
    let changed = changed_objects(&config, &read_objects(files)?);
    if ctl.json {
        let entries = changed.iter().map(|o| {
            let stored = config.objects.get(&o.key());
            json!({"key": o.key(), "revision": stored.map_or(Offset(0), |s| s.revision), "old": stored.map(|s| &s.object), "new": o})
        });
        print_json(&json!({"at": config.offset, "changes": entries.collect::<Vec<_>>()}))?;
        return Ok(Exit::Ok);
    }
    for object in &changed {
        let key = object.key();
        let new = serde_json::to_string_pretty(object)?;
        match config.objects.get(&key) {
            None => println!("+ {key}\n{}", prefix_lines("+ ", &new)),
            Some(stored) => {
                let old = serde_json::to_string_pretty(&stored.object)?;
                println!("~ {key} (revision {})", stored.revision);
                println!("{}\n{}", prefix_lines("- ", &old), prefix_lines("+ ", &new));
            }
        }
    }
    println!("{} objects would change at offset {}", changed.len(), config.offset);
    Ok(Exit::Ok)
}

fn prefix_lines(prefix: &str, text: &str) -> String {
    text.lines().map(|line| format!("  {prefix}{line}")).collect::<Vec<_>>().join("\n")
}

/// Publishes the objects in files.
pub(crate) async fn publish(ctl: &Ctl, args: &Publish) -> eyre::Result<Exit> {
    let config = ctl.config().await?;
    let put = changed_objects(&config, &read_objects(&args.files)?);
    if put.is_empty() && args.delete.is_empty() {
        println!("nothing changes at offset {}", config.offset);
        return Ok(Exit::Ok);
    }
    let next = config.with_change(&put, &args.delete);
    let found = find_problems(&next);
    let blocking = found
        .iter()
        .filter(|f| !args.allow_empty || f.kind != redwingfold_core::ErrorKind::EmptySelector);
    let blocking: Vec<_> = blocking.collect();
    if !blocking.is_empty() {
        for finding in blocking {
            eprintln!("{}: {}", finding.kind, finding.message);
        }
        return Ok(Exit::Found);
    }
    let touched = put.iter().map(Object::key).chain(args.delete.iter().cloned());
    let expects: BTreeMap<_, _> =
        touched.map(|key| (key.clone(), revision(&config, &key))).collect();
    if let Some(at) = args.at
        && let Some((key, current)) = expects.iter().find(|(_, revision)| **revision > at)
    {
        eprintln!("revision_moved: {key} is at revision {current}, newer than offset {at}");
        return Ok(Exit::Rejected);
    }
    let record = ConfigRecord::Change(Change {
        id: RequestId(fastrand::u128(..)),
        author: args.author.clone(),
        reason: args.reason.clone(),
        at: unix_time(),
        expects,
        put,
        delete: args.delete.clone(),
    });
    submit(ctl, &record).await
}

fn revision(config: &Config, key: &ObjectKey) -> Offset {
    config.objects.get(key).map_or(Offset(0), |stored| stored.revision)
}

/// Withdraws a version from service.
pub(crate) async fn withdraw(ctl: &Ctl, args: &Withdraw) -> eyre::Result<Exit> {
    let record = ConfigRecord::Withdraw(Withdrawal {
        id: RequestId(fastrand::u128(..)),
        author: args.author.clone(),
        reason: args.reason.clone(),
        at: unix_time(),
        version: args.version.clone(),
        streams: match args.cut {
            true => StreamsOnWithdrawal::Cancel,
            false => StreamsOnWithdrawal::Finish,
        },
    });
    submit(ctl, &record).await
}

/// Appends a record and prints its verdict.
///
/// The verdict is known only after the record has been read back: the response to the append can be
/// lost, and another operator may have changed the same object first. Retrying the append is safe,
/// because a second record with the same id has no effect.
async fn submit(ctl: &Ctl, record: &ConfigRecord) -> eyre::Result<Exit> {
    let json = serde_json::to_vec(record)?;
    let mut last_error = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let pause = match ctl.log.append(stream::CONFIG, json.clone()).await {
            Ok(_) => Millis(0),
            Err(e) => {
                last_error = e.to_string();
                match e {
                    LogError::Refused { retry_after, .. } => retry_after,
                    LogError::Unknown(_) => RETRY_DELAY,
                }
            }
        };
        match read_all(&ctl.store, &ctl.log).await {
            Ok(()) => {
                if let Some(entry) = ctl.store.verdict_of(record.id()) {
                    push_newest_records(ctl).await;
                    return print_verdict(ctl, record.id(), entry.offset, &entry.verdict);
                }
            }
            Err(e) => last_error = e.to_string(),
        }
        Timer::after(to_duration(pause)).await;
    }
    eprintln!(
        "unknown: {last_error}; change {} may still take effect: check with audit",
        record.id()
    );
    Ok(Exit::Unknown)
}

/// Sends the newest records to every reachable daemon.
///
/// The log service can become unavailable right after it accepted the record, before any daemon has
/// read it. A withdrawal would then be accepted but in force nowhere. Sending it to one reachable
/// daemon is enough, as daemons forward records to each other.
async fn push_newest_records(ctl: &Ctl) {
    let Catchup::Records(mut records) = ctl.store.catchup_after(Offset(0)) else { return };
    records.drain(..records.len().saturating_sub(MAX_PUSHED_RECORDS));
    let offset = ctl.store.mark().offset;
    match ctl.call_hosts(&Call::Install(records), |_| true).await {
        Ok(replies) => {
            let is_current =
                |r: &Result<Reply, String>| matches!(r, Ok(Reply::Mark(m)) if m.offset >= offset);
            let reached = replies.iter().filter(|(_, reply)| is_current(reply)).count();
            if reached < replies.len() {
                eprintln!("in force on {reached} of {} daemons so far", replies.len());
            }
        }
        Err(e) => eprintln!("the change was not sent to the daemons directly: {e}"),
    }
}

fn print_verdict(
    ctl: &Ctl,
    id: RequestId,
    offset: Offset,
    verdict: &Verdict,
) -> eyre::Result<Exit> {
    let (exit, text) = match verdict {
        Verdict::Accepted => (Exit::Ok, String::new()),
        Verdict::Duplicate { of } => (Exit::Ok, format!("first copy at {of}")),
        Verdict::Rejected { why } | Verdict::Skipped { why } => (Exit::Rejected, why.clone()),
    };
    match ctl.json {
        true => print_json(&json!({"id": id, "offset": offset, "verdict": verdict}))?,
        false => {
            let outcome = if exit == Exit::Ok { "accepted" } else { "rejected" };
            print_table(
                &["VERDICT", "OFFSET", "ID", "WHY"],
                vec![vec![outcome.to_owned(), offset.to_string(), id.to_string(), text]],
            );
        }
    }
    Ok(exit)
}
