//! Running a request at a backend server.

use std::sync::Arc;

use futures_lite::AsyncReadExt;
use redwingfold_core::{
    Bill, CallAnswer, ClaimId, CustomerName, ErrorKind, KeyHash, Millis, Offset, RunState, Spec,
    StreamsOnWithdrawal, VersionName,
};
use redwingfold_http::{CallError, Method, Request, Response, open_stream};
use xxhash_rust::xxh3::Xxh3;

use super::backend::{Admission, Backend};
use super::context::Side;
use crate::billing::Held;
use crate::clock::{span, wall, within};
use crate::platform::{engine_request, last_usage, plain_request};
use crate::wire::{
    FrameWriter, LoadChange, RunCall, RunEnd, RunFailed, RunFrame, RunHead, Usage, WireError,
};

/// Bytes read from a backend server at once.
const READ_BYTES: usize = 16 * 1024;

/// Bytes of an answer's end that are kept to read its usage from.
const TAIL_BYTES: usize = 8 * 1024;

/// Last event of a streamed answer; one without it was cut.
const STREAM_END: &[u8] = b"data: [DONE]";

/// Tokens that stand for a request whose answer names no usage.
const UNKNOWN_TOKENS: u64 = 0;

/// Why a run has no whole answer, and what that says about the run.
struct Failure {
    kind: ErrorKind,
    run: RunState,
    why: String,
}

impl Failure {
    fn new(kind: ErrorKind, why: impl Into<String>) -> Self {
        Self { kind, run: kind.row().run, why: why.into() }
    }
}

impl From<ErrorKind> for Failure {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, "")
    }
}

impl From<WireError> for Failure {
    fn from(e: WireError) -> Self {
        Self::new(ErrorKind::BackendLost, e.to_string())
    }
}

/// Runs a request and sends its answer, or the reason why there is none.
pub(crate) async fn run(side: &Side, call: RunCall, mut tx: FrameWriter<RunFrame>) {
    let head = call.head;
    let mut taken = None;
    let outcome = Box::pin(attempt(side, &call, &mut tx, &mut taken)).await;
    if let Err(failure) = outcome {
        match taken {
            Some(id) if failure.run == RunState::NotRun => side.calls().mark_not_run(id),
            Some(id) => side.calls().mark_unknown(id),
            None => {}
        }
        side.daemon.telemetry.info(
            "run_failed",
            &[
                ("request", &head.request),
                ("attempt", &head.attempt),
                ("kind", &failure.kind),
                ("run", &failure.run),
                ("why", &failure.why),
            ],
        );
        side.daemon.telemetry.count("run.failed", 1);
        let failed = RunFailed {
            kind: failure.kind,
            run: failure.run,
            why: failure.why,
            retry_after: failure.kind.row().retry_after,
            config: side.daemon.store.mark(),
        };
        tx.send(&RunFrame::Failed(head, failed)).await.ok();
    }
    tx.finish();
}

async fn attempt(
    side: &Side,
    call: &RunCall,
    tx: &mut FrameWriter<RunFrame>,
    taken: &mut Option<ClaimId>,
) -> Result<(), Failure> {
    let deadline = side.daemon.now().after(call.deadline);
    let _running = side.begin_run()?;
    catch_up(side, call.config.offset).await?;
    check(side, call)?;
    let backend = find_backend(side, call)?;
    if let Some(claim) = &call.claim {
        side.calls().begin(claim)?;
        *taken = Some(claim.id);
    }
    let ask = Admission {
        customer: call.customer.clone(),
        version: call.version.clone(),
        weight: weight(side, &call.customer),
        priority: call.priority,
        work: call.work,
        deadline,
    };
    let permit = until_stopped(tx, backend.admit(ask)).await??;
    // The configuration may have changed while the request waited.
    check(side, call)?;
    let answered = Box::pin(answer(side, call, &backend, tx));
    let outcome = match within(deadline.since(side.daemon.now()), answered).await {
        Some(outcome) => outcome,
        None => Err(ErrorKind::DeadlineInRun.into()),
    };
    drop(permit);
    outcome
}

/// Waits for the records that the entry decided by and this side has not yet.
async fn catch_up(side: &Side, offset: Offset) -> Result<(), Failure> {
    let limit = side.settings.queue.config_wait_ms;
    match side.daemon.store.reaches(offset, limit).await {
        true => Ok(()),
        false => Err(Failure::new(ErrorKind::NoConfig, format!("has no record {offset} yet"))),
    }
}

/// Checks the request against the newest configuration of this side.
fn check(side: &Side, call: &RunCall) -> Result<(), Failure> {
    let config = side.daemon.store.current();
    let denied = |kind| Failure::new(kind, format!("by the side, at offset {}", config.offset));
    if let Some(version) = &call.version {
        config.check_access(&call.customer, call.session.as_ref(), version).map_err(denied)?;
    }
    if let Some(service) = &call.service {
        let labels = config.caller_labels(&call.customer, call.session.as_ref());
        let allowed = config.of_kind("service").any(|(key, spec)| match spec {
            Spec::Service(s) => key.name == *service && s.callers.matches(&labels),
            _ => false,
        });
        if !allowed {
            return Err(denied(ErrorKind::NotAllowed));
        }
    }
    Ok(())
}

