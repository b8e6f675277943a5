//! The state of a gateway: what it believes, and what is under way.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use event_listener::Event;
use redwingfold_core::{
    Catalog, ConnectTimes, Evacuations, Leads, LeavingServers, Millis, Pressure, Quarantine,
    QuarantinePolicy, ReadRates, Regions, Registry, RegistryPolicy, RepeatBudget, RepeatUse,
    RetryAfterTimes, Rises, SendTurns, ServerEnds, ServerLimits, ServiceName, StreamTimes,
};
use redwingfold_telemetry::Telemetry;
use smol::LocalExecutor;

use crate::clock::{Clock, within};
use crate::exchange::{EncodedServers, OrderSnapshots};
use crate::facts::HeaderCodec;
use crate::feeds::{Feed, Feeds, ServerChange};
use crate::load::LoadTable;
use crate::quarantine::TrialClaim;
use crate::rollouts::Rollouts;
use crate::session_keepers::SessionKeepers;
use crate::settings::GatewaySettings;
use crate::turns::TurnWaiters;

/// Time after its start for which a gateway's requests wait for what is known of those under which servers ended.
const MARKS_WAIT_LIMIT: Millis = Millis(1_000);

/// Whether a gateway takes requests.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Lifecycle {
    /// It takes them.
    #[default]
    Serving,
    /// It will stop: it is not ready, and closes each connection after its answer.
    Draining,
    /// It ends what is under way, and takes only what surely ends before it does.
    Stopping,
}

/// Which copy of the store a whole list comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCopy {
    /// One that is older than what is known here: the store has come back from it.
    Older,
    /// One that has all that it had acknowledged.
    Current,
}

/// How a configuration came to a gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigSource {
    /// Its length on the wire.
    pub bytes: usize,
    /// Time that reading it took.
    pub read: Millis,
    /// Time that decoding it took.
    pub decode: Millis,
}

/// What one process believes, decides and has under way. It belongs to one thread.
pub struct Gateway {
    pub(crate) settings: GatewaySettings,
    pub(crate) header_codec: HeaderCodec,
    pub(crate) telemetry: Telemetry,
    pub(crate) clock: Clock,
    started_at: Millis,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) loads: LoadTable,
    pub(crate) connections: Cell<usize>,
    pub(crate) held_bytes: Cell<usize>,
    pub(crate) in_flight: Cell<usize>,
    catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) registry: RefCell<Registry>,
    pub(crate) is_registry_known: Cell<bool>,
    pub(crate) rollouts: RefCell<Rollouts>,
    pub(crate) session_keepers: SessionKeepers,
    feeds: RefCell<Feeds>,
    pub(crate) orders: RefCell<OrderSnapshots>,
    /// Runs that ended, and servers that did.
    pub(crate) ends: Rc<RefCell<ServerEnds>>,
    /// A server was looked at whose runs broke off.
    pub(crate) server_checked: Event,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) claims: RefCell<VecDeque<TrialClaim>>,
    pub(crate) evacuations: RefCell<Evacuations>,
    pub(crate) regions: RefCell<Regions>,
    pub(crate) send_turns: RefCell<SendTurns>,
    pub(crate) turn_waiters: TurnWaiters,
    pub(crate) server_limits: RefCell<ServerLimits>,
    pub(crate) leaving_servers: RefCell<LeavingServers>,
    pub(crate) retry_after: RefCell<RetryAfterTimes>,
    /// Marks of requests are to be written, or a trial is asked for.
    pub(crate) marks_changed: Event,
    /// When the store came back from an older copy.
    pub(crate) restored_at: Cell<Option<Millis>>,
    /// Why the operator's topic could not be read the last time.
    pub(crate) orders_read_error: RefCell<Option<String>>,
    /// Other gateways that told how far they know the operator's topic.
    pub(crate) orders_leads: RefCell<Leads<SocketAddr>>,
    /// The same for backend servers.
    pub(crate) servers_leads: RefCell<Leads<SocketAddr>>,
    /// The list of servers as it was last written for another gateway.
    pub(crate) encoded_servers: RefCell<Option<EncodedServers>>,
    /// Another gateway knows more of one of them.
    pub(crate) peer_ahead: Event,
    budgets: RefCell<HashMap<ServiceName, RepeatBudget>>,
    pub(crate) connect_times: Cell<ConnectTimes>,
    pub(crate) rates: RefCell<ReadRates>,
    pub(crate) rises: RefCell<Rises>,
    pub(crate) stream_times: RefCell<StreamTimes>,
    pressure: Cell<Pressure>,
    lifecycle: Cell<Lifecycle>,
    stop_deadline: Cell<Millis>,
    pub(crate) state_changed: Event,
    /// Something that the peers should hear at once.
    pub(crate) gossip_due: Event,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway").field("standing", &self.lifecycle).finish_non_exhaustive()
    }
}

