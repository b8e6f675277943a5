//! Runs a request on a backend server and forwards the response to the entry.

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
use crate::billing::HeldBill;
use crate::clock::{to_duration, unix_time, with_timeout};
use crate::platform::{engine_request, plain_request, reported_total_tokens};
use crate::wire::{
    FrameWriter, LoadChange, RunCall, RunEnd, RunFailed, RunFrame, RunHead, Usage, WireError,
};

/// Size of the read buffer for a response body.
const READ_BYTES: usize = 16 * 1024;

/// Bytes kept from the end of a streamed response, to parse its token usage.
const TAIL_BYTES: usize = 8 * 1024;

/// Last event of a streamed response; a stream without it is truncated.
const STREAM_END_EVENT: &[u8] = b"data: [DONE]";

/// Tokens charged for a response that reports no usage.
const TOKENS_WITHOUT_USAGE: u64 = 0;

/// Why a run has no complete response, and whether the request may have run.
struct Failure {
    kind: ErrorKind,
    run: RunState,
    reason: String,
}

impl Failure {
    fn new(kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self { kind, run: kind.row().run, reason: reason.into() }
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

/// Runs a request and sends its response, or a [`RunFailed`] with the reason, to the entry.
pub(crate) async fn run_request(side: &Side, call: RunCall, mut tx: FrameWriter<RunFrame>) {
    let run_id = call.run_id;
    let mut claimed_id = None;
    let outcome = Box::pin(admit_and_forward(side, &call, &mut tx, &mut claimed_id)).await;
    if let Err(failure) = outcome {
        match claimed_id {
            Some(id) if failure.run == RunState::NotRun => side.calls().mark_not_run(id),
            Some(id) => side.calls().mark_unknown(id),
            None => {}
        }
        side.daemon.telemetry.info(
            "run_failed",
            &[
                ("request", &run_id.request),
                ("attempt", &run_id.attempt),
                ("kind", &failure.kind),
                ("run", &failure.run),
                ("why", &failure.reason),
            ],
        );
        side.daemon.telemetry.count("run.failed", 1);
        let failed = RunFailed {
            kind: failure.kind,
            run: failure.run,
            reason: failure.reason,
            retry_after: failure.kind.row().retry_after,
            config: side.daemon.store.mark(),
        };
        tx.send(&RunFrame::Failed(run_id, failed)).await.ok();
    }
    tx.finish();
}

async fn admit_and_forward(
    side: &Side,
    call: &RunCall,
    tx: &mut FrameWriter<RunFrame>,
    claimed_id: &mut Option<ClaimId>,
) -> Result<(), Failure> {
    let deadline = side.daemon.now().after(call.time_left);
    let _run_guard = side.begin_run()?;
    wait_for_config(side, call.config.offset).await?;
    check_allowed(side, call)?;
    let backend = find_backend(side, call)?;
    if let Some(claim) = &call.claim {
        side.calls().begin(claim)?;
        *claimed_id = Some(claim.id);
    }
    let admission = Admission {
        customer: call.customer.clone(),
        version: call.version.clone(),
        weight: customer_weight(side, &call.customer),
        priority: call.priority,
        work_tokens: call.work_tokens,
        deadline,
    };
    let permit = unless_cancelled(tx, backend.admit(admission)).await??;
    // The configuration may have changed while the request waited.
    check_allowed(side, call)?;
    let forwarding = Box::pin(forward_response(side, call, &backend, tx));
    let outcome = match with_timeout(deadline.since(side.daemon.now()), forwarding).await {
        Some(outcome) => outcome,
        None => Err(ErrorKind::DeadlineInRun.into()),
    };
    drop(permit);
    outcome
}

/// Waits until this side has the configuration by which the entry made its decision.
async fn wait_for_config(side: &Side, offset: Offset) -> Result<(), Failure> {
    let limit = side.settings.queue.config_wait_ms;
    match side.daemon.store.wait_for_offset(offset, limit).await {
        true => Ok(()),
        false => Err(Failure::new(ErrorKind::NoConfig, format!("has no record {offset} yet"))),
    }
}

/// Checks the request against the current configuration of this side, which may be newer than the
/// entry's.
fn check_allowed(side: &Side, call: &RunCall) -> Result<(), Failure> {
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
    let no_backend = |reason: &str| Failure::new(ErrorKind::NoBackend, reason);
    let backend = side.backends.get(&call.backend).ok_or_else(|| no_backend("no such backend"))?;
    match &call.version {
        Some(version) if !backend.has_version(version) => Err(no_backend("version is not loaded")),
        _ => Ok(backend.clone()),
    }
}

fn customer_weight(side: &Side, customer: &CustomerName) -> u32 {
    let config = side.daemon.store.current();
    let key = redwingfold_core::ObjectKey::new("customer", customer);
    match config.objects.get(&key).map(|stored| &stored.object.spec) {
        Some(Spec::Customer(spec)) => spec.weight,
        _ => 1,
    }
}

/// Awaits a future; fails if the entry cancels the call first.
async fn unless_cancelled<T>(
    tx: &FrameWriter<RunFrame>,
    future: impl Future<Output = T>,
) -> Result<T, Failure> {
    let cancelled = async {
        tx.stopped().await;
        Err(Failure { run: RunState::NotRun, ..Failure::new(ErrorKind::BackendLost, "cancelled") })
    };
    smol::future::or(async { Ok(future.await) }, cancelled).await
}

fn backend_request(call: &RunCall, backend: &Backend) -> Result<Request, Failure> {
    let (addr, request) = (backend.settings.address, call.run_id.request);
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

/// Sends the request to the backend server and forwards the response to the entry.
async fn forward_response(
    side: &Side,
    call: &RunCall,
    backend: &Arc<Backend>,
    tx: &mut FrameWriter<RunFrame>,
) -> Result<(), Failure> {
    let req = backend_request(call, backend)?;
    let started_at = side.daemon.now();
    let limits = &side.settings.queue;
    let response =
        open_stream(backend.settings.address, req, to_duration(limits.first_byte_timeout_ms));
    let response = with_timeout(limits.first_byte_timeout_ms, unless_cancelled(tx, response)).await;
    let mut res = match response {
        Some(Ok(Ok(res))) => res,
        Some(Ok(Err(CallError::Unreachable(reason)))) => {
            return Err(Failure::new(ErrorKind::NoBackend, reason));
        }
        Some(Ok(Err(e))) => return Err(Failure::new(ErrorKind::BackendLost, e.to_string())),
        Some(Err(cancelled)) => return Err(Failure { run: RunState::MayHaveRun, ..cancelled }),
        None => return Err(Failure::new(ErrorKind::BackendLost, "no first byte in time")),
    };
    let status = u16::from(res.status());
    match (call.version.is_some(), status) {
        // Engines send this status before they start to run the request.
        (true, 404) => return Err(Failure::new(ErrorKind::NoBackend, "version is not loaded")),
        (true, 500..) => {
            return Err(Failure::new(ErrorKind::BackendFailed, format!("status {status}")));
        }
        _ => {}
    }
    let content_type = res.header("content-type").map(|v| v.as_str().to_owned());
    let run_head = RunHead { status, content_type: content_type.clone() };
    tx.send(&RunFrame::Head(call.run_id, run_head)).await?;
    let withdrawn = cancelling_withdrawal(side, call.version.as_ref());
    let body =
        smol::future::or(forward_body(side, call, backend, &mut res, tx, started_at), async {
            withdrawn.await;
            let failure = Failure::new(ErrorKind::Withdrawn, "stream cut by the withdrawal");
            Err(Failure { run: RunState::Ran, ..failure })
        });
    let body = body.await?;
    let usage = compute_usage(side, call, status, &body);
    let bill = make_bill(side, call, status, usage);
    if let Some(id) = call.claim.as_ref().map(|claim| claim.id) {
        let answer = CallAnswer { status, content_type, body: body.full_body };
        side.calls().mark_done(id, answer);
    }
    let end = RunEnd {
        length: body.length,
        checksum: body.checksum,
        usage,
        bill,
        load: LoadChange::from(&backend.load()),
    };
    tx.send(&RunFrame::End(call.run_id, Box::new(end))).await?;
    side.daemon.telemetry.count("run.done", 1);
    let elapsed = side.daemon.now().since(started_at);
    side.daemon.telemetry.time("run.whole_ms", elapsed.0);
    Ok(())
}

/// A response body after it was forwarded.
struct ForwardedBody {
    length: u64,
    checksum: u64,
    tail: Vec<u8>,
    /// The whole body, stored only for a call that must not be run twice.
    full_body: Option<Vec<u8>>,
}

async fn forward_body(
    side: &Side,
    call: &RunCall,
    backend: &Backend,
    res: &mut Response,
    tx: &mut FrameWriter<RunFrame>,
    started_at: Millis,
) -> Result<ForwardedBody, Failure> {
    let limits = &side.settings.queue;
    let content_length = res.header("content-length").and_then(|v| v.as_str().parse::<u64>().ok());
    let mut reader = res.take_body().into_reader();
    let mut hash = Xxh3::new();
    let mut body = ForwardedBody {
        length: 0,
        checksum: 0,
        tail: Vec::new(),
        full_body: call.claim.is_some().then(Vec::new),
    };
    let mut buf = vec![0; READ_BYTES];
    loop {
        let limit = match body.length {
            0 => limits.first_byte_timeout_ms,
            _ => limits.gap_timeout_ms,
        };
        let backend_lost = |reason: String| Failure::new(ErrorKind::BackendLost, reason);
        let n = match with_timeout(limit, unless_cancelled(tx, reader.read(&mut buf))).await {
            Some(Ok(Ok(n))) => n,
            Some(Ok(Err(e))) => return Err(backend_lost(e.to_string())),
            Some(Err(cancelled)) => return Err(Failure { run: RunState::MayHaveRun, ..cancelled }),
            None => return Err(backend_lost(format!("nothing for {limit} ms"))),
        };
        if n == 0 {
            break;
        }
        if body.length == 0 {
            backend.record_first_token_time(side.daemon.now().since(started_at));
        }
        body.length += n as u64;
        if body.length > limits.max_answer_bytes as u64 {
            return Err(backend_lost("answer is too large".to_owned()));
        }
        hash.update(&buf[..n]);
        body.tail.extend_from_slice(&buf[..n]);
        let excess =
            body.tail.len().saturating_sub(if call.is_streamed { TAIL_BYTES } else { usize::MAX });
        body.tail.drain(..excess);
        if let Some(full_body) = &mut body.full_body {
            full_body.extend_from_slice(&buf[..n]);
        }
        tx.send(&RunFrame::Chunk(call.run_id, buf[..n].to_vec())).await?;
    }
    body.checksum = hash.digest();
    match content_length {
        Some(length) if length != body.length => {
            Err(Failure::new(ErrorKind::BackendLost, "answer is shorter than announced"))
        }
        _ if is_truncated(call, &body.tail) => {
            Err(Failure::new(ErrorKind::BackendLost, "answer has no end"))
        }
        _ => Ok(body),
    }
}

/// Returns whether an engine's response is truncated. Responses of plain services are checked only
/// against their `Content-Length`.
fn is_truncated(call: &RunCall, tail: &[u8]) -> bool {
    match (call.version.is_some(), call.is_streamed) {
        (true, true) => !tail.windows(STREAM_END_EVENT.len()).any(|w| w == STREAM_END_EVENT),
        (true, false) => serde_json::from_slice::<serde::de::IgnoredAny>(tail).is_err(),
        (false, _) => false,
    }
}

fn compute_usage(side: &Side, call: &RunCall, status: u16, body: &ForwardedBody) -> Usage {
    let tokens = match call.version {
        Some(_) if status == 200 => {
            reported_total_tokens(call.is_streamed, &body.tail).unwrap_or(TOKENS_WITHOUT_USAGE)
        }
        _ => 0,
    };
    let config = side.daemon.store.current();
    let price =
        call.version.as_ref().and_then(|v| config.version(v)).map_or(0, |v| v.cost_per_ktok);
    Usage {
        tokens: call.prior_usage.tokens + tokens,
        cost: call.prior_usage.cost + (tokens * price).div_ceil(1000),
    }
}

/// Creates the bill and stores a copy of it in this process.
///
/// This happens before the entry can send the end of the response to the caller: if the entry dies
/// right after that, this side appends the bill to the log.
fn make_bill(side: &Side, call: &RunCall, status: u16, usage: Usage) -> Option<Bill> {
    let (id, version) = billed_version(call, status)?;
    let bill = Bill {
        id,
        attempt: call.run_id.attempt,
        customer: call.customer.clone(),
        request: call.run_id.request,
        version,
        tokens: usage.tokens,
        cost: usage.cost,
        at: unix_time(),
    };
    let not_before = unix_time().after(side.settings.batch.side_grace_ms);
    if side.bills.hold(HeldBill { bill: bill.clone(), side: None }, not_before).is_err() {
        side.daemon.telemetry.count("bills.one_copy", 1);
    }
    Some(bill)
}

fn billed_version(call: &RunCall, status: u16) -> Option<(KeyHash, VersionName)> {
    match (call.bill, &call.version) {
        (Some(id), Some(version)) if status == 200 => Some((id, version.clone())),
        _ => None,
    }
}

/// Waits until the version is withdrawn with the setting that cancels its streams.
async fn cancelling_withdrawal(side: &Side, version: Option<&VersionName>) {
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