fn find_backend(side: &Side, call: &RunCall) -> Result<Arc<Backend>, Failure> {
    let missing = |why: &str| Failure::new(ErrorKind::NoBackend, why);
    let backend = side.backends.get(&call.backend).ok_or_else(|| missing("no such backend"))?;
    match &call.version {
        Some(version) if !backend.has(version) => Err(missing("version is not loaded")),
        _ => Ok(backend.clone()),
    }
}

fn weight(side: &Side, customer: &CustomerName) -> u32 {
    let config = side.daemon.store.current();
    let key = redwingfold_core::ObjectKey::new("customer", customer);
    match config.objects.get(&key).map(|stored| &stored.object.spec) {
        Some(Spec::Customer(spec)) => spec.weight,
        _ => 1,
    }
}

/// Waits for a future unless the entry stops wanting the answer.
async fn until_stopped<T>(
    tx: &FrameWriter<RunFrame>,
    future: impl Future<Output = T>,
) -> Result<T, Failure> {
    let stopped = async {
        tx.stopped().await;
        Err(Failure { run: RunState::NotRun, ..Failure::new(ErrorKind::BackendLost, "cancelled") })
    };
    smol::future::or(async { Ok(future.await) }, stopped).await
}

fn backend_request(call: &RunCall, backend: &Backend) -> Result<Request, Failure> {
    let (addr, request) = (backend.settings.address, call.head.request);
    let built = match &call.version {
        Some(version) => {
            engine_request(addr, request, version, &call.target, &call.body, call.priority)
        }
        None => {
            let method: Method = call.method.parse().map_err(|_| ErrorKind::WrongMethod)?;
            let content_type = call.content_type.as_deref();
            plain_request(addr, request, method, &call.target, content_type, call.body.clone())
        }
    };
    built.map_err(|e| Failure::new(ErrorKind::BadRequest, e.to_string()))
}

/// Sends the request to the backend server and its answer to the entry.
async fn answer(
    side: &Side,
    call: &RunCall,
    backend: &Arc<Backend>,
    tx: &mut FrameWriter<RunFrame>,
) -> Result<(), Failure> {
    let req = backend_request(call, backend)?;
    let begun = side.daemon.now();
    let limits = &side.settings.queue;
    let opened = open_stream(backend.settings.address, req, span(limits.first_byte_timeout_ms));
    let opened = within(limits.first_byte_timeout_ms, until_stopped(tx, opened)).await;
    let mut res = match opened {
        Some(Ok(Ok(res))) => res,
        Some(Ok(Err(CallError::Unreachable(why)))) => {
            return Err(Failure::new(ErrorKind::NoBackend, why));
        }
        Some(Ok(Err(e))) => return Err(Failure::new(ErrorKind::BackendLost, e.to_string())),
        Some(Err(stopped)) => return Err(Failure { run: RunState::MayHaveRun, ..stopped }),
        None => return Err(Failure::new(ErrorKind::BackendLost, "no first byte in time")),
    };
    let status = u16::from(res.status());
    match (call.version.is_some(), status) {
        // Engines answer so before they begin.
        (true, 404) => return Err(Failure::new(ErrorKind::NoBackend, "version is not loaded")),
        (true, 500..) => {
            return Err(Failure::new(ErrorKind::BackendFailed, format!("status {status}")));
        }
        _ => {}
    }
    let content_type = res.header("content-type").map(|v| v.as_str().to_owned());
    let run_head = RunHead { status, content_type: content_type.clone() };
    tx.send(&RunFrame::Head(call.head, run_head)).await?;
    let withdrawn = cancelled_by_withdrawal(side, call.version.as_ref());
    let copied = smol::future::or(copy_body(side, call, backend, &mut res, tx, begun), async {
        withdrawn.await;
        let failure = Failure::new(ErrorKind::Withdrawn, "stream cut by the withdrawal");
        Err(Failure { run: RunState::Ran, ..failure })
    });
    let copied = copied.await?;
    let usage = usage_of(side, call, status, &copied);
    let bill = make_bill(side, call, status, usage);
    if let Some(id) = call.claim.as_ref().map(|claim| claim.id) {
        let answer = CallAnswer { status, content_type, body: copied.kept };
        side.calls().mark_done(id, answer);
    }
    let end = RunEnd {
        length: copied.length,
        checksum: copied.checksum,
        usage,
        bill,
        load: LoadChange::from(&backend.load()),
    };
    tx.send(&RunFrame::End(call.head, Box::new(end))).await?;
    side.daemon.telemetry.count("run.done", 1);
    let took = side.daemon.now().since(begun);
    side.daemon.telemetry.time("run.whole_ms", took.0);
    Ok(())
}

/// What is known of a body after it was copied.
struct Copied {
    length: u64,
    checksum: u64,
    tail: Vec<u8>,
    /// The whole body, for a call that may not be repeated.
    kept: Option<Vec<u8>>,
}

