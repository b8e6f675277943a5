//! The schedule of faults that a seed gives, and how each is brought about.

use std::fmt;
use std::sync::atomic::Ordering;
use std::time::Duration;

use redwingfold_standins::platform::StoreFault;
use redwingfold_standins::{LinkFault, TcpProxy};

use crate::world::World;

/// A fault, with how long it lasts where it ends by itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// A new version of the configuration, with a key gone or back.
    Configure,
    /// An engine reports that it drains, and is gone later.
    Drain,
    /// A gateway stands still.
    Freeze(usize),
    /// The way to an engine is disturbed, the engine drawn by a number.
    EngineWay(usize, LinkFault),
    /// The way to the store is disturbed.
    StoreWay(LinkFault),
    /// Something on the way to the store, and to an engine drawn by a number, loses track of all open
    /// connections.
    LostConnections(usize),
    /// A gateway is killed and started anew.
    Kill(usize),
    /// All gateways are killed at once and started anew.
    KillAll,
    /// This many thousandths of the engines' answers go wrong.
    Mishaps(u32),
    /// A new engine comes.
    NewEngine,
    /// A gateway is asked to stop, ends by itself and is started anew.
    Stop(usize),
    /// The store misbehaves.
    Store(StoreFault),
    /// The store forgets its history.
    StoreForgets,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// One fault of a schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Planned {
    /// Time since the fault before.
    pub(crate) after: Duration,
    pub(crate) fault: Fault,
}

/// Draws the schedule of a seed.
pub(crate) fn schedule(seed: u64, gateways: usize, length: Duration) -> Vec<Planned> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut planned, mut at) = (Vec::new(), Duration::ZERO);
    while at < length {
        let after = Duration::from_millis(rng.u64(50..900));
        at += after;
        let fault = match rng.u32(..19) {
            0 => Fault::Configure,
            1 => Fault::Drain,
            2 => Fault::Freeze(rng.usize(..gateways)),
            3 => Fault::Kill(rng.usize(..gateways)),
            4 => Fault::KillAll,
            5 | 6 => Fault::Mishaps(rng.u32(..300)),
            7 => Fault::NewEngine,
            8 | 9 => Fault::Stop(rng.usize(..gateways)),
            10 => Fault::StoreForgets,
            11 => Fault::StoreWay(link_fault(&mut rng)),
            12..=14 => Fault::EngineWay(rng.usize(..1_000), link_fault(&mut rng)),
            15 => Fault::LostConnections(rng.usize(..1_000)),
            _ => Fault::Store(store_fault(&mut rng)),
        };
        planned.push(Planned { after, fault });
    }
    planned
}

fn store_fault(rng: &mut fastrand::Rng) -> StoreFault {
    let all = [
        StoreFault::Busy,
        StoreFault::LosesAppends,
        StoreFault::None,
        StoreFault::None,
        StoreFault::Resets,
        StoreFault::Silent,
    ];
    all[rng.usize(..all.len())]
}

fn link_fault(rng: &mut fastrand::Rng) -> LinkFault {
    let all = [
        LinkFault::Cut,
        LinkFault::Delay(Duration::from_millis(rng.u64(5..200))),
        LinkFault::None,
        LinkFault::OneWay,
        LinkFault::Silent,
    ];
    all[rng.usize(..all.len())]
}

/// Longest time in which a gateway that was asked to stop must have ended: its grace and a margin.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Returns the way to an engine that is drawn by a number.
fn engine_way(world: &World, n: usize) -> Option<&TcpProxy> {
    let engines = &world.fleet.engines;
    let engine = engines.get(n % engines.len().max(1))?;
    world.fleet.engine_proxies.get(&engine.spec.id)
}

/// Lets all bytes through again.
pub(crate) fn clear_ways(world: &World) {
    world.fleet.engine_proxies.values().for_each(|way| way.set_fault(LinkFault::None));
    world.fleet.store_proxy.iter().for_each(|way| way.set_fault(world.calm_way));
}

/// Length of a freeze.
const FREEZE: Duration = Duration::from_millis(1_200);

/// Brings a fault about; `Err` if the gateway broke a promise in it.
pub(crate) fn bring_about(world: &mut World, fault: Fault) -> Result<(), String> {
    match fault {
        Fault::Configure => {
            let keys = &mut world.config.keys[1].1;
            if keys.is_empty() {
                keys.push("key-haus")
            } else {
                keys.clear()
            }
            world.publish();
        }
        Fault::Drain => {
            let service = world.fleet.engines.first().map(|e| e.spec.service.clone());
            let rest =
                world.fleet.engines.iter().filter(|e| Some(&e.spec.service) == service.as_ref());
            if rest.count() > 2 {
                let engine = world.fleet.engines.remove(0);
                world.fleet.register(&engine, "draining");
                world.fleet.unregister(&engine);
                world.left.insert(engine.spec.id.clone());
                world.fleet.engines.push(engine);
            }
        }
        Fault::Freeze(n) => {
            world.fleet.gateways[n].process.freeze();
            std::thread::sleep(FREEZE);
            world.fleet.gateways[n].process.thaw();
        }
        Fault::Kill(n) => {
            world.fleet.gateways[n].process.kill();
            world.fleet.restart(n);
        }
        Fault::KillAll => {
            world.fleet.gateways.iter().for_each(|g| g.process.kill());
            (0..world.fleet.gateways.len()).for_each(|n| world.fleet.restart(n));
        }
        Fault::Mishaps(share) => world.mishaps.any.store(share, Ordering::SeqCst),
        Fault::NewEngine => {
            let service =
                if world.fleet.engines.len().is_multiple_of(2) { "plain" } else { "models" };
            world.add_engine(service, "v1");
        }
        Fault::Stop(n) => {
            world.fleet.gateways[n].process.term();
            let ended = world.fleet.gateways[n].process.wait(STOP_LIMIT);
            world.fleet.restart(n);
            if !ended.is_some_and(|status| status.success()) {
                return Err(format!("gateway {n} did not end by itself within {STOP_LIMIT:?}"));
            }
        }
        Fault::Store(fault) => world.fleet.store.set_fault(fault),
        Fault::StoreWay(fault) => {
            let fault = if fault == LinkFault::None { world.calm_way } else { fault };
            world.fleet.store_proxy.iter().for_each(|way| way.set_fault(fault));
        }
        Fault::EngineWay(n, fault) => {
            engine_way(world, n).into_iter().for_each(|way| way.set_fault(fault));
        }
        Fault::LostConnections(n) => {
            let ways = engine_way(world, n).into_iter().chain(&world.fleet.store_proxy);
            ways.for_each(TcpProxy::silence_connections);
        }
        Fault::StoreForgets => {
            world.fleet.store.drop_records("keyed.op");
            world.fleet.store.drop_records("keyed.servers");
        }
    }
    Ok(())
}
