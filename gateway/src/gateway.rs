//! The state of a gateway process.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use event_listener::Event;
use redwingfold_core::{
    Catalog, ConfidenceGains, ConnectTimeout, CustomerShares, DomainRegions, Evacuations,
    FeedPositions, InterruptedRuns, LeavingServers, Millis, PrefillRates, Pressure, Quarantine,
    QuarantinePolicy, Registry, RegistryPolicy, ReportNumbers, ResendBudget, ResendReason,
    RetryAfterTimes, ReturnSchedule, SendTurns, ServerLimits, ServiceName, StartTurn, StreamTimes,
};
use redwingfold_telemetry::Telemetry;
use smol::LocalExecutor;

use crate::admission::AdmissionQueues;
use crate::caller_connection::OpenConnections;
use crate::capacity_loans::LoanTable;
use crate::clock::{Clock, processor_time, within};
use crate::connection_pool::ConnectionPool;
use crate::exchange::{EncodedServers, OrderSnapshots, StoredVersions};
use crate::feeds::{Feed, Feeds, ServerChange};
use crate::load::LoadTable;
use crate::log_rate::LogRate;
use crate::metadata::HeaderCodec;
use crate::quarantine::TrialClaim;
use crate::request_memory::MemoryAccount;
use crate::rollouts::Rollouts;
use crate::session_keepers::SessionKeepers;
use crate::settings::GatewaySettings;
use crate::turns::TurnWaiters;

/// Longest time after its start for which a gateway's requests wait for the marks of requests during which servers
/// terminated.
const MARKS_WAIT_LIMIT: Millis = Millis(1_000);

/// Whether a gateway accepts requests.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lifecycle {
    /// It accepts them.
    #[default]
    Serving,
    /// It will stop: it reports not ready, and closes each connection after the response.
    Draining,
    /// It finishes requests in flight, and accepts only those that are certain to finish before the stop deadline.
    Stopping,
}

/// The copy of the store from which a whole list was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCopy {
    /// An older copy, from which the store was restored; this gateway may have newer records.
    Older,
    /// A copy with all writes that the store acknowledged.
    Current,
}

/// Size of a configuration, and the time it took to load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigSource {
    /// Length on the wire, in bytes.
    pub bytes: usize,
    /// Time taken by reading.
    pub read: Millis,
    /// Time taken by decoding.
    pub decode: Millis,
}

