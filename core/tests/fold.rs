//! The fold of the configuration stream.

use std::collections::BTreeMap;

use todc_utils::{Action, History, Specification, WGLChecker};

use redwingfold_core::{
    Change, ConfigFold, ConfigRecord, Millis, ModelSpec, Object, ObjectKey, Offset, PerMille,
    RequestId, Spec, StreamsOnWithdrawal, Verdict, VersionSpec, Withdrawal,
};

fn version(name: &str, cost: u64) -> Object {
    let spec = VersionSpec {
        model: "slip".parse().unwrap(),
        cost_per_ktok: cost,
        quality: PerMille(900),
        quality_weight: 20,
        withdrawn_at: None,
        withdrawn_streams: StreamsOnWithdrawal::Finish,
    };
    Object { name: name.to_owned(), labels: BTreeMap::new(), spec: Spec::Version(spec) }
}

fn model(current: &str) -> Object {
    let spec = ModelSpec { current: current.parse().unwrap() };
    Object { name: "slip".to_owned(), labels: BTreeMap::new(), spec: Spec::Model(spec) }
}

fn change(id: u128, expects: &[(&str, u64)], put: Vec<Object>) -> Vec<u8> {
    let expects = expects.iter().map(|(key, offset)| (key.parse().unwrap(), Offset(*offset)));
    let record = ConfigRecord::Change(Change {
        id: RequestId(id),
        author: format!("desk-{id}"),
        reason: "test".to_owned(),
        at: Millis(0),
        expects: expects.collect(),
        put,
        delete: Vec::new(),
    });
    serde_json::to_vec(&record).unwrap()
}

fn withdraw(id: u128, version: &str) -> Vec<u8> {
    let record = ConfigRecord::Withdraw(Withdrawal {
        id: RequestId(id),
        author: "desk".to_owned(),
        reason: "bad".to_owned(),
        at: Millis(0),
        version: version.parse().unwrap(),
        streams: StreamsOnWithdrawal::Finish,
    });
    serde_json::to_vec(&record).unwrap()
}

fn first_record() -> Vec<u8> {
    change(1, &[("model/slip", 0), ("version/a", 0)], vec![model("a"), version("a", 1)])
}

/// Two operators change one object from the same revision: the first in log order wins, and the
/// rejection of the second names the author of the first.
#[test]
fn one_of_two_racing_changes_wins() {
    let mut fold = ConfigFold::default();
    assert_eq!(fold.apply(Offset(1), &first_record()), Some(Verdict::Accepted));
    let price = |id, cost| change(id, &[("version/a", 1)], vec![version("a", cost)]);
    assert_eq!(fold.apply(Offset(2), &price(2, 5)), Some(Verdict::Accepted));
    match fold.apply(Offset(3), &price(3, 6)) {
        Some(Verdict::Rejected { why }) => assert!(why.contains("desk-2"), "{why}"),
        other => panic!("{other:?}"),
    }
    assert_eq!(fold.config().version(&"a".parse().unwrap()).unwrap().cost_per_ktok, 5);
}

/// A change made from a revision before a withdrawal is rejected. It would otherwise put a bad
/// version back in service by accident.
#[test]
fn stale_change_cannot_undo_a_withdrawal() {
    let mut fold = ConfigFold::default();
    fold.apply(Offset(1), &first_record());
    fold.apply(Offset(2), &withdraw(2, "a"));
    let stale = change(3, &[("version/a", 1)], vec![version("a", 9)]);
    assert!(matches!(fold.apply(Offset(3), &stale), Some(Verdict::Rejected { .. })));
    assert_eq!(fold.config().version(&"a".parse().unwrap()).unwrap().withdrawn_at, Some(Offset(2)));
    let current = change(4, &[("version/a", 2)], vec![version("a", 9)]);
    assert_eq!(fold.apply(Offset(4), &current), Some(Verdict::Accepted));
    assert_eq!(fold.config().version(&"a".parse().unwrap()).unwrap().withdrawn_at, None);
}

/// A change that leaves a reference to a missing object is rejected as a whole, and the rejection
/// names the object.
#[test]
fn dangling_references_are_rejected() {
    let mut fold = ConfigFold::default();
    let dangling = change(1, &[("model/slip", 0)], vec![model("nowhere")]);
    match fold.apply(Offset(1), &dangling) {
        Some(Verdict::Rejected { why }) => assert!(why.contains("version/nowhere"), "{why}"),
        other => panic!("{other:?}"),
    }
    assert!(fold.config().objects.is_empty());
}

/// Derives a record from a byte: a change from a current or stale revision, a withdrawal, a
/// duplicate or malformed bytes.
fn record(byte: u8, at: u64) -> Vec<u8> {
    let id = u128::from(byte % 32) + 10;
    match byte % 7 {
        0 => vec![byte; 5],
        1 => withdraw(id, if byte < 128 { "a" } else { "b" }),
        2 => change(id, &[("version/b", 0)], vec![version("b", u64::from(byte))]),
        3 => change(id, &[("version/b", at.saturating_sub(1))], vec![version("b", 7)]),
        4 => change(id, &[("model/slip", 1)], vec![model("b")]),
        5 => change(id, &[("version/a", u64::from(byte % 8))], vec![version("a", u64::from(byte))]),
        _ => b"{\"type\":\"recolour\",\"id\":\"00\"}".to_vec(),
    }
}

