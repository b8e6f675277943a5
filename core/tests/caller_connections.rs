//! Places for callers' connections, in virtual time.

use redwingfold_core::{
    CallerConnections, ConnectionAdmission, ConnectionNumber, ConnectionPhase, Millis,
};

const PLACES: usize = 100;

/// Opens a connection and returns its number, and that of the one that is closed for it.
fn open(table: &mut CallerConnections, now: Millis) -> Option<(u64, Option<ConnectionNumber>)> {
    match table.open(now) {
        ConnectionAdmission::Admitted(number) => Some((number, None)),
        ConnectionAdmission::InsteadOf(number, closed) => Some((number, Some(closed))),
        ConnectionAdmission::Full => None,
    }
}

/// Guards against connections without a request that keep ordinary callers out: a thousand of them come each second, and an
/// ordinary caller sends its request within 50 ms.
#[test]
fn ordinary_callers_get_a_place_beside_silent_connections() {
    let mut table = CallerConnections::new(PLACES);
    let mut ordinary: Vec<(ConnectionNumber, Millis)> = Vec::new();
    for now in (0..20_000).map(Millis) {
        let (number, closed) = open(&mut table, now).expect("a place");
        assert!(!ordinary.iter().any(|(number, _)| Some(*number) == closed), "at {now}");
        table.set_phase(number, ConnectionPhase::Idle, now);
        if now.0 % 100 == 0 {
            let (number, _) = open(&mut table, now).expect("a place");
            table.set_phase(number, ConnectionPhase::Idle, now);
            ordinary.push((number, now));
        }
        ordinary.retain(|(number, came_at)| {
            match now.since(*came_at) {
                Millis(50) => table.set_phase(*number, ConnectionPhase::Busy, now),
                Millis(500) => table.close(*number),
                _ => {}
            }
            now.since(*came_at) < Millis(500)
        });
        assert!(table.count() <= PLACES);
    }
}

/// Guards against connections that are closed although they are needed, or before ones that are needed less.
#[test]
fn connections_are_closed_in_the_order_of_their_use() {
    let phases = [
        ConnectionPhase::Busy,
        ConnectionPhase::Queued,
        ConnectionPhase::Head,
        ConnectionPhase::Idle,
        ConnectionPhase::Closing,
    ];
    let mut table = CallerConnections::new(2 * phases.len());
    for phase in phases {
        for has_request in [true, false] {
            let (number, _) = open(&mut table, Millis(0)).expect("a place");
            if has_request {
                table.set_phase(number, ConnectionPhase::Busy, Millis(1));
            }
            if phase != ConnectionPhase::Queued || has_request {
                table.set_phase(number, phase, Millis(2 + number));
            }
        }
    }
    let closed: Vec<_> = std::iter::from_fn(|| open(&mut table, Millis(100))?.1).collect();
    // Those that are closing, without a request, idle, and within a later head.
    assert_eq!(closed, [8, 9, 5, 7, 6, 4]);
    assert_eq!(table.open(Millis(200)), ConnectionAdmission::Full);
}
