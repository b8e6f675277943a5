//! What gateways tell each other of the status in the store.

use redwingfold_core::{CanaryPolicy, Millis, OrderAge, Phase, RolloutOrder, ServiceName};

use crate::gateway::StoreCopy;
use crate::rollouts::Rollouts;

/// Age of the report that reaches the gateway under test.
const REPORT_AGE: Millis = Millis(100);

fn service() -> ServiceName {
    "models".into()
}

/// A gateway with the order for v2.
fn gateway() -> Rollouts {
    let mut rollouts = Rollouts::new(CanaryPolicy::for_exposure(0.15), Millis(17_000));
    let order = RolloutOrder { target: "v2".parse().expect("a version"), window: Millis(10_000) };
    rollouts.add_order(&service(), order, OrderAge::default(), StoreCopy::Current, Millis(0));
    rollouts
}

/// Guards against a lost end that no gateway writes again, because one that has just started passes on a status of an
/// earlier era as one of the present era.
#[test]
fn status_of_an_earlier_era_is_not_passed_on_as_one_of_the_present() {
    let [mut unaware, mut started, mut restored] = [0; 3].map(|_| gateway());
    let (target, done) = ("v2".parse().expect("a version"), Some(Phase::Done));
    [&mut unaware, &mut restored].into_iter().for_each(|g| g.set_store_era(4));
    unaware.record_status(&service(), &target, done, Millis(0));
    restored.record_status(&service(), &target, done, Millis(0));
    restored.store_restored(5, Millis(0));
    for report in unaware.reports(REPORT_AGE) {
        started.merge_report("unaware", report, REPORT_AGE);
    }
    started.set_store_era(5);
    let late = Millis(4_500);
    for report in started.reports(late) {
        restored.merge_report("started", report, late);
    }
    let due = restored.due_status(late).map(|(_, due)| due.phase);
    assert_eq!(due, Some(Phase::Done));
}
