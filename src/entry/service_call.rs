//! Calls of plain services, which are selected by path. Methods that a service doesn't list as
//! repeatable are attempted only once.

use std::sync::Arc;

use redwingfold_core::{
    Config, ErrorKind, KeyHash, Millis, RequestId, RunState, ServiceSpec, Spec,
};
use redwingfold_http::{Response, StatusCode};

use super::attempt::{AttemptError, start_run};
use super::auth::Caller;
use super::body_memory::HeldBody;
use super::claims::{ClaimResult, claim_call};
use super::context::Entry;
use super::decisions::DecisionTrace;
use super::pick::{BackendTarget, TriedBackends, pick_backend};
use super::response::RequestError;
use super::sides::SideLink;
use crate::wire::{Load, RunCall, RunId, Usage};

/// Cost of a service call in the fair queue, in tokens.
const SERVICE_CALL_WORK_TOKENS: u64 = 100;

/// The execution of one call of a plain service.
pub(crate) struct ServiceCall {
    pub(crate) entry: Arc<Entry>,
    pub(crate) caller: Caller,
    pub(crate) request: RequestId,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) content_type: Option<String>,
    pub(crate) body: Vec<u8>,
    pub(crate) trace: DecisionTrace,
    pub(crate) deadline: Millis,
    /// Memory that is reserved for it, until it ends.
    pub(crate) _memory: HeldBody,
}

/// Finds the service whose path is the longest prefix of `path`.
pub(crate) fn find_service<'a>(
    config: &'a Config,
    path: &str,
) -> Option<(String, &'a ServiceSpec)> {
    let services = config.of_kind("service").filter_map(|(key, spec)| match spec {
        Spec::Service(s) if is_path_under(path, &s.path) => Some((key.name.clone(), s)),
        _ => None,
    });
    services.max_by_key(|(_, s)| s.path.len())
}

fn is_path_under(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

impl ServiceCall {
    fn step(&self, what: &'static str, detail: impl Into<String>) {
        self.trace.step(self.entry.daemon.now(), what, detail);
    }

    /// Checks that the method and the caller are allowed, and runs the call.
    pub(crate) async fn execute(
        &self,
        service: &str,
        spec: &ServiceSpec,
    ) -> Result<Response, RequestError> {
        let config = self.entry.daemon.store.current();
        let labels = config.caller_labels(&self.caller.customer, self.caller.session.as_ref());
        match spec {
            s if !s.methods.contains(&self.method) => {
                let detail = format!("{service} takes {}", s.methods.join(", "));
                return Err(RequestError::new(ErrorKind::WrongMethod, detail));
            }
            s if !s.callers.matches(&labels) => return Err(ErrorKind::NotAllowed.into()),
            _ => {}
        }
        if spec.repeatable.contains(&self.method) {
            return self.run_repeatable(service).await;
        }
        self.run_claimed(service).await
    }

    /// Runs a repeatable call, retrying on other backend servers after failures.
    async fn run_repeatable(&self, service: &str) -> Result<Response, RequestError> {
        let mut tried = TriedBackends::new();
        let mut run_state = RunState::NotRun;
        loop {
            let (link, backend) =
                self.pick(service, &tried).ok_or_else(|| no_backend_error(service))?;
            tried.insert((link.conn.stable_id(), backend.clone()));
            self.step("attempt", format!("{} at {}/{backend}", tried.len(), link.host));
            let call = self.run_call(service, &backend, tried.len() as u32);
            let error = match self.run_attempt(&link, call).await {
                Ok(res) => return Ok(res),
                Err(e) => RequestError { run_state: run_state.and(e.error.run_state), ..e.error },
            };
            run_state = error.run_state;
            self.step("attempt_failed", format!("{} ({})", error.kind, error.run_state));
            let has_attempts_left = (tried.len() as u32) < self.entry.settings.retry.max_attempts;
            if !has_attempts_left
                || self.pick(service, &tried).is_none()
                || !self.entry.try_spend_retry()
            {
                return Err(error);
            }
        }
    }

    /// Runs a call that must not be repeated, in a single attempt.
    ///
    /// If the caller sent an idempotency key, the call is claimed first, so that a repeat of it by
    /// the caller is detected.
    async fn run_claimed(&self, service: &str) -> Result<Response, RequestError> {
        let (link, backend) =
            self.pick(service, &TriedBackends::new()).ok_or_else(|| no_backend_error(service))?;
        let mut call = self.run_call(service, &backend, 1);
        if let Some(key) = &self.caller.idempotency_key {
            let key = KeyHash::of(&self.caller.customer, &format!("{service}\0{key}"));
            match claim_call(&self.entry, &link, key, self.request).await? {
                ClaimResult::AlreadyRan { status, content_type, body } => {
                    self.step("replayed", format!("status {status}"));
                    return Ok(service_response(status, content_type, body));
                }
                ClaimResult::Run(claim) => {
                    self.step("claimed", format!("{} at {}", claim.id, claim.host));
                    call.claim = Some(claim);
                }
            }
        }
        self.step("attempt", format!("1 at {}/{backend}", link.host));
        call.time_left = self.deadline.since(self.entry.daemon.now());
        self.run_attempt(&link, call).await.map_err(|e| {
            self.step("attempt_failed", format!("{} ({})", e.error.kind, e.error.run_state));
            e.error
        })
    }

    async fn run_attempt(
        &self,
        link: &Arc<SideLink>,
        call: RunCall,
    ) -> Result<Response, AttemptError> {
        let (head, mut response_stream) = start_run(&self.entry, link, call).await?;
        let received = response_stream.read_all(crate::wire::MAX_FRAME).await;
        let (body, _) = received.map_err(|error| RequestError {
            // The response head was received, so the call has run at least in part.
            run_state: match error.run_state {
                RunState::NotRun => RunState::MayHaveRun,
                run => run,
            },
            ..error
        })?;
        Ok(service_response(head.status, head.content_type, body))
    }

    fn run_call(&self, service: &str, backend: &str, attempt: u32) -> RunCall {
        RunCall {
            run_id: RunId { request: self.request, attempt },
            config: self.entry.daemon.store.mark(),
            customer: self.caller.customer.clone(),
            session: self.caller.session.clone(),
            version: None,
            service: Some(service.to_owned()),
            backend: backend.to_owned(),
            method: self.method.clone(),
            target: self.target.clone(),
            content_type: self.content_type.clone(),
            body: self.body.clone(),
            is_streamed: false,
            time_left: self.deadline.since(self.entry.daemon.now()),
            priority: self.caller.priority,
            work_tokens: SERVICE_CALL_WORK_TOKENS,
            claim: None,
            bill: None,
            prior_usage: Usage::default(),
        }
    }

    fn pick(&self, service: &str, tried: &TriedBackends) -> Option<BackendTarget> {
        let accepts = |load: &Load| load.service.as_deref() == Some(service);
        pick_backend(&self.entry, tried, accepts, |_, _| 0.0)
    }
}

fn no_backend_error(service: &str) -> RequestError {
    RequestError::new(ErrorKind::NoBackend, format!("none serves {service}"))
}

fn service_response(status: u16, content_type: Option<String>, body: Vec<u8>) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::BadGateway);
    let mut res = Response::new(status);
    res.set_body(body);
    if let Some(content_type) = content_type {
        res.insert_header("content-type", content_type);
    }
    res
}
