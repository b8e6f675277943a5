//! State common to the entry and side daemons: identity, configuration, and clients for the
//! platform's services.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use event_listener::{Event, EventListener};
use redwingfold_core::{FailureDomain, HostId, Incarnation, Member, Millis, is_log_reader};
use redwingfold_http::Client;
use smol::Timer;

use crate::clock::{Clock, jittered};
use crate::config_store::ConfigStore;
use crate::platform::{HostRecord, LogClient, fetch_hosts};
use crate::settings::{HeartbeatSettings, HostListSettings, LogSettings};
use crate::wire::{Hello, PROTOCOL, Role};
use redwingfold_telemetry::Telemetry;

/// State common to the entry and side daemons.
#[derive(Debug)]
pub(crate) struct Daemon {
    pub(crate) host: HostId,
    pub(crate) domain: FailureDomain,
    pub(crate) role: Role,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) telemetry: Telemetry,
    pub(crate) store: ConfigStore,
    pub(crate) log: LogClient,
    pub(crate) log_settings: LogSettings,
    pub(crate) host_list: HostListSettings,
    pub(crate) heartbeat: HeartbeatSettings,
    pub(crate) http: Client,
    pub(crate) hosts: HostView,
    pub(crate) traffic: PeerTraffic,
}

/// Bytes of UDP payload sent and received on the connections to peers.
#[derive(Debug, Default)]
pub(crate) struct PeerTraffic {
    pub(crate) sent: AtomicU64,
    pub(crate) received: AtomicU64,
}

/// The newest host list, and an event that signals changes to it.
#[derive(Debug, Default)]
pub(crate) struct HostView {
    current: ArcSwap<Vec<HostRecord>>,
    changed_event: Event,
}

impl HostView {
    pub(crate) fn current(&self) -> Arc<Vec<HostRecord>> {
        self.current.load_full()
    }

    /// Returns a future that completes at the next change. Call this before [`Self::current`]: a
    /// change between the two calls would otherwise be missed.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed_event.listen()
    }

    fn set(&self, hosts: Vec<HostRecord>) -> bool {
        if **self.current.load() == hosts {
            return false;
        }
        self.current.store(Arc::new(hosts));
        self.changed_event.notify(usize::MAX);
        true
    }
}

impl Daemon {
    pub(crate) fn new(
        (host, domain, role): (HostId, FailureDomain, Role),
        log_settings: LogSettings,
        host_list: HostListSettings,
        heartbeat: HeartbeatSettings,
        telemetry: Telemetry,
    ) -> Self {
        Self {
            host,
            domain,
            role,
            incarnation: Incarnation(fastrand::u64(1..)),
            clock: Clock::default(),
            store: ConfigStore::new(telemetry.clone()),
            log: LogClient::new(&log_settings),
            log_settings,
            host_list,
            heartbeat,
            http: Client::default(),
            hosts: HostView::default(),
            traffic: PeerTraffic::default(),
            telemetry,
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            host: self.host.clone(),
            role: self.role,
            incarnation: self.incarnation,
        }
    }

    /// Returns whether this daemon reads the log for the others in its failure domain.
    pub(crate) fn is_reader(&self) -> bool {
        let members: Vec<_> = self.hosts.current().iter().map(HostRecord::member).collect();
        let own = Member { host: self.host.clone(), domain: self.domain.clone() };
        is_log_reader(&own, &members, self.log_settings.readers_per_domain)
    }

    /// Polls the host list forever. If a read fails, the last list stays in use.
    pub(crate) async fn poll_hosts(&self) {
        loop {
            match fetch_hosts(&self.http, self.host_list.address).await {
                Ok(hosts) => {
                    let count = hosts.len();
                    if self.hosts.set(hosts) {
                        self.telemetry.info("hosts_changed", &[("hosts", &count)]);
                    }
                }
                Err(reason) => {
                    self.telemetry.count("hosts.read_failed", 1);
                    self.telemetry.warn("hosts_read_failed", &[("why", &reason)]);
                }
            }
            Timer::after(jittered(self.host_list.every_ms)).await;
        }
    }
}