/// The state of one gateway process. It belongs to one thread.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) header_codec: HeaderCodec,
    pub(crate) telemetry: Telemetry,
    pub(crate) clock: Clock,
    started_at: Millis,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) loads: LoadTable,
    pub(crate) pool: ConnectionPool,
    pub(crate) connections: OpenConnections,
    pub(crate) memory: Rc<MemoryAccount>,
    /// Limits the log lines on refused requests.
    pub(crate) refusal_log_rate: LogRate,
    pub(crate) in_flight: Cell<usize>,
    catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) registry: RefCell<Registry>,
    pub(crate) is_registry_known: Cell<bool>,
    pub(crate) rollouts: RefCell<Rollouts>,
    pub(crate) session_keepers: SessionKeepers,
    feeds: RefCell<Feeds>,
    pub(crate) orders: RefCell<OrderSnapshots>,
    /// Runs whose connections broke off, and the servers that terminated.
    pub(crate) interrupted_runs: Rc<RefCell<InterruptedRuns>>,
    /// Notified when a server whose runs broke off was probed.
    pub(crate) server_probed: Event,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) trial_claims: RefCell<VecDeque<TrialClaim>>,
    pub(crate) evacuations: RefCell<Evacuations>,
    pub(crate) domain_regions: RefCell<DomainRegions>,
    pub(crate) send_turns: RefCell<SendTurns>,
    pub(crate) turn_waiters: TurnWaiters,
    pub(crate) server_limits: RefCell<ServerLimits>,
    pub(crate) leaving_servers: RefCell<LeavingServers>,
    pub(crate) retry_after: RefCell<RetryAfterTimes>,
    pub(crate) returns: RefCell<ReturnSchedule>,
    pub(crate) customer_shares: RefCell<CustomerShares>,
    /// Numbers of the peers' reports on customers' shares.
    pub(crate) shares_numbers: RefCell<ReportNumbers<SocketAddr>>,
    /// Number of the next own report on customers' shares.
    pub(crate) next_shares_number: Cell<u32>,
    /// Notified when marks of requests must be written, or a trial is requested.
    pub(crate) marks_changed: Event,
    /// When the store was last restored from an older copy.
    pub(crate) restored_at: Cell<Option<Millis>>,
    /// Why the last read of the operator's topic failed.
    pub(crate) orders_read_error: RefCell<Option<String>>,
    /// Positions of other gateways in the operator's topic.
    pub(crate) orders_positions: RefCell<FeedPositions<SocketAddr>>,
    /// Positions of other gateways in the feed of backend servers.
    pub(crate) servers_positions: RefCell<FeedPositions<SocketAddr>>,
    /// Positions of other gateways in the feed of marks.
    pub(crate) marks_positions: RefCell<FeedPositions<SocketAddr>>,
    /// The versions in service, as read at the start of a gateway.
    pub(crate) stored_versions: RefCell<StoredVersions>,
    /// When this gateway reads the store for what it lacks at its start.
    pub(crate) start_turn: Cell<StartTurn>,
    /// The server list as last encoded for another gateway.
    pub(crate) encoded_servers: RefCell<Option<EncodedServers>>,
    /// Notified when another gateway is ahead in one of these feeds.
    pub(crate) peer_ahead: Event,
    resend_budgets: RefCell<HashMap<ServiceName, ResendBudget>>,
    pub(crate) connect_timeout: Cell<ConnectTimeout>,
    pub(crate) prefill_rates: RefCell<PrefillRates>,
    pub(crate) confidence_gains: RefCell<ConfidenceGains>,
    pub(crate) stream_times: RefCell<StreamTimes>,
    pressure: Cell<Pressure>,
    /// Whether a server has reported that it shares its host.
    pub(crate) has_shared_hosts: Cell<bool>,
    pub(crate) admissions: AdmissionQueues,
    pub(crate) loan_table: LoanTable,
    lifecycle: Cell<Lifecycle>,
    stop_deadline: Cell<Millis>,
    /// Notified when the configuration, the servers or the lifecycle changed.
    pub(crate) state_changed: Event,
    /// Notified when there is something to send to the peers at once.
    pub(crate) gossip_due: Event,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway").field("standing", &self.lifecycle).finish_non_exhaustive()
    }
}

