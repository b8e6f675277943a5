//! A failure domain that is emptied and returned, and backend servers that are cold.

use std::time::Duration;

use redwingfold_standins::LinkFault;
use redwingfold_standins::platform::{Engine, StoreFault};

use crate::faults::Fault;
use crate::world::World;

/// The domain that is emptied.
pub(crate) const DOMAIN: &str = "hall-2";

/// A domain without servers: an order for it shows how far a gateway has read.
const MARKER: &str = "hall-last";

/// How long an engine is cold.
pub(crate) const COLD: Duration = Duration::from_secs(2);

/// Requests a second that a cold engine bears on average, and the most within any second: half as many more, and five.
pub(crate) const PER_SECOND: f64 = 8.0;
const BEARS: usize = 17;

/// Longest time until a gateway knows an order once nothing disturbs it.
const LIMIT: Duration = Duration::from_secs(20);

/// One step in so many empties the domain or returns it, and one in so many starts an engine.
const ONE_STEP_IN: u32 = 3;

/// Steps without trouble of the store between two orders: some two seconds.
const CALM_STEPS: u32 = 4;

/// Requests to each gateway after the domain was emptied.
const LAST_REQUESTS: usize = 20;

/// Orders to empty a domain, and engines that start meanwhile.
#[derive(Debug)]
pub(crate) struct Domains {
    rng: fastrand::Rng,
    is_emptied: bool,
    /// What keeps gateways from reading the store.
    store: StoreFault,
    way: LinkFault,
    /// Steps in a row in which nothing did.
    calm: u32,
}

impl Domains {
    pub(crate) fn new(seed: u64) -> Self {
        // Not the numbers by which the other faults are drawn.
        Self {
            rng: fastrand::Rng::with_seed(seed.rotate_left(32)),
            is_emptied: false,
            store: StoreFault::None,
            way: LinkFault::None,
            calm: 0,
        }
    }

    /// Notes a fault that is brought about.
    pub(crate) fn notes(&mut self, fault: Fault) {
        match fault {
            Fault::Store(fault) => self.store = fault,
            Fault::StoreWay(fault) => self.way = fault,
            Fault::LostConnections(_) => self.calm = 0,
            _ => {}
        }
        let is_read = matches!(self.store, StoreFault::None | StoreFault::LosesAppends)
            && self.way == LinkFault::None;
        self.calm = if is_read { self.calm + 1 } else { 0 };
    }

    /// Empties the domain or returns it, whose engines are cold then, and starts engines.
    ///
    /// The operator waits until all gateways can have read the order before: one that never knew that the domain was
    /// emptied sends there as ever, which is more here than a cold engine bears.
    pub(crate) fn step(&mut self, world: &mut World) -> Option<String> {
        if self.rng.u32(..ONE_STEP_IN) == 0 {
            let service = if self.rng.bool() { "plain" } else { "models" };
            world.add_cold_engine(service, (COLD, BEARS));
        }
        if self.rng.u32(..ONE_STEP_IN) > 0 || self.calm < CALM_STEPS {
            return None;
        }
        self.calm = 0;
        self.is_emptied = !self.is_emptied;
        if !self.is_emptied {
            engines_there(world).for_each(|engine| engine.set_cold(COLD, BEARS));
        }
        world.fleet.order_evacuation(DOMAIN, self.is_emptied);
        if !self.is_emptied {
            // Each engine says so with its next heartbeat.
            let here = |engine: &&Engine| !world.left.contains(&engine.spec.id);
            engines_there(world).filter(here).for_each(|e| world.fleet.register(e, "ready"));
        }
        Some(format!("Empty({})", self.is_emptied))
    }

    /// Checks that cold engines got no more than they bear, and that no gateway sends to the domain once it knows that it
    /// is emptied.
    pub(crate) fn check(world: &World) -> Vec<String> {
        let fleet = &world.fleet;
        let engines = fleet.engines.iter().chain(&fleet.crashed);
        let most =
            engines.map(|e| (e, e.max_per_second_while_cold())).filter(|(_, most)| *most > BEARS);
        let mut broken: Vec<_> =
            most.map(|(e, most)| format!("cold engine {} got {most}", e.spec.id)).collect();
        fleet.store.set_fault(StoreFault::None);
        fleet.order_evacuation(DOMAIN, true);
        fleet.order_evacuation(MARKER, true);
        let line = format!("event=domain_emptied domain={MARKER}");
        for gateway in &fleet.gateways {
            broken.extend(gateway.process.wait_for_line(&line, LIMIT).err().map(|e| e.to_string()));
        }
        let before: usize = engines_there(world).map(|engine| engine.arrivals().len()).sum();
        for n in 0..LAST_REQUESTS * fleet.gateways.len() {
            fleet.send(n % fleet.gateways.len(), "GET", "/look/a", "after-emptied", "", "");
        }
        let after: usize = engines_there(world).map(|engine| engine.arrivals().len()).sum();
        if after > before {
            broken.push(format!("{} requests reached an emptied domain", after - before));
        }
        fleet.order_evacuation(DOMAIN, false);
        fleet.order_evacuation(MARKER, false);
        broken
    }
}

fn engines_there(world: &World) -> impl Iterator<Item = &Engine> {
    world.fleet.engines.iter().filter(|engine| engine.spec.domain == DOMAIN)
}
