//! The state of a gateway: what it believes, and what is under way.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

use event_listener::Event;
use redwingfold_core::{
    Catalog, ConnectTimeout, DomainRegions, Evacuations, Leads, LeavingServers, Millis, Pressure,
    Quarantine, QuarantinePolicy, ReadRates, Registry, RegistryPolicy, ResendBudget, ResendReason,
    RetryAfterTimes, Rises, SendTurns, ServerEnds, ServerLimits, ServiceName, StreamTimes,
};
use redwingfold_telemetry::Telemetry;
use smol::LocalExecutor;

use crate::clock::{Clock, within};
use crate::exchange::{Orders, WrittenServers};
use crate::facts::HeaderCodec;
use crate::feeds::{Feed, Feeds, ServerChange};
use crate::load::LoadTable;
use crate::quarantine::TrialClaim;
use crate::rollouts::Rollouts;
use crate::session_keepers::SessionKeepers;
use crate::settings::GatewaySettings;
use crate::turns::TurnWaiters;

/// Time after its start for which a gateway's requests wait for what is known of those under which servers ended.
const MARKS_PATIENCE: Millis = Millis(1_000);

/// Whether a gateway takes requests.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// It takes them.
    #[default]
    Serving,
    /// It will stop: it is not ready, and closes each connection after its answer.
    Leaving,
    /// It ends what is under way, and takes only what surely ends before it does.
    Ending,
}

/// Which copy of the store a whole list comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCopy {
    /// One that is older than what is known here: the store has come back from it.
    Older,
    /// One that has all that it had acknowledged.
    Present,
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
    started: Millis,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) loads: LoadTable,
    pub(crate) connections: Cell<usize>,
    pub(crate) held_bytes: Cell<usize>,
    pub(crate) under_way: Cell<usize>,
    catalog: RefCell<Option<Rc<Catalog>>>,
    pub(crate) registry: RefCell<Registry>,
    pub(crate) is_registry_known: Cell<bool>,
    pub(crate) rollouts: RefCell<Rollouts>,
    pub(crate) session_keepers: SessionKeepers,
    feeds: RefCell<Feeds>,
    pub(crate) orders: RefCell<Orders>,
    /// Runs that ended, and servers that did.
    pub(crate) ends: Rc<RefCell<ServerEnds>>,
    /// A server was looked at whose runs broke off.
    pub(crate) looked: Event,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) claims: RefCell<VecDeque<TrialClaim>>,
    pub(crate) evacuations: RefCell<Evacuations>,
    pub(crate) regions: RefCell<DomainRegions>,
    pub(crate) send_turns: RefCell<SendTurns>,
    pub(crate) turn_waiters: TurnWaiters,
    pub(crate) server_limits: RefCell<ServerLimits>,
    pub(crate) leaving: RefCell<LeavingServers>,
    pub(crate) retry_after: RefCell<RetryAfterTimes>,
    /// Marks of requests are to be written, or a trial is asked for.
    pub(crate) marks_moved: Event,
    /// When the store came back from an older copy.
    pub(crate) restored_at: Cell<Option<Millis>>,
    /// Why the operator's topic could not be read the last time.
    pub(crate) orders_trouble: RefCell<Option<String>>,
    /// Other gateways that told how far they know the operator's topic.
    pub(crate) orders_leads: RefCell<Leads<SocketAddr>>,
    /// The same for backend servers.
    pub(crate) servers_leads: RefCell<Leads<SocketAddr>>,
    /// The list of servers as it was last written for another gateway.
    pub(crate) servers_written: RefCell<Option<WrittenServers>>,
    /// Another gateway knows more of one of them.
    pub(crate) ahead: Event,
    budgets: RefCell<HashMap<ServiceName, ResendBudget>>,
    pub(crate) connect_times: Cell<ConnectTimeout>,
    pub(crate) rates: RefCell<ReadRates>,
    pub(crate) rises: RefCell<Rises>,
    pub(crate) stream_times: RefCell<StreamTimes>,
    pressure: Cell<Pressure>,
    standing: Cell<Standing>,
    ends_at: Cell<Millis>,
    pub(crate) moved: Event,
    /// Something that the peers should hear at once.
    pub(crate) news: Event,
}

