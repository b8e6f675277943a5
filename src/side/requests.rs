//! Calls to a side that are not runs.

use std::sync::atomic::Ordering;

use redwingfold_core::{Bill, CallState, Claim, ErrorKind, KeyHash, Millis};

use super::context::Side;
use crate::billing::Held;
use crate::clock::unix_time;
use crate::wire::{Call, Closed, Outcome, Reply};

/// Answers a call that is neither a run nor a control stream.
pub(crate) fn answer(side: &Side, call: Call) -> Reply {
    let now = side.daemon.now();
    match call {
        Call::Close(claim) => Reply::Closed(close(side, &claim)),
        Call::Hold(bills) => {
            hold(side, bills);
            Reply::Held
        }
        Call::Install(records) => {
            side.daemon.store.apply(&records);
            Reply::Mark(side.daemon.store.mark())
        }
        Call::Outcome(claim) => Reply::Outcome(outcome(side, &claim)),
        Call::PinGet(key) => Reply::Pin(side.pins().get(&key, now)),
        Call::PinMerge(key, pin) => Reply::Pin(Some(side.pins().merge(&key, pin, now))),
        Call::PinMergeAll(pins) => {
            let mut table = side.pins();
            for (key, pin) in pins {
                table.merge(&key, pin, now);
            }
            Reply::Held
        }
        Call::PinSet(key, pin) => Reply::Pin(Some(side.pins().get_or_set(&key, pin, now))),
        Call::Status => Reply::Json(status(side)),
        Call::Control(_) | Call::Explain(_) | Call::Run(_) => Reply::Refused(ErrorKind::BadPeer),
    }
}

fn close(side: &Side, claim: &Claim) -> Closed {
    match side.calls().close(claim) {
        Some(true) => Closed::Never,
        Some(false) => Closed::TooLate,
        None => Closed::Unknown,
    }
}

fn outcome(side: &Side, claim: &Claim) -> Outcome {
    match side.calls().state(claim) {
        None | Some(CallState::Closed) => Outcome::NotSeen,
        Some(CallState::Done(answer)) => Outcome::Done {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: answer.body.clone(),
        },
        Some(CallState::Running) => Outcome::Running,
        Some(CallState::Unknown) => Outcome::Unknown,
    }
}

/// Holds bills that another process hands over; they are appended from here, soon.
pub(crate) fn hold(side: &Side, bills: Vec<Bill>) -> Vec<KeyHash> {
    let mut held = Vec::new();
    for bill in bills {
        let id = bill.id;
        if side.bills.hold(Held { bill, side: None }, Millis(0)).is_ok() {
            held.push(id);
        }
    }
    held
}

fn status(side: &Side) -> Vec<u8> {
    let mark = side.daemon.store.mark();
    let loads = side.backends.values().map(|b| b.load());
    let value = serde_json::json!({
        "host": side.daemon.host,
        "role": "side",
        "failure_domain": side.daemon.domain,
        "incarnation": side.daemon.incarnation,
        "offset": mark.offset,
        "hash": format!("{:016x}", mark.hash),
        "rules": mark.rules,
        "leaving": side.is_leaving(),
        "running": side.running(),
        "unconfirmed_bills": side.bills.len(),
        "pins": side.pins().len(),
        "peer_bytes_sent": side.daemon.traffic.sent.load(Ordering::Relaxed),
        "peer_bytes_received": side.daemon.traffic.received.load(Ordering::Relaxed),
        "at": unix_time(),
        "backends": loads.map(|l| serde_json::json!({
            "name": l.backend,
            "service": l.service,
            "versions": l.versions,
            "slots": l.slots,
            "busy": l.busy,
            "up": l.up,
        })).collect::<Vec<_>>(),
    });
    serde_json::to_vec(&value).unwrap_or_default()
}
