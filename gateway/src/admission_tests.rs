//! Admission of requests whose servers are full.

use std::rc::Rc;

use http::{HeaderMap, StatusCode};
use redwingfold_core::{
    BackendServer, Demand, Fingerprint, Incarnation, Millis, Priority, ServerState,
};
use redwingfold_telemetry::Telemetry;
use smol::LocalExecutor;

use crate::admission::{AdmissionFacts, EndedRequest, Refusal, StartingRequest};
use crate::clock::within;
use crate::gateway::Gateway;
use crate::metadata::{
    AttemptMetadata, HeaderCodec, ReportedLoad, RequestMetadata, ResponseMetadata,
};
use crate::settings::GatewaySettings;

const SLOTS: u32 = 2;

/// Longer than any request of these tests waits before it is granted capacity.
const LONG: Millis = Millis(20_000);

fn server() -> BackendServer {
    BackendServer {
        id: "s-1".into(),
        service: "plain".into(),
        addr: ([127, 0, 0, 1], 9).into(),
        domain: "hall-1".parse().expect("a domain"),
        version: "v1".parse().expect("a version"),
        slots: SLOTS,
        state: ServerState::Ready,
        models: Vec::new(),
        incarnation: Some(Incarnation(1)),
        cold_left: Millis(0),
    }
}

/// Returns a gateway with one server whose runs take a minute.
fn gateway(executor: &Rc<LocalExecutor<'static>>) -> Rc<Gateway> {
    gateway_with_runs(executor, Millis(60_000))
}

fn gateway_with_runs(executor: &Rc<LocalExecutor<'static>>, took: Millis) -> Rc<Gateway> {
    let header_codec = HeaderCodec {
        decode_request: |_: &HeaderMap| Ok(RequestMetadata::default()),
        encode_attempt: |_: &mut HeaderMap, _: &AttemptMetadata| {},
        decode_response: |_: StatusCode, _: &HeaderMap| ResponseMetadata::default(),
    };
    let settings = GatewaySettings { admission_control: true, ..GatewaySettings::default() };
    let telemetry = Telemetry::disabled().expect("a sink");
    let gw = Rc::new(Gateway::new(settings, header_codec, telemetry, executor.clone()));
    gw.put_server(server());
    let ended = EndedRequest { service: &"plain".into(), customer: 1, took, tokens: 10 };
    gw.record_ended_request(&ended);
    gw
}

fn report(gw: &Gateway, running: u32, waiting: u32) {
    let load = ReportedLoad { running, waiting, slots: SLOTS, work_time_percent: None };
    // Without an entry of its own requests, the table ignores reports on a server.
    drop(gw.loads.record_send(&server(), Millis(0), 0, Vec::new(), gw.interrupted_runs.clone()));
    gw.loads.record_report(&server(), load, gw.now());
}

fn facts(gw: &Gateway, content: u64, rank: u8, patience: Millis) -> AdmissionFacts {
    let now = gw.now();
    AdmissionFacts {
        request: format!("r{content}"),
        service: "plain".into(),
        customer: 1,
        content: Fingerprint(content),
        demand: Demand {
            rank: Priority(rank),
            tokens: 100,
            arrived_at: now,
            latency_target: Millis(5_000),
            patience,
            deadline: now.after(Millis(120_000)),
            prefill: Millis(0),
            duration: Millis(10),
        },
    }
}

fn run_with_gateway<T>(test: impl AsyncFnOnce(Rc<Gateway>) -> T) -> T {
    let executor = Rc::new(LocalExecutor::new());
    let gw = gateway(&executor);
    smol::block_on(executor.run(test(gw)))
}

/// Guards against requests that wait although their servers have capacity, also when nothing is known about their load.
#[test]
fn request_is_sent_at_once_while_there_is_capacity() {
    run_with_gateway(async |gw| {
        let admitted = within(LONG, gw.admit(&facts(&gw, 1, 2, LONG))).await;
        assert!(matches!(admitted, Some(Ok(()))));
        report(&gw, 1, 0);
        let admitted = within(LONG, gw.admit(&facts(&gw, 2, 2, LONG))).await;
        assert!(matches!(admitted, Some(Ok(()))));
    });
}

