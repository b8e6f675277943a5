//! The sequential test that stops bad versions, on ratings generated from seeds.

use redwingfold_core::{PerMille, RatingCounter, SequentialTest, Tally, TestVerdict};

const RATED: u64 = 2_000;

fn is_bad(seed: u64, n: u64, bad_per_mille: u64) -> bool {
    let bytes = [seed.to_be_bytes(), n.to_be_bytes()].concat();
    xxhash_rust::xxh3::xxh3_64(&bytes) % 1000 < bad_per_mille
}

/// Returns the number of rated answers after which the version is stopped.
fn stopped_after(seed: u64, bad_per_mille: u64, test: &SequentialTest) -> Option<u64> {
    let mut tally = Tally::default();
    (1..=RATED).find(|n| {
        match is_bad(seed, *n, bad_per_mille) {
            true => tally.bad += 1,
            false => tally.good += 1,
        }
        test.verdict(tally) == TestVerdict::Stop
    })
}

/// A version that is as good as allowed is stopped in fewer than one of 100 rollouts, although the
/// test is evaluated after each of 2,000 rated answers.
#[test]
fn good_versions_are_not_stopped() {
    let test = SequentialTest::new(PerMille(100), 0.01);
    let stopped = (0..1000).filter(|seed| stopped_after(*seed, 100, &test).is_some()).count();
    assert!(stopped < 10, "{stopped} of 1000");
}

/// A version with more bad answers is stopped after fewer ratings.
#[test]
fn bad_versions_are_stopped_soon() {
    let test = SequentialTest::new(PerMille(100), 0.001);
    let mean = |bad: u64| {
        let all = (0..100).map(|seed| stopped_after(seed, bad, &test).unwrap_or(RATED));
        all.sum::<u64>() / 100
    };
    let (worst, middle) = (mean(900), mean(300));
    assert!(worst <= 6, "{worst}");
    assert!(middle <= 80, "{middle}");
}

#[test]
fn tallies_add_up_in_any_order() {
    let (a, b) = (Tally { good: 3, bad: 1 }, Tally { good: 5, bad: 4 });
    assert_eq!(a.plus(b), b.plus(a));
}

#[test]
fn bounds_follow_the_evidence() {
    let unknown = Tally::default().lower_bound(PerMille(900), 20);
    let good = Tally { good: 500, bad: 5 }.lower_bound(PerMille(900), 20);
    let bad = Tally { good: 50, bad: 50 }.lower_bound(PerMille(900), 20);
    assert!(bad < unknown && unknown < good, "{bad} {unknown} {good}");
}

/// A version that turns bad after a million good answers is stopped after at most 100 bad ones. On
/// the total of all ratings, 50,000 bad answers would not stop it.
#[test]
fn a_long_good_past_does_not_hide_a_bad_present() {
    let test = SequentialTest::new(PerMille(100), 0.001);
    let mut counter = RatingCounter::default();
    (0..1_000_000).for_each(|_| counter.add(true));
    let stopped = (1..=2_000).find(|_| {
        counter.add(false);
        test.verdict(counter.recent()) == TestVerdict::Stop
    });
    assert!(stopped.is_some_and(|n| n <= 100), "{stopped:?}");
    let all = Tally { bad: 50_000, ..counter.total() };
    assert_eq!(
        test.verdict(all),
        TestVerdict::Continue,
        "the total alone does not stop the version"
    );
}

/// The bound on false stops holds only within a window, as older ratings are dropped. Still, fewer
/// than one of 100 good versions is stopped in 2,000 ratings.
#[test]
fn good_versions_are_not_stopped_by_a_window() {
    let test = SequentialTest::new(PerMille(100), 0.001);
    let stopped = (0..300).filter(|seed| {
        let mut counter = RatingCounter::default();
        (1..=RATED).any(|n| {
            counter.add(!is_bad(*seed, n, 50));
            test.verdict(counter.recent()) == TestVerdict::Stop
        })
    });
    assert!(stopped.count() < 3);
}