/// Daemons have the same state at the same offset, whether they read every record, started from a
/// snapshot, or received old records again. The offset never decreases.
#[test]
fn all_ways_lead_to_one_state() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut records = vec![first_record()];
        records.extend(bytes.iter().take(40).zip(2..).map(|(byte, at)| record(*byte, at)));
        let mut straight = ConfigFold::default();
        for (raw, offset) in records.iter().zip(1..) {
            straight.apply(Offset(offset), raw);
        }
        let cut = bytes.first().map_or(0, |b| usize::from(*b) % records.len());
        let mut early = ConfigFold::default();
        for (raw, offset) in records.iter().zip(1..).take(cut) {
            early.apply(Offset(offset), raw);
        }
        let json = serde_json::to_vec(&early.snapshot()).unwrap();
        let mut late = ConfigFold::from_snapshot(serde_json::from_slice(&json).unwrap()).unwrap();
        let from = cut.saturating_sub(3);
        for (raw, offset) in records.iter().zip(1..).skip(from) {
            let before = late.config().offset;
            late.apply(Offset(offset), raw);
            assert!(late.config().offset >= before);
        }
        assert_eq!(late.state_hash(), straight.state_hash());
        assert_eq!(late.snapshot(), straight.snapshot());
    });
}

/// The fold applies or skips any bytes in the log, and continues.
#[test]
fn any_bytes_are_survived() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut fold = ConfigFold::default();
        fold.apply(Offset(1), bytes);
        assert_eq!(fold.apply(Offset(2), &first_record()), Some(Verdict::Accepted));
    });
}

/// A compare-and-swap of one object: the expected revision, and the new one if it succeeded.
#[derive(Clone, Debug)]
struct Cas {
    expected: u64,
    won: Option<u64>,
}

/// Sequential specification of the revision of one object.
struct Revision;

impl Specification for Revision {
    type Operation = Cas;
    type State = u64;

    fn init() -> u64 {
        1
    }

    fn apply(cas: &Cas, revision: &u64) -> (bool, u64) {
        match cas.won {
            Some(won) => (cas.expected == *revision, won),
            None => (cas.expected != *revision, *revision),
        }
    }
}

/// Operators read an object, append their changes later, some of them twice, and read the verdict
/// later still, in any interleaving. The verdicts are linearizable.
#[test]
fn what_racing_operators_are_told_is_linearizable() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let mut fold = ConfigFold::default();
        fold.apply(Offset(1), &first_record());
        let (mut log, mut actions) = (1, Vec::new());
        // For each operator: the revision it expects, and the offset of its record once appended.
        let mut operators: Vec<Option<(u64, Option<u64>)>> = vec![None; 3];
        for (n, byte) in bytes.iter().enumerate().take(40) {
            let who = usize::from(byte % 3);
            let id = |since: u64| u128::from(since) * 10 + who as u128 + 100;
            operators[who] = match operators[who] {
                None => {
                    let stored = &fold.config().objects[&"version/a".parse().unwrap()];
                    let expected = stored.revision.0;
                    actions.push((who, Action::Call(Cas { expected, won: None })));
                    Some((expected, None))
                }
                Some((expected, None)) => {
                    let record = change(
                        id(n as u64),
                        &[("version/a", expected)],
                        vec![version("a", n as u64)],
                    );
                    for _ in 0..1 + byte / 128 {
                        log += 1;
                        fold.apply(Offset(log), &record);
                    }
                    Some((expected, Some(log - u64::from(byte / 128))))
                }
                Some((expected, Some(at))) => {
                    let entry = fold.audit().iter().find(|e| e.offset == Offset(at)).unwrap();
                    let won = (entry.verdict == Verdict::Accepted).then_some(at);
                    actions.push((who, Action::Response(Cas { expected, won })));
                    None
                }
            };
        }
        for (who, operator) in operators.iter().enumerate() {
            if operator.is_some() {
                // The operator has read no verdict; its call is removed if it was not appended.
                let call =
                    actions.iter().rposition(|(w, a)| *w == who && matches!(a, Action::Call(_)));
                let expected = operator.unwrap().0;
                let at = operator.unwrap().1;
                let won = at.filter(|at| {
                    let entry = fold.audit().iter().find(|e| e.offset == Offset(*at));
                    entry.is_some_and(|e| e.verdict == Verdict::Accepted)
                });
                match (at, call) {
                    (None, Some(call)) => drop(actions.remove(call)),
                    _ => actions.push((who, Action::Response(Cas { expected, won }))),
                }
            }
        }
        if !actions.is_empty() {
            assert!(WGLChecker::<Revision>::is_linearizable(History::from_actions(actions)));
        }
    });
}

/// The checker rejects two changes that succeeded from the same revision.
#[test]
fn the_checker_refuses_two_winners() {
    let one = |who, won| {
        [
            (who, Action::Call(Cas { expected: 1, won })),
            (who, Action::Response(Cas { expected: 1, won })),
        ]
    };
    let two = [one(0, Some(2)), one(1, Some(3))].concat();
    assert!(!WGLChecker::<Revision>::is_linearizable(History::from_actions(two)));
}

#[test]
fn keys_are_read_back_as_written() {
    let key: ObjectKey = "version/a".parse().unwrap();
    assert_eq!(key.to_string(), "version/a");
    assert!("version".parse::<ObjectKey>().is_err());
}
