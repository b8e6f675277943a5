//! Tests of the configuration store.

use redwingfold_core::{Millis, Offset};

use super::store::{Catchup, ConfigStore};
use redwingfold_telemetry::Telemetry;

fn store() -> ConfigStore {
    ConfigStore::new(Telemetry::disabled().expect("a quiet logger"))
}

fn record(offset: u64) -> (Offset, Vec<u8>) {
    (Offset(offset), b"of a kind that is not known".to_vec())
}

/// Every request waits for a configuration change while its response is in flight. A dropped wait
/// must unregister its listener: listeners that stayed once leaked 10 kB in a side for each
/// request.
#[test]
fn waits_that_were_dropped_leave_nothing() {
    let store = store();
    for _ in 0..1000 {
        drop(store.changed());
        assert!(!smol::block_on(store.wait_for_offset(Offset(1), Millis(0))));
    }
    assert_eq!(store.listener_count(), 0);
}

/// Records after a gap must not be folded: the state would be one that no other daemon has.
#[test]
fn records_behind_a_gap_are_left_out() {
    let store = store();
    store.apply(&[record(1), record(3)]);
    assert_eq!(store.mark().offset, Offset(1));
    store.apply(&[record(2), record(3)]);
    assert_eq!(store.mark().offset, Offset(3));
}

/// A peer that is a few records behind gets records, and one that is far behind gets a snapshot.
#[test]
fn peers_get_what_they_lack() {
    let store = store();
    let all: Vec<_> = (1..=600).map(record).collect();
    store.apply(&all);
    assert!(matches!(store.catchup_after(Offset(600)), Catchup::Nothing));
    match store.catchup_after(Offset(590)) {
        Catchup::Records(records) => assert_eq!(records.len(), 10),
        other => panic!("{other:?}"),
    }
    assert!(matches!(store.catchup_after(Offset(1)), Catchup::Snapshot(_)));
}
