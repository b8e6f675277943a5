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
const HEARTBEAT: u64 = 1_200;
const LAPSE: u64 = 3_000;

/// Simulated time with faults, and time for the gateways to settle afterwards.
const SPAN: u64 = 40_000;
const SETTLE: u64 = 15_000;

/// Time after a gateway was cut off for which it may lack running servers.
const CUT_EXCUSED: u64 = 4_000;

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

    fn drop(&mut self, id: Id) {
        if self.listed.remove(&id).is_some() {
            self.records.push((id, false));
        }
    }
}

struct Server {
    beats_at: u64,
    leaves_at: u64,
    has_left: bool,
}

struct Gateway {
    registry: Registry,
    next: Option<(u32, usize)>,
    reads_at: u64,
    cut_until: u64,
    /// Servers that were in its registry, and those of them that were removed from it after they had left.
    known: HashSet<Id>,
    seen_gone: HashSet<Id>,
}

impl Gateway {
    fn new(reads_at: u64) -> Self {
        Self {
            registry: Registry::new(RegistryPolicy::default()),
            next: None,
            reads_at,
            cut_until: 0,
            known: HashSet::new(),
            seen_gone: HashSet::new(),
        }
    }

    fn believes(&self, id: &BackendId) -> bool {
        self.registry.get(id).is_some()
    }

    /// Reads the topic from the last position, or completely.
    fn read(&mut self, topic: &Topic, is_whole: bool, now: Millis) {
        let next = (topic.era, topic.records.len());
        match self.next {
            Some((era, from)) if era == topic.era && !is_whole => {
                for (id, lives) in &topic.records[from..] {
                    match lives {
                        true => drop(self.registry.put(server(*id), now)),
                        false => self.registry.remove(&name(*id), now),
                    }
                }
            }
            known => {
                let servers = topic.listed.keys().copied().map(server).collect();
                match known {
                    Some((era, _)) if era < topic.era => {
                        self.registry.replace_by_restored(servers, now)
                    }
                    _ => self.registry.replace(servers, now),
                };
            }
        }
        self.next = Some(next);
    }

    /// Returns the list that it sends to others, with the servers that it will remove soon.
    fn list(&self, now: Millis) -> PeerServerList {
        let expiring = self.registry.expiring(now).map(|(id, left)| (id.clone(), left));
        PeerServerList {
            servers: self.registry.servers(now).cloned().collect(),
            expiring: expiring.collect(),
            stale_for: self.registry.stale_for(now),
        }
    }

