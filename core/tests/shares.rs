//! Shares of customers at a service with too little capacity, over all gateways.

mod shares_fleet;

use redwingfold_core::{CustomerShares, Millis, ReportNumbers};
use shares_fleet::{Fault, Load, Order, play};

/// Least part of its fair division that a customer may get, relative to all customers together.
const MIN_SHARE: f64 = 0.8;

/// Most customers that are kept.
const MAX_CUSTOMERS: usize = 4_096;

/// Sizes of fleets.
const FLEETS: [usize; 4] = [3, 23, 103, 330];

/// Bytes per second that a gateway may spend on gossip.
const BYTES_PER_SECOND: usize = 7_000;

/// A service that completes half of the requests. The customer with the highest rate has its callers at one gateway or
/// at all.
fn load(gateways: usize, rates: Vec<f64>, is_at_one_gateway: bool, fault: Fault) -> Load {
    let highest = (0..rates.len()).max_by(|a, b| rates[*a].total_cmp(&rates[*b]));
    Load {
        gateways,
        capacity: rates.iter().sum::<f64>() / 2.0,
        rates,
        at_first_gateway: highest.filter(|_| is_at_one_gateway),
        bytes_per_second: BYTES_PER_SECOND,
        fault,
        duration: Millis(15_000),
    }
}

/// Eight customers with 10 requests per second, of which one has `ratio` times as many.
fn surge(ratio: f64) -> Vec<f64> {
    [vec![10.0 * ratio], vec![10.0; 7]].concat()
}

/// Twenty of 24 customers have one request per second each, and one of the others seven times its rate.
fn mostly_quiet() -> Vec<f64> {
    [vec![1.0; 20], vec![70.0, 10.0, 10.0, 10.0]].concat()
}

fn assert_shared(load: &Load, seed: u64) {
    let outcome = play(load, Order::Usage, seed);
    let least = outcome.least();
    assert!(least >= MIN_SHARE, "{least:.2}, seed {seed}: {load:?}");
    assert_eq!(outcome.idle_steps, 0, "seed {seed}: {load:?}");
}

fn assert_not_shared(load: &Load, order: Order, seed: u64) {
    let least = play(load, order, seed).least();
    assert!(least < MIN_SHARE, "{least:.2}, {order:?}, seed {seed}: {load:?}");
}

fn assert_needed_and_sufficient(rates: &[f64]) {
    for gateways in FLEETS {
        for is_at_one_gateway in [false, true] {
            let load = load(gateways, rates.to_vec(), is_at_one_gateway, Fault::None);
            assert_shared(&load, 1);
            assert_not_shared(&load, Order::Arrival, 1);
        }
    }
}

/// Guards against a customer with seven times its rate that takes the capacity of the others.
#[test]
fn customer_at_seven_times_its_rate_gets_its_share() {
    assert_needed_and_sufficient(&surge(7.0));
}

/// Guards against a customer with ten times its rate that takes the capacity of the others.
#[test]
fn customer_at_ten_times_its_rate_gets_its_share() {
    assert_needed_and_sufficient(&surge(10.0));
}

/// Guards against capacity that is kept for customers who do not ask for it, and against quiet customers who wait
/// behind the others.
#[test]
fn quiet_customers_are_served_and_their_capacity_is_used() {
    assert_needed_and_sufficient(&mostly_quiet());
}

/// Guards against a customer with one request per second whose callers leave unserved.
#[test]
fn customer_with_one_request_per_second_is_served() {
    assert_needed_and_sufficient(&[surge(10.0), vec![1.0]].concat());
}

fn assert_shared_despite(fault: Fault) {
    for (gateways, seeds) in [(3, 2), (23, 2), (103, 1), (330, 1)] {
        for is_at_one_gateway in [false, true] {
            let load = load(gateways, surge(7.0), is_at_one_gateway, fault);
            (1..=seeds).for_each(|seed| assert_shared(&load, seed));
        }
    }
}

/// Guards against a customer whose callers are all at one gateway and whose work counts more than that of the others,
/// of which a part is lost.
#[test]
fn shares_hold_with_lost_messages() {
    assert_shared_despite(Fault::Lost);
    let at_one = |gateways| load(gateways, surge(7.0), true, Fault::Lost);
    assert_not_shared(&at_one(23), Order::UsageWithoutNumbers, 1);
    assert_not_shared(&at_one(103), Order::UsageWithoutNumbers, 1);
}

/// Guards against customers that are served too often until the reports on them arrive.
#[test]
fn shares_hold_with_late_messages() {
    assert_shared_despite(Fault::Late);
}

/// Guards against work that counts twice because the report on it arrived twice.
#[test]
fn shares_hold_with_repeated_messages() {
    assert_shared_despite(Fault::Twice);
    let at_one = load(103, mostly_quiet(), true, Fault::Twice);
    assert_not_shared(&at_one, Order::UsageWithoutNumbers, 1);
    assert_shared(&at_one, 1);
}

/// Guards against report numbers that mistake late reports for repeated ones, or repeated ones for missed ones.
#[test]
fn shares_hold_with_all_faults_of_messages() {
    assert_shared_despite(Fault::Mixed);
}

/// Guards against a gateway whose customers are preferred because it hears of no others.
#[test]
fn shares_hold_beside_a_gateway_that_hears_nobody() {
    assert_shared_despite(Fault::Deaf);
}

/// Guards against a gateway whose customers are preferred after it started, and against its first reports being taken
/// for old ones.
#[test]
fn shares_hold_beside_a_gateway_that_starts_anew() {
    assert_shared_despite(Fault::Restarts);
}

