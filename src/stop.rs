//! Stopping on a signal.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use smol::channel::{Receiver, bounded};

/// Returns a channel that gets a message at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// If the signals cannot be caught.
pub fn stop_on_signal() -> std::io::Result<Receiver<()>> {
    let (tx, rx) = bounded(1);
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    std::thread::spawn(move || {
        for _ in signals.forever() {
            tx.try_send(()).ok();
        }
    });
    Ok(rx)
}
