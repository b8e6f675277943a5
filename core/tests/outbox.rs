//! The outbox of records for the log service.

use redwingfold_core::{ClaimId, Millis, Outbox, OutboxFull};

fn batch(n: u128) -> ClaimId {
    ClaimId(n)
}

/// A full outbox rejects a record and evicts none; confirmed records free their space.
#[test]
fn it_is_bounded() {
    let mut outbox = Outbox::new(100);
    outbox.push("a", 1, 60, Millis(0)).unwrap();
    assert_eq!(outbox.push("b", 2, 60, Millis(0)), Err(OutboxFull));
    assert_eq!(outbox.take_batch(batch(1), 10, Millis(0)), [1]);
    outbox.confirm(batch(1));
    outbox.push("b", 2, 60, Millis(0)).unwrap();
    assert_eq!((outbox.len(), outbox.bytes(), outbox.dropped()), (1, 60, 1));
}

/// A bill that was replaced while its batch was in flight is appended again in its new form.
#[test]
fn a_replaced_record_is_not_confirmed_by_the_old_batch() {
    let mut outbox = Outbox::new(1000);
    outbox.push("a", 1, 10, Millis(0)).unwrap();
    outbox.take_batch(batch(1), 10, Millis(0));
    outbox.push("a", 2, 10, Millis(0)).unwrap();
    outbox.confirm(batch(1));
    assert_eq!(outbox.take_batch(batch(2), 10, Millis(0)), [2]);
}

#[test]
fn records_wait_for_their_time() {
    let mut outbox = Outbox::new(1000);
    outbox.push("late", 1, 10, Millis(50)).unwrap();
    outbox.push("now", 2, 10, Millis(0)).unwrap();
    assert_eq!(outbox.take_batch(batch(1), 10, Millis(10)), [2]);
    assert_eq!(outbox.take_batch(batch(2), 10, Millis(60)), [1]);
}

/// The byte and record counts stay consistent and bounded under any sequence of pushes, batches and
/// confirmations.
#[test]
fn accounts_agree() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut outbox = Outbox::new(200);
        let mut open = Vec::new();
        for (n, byte) in bytes.iter().enumerate() {
            match byte % 4 {
                0 | 1 => {
                    outbox.push(byte >> 4, n, 10 + usize::from(byte % 3), Millis(0)).ok();
                }
                2 => {
                    outbox.take_batch(batch(n as u128), 3, Millis(1));
                    open.push(batch(n as u128));
                }
                _ => {
                    open.pop().map(|id| outbox.confirm(id));
                }
            }
            assert!(outbox.bytes() <= 200);
            assert_eq!(outbox.records().count(), outbox.len());
            assert_eq!(outbox.bytes() == 0, outbox.is_empty());
        }
    });
}