impl Gateway {
    /// Creates a gateway without a configuration.
    pub fn new(
        settings: GatewaySettings,
        header_codec: HeaderCodec,
        telemetry: Telemetry,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        let rollouts = Rollouts::new(settings.canary, settings.session_retention);
        let feeds = Feeds::new(settings.feeds);
        let connections = OpenConnections::new(
            "connection",
            settings.memory_budget.max_connections,
            telemetry.clone(),
        );
        let memory = MemoryAccount::new(
            settings.memory,
            settings.memory_budget,
            connections.clone(),
            telemetry.clone(),
        );
        let memory = Rc::new(memory);
        let connect_timeout = ConnectTimeout::new(settings.connect_timeout);
        let pool = ConnectionPool::new(settings.connection_reuse);
        // Many gateways detect the termination of a server at once. A random delay keeps their writes of marks from
        // contending.
        let write_delay = settings.quarantine.write_delay;
        let write_delay = write_delay.after(Millis(fastrand::u64(0..=write_delay.0 / 2)));
        let quarantine = Quarantine::new(QuarantinePolicy { write_delay, ..settings.quarantine });
        let start_turn = StartTurn::new(settings.is_first_start, Clock.now(), fastrand::u64(..));
        Self {
            settings,
            header_codec,
            telemetry,
            clock: Clock,
            started_at: Clock.now(),
            executor,
            loads: LoadTable::default(),
            pool,
            connections,
            memory,
            refusal_log_rate: LogRate::default(),
            in_flight: Cell::new(0),
            catalog: RefCell::new(None),
            registry: RefCell::new(Registry::new(RegistryPolicy::default())),
            is_registry_known: Cell::new(false),
            rollouts: RefCell::new(rollouts),
            session_keepers: SessionKeepers::default(),
            feeds: RefCell::new(feeds),
            orders: RefCell::default(),
            interrupted_runs: Rc::default(),
            server_probed: Event::new(),
            quarantine: RefCell::new(quarantine),
            trial_claims: RefCell::default(),
            evacuations: RefCell::default(),
            domain_regions: RefCell::default(),
            send_turns: RefCell::default(),
            turn_waiters: TurnWaiters::default(),
            server_limits: RefCell::default(),
            leaving_servers: RefCell::default(),
            retry_after: RefCell::default(),
            returns: RefCell::default(),
            customer_shares: RefCell::default(),
            shares_numbers: RefCell::default(),
            next_shares_number: Cell::new(fastrand::u32(..)),
            marks_changed: Event::new(),
            restored_at: Cell::default(),
            orders_read_error: RefCell::default(),
            orders_positions: RefCell::default(),
            servers_positions: RefCell::default(),
            marks_positions: RefCell::default(),
            stored_versions: RefCell::default(),
            start_turn: Cell::new(start_turn),
            encoded_servers: RefCell::default(),
            peer_ahead: Event::new(),
            resend_budgets: RefCell::default(),
            connect_timeout: Cell::new(connect_timeout),
            prefill_rates: RefCell::default(),
            confidence_gains: RefCell::default(),
            stream_times: RefCell::default(),
            pressure: Cell::default(),
            has_shared_hosts: Cell::default(),
            admissions: AdmissionQueues::default(),
            loan_table: LoanTable::default(),
            lifecycle: Cell::default(),
            stop_deadline: Cell::new(Millis(u64::MAX)),
            state_changed: Event::new(),
            gossip_due: Event::new(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns the sink of logs and metrics.
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Sets the regions of failure domains.
    pub fn set_regions(&self, regions: DomainRegions) {
        *self.domain_regions.borrow_mut() = regions;
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force, unless the one in force is as new or newer.
    ///
    /// Otherwise a store that lost its newest records, or reads that overtake each other, would bring deleted keys and
    /// routes back. `source` is logged.
    pub fn configure(&self, catalog: Catalog, source: &ConfigSource) {
        let version = catalog.version;
        let present = self.catalog().map_or(0, |c| c.version);
        if version <= present {
            return;
        }
        let routes = catalog.route_count();
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.state_changed.notify(usize::MAX);
        self.telemetry.info(
            "config_in_force",
            &[
                ("version", &version),
                ("before", &present),
                ("routes", &routes),
                ("bytes", &source.bytes),
                ("read_ms", &source.read),
                ("decode_ms", &source.decode),
            ],
        );
        self.telemetry.gauge("config.version", version);
    }

    /// Sets the store's era, from its first response.
    pub fn set_store_era(&self, era: u64) {
        self.with_rollouts(|r| r.set_store_era(era));
    }

    /// Handles a restore of the store from an older copy, which shows in its era.
    ///
    /// The state in force is kept until the rewritten store differs from it. Lost records are written again by
    /// their authors; those of gateways by the tasks that wrote them.
    pub fn store_restored(&self, before: u64, era: u64) {
        let now = self.now();
        self.telemetry.count("store.restored", 1);
        self.telemetry.gauge("store.era", era);
        self.telemetry.warn("store_restored", &[("era_before", &before), ("era", &era)]);
        self.restored_at.set(Some(now));
        self.record_store_outage();
        self.with_rollouts(|r| r.store_restored(era, now));
    }

    /// Calls a function with the rollouts.
    pub fn with_rollouts<T>(&self, f: impl FnOnce(&mut Rollouts) -> T) -> T {
        f(&mut self.rollouts.borrow_mut())
    }

    /// Calls a function with the feeds whose reads the gateways share.
    pub fn with_feeds<T>(&self, f: impl FnOnce(&mut Feeds) -> T) -> T {
        f(&mut self.feeds.borrow_mut())
    }

    /// Records this gateway's own read of servers, which started at `began` and ended at offset `next`, and its
    /// changes.
    pub fn record_servers_read(&self, began: Millis, next: u64, changes: Vec<ServerChange>) {
        self.with_feeds(|feeds| feeds.record_servers_read(began, next, changes));
        self.gossip_due.notify(usize::MAX);
    }

    pub(crate) fn with_registry<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        f(&mut self.registry.borrow_mut())
    }

    fn with_resend_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut ResendBudget) -> T,
    ) -> T {
        let s = &self.settings;
        let mut budgets = self.resend_budgets.borrow_mut();
        f(budgets.entry(service.clone()).or_insert_with(|| {
            ResendBudget::new(s.retry_window, s.retry_ratio, s.larger_model_ratio, s.retry_reserve)
        }))
    }

    pub(crate) fn count_request(&self, service: &ServiceName) {
        self.with_resend_budget(service, |budget| budget.record_request(self.now()));
    }

    pub(crate) fn try_take_resend(&self, service: &ServiceName, what: ResendReason) -> bool {
        self.with_resend_budget(service, |budget| budget.try_take(what, self.now()))
    }

    /// Records how long connecting to a server took; `None` if it timed out.
    pub(crate) fn record_connect_time(&self, took: Option<Millis>) {
        let mut times = self.connect_timeout.get();
        match took {
            Some(took) => times.record_connected(took),
            None => times.record_timeout(),
        }
        self.connect_timeout.set(times);
    }

    /// Records the time to the first byte of a request's first attempt, and the target for it.
    pub(crate) fn record_first_attempt(&self, took: Millis, target: Millis) {
        let mut pressure = self.pressure.get();
        pressure.record(took, target);
        self.pressure.set(pressure);
    }

    /// Returns the pressure on the backend servers, measured by first attempts.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure.get().value()
    }

