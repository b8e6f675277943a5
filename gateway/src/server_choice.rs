//! Selects the backend server for a request.

use redwingfold_core::{
    Arm, ArmChoice, BackendServer, ErrorKind, FailureDomain, Millis, Place, Registry, RequestRate,
    ServerState, lead_servers, place,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::sleep;
use crate::metadata::RequestedModel;
use crate::request::InFlightRequest;
use crate::response::RequestError;
use crate::rollout_choice::{BindingInputs, BindingReason};
use crate::session_keepers::KeepersReply;

/// Divisor of the time left that bounds a request's wait for a turn at a cold or limited server, or for the keepers of its
/// session. The rest is left for the response, or for the caller to retry elsewhere.
const WAIT_DIVISOR: u64 = 3;

/// Divisor of the remaining delay that bounds the random time added to it in `Retry-After`.
const RETRY_SPREAD_DIVISOR: u64 = 4;

/// Result of the search for a server.
pub(crate) enum ServerChoice {
    /// This server, and the estimated time that it takes to process the prompts queued before this one.
    Server(Box<BackendServer>, Millis),
    /// All servers are cold or limited; these are this gateway's next turns at them.
    WaitForTurn(UpcomingTurns),
    /// All servers have requested a delay with `Retry-After`; this is the shortest remaining one.
    RetryAfter(Millis),
    /// The version depends on whether the request's session has moved to the new version; its keepers must be queried.
    AskKeepers,
}

/// This gateway's next turns at one or more cold or limited servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpcomingTurns {
    /// Time until the first turn.
    pub(crate) wait: Millis,
    /// Rate of turns at all of these servers combined.
    pub(crate) rate: RequestRate,
}

impl UpcomingTurns {
    /// Combines the turns at two disjoint sets of servers.
    fn combine(self, other: Self) -> Self {
        let rate = self.rate.per_second() + other.rate.per_second();
        Self { wait: self.wait.min(other.wait), rate: RequestRate::new(rate).unwrap_or(self.rate) }
    }

    /// Returns the time until the turn of a request that has `ahead` others before it.
    fn wait_behind(self, ahead: usize) -> Millis {
        let interval_ms = 1000.0 / self.rate.per_second().max(f64::MIN_POSITIVE);
        self.wait.after(Millis((ahead as f64 * interval_ms) as u64))
    }
}

/// The servers of the version selected for a request, or that the version is not determined yet.
enum PoolChoice<'a> {
    Pool(Pool<'a>),
    AskKeepers,
}

/// Servers that may receive a request, grouped by when.
struct Pool<'a> {
    /// Servers that may receive it now.
    available: Vec<&'a BackendServer>,
    /// Turns at the other servers.
    upcoming: Option<UpcomingTurns>,
    /// Shortest remaining delay of the servers that requested one with `Retry-After`.
    retry_after: Option<Millis>,
    /// Number of servers used during a load trial; `None` if all are used.
    lead_count: Option<usize>,
}

impl InFlightRequest {
    /// Chooses a server for the requested model. If all servers are cold or limited, waits for a turn at one of them. Fails
    /// immediately if its turn, after those of the requests already waiting, would come too late.
    pub(crate) async fn choose_server_in_turn(
        &mut self,
    ) -> Result<(BackendServer, Millis), RequestError> {
        let wait_deadline = self.gw.now().after(Millis(self.time_left().0 / WAIT_DIVISOR));
        let mut waiter = None;
        loop {
            let turns = match self.choose_server()? {
                ServerChoice::Server(server, prefill_wait) => return Ok((*server, prefill_wait)),
                ServerChoice::WaitForTurn(turns) => turns,
                ServerChoice::RetryAfter(left) => return Err(self.all_delayed(left)),
                ServerChoice::AskKeepers => {
                    self.ask_keepers(wait_deadline).await;
                    continue;
                }
            };
            let wait = match &waiter {
                None => turns.wait_behind(self.gw.turn_waiters.count(&self.service)),
                Some(_) => turns.wait,
            };
            if self.gw.now().after(wait) > wait_deadline {
                let why = format!("all servers of {} are cold or limited", self.service);
                return Err(RequestError { retry_after: Some(wait), ..self.overloaded_error(why) });
            }
            waiter.get_or_insert_with(|| self.gw.turn_waiters.add(&self.service));
            self.gw.telemetry.count("request.waited_for_cold", 1);
            sleep(turns.wait).await;
        }
    }

