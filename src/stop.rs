//! Shutdown on SIGTERM or SIGINT.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use smol::channel::{Receiver, bounded};

/// Returns a channel that receives a message on SIGTERM or SIGINT.
///
/// # Errors
///
/// If the signal handlers cannot be installed.
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
