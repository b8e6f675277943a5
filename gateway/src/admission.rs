//! Admission of requests by the estimated capacity of the servers: which are sent, wait at this gateway or are refused.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::rc::Rc;

use event_listener::Event;
use redwingfold_core::{
    AdmissionDecision, AdmissionPolicy, BackendServer, Capacity, Demand, Fingerprint, Headroom,
    HeadroomPolicy, Millis, Registry, Run, RunTimes, ServerFacts, ServerState, ServiceName,
    StartRate, WaitQueue, Waiting,
};

use crate::clock::{sleep, within};
use crate::gateway::Gateway;
use crate::log_rate::LogRate;
use crate::metadata::ReportedLoad;

/// Interval at which waiting requests are checked against the capacity. It is a seventh of the shortest latency targets.
const DISPATCH_INTERVAL: Millis = Millis(20);

/// What admission needs to know about a request.
#[derive(Clone, Debug)]
pub(crate) struct AdmissionFacts {
    /// Id of the request, for log lines.
    pub(crate) request: String,
    pub(crate) service: ServiceName,
    /// Hash of the customer's name.
    pub(crate) customer: u32,
    /// Fingerprint of the content, by which a caller that returns is recognized.
    pub(crate) content: Fingerprint,
    pub(crate) demand: Demand,
}

/// A request that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedRequest<'a> {
    pub(crate) service: &'a ServiceName,
    /// Hash of the customer's name.
    pub(crate) customer: u32,
    /// Time from the first send to the end.
    pub(crate) took: Millis,
    pub(crate) tokens: u64,
}

/// A request that was refused before anything of it was sent.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    /// Time after which the caller may return.
    pub(crate) retry_after: Millis,
    pub(crate) why: String,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RefusalReason {
    /// At its arrival, the first event or the whole answer is expected too late.
    TooLate,
    /// It has waited until it could no longer begin in time, or a more urgent one has replaced it.
    NoCapacityInTime,
    /// Too many requests wait.
    QueueFull,
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLate => "too_late",
            Self::NoCapacityInTime => "no_capacity_in_time",
            Self::QueueFull => "queue_full",
        })
    }
}

/// Capacity of a service's servers.
struct ServiceRoom {
    headroom: Headroom,
    /// Slots of all servers.
    slots: u32,
    /// Requests of this gateway that run there.
    running: u32,
}

/// Requests of one service that wait at this gateway.
#[derive(Debug, Default)]
struct ServiceQueue {
    waiting: WaitQueue,
    granted: HashSet<u64>,
    refused: HashSet<u64>,
    starts: StartRate,
    /// Requests that were admitted and are not sent yet.
    starting: u32,
    /// Whether a task grants capacity to the waiting requests.
    has_dispatcher: bool,
}

/// Requests that wait at this gateway, by service.
#[derive(Debug, Default)]
pub(crate) struct AdmissionQueues {
    queues: RefCell<HashMap<ServiceName, ServiceQueue>>,
    run_times: RefCell<RunTimes>,
    next_id: Cell<u64>,
    /// Notified when a waiting request was granted or refused.
    decided: Event,
    /// Limits the log lines on waiting and refused requests.
    log_rate: LogRate,
}

/// Removes a request from its queue when its caller is gone.
struct WaitingGuard<'a> {
    gw: &'a Gateway,
    service: &'a ServiceName,
    id: u64,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.gw.admissions.with(self.service, |queue| {
            queue.waiting.remove(self.id);
            queue.granted.remove(&self.id);
            queue.refused.remove(&self.id);
        });
    }
}

/// Counts an admitted request as a user of capacity until it is sent, when the load of its server counts it.
///
/// Failure: callers that had waited for a gateway to start were admitted together. Each found the slots free that the
/// others were about to take, as they were still connecting, and all were sent.
pub(crate) struct StartingRequest {
    gw: Rc<Gateway>,
    service: ServiceName,
}

impl StartingRequest {
    pub(crate) fn new(gw: &Rc<Gateway>, service: &ServiceName) -> Self {
        gw.admissions.with(service, |queue| queue.starting += 1);
        Self { gw: gw.clone(), service: service.clone() }
    }
}

impl Drop for StartingRequest {
    fn drop(&mut self) {
        self.gw.admissions.with(&self.service, |queue| queue.starting -= 1);
    }
}

