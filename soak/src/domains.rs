//! A failure domain that is emptied and returned, and backend servers that are cold.

use std::time::Duration;

use redwingfold_standins::LinkFault;
use redwingfold_standins::platform::{Engine, StoreFault};

use crate::faults::Fault;
use crate::testbed::Testbed;

/// The domain that is emptied.
pub(crate) const TEST_DOMAIN: &str = "hall-2";

/// A domain without servers: an order for it shows how far a gateway has read.
const MARKER_DOMAIN: &str = "hall-last";

/// How long an engine is cold.
pub(crate) const COLD_DURATION: Duration = Duration::from_secs(2);

/// Requests a second that a cold engine bears on average, and the most within any second: half as many more, and five.
pub(crate) const COLD_MEAN_REQUESTS_PER_S: f64 = 8.0;
const COLD_MAX_REQUESTS_PER_S: usize = 17;

/// Longest time until a gateway knows an order once nothing disturbs it.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(20);

/// One step in so many empties the domain or returns it, and one in so many starts an engine.
const ONE_STEP_IN: u32 = 3;

/// Steps without trouble of the store between two orders: some two seconds.
const MIN_UNDISTURBED_STEPS: u32 = 4;

/// Requests to each gateway after the domain was emptied.
const FINAL_REQUESTS: usize = 20;

/// Orders to empty a domain, and engines that start meanwhile.
#[derive(Debug)]
pub(crate) struct Domains {
    rng: fastrand::Rng,
    is_evacuated: bool,
    /// What keeps gateways from reading the store.
    store_fault: StoreFault,
    store_link_fault: LinkFault,
    /// Steps in a row in which nothing did.
    undisturbed_steps: u32,
}

impl Domains {
    pub(crate) fn new(seed: u64) -> Self {
        // Not the numbers by which the other faults are drawn.
        Self {
            rng: fastrand::Rng::with_seed(seed.rotate_left(32)),
            is_evacuated: false,
            store_fault: StoreFault::None,
            store_link_fault: LinkFault::None,
            undisturbed_steps: 0,
        }
    }

    /// Notes a fault that is brought about.
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

    /// Empties the domain or returns it, whose engines are cold then, and starts engines.
    ///
    /// The operator waits until all gateways can have read the order before: one that never knew that the domain was
    /// emptied sends there as ever, which is more here than a cold engine bears.
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
        testbed.fleet.order_evacuation(TEST_DOMAIN, self.is_evacuated);
        if !self.is_evacuated {
            // Each engine says so with its next heartbeat.
            let is_present =
                |engine: &&Engine| !testbed.withdrawn_engines.contains(&engine.spec.id);
            domain_engines(testbed)
                .filter(is_present)
                .for_each(|e| testbed.fleet.register(e, "ready"));
        }
        Some(format!("Empty({})", self.is_evacuated))
    }

    /// Checks that cold engines got no more than they bear, and that no gateway sends to the domain once it knows that it
    /// is emptied.
    pub(crate) fn check(testbed: &Testbed) -> Vec<String> {
        let fleet = &testbed.fleet;
        let engines = fleet.engines.iter().chain(&fleet.crashed);
        let most = engines
            .map(|e| (e, e.max_per_second_while_cold()))
            .filter(|(_, most)| *most > COLD_MAX_REQUESTS_PER_S);
        let mut broken: Vec<_> =
            most.map(|(e, most)| format!("cold engine {} got {most}", e.spec.id)).collect();
        fleet.store.set_fault(StoreFault::None);
        fleet.order_evacuation(TEST_DOMAIN, true);
        fleet.order_evacuation(MARKER_DOMAIN, true);
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
        fleet.order_evacuation(TEST_DOMAIN, false);
        fleet.order_evacuation(MARKER_DOMAIN, false);
        broken
    }
}

fn domain_engines(testbed: &Testbed) -> impl Iterator<Item = &Engine> {
    testbed.fleet.engines.iter().filter(|engine| engine.spec.domain == TEST_DOMAIN)
}
