//! Which backend server gets a request, among those that may have it.

use redwingfold_core::{
    Arm, ArmChoice, BackendServer, ErrorKind, FailureDomain, Millis, Place, Registry, RequestRate,
    ServerState, lead_servers, place,
};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::Failed;
use crate::clock::sleep;
use crate::facts::RequestedModel;
use crate::request::Flight;
use crate::rollout_choice::{BindingInputs, BindingReason};
use crate::session_keepers::KeepersReply;

/// Divisor of the time left that bounds a request's wait while all servers are cold or limited, or the keepers of its
/// session are not known yet; the rest is for its answer or for returning the request.
const WAIT_PART: u64 = 3;

/// Divisor of the remaining delay that bounds the random time added to it in `Retry-After`.
const RETRY_SPREAD_PART: u64 = 4;

/// What a look for a server found.
pub(crate) enum Choice {
    /// This server, and the time that it will take for other prompts.
    Server(Box<BackendServer>, Millis),
    /// All servers are cold or limited.
    Later(UpcomingTurns),
    /// All servers have requested a delay with `Retry-After`; this is the shortest remaining one.
    RetryAfter(Millis),
    /// The version depends on whether the request's session has moved, which its keepers know.
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
    /// Returns the turns at the servers of both.
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

/// The servers of the version that a request is to have, if that is known.
enum PoolChoice<'a> {
    Pool(Pool<'a>),
    AskKeepers,
}

/// Servers that may have a request, the first those that may have it now.
struct Pool<'a> {
    now: Vec<&'a BackendServer>,
    /// Turns at the other servers.
    later: Option<UpcomingTurns>,
    /// Shortest remaining delay of the servers that requested one with `Retry-After`.
    retry_after: Option<Millis>,
    /// How many of the servers get requests, if not all do.
    lead: Option<usize>,
}

impl Flight {
    /// Chooses a server for the model that is asked; if all servers are cold or limited, waits for a turn at one of
    /// them. Fails immediately if its turn, after those of the requests already waiting, would come too late.
    pub(crate) async fn pick_in_turn(&mut self) -> Result<(BackendServer, Millis), Failed> {
        let until = self.gw.now().after(Millis(self.left().0 / WAIT_PART));
        let mut waiter = None;
        loop {
            let turns = match self.pick()? {
                Choice::Server(server, unread) => return Ok((*server, unread)),
                Choice::Later(turns) => turns,
                Choice::RetryAfter(left) => return Err(self.all_delayed(left)),
                Choice::AskKeepers => {
                    self.ask_keepers(until).await;
                    continue;
                }
            };
            let wait = match &waiter {
                None => turns.wait_behind(self.gw.turn_waiters.count(&self.service)),
                Some(_) => turns.wait,
            };
            if self.gw.now().after(wait) > until {
                let why = format!("all servers of {} are cold or limited", self.service);
                return Err(Failed { retry_after: Some(wait), ..self.overloaded(why) });
            }
            waiter.get_or_insert_with(|| self.gw.turn_waiters.add(&self.service));
            self.gw.telemetry.count("request.waited_for_cold", 1);
            sleep(turns.wait).await;
        }
    }

    /// Returns the error for a request when all servers have requested a delay. A random part of the delay is added to
    /// its `Retry-After`, so that callers do not all retry at once.
    fn all_delayed(&self, left: Millis) -> Failed {
        let why = format!("all servers of {} want no requests for {left} ms", self.service);
        let spread = Millis(fastrand::u64(..=left.0 / RETRY_SPREAD_PART));
        Failed { retry_after: Some(left.after(spread)), ..self.overloaded(why) }
    }

    /// Chooses a server for the model that is asked.
    pub(crate) fn pick(&self) -> Result<Choice, Failed> {
        self.gw
            .with_registry(|registry| self.pick_among(&self.candidates(registry), registry))
            .ok_or_else(|| self.no_backend())
    }

    fn pick_among(&self, servers: &[&BackendServer], registry: &Registry) -> Option<Choice> {
        let now = self.gw.now();
        let pool = match self.pool(servers, registry, now)? {
            PoolChoice::Pool(pool) => pool,
            PoolChoice::AskKeepers => return Some(Choice::AskKeepers),
        };
        if pool.now.is_empty() {
            return pool.later.map(Choice::Later).or(pool.retry_after.map(Choice::RetryAfter));
        }
        let loads = &self.gw.loads;
        let mut places: Vec<Place> = pool.now.iter().map(|s| loads.place(s, now)).collect();
        bound_left_out(&mut places, self.gw.settings.health.max_out_share);
        let policy = &self.gw.settings.placement;
        let places = pool.lead.map_or(places.clone(), |count| lead_servers(places, count));
        let found = place(&places, self.work(self.size), policy, |n| fastrand::usize(..n))?;
        let server = pool.now.into_iter().find(|s| s.id == found.id)?;
        Some(Choice::Server(Box::new(server.clone()), found.unread))
    }

