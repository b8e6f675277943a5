//! When a request that was sent may be sent again.

use redwingfold_core::{
    AllowedRegions, Idempotency, Millis, Priority, ResendReason, Route, RouteName, RunState,
    SentRequest, ServiceName, StreamRules,
};

fn sent(is_repeatable: bool, run_state: RunState) -> SentRequest {
    SentRequest {
        is_repeatable,
        run_state,
        is_answer_begun: false,
        sends: 1,
        max_attempts: 3,
        time_left: Millis(500),
    }
}

fn route(idempotency: Idempotency, stream: Option<StreamRules>) -> Route {
    Route {
        name: RouteName::from("r"),
        host: "a.example".to_owned(),
        prefix: "/r/".to_owned(),
        idempotency,
        stream,
        timeout: None,
        latency_target: Millis(300),
        priority: Priority(1),
        targets: vec![(ServiceName::from("models"), 1)],
        max_attempts: 3,
        is_public: false,
        sizes: Vec::new(),
        allowed_regions: AllowedRegions::default(),
    }
}

/// Guards against a second run of a request that may run once and has run, or may have.
#[test]
fn request_that_may_run_once_is_sent_again_only_if_it_has_not_run() {
    let may =
        |is_repeatable, run_state| sent(is_repeatable, run_state).may_resend(ResendReason::Failure);
    assert!(may(false, RunState::NotRun));
    assert!(!may(false, RunState::MayHaveRun) && !may(false, RunState::Ran));
    for run_state in [RunState::NotRun, RunState::MayHaveRun, RunState::Ran] {
        assert!(may(true, run_state));
    }
    assert!(!sent(false, RunState::NotRun).after_send().may_resend(ResendReason::Failure));
    assert!(sent(true, RunState::NotRun).after_send().may_resend(ResendReason::Failure));
}

/// Guards against an answer that is replaced after its caller has received its beginning. A broken one may go on.
#[test]
fn larger_model_does_not_replace_an_answer_that_has_begun() {
    let first = sent(true, RunState::MayHaveRun);
    let begun = SentRequest { is_answer_begun: true, ..first };
    assert!(first.may_resend(ResendReason::Quality) && begun.may_resend(ResendReason::Failure));
    assert!(!begun.may_resend(ResendReason::Quality));
}

/// Guards against more sends than the route allows, and against a send for which no time is left.
#[test]
fn attempts_and_the_deadline_bound_all_sends() {
    let first = sent(true, RunState::NotRun);
    assert!(SentRequest { sends: 2, ..first }.may_resend(ResendReason::Failure));
    assert!(!SentRequest { sends: 3, ..first }.may_resend(ResendReason::Failure));
    assert!(!SentRequest { sends: 2, ..first }.after_send().may_resend(ResendReason::Failure));
    assert!(!SentRequest { time_left: Millis(0), ..first }.may_resend(ResendReason::Failure));
}

/// Guards against a stream that may not be resumed but counts as repeatable, whatever its route says of plain calls.
#[test]
fn streams_are_repeatable_only_if_they_may_be_resumed() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        for resumable in [false, true] {
            let rules = StreamRules { resumable, max_gap: Millis(200) };
            assert_eq!(route(idempotency, Some(rules)).is_repeatable(), resumable);
        }
    }
    assert!(route(Idempotency::Idempotent, None).is_repeatable());
    assert!(!route(Idempotency::NonIdempotent, None).is_repeatable());
}
