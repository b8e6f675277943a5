//! A signal that is set once, for any number of waiting tasks.

use std::sync::atomic::{AtomicBool, Ordering};

use event_listener::Event;

/// A signal that is set once.
///
/// ```
/// use redwingfold_http::Signal;
/// let signal = Signal::default();
/// signal.set();
/// smol::block_on(signal.wait());
/// ```
#[derive(Debug, Default)]
pub struct Signal {
    is_set: AtomicBool,
    changed: Event,
}

impl Signal {
    /// Sets the signal.
    pub fn set(&self) {
        self.is_set.store(true, Ordering::SeqCst);
        self.changed.notify(usize::MAX);
    }

    /// Waits until the signal is set.
    pub async fn wait(&self) {
        loop {
            let changed = self.changed.listen();
            if self.is_set.load(Ordering::SeqCst) {
                return;
            }
            changed.await;
        }
    }
}
