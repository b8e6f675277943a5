//! Test double of the host list: live and leaving hosts; readers see changes after a lag.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use redwingfold_http::Request;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::history::History;
use crate::serve;

/// A host as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: String,
    /// Address of its redwingfold process.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// `entry` or `side`.
    pub role: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Pool of backend servers that a side belongs to.
    #[serde(default)]
    pub pool: String,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct Control {
    hosts: Vec<HostEntry>,
    lag_ms: u64,
    outage: bool,
}

#[derive(Debug)]
struct State {
    control: Control,
    visible: Vec<HostEntry>,
    pending: Vec<(Instant, Vec<HostEntry>)>,
}

/// A running test double. Clones share its state.
#[derive(Clone, Debug)]
pub struct HostList {
    /// Listening address.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    _task: Arc<smol::Task<()>>,
}

impl State {
    fn set(&mut self, control: Control) {
        let due = Instant::now() + Duration::from_millis(control.lag_ms);
        self.pending.push((due, control.hosts.clone()));
        self.control = control;
    }

    fn visible(&mut self) -> &[HostEntry] {
        let now = Instant::now();
        while self.pending.first().is_some_and(|(due, _)| *due <= now) {
            self.visible = self.pending.remove(0).1;
        }
        &self.visible
    }
}

impl HostList {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let control = Control { hosts: Vec::new(), lag_ms: 0, outage: false };
        let state =
            Arc::new(Mutex::new(State { control, visible: Vec::new(), pending: Vec::new() }));
        let inner = state.clone();
        let (addr, task) = serve::start(addr, move |mut req: Request, _| {
            let state = inner.clone();
            async move {
                let lock = || state.lock().unwrap_or_else(PoisonError::into_inner);
                let (get, set) = (|| lock().control.clone(), |control| lock().set(control));
                match serve::control(&mut req, &History::default(), get, set).await {
                    Some(res) => res,
                    None if lock().control.outage => serve::status(503, "outage"),
                    None if req.url().path() == "/hosts" => {
                        serve::json(&json!({"hosts": lock().visible()}))
                    }
                    None => serve::status(404, "no such path"),
                }
            }
        })?;
        Ok(Self { addr, state, _task: Arc::new(task) })
    }

    /// Replaces the hosts; readers see the change after `lag`.
    pub fn set(&self, hosts: Vec<HostEntry>, lag: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let outage = state.control.outage;
        state.set(Control { hosts, lag_ms: lag.as_millis() as u64, outage });
    }

    /// Changes the current hosts; readers see the change after `lag`.
    pub fn update(&self, lag: Duration, change: impl FnOnce(&mut Vec<HostEntry>)) {
        let mut hosts = {
            let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.control.hosts.clone()
        };
        change(&mut hosts);
        self.set(hosts, lag);
    }
}