    /// Returns the servers of the version that this request is to have.
    ///
    /// Servers of a new version are all cold at first. A request that nothing binds to it goes to the version in service
    /// meanwhile; the other way round, a bad version would get more than its share.
    fn pool<'a>(
        &self,
        servers: &[&'a BackendServer],
        registry: &Registry,
        now: Millis,
    ) -> Option<PoolChoice<'a>> {
        let bound = self.bound();
        let (choice, bound_by, load_trial, of_target, of_current, of_last_resort) =
            self.gw.with_rollouts(|r| {
                let of_arm = |arm: Arm| -> Vec<&'a BackendServer> {
                    // A version that was rolled back has no arm, so that it is never taken instead.
                    let has_arm =
                        |s: &&&BackendServer| r.arm_of(&self.service, &s.version) == Some(arm);
                    servers.iter().filter(has_arm).copied().collect()
                };
                let choice = r.arm(&self.service, bound, now);
                let of_target = of_arm(Arm::Target);
                let load_trial = r
                    .canary(&self.service)
                    .and_then(|canary| canary.load_trial(of_target.len(), now));
                let is_last_resort =
                    |s: &&&BackendServer| r.is_last_resort(&self.service, &s.version);
                let of_last_resort: Vec<_> =
                    servers.iter().filter(is_last_resort).copied().collect();
                let bound_by = r.binding_reason(bound, now);
                (choice, bound_by, load_trial, of_target, of_arm(Arm::Current), of_last_resort)
            });
        let arm = match choice {
            ArmChoice::Arm(arm) => arm,
            ArmChoice::AskKeepers if self.keepers_answer.is_none() => {
                return Some(PoolChoice::AskKeepers);
            }
            ArmChoice::AskKeepers => Arm::Current,
        };
        let pool = |servers| self.split(servers, registry, now);
        let pool = match arm {
            _ if of_target.is_empty() && of_current.is_empty() => pool(of_last_resort),
            Arm::Target if of_target.is_empty() => pool(of_current),
            Arm::Current if of_current.is_empty() => pool(of_target),
            Arm::Current => pool(of_current),
            Arm::Target => {
                let target = Pool { lead: load_trial, ..pool(of_target)? };
                let is_free = bound_by == BindingReason::Nothing;
                let may_wait_elsewhere = target.now.is_empty() && is_free;
                if may_wait_elsewhere && bound.session.is_some() && self.keepers_answer.is_none() {
                    return Some(PoolChoice::AskKeepers);
                }
                let current = if may_wait_elsewhere { pool(of_current) } else { None };
                Some(current.filter(|current| !current.now.is_empty()).unwrap_or(target))
            }
        };
        pool.map(PoolChoice::Pool)
    }

    /// Returns what may bind this request to a version.
    pub(crate) fn bound(&self) -> BindingInputs {
        let session = self.facts.session.as_deref();
        let session =
            session.and_then(|s| self.gw.with_rollouts(|r| r.session_key(&self.service, s)));
        BindingInputs { reached: self.reached, session, draw: xxh3_64(self.facts.id.as_bytes()) }
    }

    /// Asks whether this request's session has moved; what its keepers say is recorded.
    async fn ask_keepers(&mut self, until: Millis) {
        self.keepers_answer = Some(match self.bound().session {
            Some(session) => self.gw.ask_keepers(session, until).await,
            None => KeepersReply::NotMoved,
        });
    }

    /// Separates servers that may get a request now from those at which this gateway must wait for its turn.
    fn split<'a>(
        &self,
        servers: Vec<&'a BackendServer>,
        registry: &Registry,
        now: Millis,
    ) -> Option<Pool<'a>> {
        let mut pool = Pool { now: Vec::new(), later: None, retry_after: None, lead: None };
        for server in servers {
            let left = self.gw.retry_after_left(server, now);
            if left > Millis(0) {
                pool.retry_after =
                    Some(pool.retry_after.map_or(left, |shortest| shortest.min(left)));
                continue;
            }
            match self.gw.upcoming_turns(server, registry, now) {
                None => pool.now.push(server),
                Some(turns) if turns.wait == Millis(0) => pool.now.push(server),
                Some(turns) => {
                    pool.later = Some(pool.later.map_or(turns, |later| later.combine(turns)))
                }
            }
        }
        let has_servers =
            !pool.now.is_empty() || pool.later.is_some() || pool.retry_after.is_some();
        has_servers.then_some(pool)
    }

    fn no_backend(&self) -> Failed {
        let why = format!("no server of {} is left, {} tried", self.service, self.avoid.len());
        Failed { run: self.run, ..Failed::new(ErrorKind::NoBackend, why) }
    }

    /// Returns the servers that may have this request at all.
    fn candidates<'a>(&self, registry: &'a Registry) -> Vec<&'a BackendServer> {
        let model = match (&self.facts.model, self.size) {
            (_, Some(size)) => self.route.sizes.get(size),
            (RequestedModel::Named(model), None) => Some(model),
            _ => None,
        };
        let has_model = |s: &BackendServer| {
            s.models.is_empty() || model.is_none_or(|model| s.models.contains(model))
        };
        let (evacuations, regions) = (self.gw.evacuations.borrow(), self.gw.regions.borrow());
        let of_customer = self.customer.as_ref().map(|customer| &customer.homes);
        let homes: Vec<_> = of_customer.into_iter().chain([&self.route.homes]).collect();
        let is_anywhere = homes.iter().all(|homes| homes.is_anywhere());
        let may_run_in = |domain: &FailureDomain| {
            is_anywhere || homes.iter().all(|homes| homes.allow(regions.of(domain)))
        };
        let fits = |s: &&BackendServer| {
            s.service == self.service
                && s.state == ServerState::Ready
                && !self.gw.is_leaving(s)
                && !evacuations.is_emptied(&s.domain)
                && may_run_in(&s.domain)
                && !self.avoid.contains(&s.id)
                && has_model(s)
        };
        registry.servers(self.gw.now()).filter(fits).collect()
    }
}

/// Takes servers back that would be left out beyond the share that may be: when most look bad, the
/// fault is more likely on the way to them, and the few others could not bear the load.
fn bound_left_out(places: &mut [Place], max_share: f64) {
    let out = places.iter().filter(|p| p.is_out).count();
    if out as f64 > places.len() as f64 * max_share {
        places.iter_mut().for_each(|p| p.is_out = false);
    }
}