impl Gateway {
    /// Makes a gateway that knows no configuration yet.
    pub fn new(
        settings: GatewaySettings,
        header_codec: HeaderCodec,
        telemetry: Telemetry,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        let rollouts = Rollouts::new(settings.canary, settings.session_retention);
        let feeds = Feeds::new(settings.feeds);
        let connect_times = ConnectTimes::new(settings.connect_timeout);
        // Servers end before many gateways at once; marks that all of them wrote at the same moment would hold each other up.
        let hold = settings.quarantine.hold;
        let hold = hold.after(Millis(fastrand::u64(0..=hold.0 / 2)));
        let quarantine = Quarantine::new(QuarantinePolicy { hold, ..settings.quarantine });
        Self {
            settings,
            header_codec,
            telemetry,
            clock: Clock,
            started_at: Clock.now(),
            executor,
            loads: LoadTable::default(),
            connections: Cell::new(0),
            held_bytes: Cell::new(0),
            in_flight: Cell::new(0),
            catalog: RefCell::new(None),
            registry: RefCell::new(Registry::new(RegistryPolicy::default())),
            is_registry_known: Cell::new(false),
            rollouts: RefCell::new(rollouts),
            session_keepers: SessionKeepers::default(),
            feeds: RefCell::new(feeds),
            orders: RefCell::default(),
            ends: Rc::default(),
            server_checked: Event::new(),
            quarantine: RefCell::new(quarantine),
            claims: RefCell::default(),
            evacuations: RefCell::default(),
            regions: RefCell::default(),
            send_turns: RefCell::default(),
            turn_waiters: TurnWaiters::default(),
            server_limits: RefCell::default(),
            leaving_servers: RefCell::default(),
            retry_after: RefCell::default(),
            marks_changed: Event::new(),
            restored_at: Cell::default(),
            orders_read_error: RefCell::default(),
            orders_leads: RefCell::default(),
            servers_leads: RefCell::default(),
            encoded_servers: RefCell::default(),
            peer_ahead: Event::new(),
            budgets: RefCell::default(),
            connect_times: Cell::new(connect_times),
            rates: RefCell::default(),
            rises: RefCell::default(),
            stream_times: RefCell::default(),
            pressure: Cell::default(),
            lifecycle: Cell::default(),
            stop_deadline: Cell::new(Millis(u64::MAX)),
            state_changed: Event::new(),
            gossip_due: Event::new(),
        }
    }

    /// Returns the present.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Returns where it logs and counts.
    pub fn telemetry(&self) -> &Telemetry {
        &self.telemetry
    }

