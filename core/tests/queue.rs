//! Fair queueing of the requests for a backend server.

use std::collections::BTreeMap;

use redwingfold_core::{ErrorKind, FairQueue, Millis, QueueEntry, QueueLimits};

const FAR: Millis = Millis(1_000_000);

fn queue(max_per_customer: usize) -> FairQueue<u32> {
    FairQueue::new(QueueLimits { max_waiting: 10_000, max_per_customer })
}

fn waiting(customer: &str, item: u32, deadline: Millis) -> QueueEntry<u32> {
    QueueEntry { item, customer: customer.parse().unwrap(), work: 100, deadline }
}

/// A customer that offers ten times the load of the others gets no more than its share: of the
/// first 40 requests that run, each customer has about 10.
#[test]
fn a_large_customer_does_not_starve_small_ones() {
    let mut queue = queue(5000);
    for n in 0..400 {
        queue.push(waiting("large", n, FAR), 1, 5).unwrap();
    }
    for n in 0..40 {
        for small in ["small-1", "small-2", "small-3"] {
            queue.push(waiting(small, n, FAR), 1, 5).unwrap();
        }
    }
    let mut served = BTreeMap::new();
    for _ in 0..40 {
        let next = queue.pop(Millis(0), &mut Vec::new()).unwrap();
        *served.entry(next.customer.to_string()).or_insert(0) += 1;
    }
    assert!(served.values().all(|n| (9..=11).contains(n)), "{served:?}");
}

#[test]
fn weights_divide_the_work() {
    let mut queue = queue(5000);
    for n in 0..300 {
        queue.push(waiting("three", n, FAR), 3, 5).unwrap();
        queue.push(waiting("one", n, FAR), 1, 5).unwrap();
    }
    let mut threes = 0;
    for _ in 0..200 {
        let next = queue.pop(Millis(0), &mut Vec::new()).unwrap();
        threes += u32::from(next.customer.as_str() == "three");
    }
    assert!((148..=152).contains(&threes), "{threes}");
}

/// A customer that was idle gets no credit for that time, so it cannot monopolise the server.
#[test]
fn absence_earns_nothing() {
    let mut queue = queue(5000);
    for n in 0..100 {
        queue.push(waiting("busy", n, FAR), 1, 5).unwrap();
    }
    for _ in 0..60 {
        queue.pop(Millis(0), &mut Vec::new()).unwrap();
    }
    for n in 0..40 {
        queue.push(waiting("late", n, FAR), 1, 5).unwrap();
    }
    let first: Vec<_> = (0..20)
        .map(|_| queue.pop(Millis(0), &mut Vec::new()).unwrap().customer.to_string())
        .collect();
    let late = first.iter().filter(|c| *c == "late").count();
    assert!((9..=11).contains(&late), "{first:?}");
}

#[test]
fn urgent_requests_go_before_the_customers_others() {
    let mut queue = queue(50);
    for n in 0..5 {
        queue.push(waiting("ani", n, FAR), 1, 9).unwrap();
    }
    queue.push(waiting("ani", 99, FAR), 1, 0).unwrap();
    assert_eq!(queue.pop(Millis(0), &mut Vec::new()).unwrap().item, 99);
}

/// A request past its deadline is returned as expired and never runs; one that does not fit is
/// rejected at once.
#[test]
fn late_and_surplus_requests_are_refused() {
    let mut queue = queue(2);
    queue.push(waiting("ani", 1, Millis(10)), 1, 5).unwrap();
    queue.push(waiting("ani", 2, FAR), 1, 5).unwrap();
    let (_, kind) = queue.push(waiting("ani", 3, FAR), 1, 5).unwrap_err();
    assert_eq!(kind, ErrorKind::Overloaded);
    queue.push(waiting("haus", 4, FAR), 1, 5).unwrap();
    let mut late = Vec::new();
    let first = queue.pop(Millis(20), &mut late).unwrap();
    assert_ne!(first.item, 1);
    assert_eq!(late.iter().map(|w| w.item).collect::<Vec<_>>(), [1]);
}

/// Under any sequence of operations, each request leaves the queue once, and the length is right.
#[test]
fn every_request_leaves_once() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut queue = queue(8);
        let (mut entered, mut left) = (0, 0);
        for (n, byte) in bytes.iter().enumerate() {
            let customer = ["a", "b", "c"][usize::from(byte % 3)];
            match byte % 5 {
                0..=2 => {
                    let request = waiting(customer, n as u32, Millis(u64::from(*byte)));
                    entered += usize::from(queue.push(request, 1, byte % 10).is_ok());
                }
                3 => {
                    let mut late = Vec::new();
                    left += usize::from(queue.pop(Millis(n as u64), &mut late).is_some());
                    left += late.len();
                }
                _ => left += queue.remove_if(|w| w.customer.as_str() == customer).len(),
            }
            assert_eq!(queue.len(), entered - left);
        }
        let mut late = Vec::new();
        while queue.pop(Millis(0), &mut late).is_some() {
            left += 1;
        }
        assert_eq!((left + late.len(), queue.len()), (entered, 0));
    });
}