impl fmt::Debug for Gateway {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gateway").field("standing", &self.standing).finish_non_exhaustive()
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
        let connect_times = ConnectTimeout::new(settings.connect_timeout);
        // Servers end before many gateways at once; marks that all of them wrote at the same moment would hold each other up.
        let hold = settings.quarantine.hold;
        let hold = hold.after(Millis(fastrand::u64(0..=hold.0 / 2)));
        let quarantine = Quarantine::new(QuarantinePolicy { hold, ..settings.quarantine });
        Self {
            settings,
            header_codec,
            telemetry,
            clock: Clock,
            started: Clock.now(),
            executor,
            loads: LoadTable::default(),
            connections: Cell::new(0),
            held_bytes: Cell::new(0),
            under_way: Cell::new(0),
            catalog: RefCell::new(None),
            registry: RefCell::new(Registry::new(RegistryPolicy::default())),
            is_registry_known: Cell::new(false),
            rollouts: RefCell::new(rollouts),
            session_keepers: SessionKeepers::default(),
            feeds: RefCell::new(feeds),
            orders: RefCell::default(),
            ends: Rc::default(),
            looked: Event::new(),
            quarantine: RefCell::new(quarantine),
            claims: RefCell::default(),
            evacuations: RefCell::default(),
            regions: RefCell::default(),
            send_turns: RefCell::default(),
            turn_waiters: TurnWaiters::default(),
            server_limits: RefCell::default(),
            leaving: RefCell::default(),
            retry_after: RefCell::default(),
            marks_moved: Event::new(),
            restored_at: Cell::default(),
            orders_trouble: RefCell::default(),
            orders_leads: RefCell::default(),
            servers_leads: RefCell::default(),
            servers_written: RefCell::default(),
            ahead: Event::new(),
            budgets: RefCell::default(),
            connect_times: Cell::new(connect_times),
            rates: RefCell::default(),
            rises: RefCell::default(),
            stream_times: RefCell::default(),
            pressure: Cell::default(),
            standing: Cell::default(),
            ends_at: Cell::new(Millis(u64::MAX)),
            moved: Event::new(),
            news: Event::new(),
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
    pub fn set_regions(&self, regions: DomainRegions) {
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
        self.moved.notify(usize::MAX);
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
    pub fn note_store_era(&self, era: u64) {
        self.with_rollouts(|r| r.note_era(era));
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
        self.with_rollouts(|r| r.doubt_statuses(era, now));
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
    pub fn read_servers(&self, began: Millis, next: u64, changes: Vec<ServerChange>) {
        self.with_feeds(|feeds| feeds.read_servers(began, next, changes));
        self.news.notify(usize::MAX);
    }

    pub(crate) fn with_registry<T>(&self, f: impl FnOnce(&mut Registry) -> T) -> T {
        f(&mut self.registry.borrow_mut())
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut ResendBudget) -> T) -> T {
        let s = &self.settings;
        let mut budgets = self.budgets.borrow_mut();
        f(budgets.entry(service.clone()).or_insert_with(|| {
            ResendBudget::new(s.retry_window, s.retry_ratio, s.larger_model_ratio, s.retry_reserve)
        }))
    }

    pub(crate) fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, |budget| budget.record_request(self.now()));
    }

    pub(crate) fn try_repeat(&self, service: &ServiceName, what: ResendReason) -> bool {
        self.with_budget(service, |budget| budget.try_take(what, self.now()))
    }

    /// Notes how long a connection to a server took, or that it did not come in time.
    pub(crate) fn connected(&self, took: Option<Millis>) {
        let mut times = self.connect_times.get();
        match took {
            Some(took) => times.record_connected(took),
            None => times.record_timeout(),
        }
        self.connect_times.set(times);
    }

    /// Counts how long a first try waited for its first byte.
    pub(crate) fn first_try(&self, took: Millis, aim: Millis) {
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
        match self.standing() {
            Standing::Leaving | Standing::Ending => Err("stopping"),
            Standing::Serving if self.catalog.borrow().is_none() => Err("no configuration"),
            Standing::Serving if !self.is_registry_known.get() => Err("no backend servers known"),
            Standing::Serving => Ok(()),
        }
    }

    /// Returns whether it takes requests.
    pub fn standing(&self) -> Standing {
        self.standing.get()
    }

    /// Begins to leave: it is not ready any more, and ends at a time at the latest.
    pub fn leave(&self, ends_at: Millis) {
        self.ends_at.set(ends_at);
        self.set_standing(Standing::Leaving);
    }

    /// Takes nothing new from now on.
    pub fn close(&self) {
        self.ends_at.set(self.now());
        self.set_standing(Standing::Ending);
    }

    /// Returns when it ends at the latest.
    pub(crate) fn ends_at(&self) -> Millis {
        self.ends_at.get()
    }

    /// Moves on towards its end.
    pub fn set_standing(&self, standing: Standing) {
        self.standing.set(standing);
        self.moved.notify(usize::MAX);
    }

    /// Waits until a configuration and the list of servers are known.
    pub(crate) async fn known(&self) {
        loop {
            let moved = self.moved.listen();
            if self.catalog.borrow().is_some() && self.is_registry_known.get() {
                return;
            }
            moved.await;
        }
    }

    /// Waits until it knows under which requests servers have ended; not for long after its start, as the store may be
    /// away while other gateways tell the rest.
    ///
    /// Load pattern: all gateways are lost while a request comes again and again under which servers end. The first
    /// to be ready sent it to servers before it had read what was known of it.
    pub(crate) async fn marks_known(&self) {
        let until = self.started.after(MARKS_PATIENCE);
        while self.now() < until {
            let moved = self.moved.listen();
            if self.with_feeds(|feeds| feeds.next(Feed::Marks)).is_some() {
                return;
            }
            within(until.since(self.now()), moved).await;
        }
    }

    /// Waits until it only ends what is under way.
    pub(crate) async fn ending(&self) {
        while self.standing() != Standing::Ending {
            let moved = self.moved.listen();
            if self.standing() == Standing::Ending {
                break;
            }
            moved.await;
        }
    }

    /// Returns the number of requests under way.
    pub fn under_way(&self) -> usize {
        self.under_way.get()
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