    /// Takes the regions of failure domains.
    pub fn set_regions(&self, regions: Regions) {
        *self.regions.borrow_mut() = regions;
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force, unless it is older than the present one.
    ///
    /// A store that lost its newest records, or reads that overtake each other, would otherwise
    /// bring dropped keys and routes back.
    /// `source` says for the log how it came.
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

    /// Takes the store's era, as its first answer names it.
    pub fn set_store_era(&self, era: u64) {
        self.with_rollouts(|r| r.set_store_era(era));
    }

    /// Takes that the store has come back from an older copy, as its eras say.
    ///
    /// What is in force stays so until the store, written again, says otherwise; what others wrote there is written again
    /// by them, and what gateways wrote by the tasks that wrote it.
    pub fn store_restored(&self, before: u64, era: u64) {
        let now = self.now();
        self.telemetry.count("store.restored", 1);
        self.telemetry.gauge("store.era", era);
        self.telemetry.warn("store_restored", &[("era_before", &before), ("era", &era)]);
        self.restored_at.set(Some(now));
        self.record_store_outage();
        self.with_rollouts(|r| r.store_restored(era, now));
    }

    /// Works with the roll-outs.
    pub fn with_rollouts<T>(&self, f: impl FnOnce(&mut Rollouts) -> T) -> T {
        f(&mut self.rollouts.borrow_mut())
    }

    /// Works with the feeds that gateways read together.
    pub fn with_feeds<T>(&self, f: impl FnOnce(&mut Feeds) -> T) -> T {
        f(&mut self.feeds.borrow_mut())
    }

    /// Takes an own read of servers that began at `began` and ended at offset `next`, with what it
    /// changed.
    pub fn record_servers_read(&self, began: Millis, next: u64, changes: Vec<ServerChange>) {
        self.with_feeds(|feeds| feeds.record_servers_read(began, next, changes));
        self.gossip_due.notify(usize::MAX);
    }

    pub(crate) fn with_registry<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        f(&mut self.registry.borrow_mut())
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RepeatBudget) -> T) -> T {
        let s = &self.settings;
        let mut budgets = self.budgets.borrow_mut();
        f(budgets.entry(service.clone()).or_insert_with(|| {
            RepeatBudget::new(s.retry_window, s.retry_ratio, s.larger_model_ratio, s.retry_reserve)
        }))
    }

    pub(crate) fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, |budget| budget.request(self.now()));
    }

    pub(crate) fn try_repeat(&self, service: &ServiceName, what: RepeatUse) -> bool {
        self.with_budget(service, |budget| budget.try_take(what, self.now()))
    }

    /// Notes how long a connection to a server took, or that it did not come in time.
    pub(crate) fn record_connect_time(&self, took: Option<Millis>) {
        let mut times = self.connect_times.get();
        match took {
            Some(took) => times.took(took),
            None => times.did_not_come(),
        }
        self.connect_times.set(times);
    }

    /// Counts how long a first try waited for its first byte.
    pub(crate) fn record_first_attempt(&self, took: Millis, aim: Millis) {
        let mut pressure = self.pressure.get();
        pressure.tried(took, aim);
        self.pressure.set(pressure);
    }

    /// Returns the pressure on the engines, as first tries feel it.
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure.get().value()
    }

    /// Says whether callers should be sent here; `Err` says why not.
    ///
    /// # Errors
    ///
    /// While it leaves, or knows no configuration or no list of servers.
    pub fn is_ready(&self) -> Result<(), &'static str> {
        match self.lifecycle() {
            Lifecycle::Draining | Lifecycle::Stopping => Err("stopping"),
            Lifecycle::Serving if self.catalog.borrow().is_none() => Err("no configuration"),
            Lifecycle::Serving if !self.is_registry_known.get() => Err("no backend servers known"),
            Lifecycle::Serving => Ok(()),
        }
    }

    /// Returns whether it takes requests.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle.get()
    }

    /// Begins to leave: it is not ready any more, and ends at a time at the latest.
    pub fn begin_drain(&self, ends_at: Millis) {
        self.stop_deadline.set(ends_at);
        self.set_lifecycle(Lifecycle::Draining);
    }

    /// Takes nothing new from now on.
    pub fn close(&self) {
        self.stop_deadline.set(self.now());
        self.set_lifecycle(Lifecycle::Stopping);
    }

    /// Returns when it ends at the latest.
    pub(crate) fn stop_deadline(&self) -> Millis {
        self.stop_deadline.get()
    }

    /// Moves on towards its end.
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

    /// Waits until it knows under which requests servers have ended; not for long after its start, as the store may be
    /// away while other gateways tell the rest.
    ///
    /// Load pattern: all gateways are lost while a request comes again and again under which servers end. The first
    /// to be ready sent it to servers before it had read what was known of it.
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

    /// Waits until it only ends what is under way.
    pub(crate) async fn wait_until_stopping(&self) {
        while self.lifecycle() != Lifecycle::Stopping {
            let changed = self.state_changed.listen();
            if self.lifecycle() == Lifecycle::Stopping {
                break;
            }
            changed.await;
        }
    }

    /// Returns the number of requests under way.
    pub fn in_flight(&self) -> usize {
        self.in_flight.get()
    }

    /// Returns the number of open connections of callers.
    pub fn open_connections(&self) -> usize {
        self.connections.get()
    }

    /// Runs a task on the gateway's thread.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.executor.spawn(task).detach();
    }
}