/// Guards against sums that drift, values that are negative or not finite, and more customers than allowed, for any
/// records, reports, weights and times.
#[test]
fn shares_are_parts_of_one() {
    bolero::check!().with_type().for_each(|events: &Vec<(u8, u32, u64, f64)>| {
        let mut shares = CustomerShares::default();
        let mut now = Millis(0);
        for (kind, customer, value, weight) in events {
            match kind % 5 {
                0 => shares.record(*customer, Millis(*value), now),
                1 => shares.set_weight(*customer, *weight),
                2 => shares.apply_peer(&[(*customer, *value as u32), (!customer, 1)], now),
                3 => now = now.after(Millis(value >> (kind / 4))),
                _ => assert!(shares.report(usize::from(*kind), now).len() <= 32),
            }
            assert!(shares.len() <= MAX_CUSTOMERS);
            let usage = shares.usage(*customer, now);
            assert!(usage.is_finite() && usage >= 0.0, "{usage}");
        }
        let mut customers: Vec<u32> = events.iter().flat_map(|(_, c, ..)| [*c, !c]).collect();
        customers.sort_unstable();
        customers.dedup();
        let all: Vec<f64> = customers.iter().map(|c| shares.share(*c, now)).collect();
        assert!(all.iter().all(|share| (0.0..=1.0).contains(share)), "{all:?}");
        let sum: f64 = all.iter().sum();
        assert!(sum == 0.0 || (sum - 1.0).abs() < 1e-6, "{sum}");
        assert!(sum > 0.0 || shares.is_empty() || now > Millis(0), "{sum}");
    });
}

/// Guards against own work that is reported twice or never, for any records and sizes of reports.
#[test]
fn reports_add_up_to_the_recorded_work() {
    bolero::check!().with_type().for_each(|events: &Vec<(u8, u16, u8)>| {
        let mut shares = CustomerShares::default();
        let (mut recorded, mut reported) = (0, 0);
        let sum = |report: Vec<(u32, u32)>| report.iter().map(|(_, work)| u64::from(*work)).sum();
        for (customer, work, max) in events {
            shares.record((*customer).into(), Millis((*work).into()), Millis(0));
            recorded += u64::from(*work);
            let part: u64 = sum(shares.report((max % 4).into(), Millis(0)));
            reported += part;
        }
        while let Some(part) = Some(sum(shares.report(32, Millis(0)))).filter(|part| *part > 0) {
            reported += part;
        }
        assert_eq!(recorded, reported);
    });
}

/// Guards against a peer's report that counts for more than one gateway can have sent in one interval.
#[test]
fn absurd_reports_count_as_the_most_a_gateway_can_send() {
    bolero::check!().with_type().for_each(|report: &Vec<(u32, u32)>| {
        let mut shares = CustomerShares::default();
        shares.apply_peer(report, Millis(0));
        assert!(shares.len() <= 32);
        let usage = |(customer, _): &(u32, u32)| shares.usage(*customer, Millis(0));
        assert!(report.iter().map(usage).all(|usage| usage <= 1_000_000.0));
    });
    let mut shares = CustomerShares::default();
    shares.apply_peer(&[(1, u32::MAX), (1, u32::MAX)], Millis(0));
    assert_eq!(shares.usage(1, Millis(0)), 1_000_000.0);
    let long: Vec<_> = (0..1_000).map(|customer| (customer, 1)).collect();
    shares.apply_peer(&long, Millis(0));
    assert_eq!(shares.len(), 32);
}

/// Guards against a flood of customers that evicts a customer with more work than they have.
#[test]
fn least_used_customers_are_evicted_first() {
    let mut shares = CustomerShares::default();
    shares.record(7, Millis(100), Millis(0));
    for customer in 1_000..100_000 {
        shares.record(customer, Millis(50), Millis(1_000));
        assert!(shares.len() <= MAX_CUSTOMERS);
    }
    assert!(shares.usage(7, Millis(1_000)) > 50.0);
}

/// Guards against weights that are not valid, or that are lost when their customer is evicted.
#[test]
fn weights_are_checked_and_outlast_eviction() {
    let mut shares = CustomerShares::default();
    shares.set_weight(7, 4.0);
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e-9, 1e9] {
        shares.set_weight(7, weight);
    }
    shares.record(7, Millis(100), Millis(0));
    (1_000..9_000).for_each(|customer| shares.record(customer, Millis(50), Millis(0)));
    assert_eq!(shares.usage(7, Millis(0)), 0.0);
    shares.record(7, Millis(100), Millis(0));
    assert_eq!(shares.usage(7, Millis(0)), 25.0);
}

/// Guards against report numbers by which a sender's reports have no effect after it started anew, or absurd ones
/// count without bound.
#[test]
fn report_numbers_are_bounded() {
    let mut numbers = ReportNumbers::default();
    assert_eq!(numbers.scale(1, u32::MAX, &[(7, 100)]), [(7, 100)]);
    assert_eq!(numbers.scale(1, 0, &[(7, 100)]), [(7, 100)]);
    assert_eq!(numbers.scale(1, 1_000_000, &[(7, 100)]), [(7, 100)]);
    bolero::check!().with_type().for_each(|events: &Vec<(u16, u32, u32)>| {
        let mut numbers = ReportNumbers::default();
        for (sender, number, work) in events {
            let scaled = numbers.scale(*sender, *number, &[(7, *work)]);
            let most = |scaled: &(u32, u32)| f64::from(scaled.1) <= 8.0 * f64::from(*work);
            assert!(scaled.len() <= 1 && scaled.iter().all(most));
        }
    });
}
