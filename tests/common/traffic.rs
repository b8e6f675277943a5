//! Callers that send requests in background threads and record the responses.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;

use redwingfold_standins::fleet::{Answered, Ask, Caller, wait_until};

/// A request and its response, as its caller recorded them.
#[derive(Clone, Debug)]
pub struct Call {
    /// The request.
    pub ask: Ask,
    /// When it was sent, in microseconds since 1970.
    pub sent_us: u64,
    /// The response; its status is 0 if none was received.
    pub answered: Answered,
}

impl Call {
    /// Sends a request and records the response.
    pub fn send(caller: &Caller, ask: Ask) -> Self {
        let sent_us = now_us();
        let answered = caller.send_blocking(&ask);
        Self { ask, sent_us, answered }
    }

    /// Returns the value of a request header, by its name in lower case.
    pub fn request_header(&self, name: &str) -> Option<&str> {
        self.ask.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Returns the wall clock in microseconds since 1970.
pub fn now_us() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_micros() as u64)
}

/// Caller threads that send one request after the other until they are stopped.
pub struct Traffic {
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<Call>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts `threads` threads. `make_request` gets the number of the request, counted over all
    /// threads; requests are sent through `callers` in round-robin order.
    pub fn start(
        callers: Vec<Caller>,
        threads: usize,
        make_request: impl Fn(u64) -> Ask + Clone + Send + 'static,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let calls = Arc::new(Mutex::new(Vec::new()));
        let next = Arc::new(AtomicU64::new(0));
        let threads = (0..threads).map(|_| {
            let (stop, calls, next) = (stop.clone(), calls.clone(), next.clone());
            let (callers, make_request) = (callers.clone(), make_request.clone());
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let call = Call::send(&callers[n as usize % callers.len()], make_request(n));
                    if call.answered.status == 0 {
                        // A killed entry refuses connections at once; without a pause the loop
                        // would spin.
                        std::thread::sleep(std::time::Duration::from_millis(5));
                    }
                    calls.lock().unwrap_or_else(PoisonError::into_inner).push(call);
                }
            })
        });
        let threads = threads.collect();
        Self { stop, calls, threads }
    }

    /// Waits until this many additional calls have ended.
    pub fn wait_for(&self, additional: usize) {
        let count = || self.calls.lock().unwrap_or_else(PoisonError::into_inner).len();
        let target = count() + additional;
        wait_until("calls", || count() >= target);
    }

    /// Stops the threads and returns all calls.
    pub fn stop(self) -> Vec<Call> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("caller");
        }
        let calls = self.calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.clone()
    }
}
