//! Test double of a plain service: its responses contain the number of runs of the same call.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use redwingfold_http::Request;
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;

use crate::history::History;
use crate::serve;

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct Control {
    delay_ms: u64,
    /// Runs the call and closes the connection without a complete response.
    cut: bool,
}

/// A running test double. Clones share its state.
#[derive(Clone, Debug)]
pub struct Service {
    /// Listening address.
    pub addr: SocketAddr,
    /// Events of the runs.
    pub history: History,
    control: Arc<Mutex<Control>>,
    _task: Arc<smol::Task<()>>,
}

impl Service {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let control = Arc::new(Mutex::new(Control::default()));
        let runs = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
        let history = History::default();
        let (events, inner) = (history.clone(), control.clone());
        let (addr, task) = serve::start(addr, move |mut req: Request, _| {
            let (control, runs, events) = (inner.clone(), runs.clone(), events.clone());
            async move {
                let lock = || control.lock().unwrap_or_else(PoisonError::into_inner);
                let (get, set) = (|| *lock(), |new| *lock() = new);
                if let Some(res) = serve::control(&mut req, &events, get, set).await {
                    return res;
                }
                let body = req.body_string().await.unwrap_or_default();
                let path = req.url().path().to_owned();
                let id =
                    req.header("x-request-id").map_or(String::new(), |v| v.as_str().to_owned());
                events.add("run", &path, &id, body.clone());
                let now = *lock();
                Timer::after(Duration::from_millis(now.delay_ms)).await;
                let count = {
                    let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
                    let count = runs.entry(format!("{path} {body}")).or_default();
                    *count += 1;
                    *count
                };
                let mut res = serve::json(
                    &json!({"path": path, "method": req.method().to_string(), "body": body, "run": count}),
                );
                if now.cut {
                    let (tx, body) = redwingfold_http::channel_body();
                    res.set_body(body);
                    tx.abort("cut").await;
                }
                res
            }
        })?;
        Ok(Self { addr, history, control, _task: Arc::new(task) })
    }

    /// Sets the time that each call takes.
    pub fn set_delay(&self, delay: Duration) {
        let mut control = self.control.lock().unwrap_or_else(PoisonError::into_inner);
        control.delay_ms = delay.as_millis() as u64;
    }
}
