//! The registry of backend servers through restores of the store, in virtual time.

use std::collections::{HashMap, HashSet};

use redwingfold_core::{
    BackendId, BackendServer, Incarnation, Millis, PeerServerList, Registry, RegistryPolicy,
    ServerState,
};

/// Maximum interval between reads of a gateway, where a server that leaves must be out of use within four seconds, and
/// within two.
const READ_EVERY: u64 = 1_000;
const READ_EVERY_SOONER: u64 = 500;

/// Heartbeat interval of a server, and time without a heartbeat after which the store drops its record.
const HEARTBEAT_INTERVAL: u64 = 1_200;
const RECORD_TTL: u64 = 3_000;

/// Simulated time with faults, and time for the gateways to settle afterwards.
const FAULT_PHASE: u64 = 40_000;
const SETTLING_TIME: u64 = 15_000;

/// Time after a gateway was cut off for which it may lack running servers.
const PARTITION_GRACE: u64 = 4_000;

const STEP: u64 = 50;

const MAX_SERVERS: usize = 40;

type Id = usize;

/// The topic of the servers: each record is a registration or a removal.
#[derive(Clone, Default)]
struct Topic {
    records: Vec<(Id, bool)>,
    listed: HashMap<Id, u64>,
    era: u32,
}

impl Topic {
    fn put(&mut self, id: Id, at: u64) {
        self.records.push((id, true));
        self.listed.insert(id, at);
    }

    fn remove(&mut self, id: Id) {
        if self.listed.remove(&id).is_some() {
            self.records.push((id, false));
        }
    }
}

struct Server {
    next_heartbeat_at: u64,
    leaves_at: u64,
    has_left: bool,
}

struct Gateway {
    registry: Registry,
    position: Option<(u32, usize)>,
    next_read_at: u64,
    partitioned_until: u64,
    /// Servers that were in its registry, and those of them that were removed from it after they had left.
    registered: HashSet<Id>,
    removed: HashSet<Id>,
}

impl Gateway {
    fn new(next_read_at: u64) -> Self {
        Self {
            registry: Registry::new(RegistryPolicy::default()),
            position: None,
            next_read_at,
            partitioned_until: 0,
            registered: HashSet::new(),
            removed: HashSet::new(),
        }
    }

    fn has_server(&self, id: &BackendId) -> bool {
        self.registry.get(id).is_some()
    }

    /// Reads the topic from the last position, or completely.
    fn read(&mut self, topic: &Topic, is_full: bool, now: Millis) {
        let position = (topic.era, topic.records.len());
        match self.position {
            Some((era, from)) if era == topic.era && !is_full => {
                for (id, is_registration) in &topic.records[from..] {
                    match is_registration {
                        true => drop(self.registry.put(server(*id), now)),
                        false => self.registry.remove(&name(*id), now),
                    }
                }
            }
            previous => {
                let servers = topic.listed.keys().copied().map(server).collect();
                match previous {
                    Some((era, _)) if era < topic.era => {
                        self.registry.replace_by_restored(servers, now)
                    }
                    _ => self.registry.replace(servers, now),
                };
            }
        }
        self.position = Some(position);
    }

    /// Returns the list that it sends to others, with the servers that it will remove soon.
    fn peer_list(&self, now: Millis) -> PeerServerList {
        let expiring = self.registry.expiring(now).map(|(id, left)| (id.clone(), left));
        PeerServerList {
            servers: self.registry.servers(now).cloned().collect(),
            expiring: expiring.collect(),
            stale_for: self.registry.stale_for(now),
        }
    }

    /// Applies the list of another gateway.
    fn apply_peer_list(&mut self, other: &Self, now: Millis) {
        self.registry.replace_by_peer_list(other.peer_list(now), now, now);
        self.position = other.position;
    }
}

fn name(id: Id) -> BackendId {
    id.to_string().as_str().into()
}

fn server(id: Id) -> BackendServer {
    BackendServer {
        id: name(id),
        service: "models".into(),
        addr: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        domain: "hall-1".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 8,
        state: ServerState::Ready,
        models: Vec::new(),
        incarnation: Some(Incarnation(1)),
        cold_left: Millis(0),
    }
}

/// Number of errors in the registries of the gateways.
#[derive(Debug, Default, Eq, PartialEq)]
struct Violations {
    /// Added a server again that had left and was removed.
    taken_back: usize,
    /// Lacked a running server that was in the registry before.
    lacked: usize,
    /// Differed from the store at the end of the settling time.
    unsettled: usize,
}

/// Parameters of a simulation.
#[derive(Clone, Copy)]
struct Scenario {
    gateways: usize,
    /// Maximum interval between reads of a gateway.
    read_every: u64,
    has_restores: bool,
    /// Whether the list of a restored copy is treated as any other: the injected fault.
    ignores_restores: bool,
}

