//! Selection among models of three sizes.

use redwingfold_core::{ConfidenceGains, LargerModel, ServiceName, SizePolicy};

/// Share of requests that each model answers correctly, the smallest first.
const SUCCESS_SHARE: [f64; 3] = [0.56, 0.65, 1.0];

/// Prefill time and price of each model, relative to the largest one.
const PREFILL_TIME: [f64; 3] = [0.1, 0.27, 1.0];
const PRICE: [f64; 3] = [0.07, 0.5, 1.0];

/// Increase of confidence when a request is easier by a tenth of all, and its standard deviation.
const CONFIDENCE_SLOPE: f64 = 185.0;
const CONFIDENCE_ERROR: f64 = 12.0;

#[derive(Debug, Default)]
struct Outcome {
    right: f64,
    time: f64,
    price: f64,
    middle: f64,
}

fn draw_confidence(rng: &mut fastrand::Rng, success_share: f64, difficulty: f64) -> u8 {
    let error = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    (50.0 + (success_share - difficulty) * CONFIDENCE_SLOPE + error * CONFIDENCE_ERROR)
        .clamp(0.0, 100.0) as u8
}

/// Simulates requests of evenly distributed difficulty in a cascade of the smallest model and those in `available`.
fn simulate(success_share: [f64; 3], available: &[usize], seed: u64) -> Outcome {
    let (policy, service) = (SizePolicy::default(), ServiceName::from("slips"));
    let (mut gains, mut outcome, n) = (ConfidenceGains::default(), Outcome::default(), 4_000_u32);
    for request in 0..n {
        // The requests are the same for each cascade.
        let mut rng = fastrand::Rng::with_seed(seed << 32 | u64::from(request));
        let difficulty = rng.f64();
        let (mut size, mut before) = (0, None);
        loop {
            let confidence = draw_confidence(&mut rng, success_share[size], difficulty);
            outcome.time += PREFILL_TIME[size] / f64::from(n);
            outcome.price += PRICE[size] / f64::from(n);
            outcome.middle += f64::from(u8::from(size == 1)) / f64::from(n);
            if let Some(smaller) = before.replace((size, confidence)) {
                gains.record(&service, smaller, (size, confidence));
            }
            let larger: Vec<_> = available
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
        outcome.right += f64::from(u8::from(difficulty <= success_share[size])) / f64::from(n);
    }
    outcome
}

/// Load pattern: requests of all difficulties. The middle model can answer those just beyond the smallest one. Using it
/// before the largest reduces engine time by a twentieth and lowers the price, and hardly any answer gets worse.
#[test]
fn middle_model_answers_what_is_just_beyond_the_smallest() {
    for seed in 0..5 {
        let (two, three) =
            (simulate(SUCCESS_SHARE, &[2], seed), simulate(SUCCESS_SHARE, &[1, 2], seed));
        assert!(three.time < two.time * 0.96, "{three:?} {two:?}");
        assert!(three.price < two.price * 0.99, "{three:?} {two:?}");
        assert!(three.right > two.right - 0.01, "{three:?} {two:?}");
    }
}

/// A middle model that is no better than the smallest is no longer used once the first samples of its confidence show
/// so.
#[test]
fn useless_middle_model_is_given_up() {
    let outcome = simulate([0.56, 0.56, 1.0], &[1, 2], 1);
    assert!(outcome.middle < 0.02, "{outcome:?}");
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