    /// Returns the error for a request when all servers have requested a delay. A random part of the delay is added to
    /// its `Retry-After`, so that callers do not all retry at once.
    fn all_delayed(&self, left: Millis) -> RequestError {
        let why = format!("all servers of {} want no requests for {left} ms", self.service);
        let spread = Millis(fastrand::u64(..=left.0 / RETRY_SPREAD_DIVISOR));
        RequestError { retry_after: Some(left.after(spread)), ..self.overloaded_error(why) }
    }

    /// Chooses a server for the requested model without waiting.
    pub(crate) fn choose_server(&self) -> Result<ServerChoice, RequestError> {
        self.gw
            .with_registry(|registry| self.choose_among(&self.eligible_servers(registry), registry))
            .ok_or_else(|| self.no_backend_error())
    }

    fn choose_among(
        &self,
        servers: &[&BackendServer],
        registry: &Registry,
    ) -> Option<ServerChoice> {
        let now = self.gw.now();
        let pool = match self.pool(servers, registry, now)? {
            PoolChoice::Pool(pool) => pool,
            PoolChoice::AskKeepers => return Some(ServerChoice::AskKeepers),
        };
        if pool.available.is_empty() {
            return pool
                .upcoming
                .map(ServerChoice::WaitForTurn)
                .or(pool.retry_after.map(ServerChoice::RetryAfter));
        }
        let loads = &self.gw.loads;
        let mut places: Vec<Place> = pool.available.iter().map(|s| loads.place(s, now)).collect();
        limit_excluded_share(&mut places, self.gw.settings.health.max_ejected_share);
        let policy = &self.gw.settings.placement;
        let places = pool.lead_count.map_or(places.clone(), |count| lead_servers(places, count));
        let found = place(&places, self.prefill_work(self.size), policy, |n| fastrand::usize(..n))?;
        let server = pool.available.into_iter().find(|s| s.id == found.id)?;
        Some(ServerChoice::Server(Box::new(server.clone()), found.prefill_wait))
    }

