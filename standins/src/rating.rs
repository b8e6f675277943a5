//! Test double of the rating service: an answer with the mark of a bad engine gets the score 0, any other gets 1000.

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
    outage: bool,
    delay_ms: u64,
}

/// A running test double. Clones share its state.
#[derive(Clone, Debug)]
pub struct Rating {
    /// Listening address.
    pub addr: SocketAddr,
    /// Events of the ratings, with their scores.
    pub history: History,
    _task: Arc<smol::Task<()>>,
}

/// Text that a bad answer contains.
pub(crate) const BAD_MARK: &str = "unreadable";

impl Rating {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let control = Arc::new(Mutex::new(Control::default()));
        let history = History::default();
        let events = history.clone();
        let (addr, task) = serve::start(addr, move |mut req: Request, _| {
            let (control, events) = (control.clone(), events.clone());
            async move {
                let lock = || control.lock().unwrap_or_else(PoisonError::into_inner);
                let (get, set) = (|| *lock(), |new| *lock() = new);
                if let Some(res) = serve::control(&mut req, &events, get, set).await {
                    return res;
                }
                let now = *lock();
                if now.outage {
                    return serve::status(503, "outage");
                }
                Timer::after(Duration::from_millis(now.delay_ms)).await;
                let body = serve::body_json(&mut req).await.unwrap_or_default();
                let score = match body["answer"].as_str() {
                    Some(text) if text.contains(BAD_MARK) => 0,
                    Some(_) => 1000,
                    None => return serve::status(400, "answer is missing"),
                };
                events.add("rate", "", "", score.to_string());
                serve::json(&json!({"score": score}))
            }
        })?;
        Ok(Self { addr, history, _task: Arc::new(task) })
    }
}