async fn copy_body(
    side: &Side,
    call: &RunCall,
    backend: &Backend,
    res: &mut Response,
    tx: &mut FrameWriter<RunFrame>,
    begun: Millis,
) -> Result<Copied, Failure> {
    let limits = &side.settings.queue;
    let announced = res.header("content-length").and_then(|v| v.as_str().parse::<u64>().ok());
    let mut reader = res.take_body().into_reader();
    let mut hash = Xxh3::new();
    let mut copied = Copied {
        length: 0,
        checksum: 0,
        tail: Vec::new(),
        kept: call.claim.is_some().then(Vec::new),
    };
    let mut buf = vec![0; READ_BYTES];
    loop {
        let limit = match copied.length {
            0 => limits.first_byte_timeout_ms,
            _ => limits.gap_timeout_ms,
        };
        let lost = |why: String| Failure::new(ErrorKind::BackendLost, why);
        let n = match within(limit, until_stopped(tx, reader.read(&mut buf))).await {
            Some(Ok(Ok(n))) => n,
            Some(Ok(Err(e))) => return Err(lost(e.to_string())),
            Some(Err(stopped)) => return Err(Failure { run: RunState::MayHaveRun, ..stopped }),
            None => return Err(lost(format!("nothing for {limit} ms"))),
        };
        if n == 0 {
            break;
        }
        if copied.length == 0 {
            backend.note_first_token(side.daemon.now().since(begun));
        }
        copied.length += n as u64;
        if copied.length > limits.max_answer_bytes as u64 {
            return Err(lost("answer is too large".to_owned()));
        }
        hash.update(&buf[..n]);
        copied.tail.extend_from_slice(&buf[..n]);
        let over =
            copied.tail.len().saturating_sub(if call.stream { TAIL_BYTES } else { usize::MAX });
        copied.tail.drain(..over);
        if let Some(kept) = &mut copied.kept {
            kept.extend_from_slice(&buf[..n]);
        }
        tx.send(&RunFrame::Chunk(call.head, buf[..n].to_vec())).await?;
    }
    copied.checksum = hash.digest();
    match announced {
        Some(length) if length != copied.length => {
            Err(Failure::new(ErrorKind::BackendLost, "answer is shorter than announced"))
        }
        _ if is_cut(call, &copied.tail) => {
            Err(Failure::new(ErrorKind::BackendLost, "answer has no end"))
        }
        _ => Ok(copied),
    }
}

/// Says whether an engine's answer lacks its end. Plain services are judged by their length.
fn is_cut(call: &RunCall, tail: &[u8]) -> bool {
    match (call.version.is_some(), call.stream) {
        (true, true) => !tail.windows(STREAM_END.len()).any(|w| w == STREAM_END),
        (true, false) => serde_json::from_slice::<serde::de::IgnoredAny>(tail).is_err(),
        (false, _) => false,
    }
}

fn usage_of(side: &Side, call: &RunCall, status: u16, copied: &Copied) -> Usage {
    let tokens = match call.version {
        Some(_) if status == 200 => last_usage(call.stream, &copied.tail).unwrap_or(UNKNOWN_TOKENS),
        _ => 0,
    };
    let config = side.daemon.store.current();
    let price =
        call.version.as_ref().and_then(|v| config.version(v)).map_or(0, |v| v.cost_per_ktok);
    Usage {
        tokens: call.spent.tokens + tokens,
        cost: call.spent.cost + (tokens * price).div_ceil(1000),
    }
}

/// Makes the bill and holds a copy of it, before the entry can give the answer's end to the
/// caller: if the entry dies right after that, the bill is appended from here.
fn make_bill(side: &Side, call: &RunCall, status: u16, usage: Usage) -> Option<Bill> {
    let (id, version) = billed(call, status)?;
    let bill = Bill {
        id,
        attempt: call.head.attempt,
        customer: call.customer.clone(),
        request: call.head.request,
        version,
        tokens: usage.tokens,
        cost: usage.cost,
        at: wall(),
    };
    let not_before = wall().after(side.settings.batch.side_grace_ms);
    if side.bills.hold(Held { bill: bill.clone(), side: None }, not_before).is_err() {
        side.daemon.telemetry.count("bills.one_copy", 1);
    }
    Some(bill)
}

fn billed(call: &RunCall, status: u16) -> Option<(KeyHash, VersionName)> {
    match (call.bill, &call.version) {
        (Some(id), Some(version)) if status == 200 => Some((id, version.clone())),
        _ => None,
    }
}

/// Waits until the version is withdrawn in a way that cuts its streams.
async fn cancelled_by_withdrawal(side: &Side, version: Option<&VersionName>) {
    let Some(version) = version else { return std::future::pending().await };
    loop {
        let changed = side.daemon.store.changed();
        let config = side.daemon.store.current();
        match config.version(version) {
            Some(v)
                if v.withdrawn_at.is_some()
                    && v.withdrawn_streams == StreamsOnWithdrawal::Cancel =>
            {
                return;
            }
            _ => {}
        }
        changed.await;
    }
}