/// Guards against requests that wait until their caller gives up: a server with runs of a minute is full, and the caller
/// waits for half of a second. It is refused at once, with a time to come back, and is recognized when it does.
#[test]
fn request_that_cannot_begin_in_time_is_refused_with_a_time_to_return() {
    run_with_gateway(async |gw| {
        report(&gw, SLOTS, 3);
        let refused = gw.admit(&facts(&gw, 7, 0, Millis(500))).await;
        let Err(Refusal { retry_after, .. }) = refused else { panic!("it is not refused") };
        assert!(retry_after >= Millis(500), "{retry_after}");
        let due = gw.now().after(retry_after);
        assert!(gw.returns.borrow().is_due(Fingerprint(7), due));
        assert!(!gw.returns.borrow().is_due(Fingerprint(8), due));
    });
}

/// Guards against urgent requests that are sent after less urgent ones which arrived before them.
#[test]
fn waiting_requests_are_sent_by_the_rank_of_the_operator() {
    run_with_gateway(async |gw| {
        report(&gw, SLOTS, 0);
        let (tx, rx) = async_channel::unbounded();
        for rank in [2, 1, 0] {
            let (task_gw, tx) = (gw.clone(), tx.clone());
            let facts = facts(&gw, u64::from(rank), rank, Millis(100_000));
            gw.spawn(async move {
                let is_sent = task_gw.admit(&facts).await.is_ok();
                tx.send((rank, is_sent)).await.ok();
            });
        }
        let mut order = Vec::new();
        while order.len() < 3 {
            // One slot is free until the next request has taken it.
            smol::future::yield_now().await;
            report(&gw, SLOTS - 1, 0);
            let next = rx.recv().await.expect("a request");
            report(&gw, SLOTS, 0);
            order.push(next);
        }
        assert_eq!(order, [(0, true), (1, true), (2, true)]);
    });
}

/// Guards against entries of callers that have left, which would take the capacity of others.
#[test]
fn request_whose_caller_is_gone_no_longer_waits() {
    run_with_gateway(async |gw| {
        report(&gw, SLOTS, 0);
        let waiting = facts(&gw, 1, 0, Millis(100_000));
        assert!(within(Millis(50), gw.admit(&waiting)).await.is_none());
        assert_eq!(gw.waiting_requests(), 0);
    });
}

/// Guards against callers that are refused, and sent away for long, by a gateway that has had few requests: the rate at which
/// it started them is that of its callers, not that of the servers.
#[test]
fn gateway_with_few_requests_does_not_refuse_callers_in_time() {
    let executor = Rc::new(LocalExecutor::new());
    let gw = gateway_with_runs(&executor, Millis(1_000));
    smol::block_on(executor.run(async {
        // Starts in two consecutive seconds, so that the rate of starts is known.
        for _ in 0..2 {
            gw.admit(&facts(&gw, 9, 1, LONG)).await.expect("there is capacity");
            crate::clock::sleep(Millis(1_000)).await;
        }
        report(&gw, SLOTS, 0);
        let waiting: Vec<_> = (1..=3)
            .map(|content| {
                let (task_gw, facts) = (gw.clone(), facts(&gw, content, 1, Millis(1_500)));
                executor.spawn(async move { task_gw.admit(&facts).await.is_ok() })
            })
            .collect();
        while gw.waiting_requests() < 3 {
            assert!(waiting.iter().all(|task| !task.is_finished()), "a request is refused");
            smol::future::yield_now().await;
        }
    }));
}

/// Guards against requests that are admitted together, as all waited for the gateway to start, and of which each takes the
/// slots for free that the others are about to use.
#[test]
fn requests_that_are_not_sent_yet_take_their_slots() {
    run_with_gateway(async |gw| {
        report(&gw, 0, 0);
        let shortly = Millis(300);
        let mut starting = Vec::new();
        while let Some(Ok(())) = within(shortly, gw.admit(&facts(&gw, 1, 2, LONG))).await {
            starting.push(StartingRequest::new(&gw, &"plain".into()));
            assert!(starting.len() <= SLOTS as usize, "more than the server has slots");
        }
        assert!(!starting.is_empty());
        starting.clear();
        let admitted = within(LONG, gw.admit(&facts(&gw, 2, 2, LONG))).await;
        assert!(matches!(admitted, Some(Ok(()))));
    });
}
