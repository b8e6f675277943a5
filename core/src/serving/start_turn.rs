//! Which of the gateways that start together read the store, and which wait for their copies.

use super::feed::random_wait;
use crate::ids::Millis;

/// Gateways registered in a row of which one reads the store.
const REGISTRATIONS_PER_READER: u64 = 32;

/// Fleet size to assume while nothing is known of the fleet.
const ASSUMED_FLEET: usize = 64;

/// Longest wait of a gateway that returns, until it reads the store.
const RETURN_WAIT: Millis = Millis(300);

/// Shortest wait on the first start of a deployment, until this gateway is registered; up to the same time is added at
/// random. Registrations of hundreds of gateways take some seconds.
const REGISTRATION_WAIT: Millis = Millis(3_000);

/// Shortest wait of a gateway after its registration, if it is not among the readers; up to the same time is added at
/// random. The reads queue behind the registrations, for up to two seconds.
const REGISTERED_WAIT: Millis = Millis(2_000);

/// Shortest wait for the copies of peers once one of them is known; up to the same time is added at random.
const COPY_WAIT: Millis = Millis(500);

/// The time at which a gateway that starts reads the store, unless another gateway has sent it what it needs.
///
/// Load pattern: all gateways of a fleet start within some milliseconds, and none knows another one. If each read the
/// store for itself, 356 gateways would make 1,400 calls for the same data. So few read, and announce it to the others.
///
/// On the first start, each gateway registers its address in a log, whose offset says how many have registered before
/// it. One in 32 reads at once, and finds all of them. A small fleet has a reader at its first, second, fourth, eighth and
/// sixteenth registration, so that nobody depends on a 32nd gateway. Gateways that return have nothing to register,
/// and draw their times; an early one is rare, as for the reads of [`super::FeedView`].
///
/// No reader has to be replaced if it fails: each gateway that gets nothing reads at its own time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartTurn {
    reads_at: Millis,
    /// Whether a peer was known before that time.
    has_peer: bool,
}

impl StartTurn {
    /// Creates the turn of a gateway that starts at `now`; `draw` is a random number.
    ///
    /// ```
    /// use redwingfold_core::{Millis, StartTurn};
    /// let mut turn = StartTurn::new(false, Millis(0), u64::MAX / 2);
    /// assert!(!turn.is_due(Millis(0)) && turn.is_due(Millis(300)));
    /// turn.record_peer(Millis(0), u64::MAX / 2);
    /// assert!(!turn.is_due(Millis(499)) && turn.is_due(Millis(1_000)));
    /// ```
    pub fn new(is_first_start: bool, now: Millis, draw: u64) -> Self {
        let wait = match is_first_start {
            true => wait_from(REGISTRATION_WAIT, draw),
            false => random_wait(RETURN_WAIT, ASSUMED_FLEET, draw),
        };
        Self { reads_at: now.after(wait), has_peer: false }
    }

    /// Records that this gateway has registered after `earlier` others, on the first start; `draw` is a random number.
    pub fn record_registration(&mut self, earlier: u64, now: Millis, draw: u64) {
        let registered = earlier + 1;
        let is_reader = registered.is_multiple_of(REGISTRATIONS_PER_READER)
            || (registered < REGISTRATIONS_PER_READER && registered.is_power_of_two());
        let wait = if is_reader { Millis(0) } else { wait_from(REGISTERED_WAIT, draw) };
        self.reads_at = now.after(wait);
    }

    /// Records that a peer is known, which has what this gateway needs, or will read it. `draw` is a random number.
    pub fn record_peer(&mut self, now: Millis, draw: u64) {
        if !self.has_peer && now < self.reads_at {
            self.reads_at = self.reads_at.max(now.after(wait_from(COPY_WAIT, draw)));
        }
        self.has_peer = true;
    }

    /// Returns whether this gateway should read the store for what it still lacks.
    pub fn is_due(&self, now: Millis) -> bool {
        now >= self.reads_at
    }
}

/// Draws a wait from `shortest` to twice as long; an early one is rare in a large fleet.
fn wait_from(shortest: Millis, draw: u64) -> Millis {
    shortest.after(random_wait(shortest, ASSUMED_FLEET, draw))
}
