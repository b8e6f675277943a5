//! Evacuates a failure domain and returns it to service, and starts cold backend servers.

use std::time::Duration;

use redwingfold_standins::LinkFault;
use redwingfold_standins::platform::{Engine, StoreFault};

use crate::faults::Fault;
use crate::testbed::Testbed;

/// The failure domain that is evacuated.
pub(crate) const TEST_DOMAIN: &str = "hall-2";

/// A failure domain without servers. Its evacuation order is published last, so a gateway that has applied it has also
/// applied the orders before it.
const MARKER_DOMAIN: &str = "hall-last";

/// How long an engine stays cold.
pub(crate) const COLD_DURATION: Duration = Duration::from_secs(2);

/// Mean request rate that a cold engine can handle.
pub(crate) const COLD_MEAN_REQUESTS_PER_S: f64 = 8.0;

/// Maximum number of requests that it can handle within any second: 1.5 times the mean rate plus 5, as in the bounds
/// that `Testbed::start` sets.
const COLD_MAX_REQUESTS_PER_S: usize = 17;

/// Time within which a gateway must have applied an evacuation order once the faults have ended.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(20);

/// On average, one step in this many evacuates the domain or returns it, and one in this many starts a cold engine.
const ONE_STEP_IN: u32 = 3;

/// Minimum number of consecutive steps with a readable store between two orders, about two seconds.
const MIN_UNDISTURBED_STEPS: u32 = 4;

/// Number of requests sent to each gateway after the final evacuation.
const FINAL_REQUESTS: usize = 20;

/// State of the evacuations, and of the faults that delay them.
#[derive(Debug)]
pub(crate) struct Domains {
    rng: fastrand::Rng,
    is_evacuated: bool,
    /// Faults that may keep gateways from reading the store.
    store_fault: StoreFault,
    store_link_fault: LinkFault,
    /// Number of consecutive steps in which gateways could read the store.
    undisturbed_steps: u32,
}

impl Domains {
    pub(crate) fn new(seed: u64) -> Self {
        // A sequence distinct from those of the other faults of the same seed.
        Self {
            rng: fastrand::Rng::with_seed(seed.rotate_left(32)),
            is_evacuated: false,
            store_fault: StoreFault::None,
            store_link_fault: LinkFault::None,
            undisturbed_steps: 0,
        }
    }

    /// Records a fault that is about to be injected.
    pub(crate) fn record_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Store(fault) => self.store_fault = fault,
            Fault::StoreWay(fault) => self.store_link_fault = fault,
            Fault::LostConnections(_) => self.undisturbed_steps = 0,
            _ => {}
        }
        let is_store_readable =
            matches!(self.store_fault, StoreFault::None | StoreFault::LosesAppends)
                && self.store_link_fault == LinkFault::None;
        self.undisturbed_steps = if is_store_readable { self.undisturbed_steps + 1 } else { 0 };
    }

    /// Randomly starts a cold engine, and evacuates the domain or returns it with cold engines.
    ///
    /// The next order waits until all gateways have had time to read the previous one. A gateway that never read the
    /// evacuation order would keep sending requests to the domain at the full rate, which overloads its cold engines.
    pub(crate) fn step(&mut self, testbed: &mut Testbed) -> Option<String> {
        if self.rng.u32(..ONE_STEP_IN) == 0 {
            let service = if self.rng.bool() { "plain" } else { "models" };
            testbed.add_cold_engine(service, (COLD_DURATION, COLD_MAX_REQUESTS_PER_S));
        }
        if self.rng.u32(..ONE_STEP_IN) > 0 || self.undisturbed_steps < MIN_UNDISTURBED_STEPS {
            return None;
        }
        self.undisturbed_steps = 0;
        self.is_evacuated = !self.is_evacuated;
        if !self.is_evacuated {
            domain_engines(testbed)
                .for_each(|engine| engine.set_cold(COLD_DURATION, COLD_MAX_REQUESTS_PER_S));
        }
        testbed.fleet.set_evacuation(TEST_DOMAIN, self.is_evacuated);
        if !self.is_evacuated {
            // Each engine reports that it is ready in its next heartbeat.
            let is_present =
                |engine: &&Engine| !testbed.withdrawn_engines.contains(&engine.spec.id);
            domain_engines(testbed)
                .filter(is_present)
                .for_each(|e| testbed.fleet.register(e, "ready"));
        }
        Some(format!("Empty({})", self.is_evacuated))
    }

    /// Checks that no cold engine received more requests than it can handle, and that no gateway sends requests to the
    /// domain once it has applied the evacuation order.
    pub(crate) fn check(testbed: &Testbed) -> Vec<String> {
        let fleet = &testbed.fleet;
        let engines = fleet.engines.iter().chain(&fleet.crashed);
        let most = engines
            .map(|e| (e, e.max_per_second_while_cold()))
            .filter(|(_, most)| *most > COLD_MAX_REQUESTS_PER_S);
        let mut broken: Vec<_> =
            most.map(|(e, most)| format!("cold engine {} got {most}", e.spec.id)).collect();
        fleet.store.set_fault(StoreFault::None);
        fleet.set_evacuation(TEST_DOMAIN, true);
        fleet.set_evacuation(MARKER_DOMAIN, true);
        let line = format!("event=domain_emptied domain={MARKER_DOMAIN}");
        for gateway in &fleet.gateways {
            broken.extend(
                gateway
                    .process
                    .wait_for_line(&line, EVACUATION_TIMEOUT)
                    .err()
                    .map(|e| e.to_string()),
            );
        }
        let arrivals_before: usize =
            domain_engines(testbed).map(|engine| engine.arrivals().len()).sum();
        for n in 0..FINAL_REQUESTS * fleet.gateways.len() {
            fleet.send(n % fleet.gateways.len(), "GET", "/look/a", "after-emptied", "", "");
        }
        let arrivals_after: usize =
            domain_engines(testbed).map(|engine| engine.arrivals().len()).sum();
        if arrivals_after > arrivals_before {
            broken.push(format!(
                "{} requests reached an emptied domain",
                arrivals_after - arrivals_before
            ));
        }
        fleet.set_evacuation(TEST_DOMAIN, false);
        fleet.set_evacuation(MARKER_DOMAIN, false);
        broken
    }
}

fn domain_engines(testbed: &Testbed) -> impl Iterator<Item = &Engine> {
    testbed.fleet.engines.iter().filter(|engine| engine.spec.domain == TEST_DOMAIN)
}