impl AdmissionQueues {
    fn with<T>(&self, service: &ServiceName, f: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut queues = self.queues.borrow_mut();
        match queues.get_mut(service) {
            Some(queue) => f(queue),
            None => f(queues.entry(service.clone()).or_default()),
        }
    }
}

impl Gateway {
    /// Returns whether this deployment has contention: its settings say so, or its servers share their hosts.
    pub(crate) fn has_admission_control(&self) -> bool {
        self.settings.admission_control || self.has_shared_hosts.get()
    }

    /// Records whether the server that reported `load` shares its host.
    pub(crate) fn record_shared_host(&self, load: &ReportedLoad) {
        if load.work_time_percent.is_some() && !self.has_shared_hosts.replace(true) {
            self.telemetry.info("shared_hosts", &[("slots", &load.slots)]);
        }
    }

    /// Records the duration, size and customer of a request that was sent to servers and has ended.
    pub(crate) fn record_ended_request(&self, ended: &EndedRequest<'_>) {
        self.admissions.run_times.borrow_mut().record(ended.service, ended.took, ended.tokens);
        self.customer_shares.borrow_mut().record(ended.customer, ended.took, self.now());
    }

    /// Returns how long a request to a service usually takes at its server.
    pub(crate) fn expected_duration(&self, service: &ServiceName) -> Millis {
        self.admissions.run_times.borrow().duration(service)
    }

    /// Waits until there is capacity for a request and no other goes before it.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the request could not begin in time.
    pub(crate) async fn admit(self: &Rc<Self>, facts: &AdmissionFacts) -> Result<(), Refusal> {
        let now = self.now();
        let Some(capacity) = self.service_capacity(&facts.service, now) else { return Ok(()) };
        let is_return = self.returns.borrow().is_due(facts.content, now);
        let ahead = self.admissions.with(&facts.service, |queue| match is_return {
            true => queue.waiting.ahead_of_return(&facts.demand, now),
            false => queue.waiting.ahead_of(&facts.demand, now),
        });
        let rate = self.service_rate(&facts.service, now);
        // Callers that were promised a time return before new ones are served, so that they count as waiting.
        let pending = if is_return || capacity.free_slots >= 1.0 {
            0
        } else {
            // Those of all gateways are known, and this one serves its part of them.
            let fleet = self.with_feeds(|feeds| feeds.fleet_size()).max(1);
            self.returns.borrow().pending(&facts.service, now).div_ceil(fleet)
        };
        match AdmissionPolicy.decide(&capacity, ahead + pending, rate, &facts.demand, now) {
            AdmissionDecision::Send => {
                self.record_start(facts, now);
                Ok(())
            }
            AdmissionDecision::Wait => self.wait_for_capacity(facts, is_return, ahead).await,
            AdmissionDecision::Refuse { ready_in } => {
                Err(self.refuse(facts, ready_in, RefusalReason::TooLate))
            }
        }
    }

    /// Queues a request until it is granted capacity.
    async fn wait_for_capacity(
        self: &Rc<Self>,
        facts: &AdmissionFacts,
        has_promise: bool,
        ahead: usize,
    ) -> Result<(), Refusal> {
        let began = self.now();
        let id = self.admissions.next_id.get();
        self.admissions.next_id.set(id + 1);
        let waiting = Waiting { id, customer: facts.customer, demand: facts.demand, has_promise };
        let pushed = {
            let shares = self.customer_shares.borrow();
            self.admissions.with(&facts.service, |queue| {
                let pushed = queue.waiting.push(waiting, began, |c| shares.usage(c, began));
                pushed.map(|replaced| {
                    queue.refused.extend(replaced.map(|last| last.id));
                    !std::mem::replace(&mut queue.has_dispatcher, true)
                })
            })
        };
        let Ok(needs_dispatcher) = pushed else {
            return Err(self.refuse(facts, facts.demand.latency_target, RefusalReason::QueueFull));
        };
        if needs_dispatcher {
            self.spawn(dispatch(self.clone(), facts.service.clone()));
        }
        let _guard = WaitingGuard { gw: self, service: &facts.service, id };
        loop {
            let decided = self.admissions.decided.listen();
            let is_granted = self.admissions.with(&facts.service, |queue| {
                match (queue.granted.remove(&id), queue.refused.remove(&id)) {
                    (true, _) => Some(true),
                    (false, true) => Some(false),
                    (false, false) => None,
                }
            });
            match is_granted {
                Some(true) => {
                    self.log_wait(facts, began, ahead);
                    self.record_start(facts, self.now());
                    return Ok(());
                }
                Some(false) => {
                    return Err(self.refuse(
                        facts,
                        facts.demand.latency_target,
                        RefusalReason::NoCapacityInTime,
                    ));
                }
                None => {
                    within(DISPATCH_INTERVAL, decided).await;
                }
            }
        }
    }

