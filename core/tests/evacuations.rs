//! Orders to empty failure domains, through restores of the store.

use redwingfold_core::{EvacuationChange, Evacuations, FailureDomain, Millis};

fn domain(n: u8) -> FailureDomain {
    format!("hall-{n}").parse().unwrap()
}

/// An order that a copy lacks is in force until the operator had time to write it again, and for good if it was written.
#[test]
fn order_that_a_copy_lacks_stays_for_a_while() {
    let mut lost = Evacuations::default();
    lost.order(&domain(1), Millis(0));
    let mut written_again = lost.clone();
    for evacuations in [&mut lost, &mut written_again] {
        assert!(evacuations.replace_by_copy(&[], Millis(1_000)).is_empty());
        assert!(evacuations.expire(Millis(5_000)).is_empty());
    }
    written_again.order(&domain(1), Millis(5_000));
    assert!(written_again.expire(Millis(60_000)).is_empty());
    assert_eq!(lost.expire(Millis(60_000)), [EvacuationChange::Returned(domain(1))]);
}

/// A copy has an order that has ended since. Its domain would stand idle until the operator notices.
#[test]
fn order_that_has_ended_is_not_renewed_by_a_copy() {
    let mut evacuations = Evacuations::default();
    evacuations.order(&domain(1), Millis(0));
    evacuations.take_back(&domain(1), Millis(1_000));
    evacuations.replace_by_copy(&[domain(1)], Millis(2_000));
    assert!(!evacuations.is_emptied(&domain(1)));
    evacuations.order(&domain(1), Millis(3_000));
    assert!(evacuations.is_emptied(&domain(1)));
}

/// Whatever orders come one by one, lost and found in whole reads, a gateway that read all of them in the end believes
/// what the store has, and has said so by changes that fit each other.
#[test]
fn whole_read_settles_what_is_emptied() {
    bolero::check!().with_type::<(Vec<(u8, bool)>, Vec<u8>)>().for_each(|(steps, last)| {
        let mut evacuations = Evacuations::default();
        let mut told = std::collections::HashSet::new();
        let mut take = |changes: Vec<EvacuationChange>| {
            for change in changes {
                match change {
                    EvacuationChange::Emptied(domain) => assert!(told.insert(domain)),
                    EvacuationChange::Returned(domain) => assert!(told.remove(&domain)),
                }
            }
        };
        for (at, (n, is_ordered)) in (0..).zip(steps) {
            let (domain, now) = (domain(n % 5), Millis(at * 100));
            let change = match is_ordered {
                true => evacuations.order(&domain, now),
                false => evacuations.take_back(&domain, now),
            };
            take(change.into_iter().collect());
        }
        let last: Vec<_> = last.iter().map(|n| domain(n % 5)).collect();
        take(evacuations.replace(&last, Millis(1_000_000)));
        for n in 0..5 {
            assert_eq!(evacuations.is_emptied(&domain(n)), last.contains(&domain(n)));
            assert_eq!(told.contains(&domain(n)), last.contains(&domain(n)));
        }
    });
}