    /// Applies the list of another gateway.
    fn hear(&mut self, other: &Self, now: Millis) {
        self.registry.replace_by_peer_list(other.list(now), now, now);
        self.next = other.next;
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
struct Wrong {
    /// Added a server again that had left and was removed.
    taken_back: usize,
    /// Lacked a running server that was in the registry before.
    lacked: usize,
    /// Differed from the store at the end of the settling time.
    unsettled: usize,
}

/// Parameters of a simulation.
#[derive(Clone, Copy)]
struct Play {
    gateways: usize,
    /// Maximum interval between reads of a gateway.
    read_every: u64,
    has_restores: bool,
    /// Whether the list of a restored copy is treated as any other: the injected fault.
    forgets: bool,
}

/// Simulates servers that start and stop while gateways read late, are cut off, restart and exchange their lists.
fn play(play: Play, seed: u64) -> Wrong {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut gateways: Vec<_> =
        (0..play.gateways).map(|_| Gateway::new(rng.u64(..play.read_every))).collect();
    let mut servers: Vec<Server> = Vec::new();
    let ids: Vec<_> = (0..MAX_SERVERS).map(name).collect();
    let (mut topic, mut copy) = (Topic::default(), Topic::default());
    let mut wrong = Wrong::default();
    for at in (0..SPAN + SETTLE).step_by(STEP as usize) {
        let (now, is_calm) = (Millis(at), at >= SPAN);
        if !is_calm && servers.len() < MAX_SERVERS && (servers.len() < 10 || rng.u32(..75) == 0) {
            let leaves_at = at + rng.u64(5_000..60_000);
            // At the end no server leaves, so that all gateways can reach the same state.
            let leaves_at = if leaves_at < SPAN { leaves_at } else { u64::MAX };
            servers.push(Server { beats_at: at, leaves_at, has_left: false });
        }
        for (id, server) in servers.iter_mut().enumerate() {
            if server.beats_at <= at && at < server.leaves_at {
                server.beats_at = at + HEARTBEAT;
                topic.put(id, at);
            }
            if at >= server.leaves_at && !server.has_left {
                server.has_left = true;
                topic.drop(id);
            }
        }
        let lapsed: Vec<_> = topic
            .listed
            .iter()
            .filter(|(_, beat)| **beat + LAPSE < at)
            .map(|(id, _)| *id)
            .collect();
        lapsed.into_iter().for_each(|id| topic.drop(id));
        if rng.u32(..60) == 0 {
            copy = topic.clone();
        }
        if play.has_restores && !is_calm && rng.u32(..160) == 0 {
            // Records in the copy start to expire at the restore.
            let listed = copy.listed.keys().map(|id| (*id, at)).collect();
            topic = Topic { records: copy.records.clone(), listed, era: topic.era + 1 };
        }
        for g in 0..gateways.len() {
            if !is_calm && rng.u32(..600) == 0 {
                gateways[g] = Gateway::new(at);
            }
            if !is_calm && rng.u32(..600) == 0 {
                gateways[g].cut_until = at + rng.u64(..6_000);
            }
            gateways[g].registry.expire(now);
            if at >= gateways[g].reads_at && at >= gateways[g].cut_until {
                gateways[g].reads_at = at + rng.u64(..play.read_every);
                let other = rng.usize(..gateways.len());
                let is_ahead = gateways[other].next > gateways[g].next;
                if is_ahead && rng.bool() && at >= gateways[other].cut_until {
                    let [gateway, other] = gateways.get_disjoint_mut([g, other]).unwrap();
                    gateway.hear(other, now);
                } else {
                    if play.forgets && gateways[g].next.is_some_and(|(era, _)| era < topic.era) {
                        gateways[g].next = None;
                    }
                    let is_whole = rng.u32(..8) == 0;
                    gateways[g].read(&topic, is_whole, now);
                }
            }
            judge(&mut gateways[g], &servers, &ids, at, &mut wrong);
        }
    }
    let is_unsettled = |gateway: &&Gateway| {
        let believes = |id: Id| gateway.believes(&ids[id]);
        (0..servers.len()).any(|id| believes(id) != topic.listed.contains_key(&id))
    };
    wrong.unsettled = gateways.iter().filter(is_unsettled).count();
    wrong
}

fn judge(gateway: &mut Gateway, servers: &[Server], ids: &[BackendId], at: u64, wrong: &mut Wrong) {
    let is_excused = at < gateway.cut_until + CUT_EXCUSED;
    for (id, server) in servers.iter().enumerate() {
        let lives = at < server.leaves_at;
        match (gateway.believes(&ids[id]), lives) {
            (true, false) if gateway.seen_gone.remove(&id) => wrong.taken_back += 1,
            (true, _) => drop(gateway.known.insert(id)),
            (false, false) if gateway.known.contains(&id) => drop(gateway.seen_gone.insert(id)),
            (false, true) if gateway.known.contains(&id) && !is_excused => wrong.lacked += 1,
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
                let wrong = play(Play { gateways, read_every, has_restores, forgets: false }, seed);
                let what = format!("{gateways} gateways, seed {seed}, restores: {has_restores}");
                assert_eq!(wrong, Wrong::default(), "{what}");
            }
        }
    }
}

/// Guards against a check that cannot fail: gateways that treat the list of a copy as current add servers again that
/// have left, or lose some.
#[test]
fn server_that_comes_back_with_a_copy_is_caught() {
    let wrong = |seed| {
        let wrong = play(
            Play { gateways: 27, read_every: READ_EVERY, has_restores: true, forgets: true },
            seed,
        );
        wrong.taken_back + wrong.lacked + wrong.unsettled
    };
    assert!((0..5).map(wrong).sum::<usize>() > 0);
}