    /// Records that a request is sent, which keeps its promise if it had one.
    fn record_start(&self, facts: &AdmissionFacts, now: Millis) {
        self.returns.borrow_mut().take(facts.content, now);
        self.admissions.with(&facts.service, |queue| queue.starts.record(now));
    }

    /// Refuses a request and promises its caller a time at which there is capacity.
    fn refuse(&self, facts: &AdmissionFacts, ready_in: Millis, why: RefusalReason) -> Refusal {
        let now = self.now();
        let rate = self.service_rate(&facts.service, now);
        let retry_after = self.returns.borrow_mut().promise(
            facts.content,
            &facts.service,
            ready_in,
            rate,
            now,
            fastrand::u64(..),
        );
        self.telemetry.count(&format!("admission.refused.{why}"), 1);
        self.telemetry.count("admission.promised", 1);
        if self.admissions.log_rate.take_line("admission_refused", now) {
            self.telemetry.info(
                "admission_refused",
                &[
                    ("request", &facts.request),
                    ("content", &facts.content),
                    ("service", &facts.service),
                    ("rank", &facts.demand.rank),
                    ("why", &why),
                    ("waited_ms", &now.since(facts.demand.arrived_at)),
                    ("report_age_ms", &self.report_age(&facts.service, now)),
                    ("per_s", &format_args!("{rate:.1}")),
                    ("retry_after_ms", &retry_after),
                ],
            );
        }
        Refusal { retry_after, why: format!("all servers of {} are full: {why}", facts.service) }
    }

    /// Returns the age of the oldest load report that the capacity of a service rests on, for log lines.
    fn report_age(&self, service: &ServiceName, now: Millis) -> String {
        let age = self.service_room(service, now).and_then(|room| room.headroom.age);
        age.map_or_else(String::new, |age| age.to_string())
    }

    fn log_wait(&self, facts: &AdmissionFacts, began: Millis, ahead: usize) {
        let now = self.now();
        self.telemetry.count("admission.sent_after_wait", 1);
        if self.admissions.log_rate.take_line("admission_waited", now) {
            self.telemetry.info(
                "admission_waited",
                &[
                    ("request", &facts.request),
                    ("service", &facts.service),
                    ("rank", &facts.demand.rank),
                    ("ahead", &ahead),
                    ("waited_ms", &now.since(began)),
                    ("report_age_ms", &self.report_age(&facts.service, now)),
                ],
            );
        }
    }

    /// Returns the requests per second that this gateway can start at a service: those that it has started in the last second,
    /// or its part of what the servers complete, whichever is more.
    ///
    /// Failure: a gateway with few requests starts few, whatever the servers can take. By that rate alone it refused
    /// callers for whom a slot would have been free in time, and sent them away for many seconds.
    fn service_rate(&self, service: &ServiceName, now: Millis) -> f64 {
        let started = self.admissions.with(service, |queue| queue.starts.per_second());
        let slots: u32 =
            self.with_registry(|r| self.usable_servers(service, r, now).map(|s| s.slots).sum());
        let duration = self.expected_duration(service).0.max(1) as f64;
        // While the fleet is unknown, this counts the known gateways: a refusal for want of an estimate helps nobody.
        let fleet = self.with_feeds(|feeds| feeds.fleet_size()).max(1) as f64;
        let assumed = self.send_turns.borrow().fleet(now);
        let share = self.loan_table.part(service, assumed, now).share().max(1.0 / fleet);
        started.max(f64::from(slots) * 1_000.0 / duration * share)
    }

