//! Exchange of orders and backend servers between gateways: encoded data decodes to the same, and invalid data is
//! refused.

use bytes::Bytes;
use redwingfold_core::{BackendServer, Millis, Registry, ServerState};

use super::delta;
use super::servers::ServerList;
use super::snapshot::{OrderSnapshots, OrdersReply, Record, ReplyError};

const MAX: usize = 16 * 1024 * 1024;

/// Returns the text of a configuration with `routes` routes. Those from `first` on depend on the seed.
fn config(routes: usize, first: usize, seed: u64) -> Bytes {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut other = fastrand::Rng::with_seed(seed);
    let word = |rng: &mut fastrand::Rng| -> String {
        (0..8).map(|_| char::from(rng.u8(b'a'..=b'z'))).collect()
    };
    let mut text = String::from("{\"routes\":[");
    for n in 0..routes {
        let rng = if n < first { &mut rng } else { &mut other };
        text += &format!(
            "{{\"name\":\"r-{}\",\"host\":\"slips.example\",\"prefix\":\"/{}/\",\"kind\":\"idempotent\",\
             \"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"service\":\"pool\",\"max_attempts\":2}},",
            word(rng),
            word(rng)
        );
    }
    (text + "]}").into()
}

fn record(key: &str, value: &Bytes) -> Record {
    Record { key: key.to_owned(), value: Some(value.clone()) }
}

fn orders(config: &Bytes, next: u64) -> OrderSnapshots {
    let mut orders = OrderSnapshots::default();
    let rollout = Bytes::from_static(b"{\"target\":\"v2\"}");
    orders.record_read(
        &[record("config", config), record("rollout/pool", &rollout)],
        true,
        next,
        Millis(0),
    );
    orders
}

fn reply_for(from: &mut OrderSnapshots, to: &OrderSnapshots, next: u64) -> OrdersReply {
    from.reply_to(to.digest(), Some(next), Millis(40)).expect("the sender is ahead")
}

/// Guards against a gateway on a slow link waiting for whole configurations. The delta for one new route among 4,250
/// takes less than a thousandth of the configuration's length, and for a third more routes less than a fiftieth. At 10
/// Mbit/s, the whole configuration of 0.8 MB takes 680 ms, a delta about 10 ms.
#[test]
fn change_in_a_large_configuration_takes_few_bytes() {
    let before = config(4_250, 4_250, 0);
    for (routes, part) in [(1, 1_000), (1_400, 50)] {
        let after = config(4_250 + routes, 4_250, 1);
        let delta = delta::encode(&after, &before).unwrap();
        assert!(delta.len() * part < after.len(), "{} of {} bytes", delta.len(), after.len());
        assert_eq!(delta::decode(&delta, &before, after.len()).unwrap(), after);
    }
}

/// A gateway that is up to four snapshots behind gets a delta. One that is further behind or has just started gets the
/// whole snapshot, and one that is not behind gets nothing.
#[test]
fn whoever_is_behind_gets_the_newest() {
    let configs: Vec<_> = (0..8).map(|n| config(500 + n, 500, n as u64)).collect();
    let mut ahead = orders(&configs[0], 1);
    let mut behind: Vec<_> = configs.iter().take(7).map(|config| orders(config, 1)).collect();
    for (n, config) in configs.iter().enumerate().skip(1) {
        ahead.record_read(&[record("config", config)], false, 1 + n as u64, Millis(10 * n as u64));
    }
    for (n, gateway) in behind.iter_mut().enumerate() {
        let reply = reply_for(&mut ahead, gateway, 1);
        assert_eq!(reply.base.is_some(), n >= 3, "four earlier ones are kept, and this is {n}");
        assert_eq!((reply.next, reply.age), (8, 0));
        let records = gateway.apply_reply(&reply, Millis(70), MAX).unwrap();
        assert_eq!(records[0], record("config", &configs[7]));
        assert_eq!((records.len(), gateway.digest()), (2, ahead.digest()));
    }
    let reply = ahead.reply_to(None, None, Millis(90)).unwrap();
    assert_eq!((reply.base, reply.age), (None, 20));
    assert!(ahead.reply_to(behind[0].digest(), Some(8), Millis(90)).is_none());
}