    /// Returns the time since the start.
    pub(crate) fn uptime(&self) -> Millis {
        self.now().since(self.started_at)
    }

    /// Returns whether callers should be routed to this gateway.
    ///
    /// # Errors
    ///
    /// The reason, if it is stopping or has no configuration or no list of servers yet.
    pub fn is_ready(&self) -> Result<(), &'static str> {
        match self.lifecycle() {
            Lifecycle::Draining | Lifecycle::Stopping => Err("stopping"),
            Lifecycle::Serving if self.catalog.borrow().is_none() => Err("no configuration"),
            Lifecycle::Serving if !self.is_registry_known.get() => Err("no backend servers known"),
            Lifecycle::Serving => Ok(()),
        }
    }

    /// Returns whether the gateway accepts requests.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.get()
    }

    /// Starts draining: the gateway is no longer ready, and stops at `ends_at` at the latest.
    pub fn begin_drain(&self, ends_at: Millis) {
        self.stop_deadline.set(ends_at);
        self.set_lifecycle(Lifecycle::Draining);
    }

    /// Stops accepting requests.
    pub fn close(&self) {
        self.stop_deadline.set(self.now());
        self.set_lifecycle(Lifecycle::Stopping);
    }

    /// Returns the time at which the gateway stops at the latest.
    pub(crate) fn stop_deadline(&self) -> Millis {
        self.stop_deadline.get()
    }

    /// Sets the lifecycle state.
    pub fn set_lifecycle(&self, lifecycle: Lifecycle) {
        self.lifecycle.set(lifecycle);
        self.state_changed.notify(usize::MAX);
    }

    /// Waits until a configuration and the list of servers are known.
    pub(crate) async fn wait_until_configured(&self) {
        loop {
            let changed = self.state_changed.listen();
            if self.catalog.borrow().is_some() && self.is_registry_known.get() {
                return;
            }
            changed.await;
        }
    }

    /// Waits until the marks of requests during which servers terminated are known. The wait is short and happens only
    /// after the start, as the store may be unavailable while other gateways send the marks.
    ///
    /// Load pattern: all gateways restart while a request that terminates servers is repeated. Without the wait, the
    /// first ready gateway sent it to servers before it had read its marks.
    pub(crate) async fn wait_for_marks(&self) {
        let until = self.started_at.after(MARKS_WAIT_LIMIT);
        while self.now() < until {
            let changed = self.state_changed.listen();
            if self.with_feeds(|feeds| feeds.next(Feed::Marks)).is_some() {
                return;
            }
            within(until.since(self.now()), changed).await;
        }
    }

    /// Waits until the gateway is stopping.
    pub(crate) async fn wait_until_stopping(&self) {
        while self.lifecycle() != Lifecycle::Stopping {
            let changed = self.state_changed.listen();
            if self.lifecycle() == Lifecycle::Stopping {
                break;
            }
            changed.await;
        }
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of open connections from callers.
    pub fn open_connections(&self) -> usize {
        self.connections.count()
    }

    /// Updates the gauges of what this process and its requests use.
    pub fn update_resource_gauges(&self) {
        self.memory.update_gauges();
        self.telemetry.gauge("process.cpu_ms", processor_time().0);
    }

    /// Runs a task on the gateway's thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}
