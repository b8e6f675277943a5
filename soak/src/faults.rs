//! Derives the schedule of faults from a seed, and injects the faults.

use std::fmt;
use std::sync::atomic::Ordering;
use std::time::Duration;

use redwingfold_standins::platform::StoreFault;
use redwingfold_standins::{LinkFault, TcpProxy};

use crate::testbed::Testbed;

/// A fault. Its `Debug` form is printed in the list of faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// Publishes a new version of the configuration, in which an API key is removed or restored.
    Configure,
    /// An engine reports that it is draining, and is unregistered.
    Drain,
    /// Suspends a gateway's process for a time.
    Freeze(usize),
    /// Sets a fault on the connections to an engine, which is selected by a number.
    EngineWay(usize, LinkFault),
    /// Sets a fault on the connections to the store.
    StoreWay(LinkFault),
    /// All open connections to the store, and to an engine selected by a number, go silent without being closed, as
    /// after a middlebox lost its connection state.
    LostConnections(usize),
    /// Kills and restarts a gateway.
    Kill(usize),
    /// Kills all gateways at once and restarts them.
    KillAll,
    /// Sets the share of engine responses that fail, in thousandths.
    Mishaps(u32),
    /// Starts a new engine.
    NewEngine,
    /// Sends SIGTERM to a gateway, which must exit by itself, and restarts it.
    Stop(usize),
    /// Sets a fault of the store.
    Store(StoreFault),
    /// Removes the records from the logs of two topics of the store; the latest value of each key stays.
    StoreForgets,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

/// A fault with its place in the schedule.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduledFault {
    /// Time to wait after the previous fault.
    pub(crate) delay: Duration,
    pub(crate) fault: Fault,
}

/// Draws the schedule of faults for a seed.
pub(crate) fn schedule(seed: u64, gateways: usize, duration: Duration) -> Vec<ScheduledFault> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut scheduled, mut elapsed) = (Vec::new(), Duration::ZERO);
    while elapsed < duration {
        let delay = Duration::from_millis(rng.u64(50..900));
        elapsed += delay;
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
        scheduled.push(ScheduledFault { delay, fault });
    }
    scheduled
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

/// Time within which a gateway must exit after SIGTERM: its grace period and a margin.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);

/// Returns the proxy in front of the engine that is selected by a number.
fn engine_proxy(testbed: &Testbed, n: usize) -> Option<&TcpProxy> {
    let engines = &testbed.fleet.engines;
    let engine = engines.get(n % engines.len().max(1))?;
    testbed.fleet.engine_proxies.get(&engine.spec.id)
}

/// Clears the faults of all proxies. The proxy in front of the store returns to its normal rate.
pub(crate) fn clear_link_faults(testbed: &Testbed) {
    testbed.fleet.engine_proxies.values().for_each(|proxy| proxy.set_fault(LinkFault::None));
    testbed.fleet.store_proxy.iter().for_each(|proxy| proxy.set_fault(testbed.normal_store_link));
}

/// How long a gateway is suspended.
const FREEZE_DURATION: Duration = Duration::from_millis(1_200);

/// Injects a fault.
///
/// # Errors
///
/// Returns a description of the violation if a gateway violates a guarantee meanwhile.
pub(crate) fn inject(testbed: &mut Testbed, fault: Fault) -> Result<(), String> {
    match fault {
        Fault::Configure => {
            let keys = &mut testbed.config.keys[1].1;
            if keys.is_empty() {
                keys.push("key-haus")
            } else {
                keys.clear()
            }
            testbed.publish();
        }
        Fault::Drain => {
            let service = testbed.fleet.engines.first().map(|e| e.spec.service.clone());
            let same_service =
                testbed.fleet.engines.iter().filter(|e| Some(&e.spec.service) == service.as_ref());
            if same_service.count() > 2 {
                let engine = testbed.fleet.engines.remove(0);
                testbed.fleet.register(&engine, "draining");
                testbed.fleet.unregister(&engine);
                testbed.withdrawn_engines.insert(engine.spec.id.clone());
                testbed.fleet.engines.push(engine);
            }
        }
        Fault::Freeze(n) => {
            testbed.fleet.gateways[n].process.freeze();
            std::thread::sleep(FREEZE_DURATION);
            testbed.fleet.gateways[n].process.thaw();
        }
        Fault::Kill(n) => {
            testbed.fleet.gateways[n].process.kill();
            testbed.fleet.restart(n);
        }
        Fault::KillAll => {
            testbed.fleet.gateways.iter().for_each(|g| g.process.kill());
            (0..testbed.fleet.gateways.len()).for_each(|n| testbed.fleet.restart(n));
        }
        Fault::Mishaps(per_mille) => {
            testbed.engine_faults.per_mille.store(per_mille, Ordering::SeqCst)
        }
        Fault::NewEngine => {
            let service =
                if testbed.fleet.engines.len().is_multiple_of(2) { "plain" } else { "models" };
            testbed.add_engine(service, "v1");
        }
        Fault::Stop(n) => {
            testbed.fleet.gateways[n].process.term();
            let exit_status = testbed.fleet.gateways[n].process.wait(STOP_TIMEOUT);
            testbed.fleet.restart(n);
            if !exit_status.is_some_and(|status| status.success()) {
                return Err(format!("gateway {n} did not end by itself within {STOP_TIMEOUT:?}"));
            }
        }
        Fault::Store(fault) => testbed.fleet.store.set_fault(fault),
        Fault::StoreWay(fault) => {
            let fault = if fault == LinkFault::None { testbed.normal_store_link } else { fault };
            testbed.fleet.store_proxy.iter().for_each(|proxy| proxy.set_fault(fault));
        }
        Fault::EngineWay(n, fault) => {
            engine_proxy(testbed, n).into_iter().for_each(|proxy| proxy.set_fault(fault));
        }
        Fault::LostConnections(n) => {
            let proxies = engine_proxy(testbed, n).into_iter().chain(&testbed.fleet.store_proxy);
            proxies.for_each(TcpProxy::silence_connections);
        }
        Fault::StoreForgets => {
            testbed.fleet.store.drop_records("keyed.op");
            testbed.fleet.store.drop_records("keyed.servers");
        }
    }
    Ok(())
}
