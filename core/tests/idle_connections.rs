//! Idle connections to backend servers: maxima, times, eviction and restarts.

use redwingfold_core::{
    ConnectionKey, ConnectionReusePolicy, IdleConnections, Incarnation, KeepAlive, Millis,
};

fn key(server: u8, incarnation: u64) -> ConnectionKey {
    ConnectionKey {
        id: format!("p{server}").as_str().into(),
        incarnation: Some(Incarnation(incarnation)),
        addr: ([127, 0, 0, 1], 1_000 + u16::from(server)).into(),
    }
}

fn pool(max_idle: usize, max_idle_per_server: usize) -> IdleConnections<u32> {
    let policy = ConnectionReusePolicy::default();
    IdleConnections::new(ConnectionReusePolicy { max_idle, max_idle_per_server, ..policy })
}

fn timeout(seconds: u64) -> KeepAlive {
    KeepAlive { timeout: Some(Millis(seconds * 1_000)), is_exhausted: false }
}

/// Guards against a connection that is used at the moment at which its server closes it, and against one that two
/// requests get.
#[test]
fn connection_is_taken_once_and_in_time() {
    for (keep_alive, last) in [
        (KeepAlive::default(), 3_999),
        (timeout(60), 3_999),
        (timeout(5), 3_999),
        (timeout(3), 1_999),
    ] {
        let mut idle = pool(64, 1);
        assert!(idle.keep(key(1, 1), 7, keep_alive, Millis(0)));
        assert_eq!(idle.clone().take(&key(1, 1), Millis(last + 1)), None, "{keep_alive:?}");
        assert_eq!(idle.take(&key(1, 1), Millis(last)), Some(7), "{keep_alive:?}");
        assert_eq!(idle.take(&key(1, 1), Millis(last)), None, "{keep_alive:?}");
    }
}

/// Guards against a connection that is kept although its server closes it within the margin, or accepts no further
/// request on it.
#[test]
fn connection_that_ends_at_once_is_not_kept() {
    let exhausted = KeepAlive { is_exhausted: true, ..timeout(60) };
    for keep_alive in [timeout(0), timeout(1), exhausted] {
        let mut idle = pool(64, 1);
        assert!(!idle.keep(key(1, 1), 7, keep_alive, Millis(0)), "{keep_alive:?}");
        assert!(idle.is_empty(), "{keep_alive:?}");
    }
}

/// Guards against more idle connections than a server or the gateway can afford. The one that expires first is evicted,
/// also if it is the new one.
#[test]
fn connection_that_expires_first_is_evicted() {
    let mut idle = pool(2, 1);
    assert!(idle.keep(key(1, 1), 1, timeout(4), Millis(0)));
    assert!(idle.keep(key(1, 1), 2, timeout(4), Millis(10)));
    assert!(!idle.keep(key(1, 1), 3, timeout(2), Millis(20)));
    assert!(idle.keep(key(2, 1), 4, timeout(5), Millis(20)));
    assert!(idle.keep(key(3, 1), 5, timeout(5), Millis(30)));
    assert_eq!(idle.len(), 2);
    assert_eq!(idle.take(&key(1, 1), Millis(40)), None);
    assert_eq!(idle.take(&key(2, 1), Millis(40)), Some(4));
    assert_eq!(idle.take(&key(3, 1), Millis(40)), Some(5));
}

/// Guards against a request that is sent on a connection to the earlier process of a restarted server, or to the server
/// that had its address before.
#[test]
fn connections_to_earlier_processes_are_dropped() {
    let mut idle = pool(64, 4);
    assert!(idle.keep(key(1, 1), 1, KeepAlive::default(), Millis(0)));
    assert_eq!(idle.take(&key(1, 2), Millis(1)), None);
    let moved = ConnectionKey { addr: ([127, 0, 0, 1], 9_000).into(), ..key(1, 1) };
    assert_eq!(idle.take(&moved, Millis(1)), None);
    assert!(idle.keep(key(1, 2), 2, KeepAlive::default(), Millis(2)));
    assert_eq!(idle.len(), 1);
    assert!(!idle.keep(key(1, 1), 3, KeepAlive::default(), Millis(3)), "a late response");
    assert_eq!(idle.take(&key(1, 2), Millis(4)), Some(2));
}

/// Guards against connections that stay open to a server that is gone, and against the loss of those to other servers.
#[test]
fn connections_of_a_removed_server_are_dropped() {
    let mut idle = pool(64, 2);
    for (n, server) in (0..).zip([1, 1, 2]) {
        assert!(idle.keep(key(server, 1), n, KeepAlive::default(), Millis(0)));
    }
    assert_eq!(idle.retain(|key| key.id != "p1".into()), 2);
    assert_eq!(idle.take(&key(1, 1), Millis(1)), None);
    assert_eq!(idle.take(&key(2, 1), Millis(1)), Some(2));
}

/// After any sequence of operations there are never more connections than the maxima, and none is returned that has
/// expired, was returned before, or leads to another process than the requested one.
#[test]
fn maxima_and_times_hold_after_any_operations() {
    type Step = (u8, u8, u8, Option<u8>, u16);
    bolero::check!().with_type::<(u8, u8, Vec<Step>)>().for_each(|(max, per_server, steps)| {
        let (max, per_server) = (usize::from(max % 6), usize::from(per_server % 4));
        let mut idle = pool(max, per_server);
        let mut known: Vec<(ConnectionKey, Millis)> = Vec::new();
        let mut taken = std::collections::HashSet::new();
        let mut now = Millis(0);
        for (what, server, incarnation, seconds, pause) in steps {
            now = now.after(Millis(u64::from(pause % 3_000)));
            let key = key(server % 4, u64::from(incarnation % 3));
            let keep_alive = seconds.map_or(KeepAlive::default(), |s| timeout(u64::from(s % 8)));
            match what % 4 {
                0 | 1 => {
                    let allowed = keep_alive.timeout.map_or(4_000, |t| t.0.saturating_sub(1_000));
                    let expires_at = now.after(Millis(allowed.min(4_000)));
                    idle.keep(key.clone(), known.len() as u32, keep_alive, now);
                    known.push((key, expires_at));
                }
                2 => {
                    if let Some(n) = idle.take(&key, now) {
                        assert!(taken.insert(n), "returned twice");
                        let (kept_key, expires_at) = &known[n as usize];
                        assert_eq!(*kept_key, key);
                        assert!(now < *expires_at, "expired at {expires_at}, taken at {now}");
                    }
                }
                _ => {
                    idle.expire(now);
                    assert!(idle.next_expiry().is_none_or(|at| now < at));
                }
            }
            assert!(idle.len() <= max);
            for server in 0..4 {
                let mut rest = idle.clone();
                let id = format!("p{server}").as_str().into();
                assert!(rest.retain(|key| key.id != id) <= per_server);
            }
        }
    });
}