/// Simulates servers that start and stop while gateways read late, are cut off, restart and exchange their lists.
fn simulate(scenario: Scenario, seed: u64) -> Violations {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut gateways: Vec<_> =
        (0..scenario.gateways).map(|_| Gateway::new(rng.u64(..scenario.read_every))).collect();
    let mut servers: Vec<Server> = Vec::new();
    let ids: Vec<_> = (0..MAX_SERVERS).map(name).collect();
    let (mut topic, mut backup) = (Topic::default(), Topic::default());
    let mut violations = Violations::default();
    for at in (0..FAULT_PHASE + SETTLING_TIME).step_by(STEP as usize) {
        let (now, is_settling) = (Millis(at), at >= FAULT_PHASE);
        if !is_settling && servers.len() < MAX_SERVERS && (servers.len() < 10 || rng.u32(..75) == 0)
        {
            let leaves_at = at + rng.u64(5_000..60_000);
            // At the end no server leaves, so that all gateways can reach the same state.
            let leaves_at = if leaves_at < FAULT_PHASE { leaves_at } else { u64::MAX };
            servers.push(Server { next_heartbeat_at: at, leaves_at, has_left: false });
        }
        for (id, server) in servers.iter_mut().enumerate() {
            if server.next_heartbeat_at <= at && at < server.leaves_at {
                server.next_heartbeat_at = at + HEARTBEAT_INTERVAL;
                topic.put(id, at);
            }
            if at >= server.leaves_at && !server.has_left {
                server.has_left = true;
                topic.remove(id);
            }
        }
        let expired: Vec<_> = topic
            .listed
            .iter()
            .filter(|(_, heartbeat_at)| **heartbeat_at + RECORD_TTL < at)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| topic.remove(id));
        if rng.u32(..60) == 0 {
            backup = topic.clone();
        }
        if scenario.has_restores && !is_settling && rng.u32(..160) == 0 {
            // Records in the copy start to expire at the restore.
            let listed = backup.listed.keys().map(|id| (*id, at)).collect();
            topic = Topic { records: backup.records.clone(), listed, era: topic.era + 1 };
        }
        for g in 0..gateways.len() {
            if !is_settling && rng.u32(..600) == 0 {
                gateways[g] = Gateway::new(at);
            }
            if !is_settling && rng.u32(..600) == 0 {
                gateways[g].partitioned_until = at + rng.u64(..6_000);
            }
            gateways[g].registry.expire(now);
            if at >= gateways[g].next_read_at && at >= gateways[g].partitioned_until {
                gateways[g].next_read_at = at + rng.u64(..scenario.read_every);
                let other = rng.usize(..gateways.len());
                let is_ahead = gateways[other].position > gateways[g].position;
                if is_ahead && rng.bool() && at >= gateways[other].partitioned_until {
                    let [gateway, other] = gateways.get_disjoint_mut([g, other]).unwrap();
                    gateway.apply_peer_list(other, now);
                } else {
                    if scenario.ignores_restores
                        && gateways[g].position.is_some_and(|(era, _)| era < topic.era)
                    {
                        gateways[g].position = None;
                    }
                    let is_full = rng.u32(..8) == 0;
                    gateways[g].read(&topic, is_full, now);
                }
            }
            count_violations(&mut gateways[g], &servers, &ids, at, &mut violations);
        }
    }
    let is_unsettled = |gateway: &&Gateway| {
        let has_server = |id: Id| gateway.has_server(&ids[id]);
        (0..servers.len()).any(|id| has_server(id) != topic.listed.contains_key(&id))
    };
    violations.unsettled = gateways.iter().filter(is_unsettled).count();
    violations
}

fn count_violations(
    gateway: &mut Gateway,
    servers: &[Server],
    ids: &[BackendId],
    at: u64,
    violations: &mut Violations,
) {
    let is_in_grace = at < gateway.partitioned_until + PARTITION_GRACE;
    for (id, server) in servers.iter().enumerate() {
        let is_running = at < server.leaves_at;
        match (gateway.has_server(&ids[id]), is_running) {
            (true, false) if gateway.removed.remove(&id) => violations.taken_back += 1,
            (true, _) => drop(gateway.registered.insert(id)),
            (false, false) if gateway.registered.contains(&id) => drop(gateway.removed.insert(id)),
            (false, true) if gateway.registered.contains(&id) && !is_in_grace => {
                violations.lacked += 1
            }
            (false, _) => {}
        }
    }
}

/// Guards against gateways that send requests to a server that has left, or refuse requests although servers are
/// running, after the store is restored from a copy.
#[test]
fn servers_hold_through_cuts_restarts_and_restores() {
    check(READ_EVERY);
}

/// The same with reads at twice the rate.
#[test]
fn servers_hold_through_restores_where_gateways_read_sooner() {
    check(READ_EVERY_SOONER);
}

fn check(read_every: u64) {
    for (gateways, seeds) in [(3, 30), (27, 5), (103, 1)] {
        for seed in 0..seeds {
            for has_restores in [false, true] {
                let violations = simulate(
                    Scenario { gateways, read_every, has_restores, ignores_restores: false },
                    seed,
                );
                let case = format!("{gateways} gateways, seed {seed}, restores: {has_restores}");
                assert_eq!(violations, Violations::default(), "{case}");
            }
        }
    }
}

/// Guards against a check that cannot fail: gateways that treat the list of a copy as current add servers again that
/// have left, or lose some.
#[test]
fn server_that_comes_back_with_a_copy_is_caught() {
    let violations = |seed| {
        let violations = simulate(
            Scenario {
                gateways: 27,
                read_every: READ_EVERY,
                has_restores: true,
                ignores_restores: true,
            },
            seed,
        );
        violations.taken_back + violations.lacked + violations.unsettled
    };
    assert!((0..5).map(violations).sum::<usize>() > 0);
}
