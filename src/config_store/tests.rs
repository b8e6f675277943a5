//! The store of the configuration.

use redwingfold_core::{Millis, Offset};

use super::store::{Catchup, ConfigStore};
use redwingfold_telemetry::Telemetry;

fn store() -> ConfigStore {
    ConfigStore::new(Telemetry::disabled().expect("a quiet logger"))
}

fn record(offset: u64) -> (Offset, Vec<u8>) {
    (Offset(offset), b"of a kind that is not known".to_vec())
}

/// Every request waits for a change beside its answer. One that ended must leave nothing behind:
/// such waits once made a side hold 10 kB for each request that it had served.
#[test]
fn waits_that_were_dropped_leave_nothing() {
    let store = store();
    for _ in 0..1000 {
        drop(store.changed());
        assert!(!smol::block_on(store.reaches(Offset(1), Millis(0))));
    }
    assert_eq!(store.listeners(), 0);
}

/// A gap is not folded over: the state behind it would be one that no other daemon has.
#[test]
fn records_behind_a_gap_are_left_out() {
    let store = store();
    store.apply(&[record(1), record(3)]);
    assert_eq!(store.mark().offset, Offset(1));
    store.apply(&[record(2), record(3)]);
    assert_eq!(store.mark().offset, Offset(3));
}

/// A peer that is a little behind gets records, one that is far behind a snapshot.
#[test]
fn peers_get_what_they_lack() {
    let store = store();
    let all: Vec<_> = (1..=600).map(record).collect();
    store.apply(&all);
    assert!(matches!(store.after(Offset(600)), Catchup::Nothing));
    match store.after(Offset(590)) {
        Catchup::Records(records) => assert_eq!(records.len(), 10),
        other => panic!("{other:?}"),
    }
    assert!(matches!(store.after(Offset(1)), Catchup::Snapshot(_)));
}