    fn usable_servers<'a>(
        &'a self,
        service: &'a ServiceName,
        registry: &'a Registry,
        now: Millis,
    ) -> impl Iterator<Item = &'a BackendServer> {
        let is_usable = |s: &&BackendServer| {
            s.service == *service && s.state == ServerState::Ready && !self.is_leaving(s)
        };
        registry.servers(now).filter(is_usable)
    }

    /// Returns the capacity of a service's servers that this gateway may use; `None` if it knows no server.
    fn service_capacity(&self, service: &ServiceName, now: Millis) -> Option<Capacity> {
        let ServiceRoom { headroom, slots, running } = self.service_room(service, now)?;
        self.request_capacity(service, running, slots, now);
        let starting = self.admissions.with(service, |queue| queue.starting);
        Some(Capacity {
            free_slots: (headroom.free_slots - f64::from(starting)).max(0.0),
            next_slot: headroom.next_slot,
            prefill_wait: headroom.prefill_wait,
        })
    }

    /// Records the use of a service, and asks the peers for capacity if this gateway needs it.
    fn request_capacity(&self, service: &ServiceName, running: u32, slots: u32, now: Millis) {
        self.loan_table.record_use(service, running, slots, now);
        if self.known_fleet(now).is_some_and(|fleet| self.loan_table.request(service, fleet, now)) {
            self.gossip_due.notify(usize::MAX);
        }
    }

    fn service_room(&self, service: &ServiceName, now: Millis) -> Option<ServiceRoom> {
        let run = self.admissions.run_times.borrow().run(service);
        let part = self.loan_table.part(service, self.send_turns.borrow().fleet(now), now);
        let memory = self.catalog().and_then(|c| c.service(service)?.memory_tokens);
        let (mut slots, mut running) = (0_u32, 0_u32);
        let rooms: Vec<Headroom> = self.with_registry(|registry| {
            let servers = self.usable_servers(service, registry, now);
            let room = |server: &BackendServer| {
                let facts = self.server_facts(server, memory, run, now);
                slots = slots.saturating_add(facts.slots);
                running = running.saturating_add(facts.own_running);
                HeadroomPolicy::default().server(&facts, run, part)
            };
            servers.map(room).collect()
        });
        if rooms.is_empty() {
            return None;
        }
        let max = part.of_lent_service(slots).map_or(u32::MAX, |max| max.saturating_sub(running));
        let headroom = HeadroomPolicy::default().service(rooms).limited_to(max);
        Some(ServiceRoom { headroom, slots, running })
    }

    fn server_facts(
        &self,
        server: &BackendServer,
        memory: Option<u64>,
        run: Run,
        now: Millis,
    ) -> ServerFacts {
        let facts = self.loads.facts(server, memory, now);
        let report = facts.report.map(|report| report.remaining(facts.slots, run));
        ServerFacts { report, ..facts }
    }

    /// Returns the number of requests that wait at this gateway.
    pub(crate) fn waiting_requests(&self) -> usize {
        self.admissions.queues.borrow().values().map(|queue| queue.waiting.len()).sum()
    }

    /// Updates the gauges of waiting requests and of the largest customer's share.
    pub fn update_admission_gauges(&self) {
        self.telemetry.gauge("admission.waiting", self.waiting_requests() as u64);
        self.count_returns();
    }
}

/// Grants capacity to the waiting requests of a service until none waits.
async fn dispatch(gw: Rc<Gateway>, service: ServiceName) {
    loop {
        sleep(DISPATCH_INTERVAL).await;
        let is_empty = grant_free_slots(&gw, &service);
        gw.admissions.decided.notify(usize::MAX);
        if is_empty {
            return;
        }
    }
}

/// Grants the free slots to the first waiting requests, and refuses those that can no longer begin in time. Returns whether
/// none is left.
fn grant_free_slots(gw: &Gateway, service: &ServiceName) -> bool {
    let now = gw.now();
    let free = gw.service_capacity(service, now).map_or(0.0, |c| c.free_slots) as usize;
    let shares = gw.customer_shares.borrow();
    gw.admissions.with(service, |queue| {
        let hopeless = queue.waiting.take_hopeless(now);
        queue.refused.extend(hopeless.iter().map(|waiting| waiting.id));
        for _ in 0..free {
            match queue.waiting.pop(now, |customer| shares.usage(customer, now)) {
                Some(first) => queue.granted.insert(first.id),
                None => break,
            };
        }
        queue.has_dispatcher = !queue.waiting.is_empty();
        !queue.has_dispatcher
    })
}