/// Keys are deleted and changed, and sometimes all are read anew. In every order of reads and fetches, the fetching
/// gateway has the same records as the reading one.
#[test]
fn fetched_records_are_those_that_were_read() {
    let mut rng = fastrand::Rng::with_seed(21);
    let (mut reader, mut fetcher) = (OrderSnapshots::default(), OrderSnapshots::default());
    for next in 1..400 {
        let key = format!("key-{}", rng.u8(..6));
        let value = rng.bool().then(|| config(rng.usize(..40), 0, next));
        reader.record_read(&[Record { key, value }], rng.u8(..20) == 0, next, Millis(next));
        if rng.u8(..3) == 0 {
            let reply = reader.reply_to(fetcher.digest(), Some(next - 1), Millis(next)).unwrap();
            fetcher.apply_reply(&reply, Millis(next), MAX).unwrap();
            assert_eq!(fetcher.digest(), reader.digest());
        }
    }
}

/// A reply that is truncated, corrupt, based on an unknown snapshot or above the size limit is refused and changes
/// nothing.
#[test]
fn offer_that_does_not_fit_is_not_taken() {
    let (before, after) = (config(300, 300, 0), config(310, 300, 1));
    let mut ahead = orders(&before, 1);
    ahead.record_read(&[record("config", &after)], false, 2, Millis(0));
    let mut behind = orders(&before, 1);
    let digest = behind.digest();
    let reply = |ahead: &mut OrderSnapshots| ahead.reply_to(digest, Some(1), Millis(0)).unwrap();
    let cut = OrdersReply { delta: reply(&mut ahead).delta.slice(..9), ..reply(&mut ahead) };
    assert!(matches!(behind.apply_reply(&cut, Millis(0), MAX), Err(ReplyError::ContentMismatch)));
    let other = OrdersReply { digest: 7, ..reply(&mut ahead) };
    assert!(matches!(behind.apply_reply(&other, Millis(0), MAX), Err(ReplyError::ContentMismatch)));
    let strange = OrdersReply { base: Some(7), ..reply(&mut ahead) };
    assert!(matches!(behind.apply_reply(&strange, Millis(0), MAX), Err(ReplyError::UnknownBase)));
    assert!(matches!(
        behind.apply_reply(&reply(&mut ahead), Millis(0), 99),
        Err(ReplyError::TooLong)
    ));
    let short = OrdersReply { len: 99, ..reply(&mut ahead) };
    assert!(matches!(behind.apply_reply(&short, Millis(0), MAX), Err(ReplyError::ContentMismatch)));
    assert_eq!(behind.digest(), digest);
    behind.apply_reply(&reply(&mut ahead), Millis(0), MAX).unwrap();
    assert_eq!(behind.digest(), ahead.digest());
}

fn server(id: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "pool".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "hall-1".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 8,
        state: ServerState::Ready,
        models: Vec::new(),
        incarnation: None,
        cold_left: Millis(0),
    }
}

/// Guards against requests to a server more than 4 s after it has left. Its record is removed soon after an outage, so
/// the gateway that read the removal keeps the server for two more seconds. A gateway that missed the removal fetches
/// that gateway's list meanwhile, and must not keep the server longer than that.
#[test]
fn server_that_is_about_to_go_goes_where_the_list_was_passed_on() {
    let mut read = Registry::default();
    read.record_outage(Millis(0));
    ["left", "stays"].iter().for_each(|id| {
        read.put(server(id), Millis(0));
    });
    read.remove(&"left".into(), Millis(100));
    let list =
        ServerList::new(7, &read, |_| false, Millis(200)).encode().unwrap().bytes_at(7).unwrap();
    let passed = ServerList::decode(&list, MAX).unwrap().into_passed().unwrap();
    let mut receiver = Registry::default();
    receiver.replace_by_peer_list(passed, Millis(200), Millis(300));
    assert_eq!(receiver.servers(Millis(1_900)).count(), 2);
    let later: Vec<_> = receiver.servers(Millis(2_100)).map(|s| s.id.as_str()).collect();
    assert_eq!(later, ["stays"]);
}

/// Guards against a gateway that starts during a store outage and gets a leaving server as ready from another gateway.
#[test]
fn leaving_server_is_passed_on_as_draining() {
    let mut read = Registry::default();
    ["leaves", "stays"].iter().for_each(|id| {
        read.put(server(id), Millis(0));
    });
    let is_leaving = |server: &BackendServer| server.id.as_str() == "leaves";
    let list =
        ServerList::new(7, &read, is_leaving, Millis(0)).encode().unwrap().bytes_at(7).unwrap();
    let passed = ServerList::decode(&list, MAX).unwrap().into_passed().unwrap();
    let mut receiver = Registry::default();
    receiver.replace_by_peer_list(passed, Millis(0), Millis(0));
    // A stale record from the store arrives later.
    receiver.put(server("leaves"), Millis(100));
    let state = |id: &str| receiver.get(&id.into()).map(|server| server.state);
    assert_eq!(state("leaves"), Some(ServerState::Draining));
    assert_eq!(state("stays"), Some(ServerState::Ready));
}
