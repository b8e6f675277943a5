//! Publishing changes, and reading their verdict back.

use std::collections::BTreeMap;
use std::path::PathBuf;

use redwingfold_core::{
    Change, Config, Millis, Object, ObjectKey, Offset, Record, RequestId, StreamsOnWithdrawal,
    Verdict, Withdrawal,
};
use serde_json::json;
use smol::Timer;

use super::Exit;
use super::args::{Publish, Withdraw};
use super::check::findings;
use super::context::Ctl;
use super::objects::read_objects;
use super::table::{print, print_json};
use crate::clock::{to_duration, unix_time};
use crate::config_store::{Catchup, read_all};
use crate::platform::{LogError, stream};
use crate::wire::{Call, Reply};

/// Tries to append a record and read it back.
const TRIES: u32 = 5;

/// Newest records that daemons are given directly; one that lacks more reads them from the log.
const PUSHED_RECORDS: usize = 32;

const PAUSE: Millis = Millis(500);

fn changed(config: &Config, objects: &[Object]) -> Vec<Object> {
    let differs = |o: &&Object| config.objects.get(&o.key()).is_none_or(|s| s.object != **o);
    objects.iter().filter(differs).cloned().collect()
}

/// Shows what publishing files would change.
pub(crate) async fn diff(ctl: &Ctl, files: &[PathBuf]) -> eyre::Result<Exit> {
    let config = ctl.config().await?;
    let changed = changed(&config, &read_objects(files)?);
    if ctl.json {
        let entries = changed.iter().map(|o| {
            let held = config.objects.get(&o.key());
            json!({"key": o.key(), "revision": held.map_or(Offset(0), |s| s.revision), "old": held.map(|s| &s.object), "new": o})
        });
        print_json(&json!({"at": config.offset, "changes": entries.collect::<Vec<_>>()}))?;
        return Ok(Exit::Ok);
    }
    for object in &changed {
        let key = object.key();
        let new = serde_json::to_string_pretty(object)?;
        match config.objects.get(&key) {
            None => println!("+ {key}\n{}", prefixed("+ ", &new)),
            Some(held) => {
                let old = serde_json::to_string_pretty(&held.object)?;
                println!("~ {key} (revision {})", held.revision);
                println!("{}\n{}", prefixed("- ", &old), prefixed("+ ", &new));
            }
        }
    }
    println!("{} objects would change at offset {}", changed.len(), config.offset);
    Ok(Exit::Ok)
}

fn prefixed(prefix: &str, text: &str) -> String {
    text.lines().map(|line| format!("  {prefix}{line}")).collect::<Vec<_>>().join("\n")
}

/// Publishes the objects of files.
pub(crate) async fn publish(ctl: &Ctl, args: &Publish) -> eyre::Result<Exit> {
    let config = ctl.config().await?;
    let put = changed(&config, &read_objects(&args.files)?);
    if put.is_empty() && args.delete.is_empty() {
        println!("nothing changes at offset {}", config.offset);
        return Ok(Exit::Ok);
    }
    let next = config.with(&put, &args.delete);
    let found = findings(&next);
    let blocking = found
        .iter()
        .filter(|f| !args.allow_empty || f.kind != redwingfold_core::ErrorKind::EmptySelector);
    let blocking: Vec<_> = blocking.collect();
    if !blocking.is_empty() {
        for finding in blocking {
            eprintln!("{}: {}", finding.kind, finding.what);
        }
        return Ok(Exit::Found);
    }
    let touched = put.iter().map(Object::key).chain(args.delete.iter().cloned());
    let expects: BTreeMap<_, _> =
        touched.map(|key| (key.clone(), revision(&config, &key))).collect();
    if let Some(at) = args.at
        && let Some((key, moved)) = expects.iter().find(|(_, revision)| **revision > at)
    {
        eprintln!("revision_moved: {key} is at revision {moved}, you looked at offset {at}");
        return Ok(Exit::Rejected);
    }
    let record = Record::Change(Change {
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

/// Takes a version out of service.
pub(crate) async fn withdraw(ctl: &Ctl, args: &Withdraw) -> eyre::Result<Exit> {
    let record = Record::Withdraw(Withdrawal {
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

/// Appends a record and reports its verdict.
///
/// A record is accepted only once it has been read back with its verdict: the answer to the append
/// can be lost, and another operator can be faster. Appending again is safe, because a second copy
/// of an id has no effect.
async fn submit(ctl: &Ctl, record: &Record) -> eyre::Result<Exit> {
    let json = serde_json::to_vec(record)?;
    let mut last = String::new();
    for _ in 0..TRIES {
        let pause = match ctl.log.append(stream::CONFIG, json.clone()).await {
            Ok(_) => Millis(0),
            Err(e) => {
                last = e.to_string();
                match e {
                    LogError::Refused { retry_after, .. } => retry_after,
                    LogError::Unknown(_) => PAUSE,
                }
            }
        };
        match read_all(&ctl.store, &ctl.log).await {
            Ok(()) => {
                if let Some(entry) = ctl.store.verdict_of(record.id()) {
                    push(ctl).await;
                    return report(ctl, record.id(), entry.offset, &entry.verdict);
                }
            }
            Err(e) => last = e.to_string(),
        }
        Timer::after(to_duration(pause)).await;
    }
    eprintln!("unknown: {last}; change {} may take effect yet: see audit", record.id());
    Ok(Exit::Unknown)
}

/// Gives the newest records to every daemon that can be reached.
///
/// The log service can go away right after it took the record, before any daemon has read it: a
/// withdrawal would then be accepted and in force nowhere. Here it needs no more than one daemon
/// in reach, since daemons tell each other.
async fn push(ctl: &Ctl) {
    let Catchup::Records(mut records) = ctl.store.after(Offset(0)) else { return };
    records.drain(..records.len().saturating_sub(PUSHED_RECORDS));
    let offset = ctl.store.mark().offset;
    match ctl.ask_all(&Call::Install(records), |_| true).await {
        Ok(said) => {
            let has =
                |r: &Result<Reply, String>| matches!(r, Ok(Reply::Mark(m)) if m.offset >= offset);
            let reached = said.iter().filter(|(_, reply)| has(reply)).count();
            if reached < said.len() {
                eprintln!("in force on {reached} of {} daemons so far", said.len());
            }
        }
        Err(e) => eprintln!("daemons not told directly: {e}"),
    }
}

fn report(ctl: &Ctl, id: RequestId, offset: Offset, verdict: &Verdict) -> eyre::Result<Exit> {
    let (exit, text) = match verdict {
        Verdict::Accepted => (Exit::Ok, String::new()),
        Verdict::Duplicate { of } => (Exit::Ok, format!("first copy at {of}")),
        Verdict::Rejected { why } | Verdict::Skipped { why } => (Exit::Rejected, why.clone()),
    };
    match ctl.json {
        true => print_json(&json!({"id": id, "offset": offset, "verdict": verdict}))?,
        false => {
            let word = if exit == Exit::Ok { "accepted" } else { "rejected" };
            print(
                &["VERDICT", "OFFSET", "ID", "WHY"],
                vec![vec![word.to_owned(), offset.to_string(), id.to_string(), text]],
            );
        }
    }
    Ok(exit)
}
