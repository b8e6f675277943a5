//! Calls to a side other than runs and control streams.

use std::sync::atomic::Ordering;

use redwingfold_core::{Bill, CallState, Claim, ErrorKind, KeyHash, Millis};

use super::context::Side;
use crate::billing::HeldBill;
use crate::clock::unix_time;
use crate::wire::{Call, Closed, Outcome, Reply};

/// Handles a call that is neither a run nor a control stream.
pub(crate) fn answer_call(side: &Side, call: Call) -> Reply {
    let now = side.daemon.now();
    match call {
        Call::Close(claim) => Reply::Closed(close_call(side, &claim)),
        Call::Hold(bills) => {
            hold_bills(side, bills);
            Reply::Held
        }
        Call::Install(records) => {
            side.daemon.store.apply(&records);
            Reply::Mark(side.daemon.store.mark())
        }
        Call::Outcome(claim) => Reply::Outcome(call_outcome(side, &claim)),
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
        Call::Status => Reply::Json(status_json(side)),
        Call::Control(_) | Call::Explain(_) | Call::Run(_) => Reply::Refused(ErrorKind::BadPeer),
    }
}

fn close_call(side: &Side, claim: &Claim) -> Closed {
    match side.calls().close(claim) {
        Some(true) => Closed::Never,
        Some(false) => Closed::TooLate,
        None => Closed::Unknown,
    }
}

fn call_outcome(side: &Side, claim: &Claim) -> Outcome {
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

/// Stores bills received from another process, which are due for appending at once.
///
/// Returns the ids of the bills that fitted.
pub(crate) fn hold_bills(side: &Side, bills: Vec<Bill>) -> Vec<KeyHash> {
    let mut held_ids = Vec::new();
    for bill in bills {
        let id = bill.id;
        if side.bills.hold(HeldBill { bill, side: None }, Millis(0)).is_ok() {
            held_ids.push(id);
        }
    }
    held_ids
}

fn status_json(side: &Side) -> Vec<u8> {
    let mark = side.daemon.store.mark();
    let loads = side.backends.values().map(|backend| backend.load());
    let value = serde_json::json!({
        "host": side.daemon.host,
        "role": "side",
        "failure_domain": side.daemon.domain,
        "incarnation": side.daemon.incarnation,
        "offset": mark.offset,
        "hash": format!("{:016x}", mark.hash),
        "rules": mark.rules,
        "leaving": side.is_leaving(),
        "running": side.running_count(),
        "unconfirmed_bills": side.bills.len(),
        "pins": side.pins().len(),
        "peer_bytes_sent": side.daemon.traffic.sent.load(Ordering::Relaxed),
        "peer_bytes_received": side.daemon.traffic.received.load(Ordering::Relaxed),
        "at": unix_time(),
        "backends": loads.map(|load| serde_json::json!({
            "name": load.backend,
            "service": load.service,
            "versions": load.versions,
            "slots": load.slots,
            "busy": load.busy,
            "up": load.up,
        })).collect::<Vec<_>>(),
    });
    serde_json::to_vec(&value).unwrap_or_default()
}