    /// Returns the servers of the version selected for this request.
    ///
    /// All servers of a new version are cold at first. Meanwhile, requests that are not bound to it use the current version.
    /// The reverse is not allowed, as a bad version would get more than its share of requests.
    fn pool<'a>(
        &self,
        servers: &[&'a BackendServer],
        registry: &Registry,
        now: Millis,
    ) -> Option<PoolChoice<'a>> {
        let bound = self.binding_inputs();
        let (choice, bound_by, load_trial, target_servers, current_servers, last_resort_servers) =
            self.gw.with_rollouts(|r| {
                let servers_of_arm = |arm: Arm| -> Vec<&'a BackendServer> {
                    // A rolled-back version has no arm, so it is never used as a fallback.
                    let has_arm =
                        |s: &&&BackendServer| r.arm_of(&self.service, &s.version) == Some(arm);
                    servers.iter().filter(has_arm).copied().collect()
                };
                let choice = r.arm(&self.service, bound, now);
                let target_servers = servers_of_arm(Arm::Target);
                let load_trial = r
                    .canary(&self.service)
                    .and_then(|canary| canary.load_trial(target_servers.len(), now));
                let is_last_resort =
                    |s: &&&BackendServer| r.is_last_resort(&self.service, &s.version);
                let last_resort_servers: Vec<_> =
                    servers.iter().filter(is_last_resort).copied().collect();
                let bound_by = r.binding_reason(bound, now);
                (
                    choice,
                    bound_by,
                    load_trial,
                    target_servers,
                    servers_of_arm(Arm::Current),
                    last_resort_servers,
                )
            });
        let arm = match choice {
            ArmChoice::Arm(arm) => arm,
            ArmChoice::AskKeepers if self.keepers_reply.is_none() => {
                return Some(PoolChoice::AskKeepers);
            }
            ArmChoice::AskKeepers => Arm::Current,
        };
        let pool = |servers| self.split_by_availability(servers, registry, now);
        let pool = match arm {
            _ if target_servers.is_empty() && current_servers.is_empty() => {
                pool(last_resort_servers)
            }
            Arm::Target if target_servers.is_empty() => pool(current_servers),
            Arm::Current if current_servers.is_empty() => pool(target_servers),
            Arm::Current => pool(current_servers),
            Arm::Target => {
                let target = Pool { lead_count: load_trial, ..pool(target_servers)? };
                let is_unbound = bound_by == BindingReason::Nothing;
                let may_use_current = target.available.is_empty() && is_unbound;
                if may_use_current && bound.session.is_some() && self.keepers_reply.is_none() {
                    return Some(PoolChoice::AskKeepers);
                }
                let current = if may_use_current { pool(current_servers) } else { None };
                Some(current.filter(|current| !current.available.is_empty()).unwrap_or(target))
            }
        };
        pool.map(PoolChoice::Pool)
    }

    /// Returns the facts that may bind this request to a version.
    pub(crate) fn binding_inputs(&self) -> BindingInputs {
        let session = self.metadata.session.as_deref();
        let session =
            session.and_then(|s| self.gw.with_rollouts(|r| r.session_key(&self.service, s)));
        BindingInputs {
            reached: self.sent_arm,
            session,
            draw: xxh3_64(self.metadata.id.as_bytes()),
        }
    }

    /// Asks the session's keepers whether it has moved to the new version, and records their reply.
    async fn ask_keepers(&mut self, wait_deadline: Millis) {
        self.keepers_reply = Some(match self.binding_inputs().session {
            Some(session) => self.gw.ask_keepers(session, wait_deadline).await,
            None => KeepersReply::NotMoved,
        });
    }

    /// Groups servers by whether they may receive a request now, at this gateway's next turn, or after a requested delay.
    fn split_by_availability<'a>(
        &self,
        servers: Vec<&'a BackendServer>,
        registry: &Registry,
        now: Millis,
    ) -> Option<Pool<'a>> {
        let mut pool =
            Pool { available: Vec::new(), upcoming: None, retry_after: None, lead_count: None };
        for server in servers {
            let left = self.gw.retry_after_remaining(server, now);
            if left > Millis(0) {
                pool.retry_after =
                    Some(pool.retry_after.map_or(left, |shortest| shortest.min(left)));
                continue;
            }
            match self.gw.upcoming_turns(server, registry, now) {
                None => pool.available.push(server),
                Some(turns) if turns.wait == Millis(0) => pool.available.push(server),
                Some(turns) => {
                    pool.upcoming =
                        Some(pool.upcoming.map_or(turns, |upcoming| upcoming.combine(turns)))
                }
            }
        }
        let has_servers =
            !pool.available.is_empty() || pool.upcoming.is_some() || pool.retry_after.is_some();
        has_servers.then_some(pool)
    }

    fn no_backend_error(&self) -> RequestError {
        let why =
            format!("no server of {} is left, {} tried", self.service, self.excluded_servers.len());
        RequestError { run_state: self.run_state, ..RequestError::new(ErrorKind::NoBackend, why) }
    }

    /// Returns the servers that are eligible for this request.
    pub(crate) fn eligible_servers<'a>(&self, registry: &'a Registry) -> Vec<&'a BackendServer> {
        let model = match (&self.metadata.model, self.size) {
            (_, Some(size)) => self.route.sizes.get(size),
            (RequestedModel::Named(model), None) => Some(model),
            _ => None,
        };
        let has_model = |s: &BackendServer| {
            s.models.is_empty() || model.is_none_or(|model| s.models.contains(model))
        };
        let (evacuations, regions) =
            (self.gw.evacuations.borrow(), self.gw.domain_regions.borrow());
        let customer_regions = self.customer.as_ref().map(|customer| &customer.allowed_regions);
        let allowed_regions: Vec<_> =
            customer_regions.into_iter().chain([&self.route.allowed_regions]).collect();
        let is_anywhere = allowed_regions.iter().all(|allowed| allowed.is_anywhere());
        let may_run_in = |domain: &FailureDomain| {
            is_anywhere || allowed_regions.iter().all(|allowed| allowed.allows(regions.of(domain)))
        };
        let is_eligible = |s: &&BackendServer| {
            s.service == self.service
                && s.state == ServerState::Ready
                && !self.gw.is_leaving(s)
                && !evacuations.is_evacuated(&s.domain)
                && may_run_in(&s.domain)
                && !self.excluded_servers.contains(&s.id)
                && has_model(s)
        };
        registry.servers(self.gw.now()).filter(is_eligible).collect()
    }
}

/// Readmits all excluded servers if their share exceeds `max_share`. When most servers seem to fail, the fault is more
/// likely on the network path, and the few remaining servers could not handle the load.
fn limit_excluded_share(places: &mut [Place], max_share: f64) {
    let excluded_count = places.iter().filter(|p| p.is_ejected).count();
    if excluded_count as f64 > places.len() as f64 * max_share {
        places.iter_mut().for_each(|p| p.is_ejected = false);
    }
}
