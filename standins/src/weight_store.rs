//! Test double of the weight store: grants loads of model weights at a limited rate.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use redwingfold_http::Request;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::history::History;
use crate::serve;

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Control {
    outage: bool,
    loads_per_minute: u32,
}

/// A running test double. Clones share its state.
#[derive(Clone, Debug)]
pub struct WeightStore {
    /// Listening address.
    pub addr: SocketAddr,
    /// Events of granted and refused loads.
    pub history: History,
    control: Arc<Mutex<Control>>,
    _task: Arc<smol::Task<()>>,
}

impl WeightStore {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let control = Arc::new(Mutex::new(Control { outage: false, loads_per_minute: 60 }));
        let last = Arc::new(Mutex::new(None::<Instant>));
        let history = History::default();
        let (events, inner) = (history.clone(), control.clone());
        let (addr, task) = serve::start(addr, move |mut req: Request, _| {
            let (control, last, events) = (inner.clone(), last.clone(), events.clone());
            async move {
                let lock = || control.lock().unwrap_or_else(PoisonError::into_inner);
                let (get, set) = (|| *lock(), |new| *lock() = new);
                if let Some(res) = serve::control(&mut req, &events, get, set).await {
                    return res;
                }
                let now = *lock();
                let interval_s = 60.0 / f64::from(now.loads_per_minute.max(1));
                let mut last = last.lock().unwrap_or_else(PoisonError::into_inner);
                let wait_s = last.map_or(0.0, |t| interval_s - t.elapsed().as_secs_f64());
                if now.outage || wait_s > 0.0 {
                    events.add("refused", req.url().path(), "", "");
                    let mut res = serve::status(429, "too many loads");
                    res.insert_header("retry-after", format!("{}", wait_s.max(1.0).ceil()));
                    return res;
                }
                *last = Some(Instant::now());
                events.add("load", req.url().path(), "", "");
                serve::json(&json!({"ok": true}))
            }
        })?;
        Ok(Self { addr, history, control, _task: Arc::new(task) })
    }

    /// Sets the maximum number of loads that are granted per minute.
    pub fn set_rate(&self, loads_per_minute: u32) {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        control.loads_per_minute = loads_per_minute;
    }
}
