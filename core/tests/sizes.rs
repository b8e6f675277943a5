//! Selection among models of three sizes.

use redwingfold_core::{ConfidenceGains, LargerModel, ServiceName, SizePolicy};

/// Share of requests that each model answers correctly, the smallest first.
const POWER: [f64; 3] = [0.56, 0.65, 1.0];

/// Prefill time and price of each model, relative to the largest one.
const TIME: [f64; 3] = [0.1, 0.27, 1.0];
const PRICE: [f64; 3] = [0.07, 0.5, 1.0];

/// Increase of confidence when a request is easier by a tenth of all, and its standard deviation.
const SLOPE: f64 = 185.0;
const ERROR: f64 = 12.0;

#[derive(Debug, Default)]
struct Spent {
    right: f64,
    time: f64,
    price: f64,
    middle: f64,
}

fn opinion(rng: &mut fastrand::Rng, power: f64, difficulty: f64) -> u8 {
    let error = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (50.0 + (power - difficulty) * SLOPE + error * ERROR).clamp(0.0, 100.0) as u8
}

/// Simulates requests of evenly distributed difficulty in a cascade of the smallest model and those in `may`.
fn play(power: [f64; 3], may: &[usize], seed: u64) -> Spent {
    let (policy, service) = (SizePolicy::default(), ServiceName::from("slips"));
    let (mut gains, mut spent, n) = (ConfidenceGains::default(), Spent::default(), 4_000_u32);
    for request in 0..n {
        // The requests are the same for each cascade.
        let mut rng = fastrand::Rng::with_seed(seed << 32 | u64::from(request));
        let difficulty = rng.f64();
        let (mut size, mut before) = (0, None);
        loop {
            let confidence = opinion(&mut rng, power[size], difficulty);
            spent.time += TIME[size] / f64::from(n);
            spent.price += PRICE[size] / f64::from(n);
            spent.middle += f64::from(u8::from(size == 1)) / f64::from(n);
            if let Some(smaller) = before.replace((size, confidence)) {
                gains.record(&service, smaller, (size, confidence));
            }
            let larger: Vec<_> = may
                .iter()
                .filter(|larger| **larger > size)
                .map(|larger| LargerModel {
                    size: *larger,
                    gain: gains.expected(&service, size, *larger),
                    in_time: true,
                })
                .collect();
            match policy.larger(confidence, 0.0, &larger) {
                Some(next) => size = next,
                None => break,
            }
        }
        spent.right += f64::from(u8::from(difficulty <= power[size])) / f64::from(n);
    }
    spent
}

/// Load pattern: requests of all difficulties. The middle model can answer those just beyond the smallest one. Using it
/// before the largest reduces engine time by a twentieth and lowers the price, and hardly any answer gets worse.
#[test]
fn middle_model_answers_what_is_just_beyond_the_smallest() {
    for seed in 0..5 {
        let (two, three) = (play(POWER, &[2], seed), play(POWER, &[1, 2], seed));
        assert!(three.time < two.time * 0.96, "{three:?} {two:?}");
        assert!(three.price < two.price * 0.99, "{three:?} {two:?}");
        assert!(three.right > two.right - 0.01, "{three:?} {two:?}");
    }
}

/// A middle model that is no better than the smallest is no longer used once the first samples of its confidence show
/// so.
#[test]
fn useless_middle_model_is_given_up() {
    let spent = play([0.56, 0.56, 1.0], &[1, 2], 1);
    assert!(spent.middle < 0.02, "{spent:?}");
}

/// If no larger model can answer in time, only requests whose answer is almost certainly wrong are escalated.
#[test]
fn late_answers_are_had_only_where_the_one_in_hand_is_wrong() {
    let policy = SizePolicy::default();
    let late = [LargerModel { size: 2, gain: 60.0, in_time: false }];
    assert_eq!(policy.larger(40, 0.0, &late), None);
    assert_eq!(policy.larger(5, 0.0, &late), Some(2));
    assert_eq!(policy.larger(5, 1.0, &late), None);
    assert_eq!(policy.larger(5, 0.0, &[]), None);
}
