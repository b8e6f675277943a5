//! Requests that were answered of late.

use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;
use crate::serving::server_ends::EndedRun;

/// Places of the table; a newer request takes the place of an older one that has the same.
const PLACES: u64 = 2_048;

/// Time for which an answer counts.
const KEPT: Millis = Millis(60_000);

/// Ends of servers, one after the other and without an answer between, that an answered request is not held to account
/// for. A popular one is on many servers that end together; that it ends them one by one is no chance.
const BORNE: u8 = 2;

/// Requests that a server has answered to the end, in a table of a fixed size.
///
/// Load pattern: a request that many callers send runs on most servers at any time, so that it is on each that ends,
/// for whatever reason. Suspected for that, it would be refused to all of them until a trial ended.
#[derive(Clone, Debug, Default)]
pub(super) struct Proven {
    places: Vec<Option<Proof>>,
}

#[derive(Clone, Copy, Debug)]
struct Proof {
    request: Fingerprint,
    at: Millis,
    /// Ends since, and when the last of them was known.
    ends: u8,
    ended_at: Millis,
}

impl Proven {
    /// Takes that a request was answered.
    pub(super) fn completed(&mut self, request: Fingerprint, now: Millis) {
        if self.places.is_empty() {
            self.places = vec![None; PLACES as usize];
        }
        let place = (request.0 % PLACES) as usize;
        self.places[place] = Some(Proof { request, at: now, ends: 0, ended_at: Millis(0) });
    }

    /// Says whether a request was answered of late.
    pub(super) fn has(&self, request: Fingerprint, now: Millis) -> bool {
        let proof = self.places.get((request.0 % PLACES) as usize).copied().flatten();
        proof.is_some_and(|proof| proof.request == request && now.since(proof.at) < KEPT)
    }

    /// Takes that a server has ended while it ran a request; `true` if the request is not held to account for it.
    ///
    /// Runs that were under way together say the same, however many they are: only one that was sent after the
    /// last end was known counts once more.
    pub(super) fn bears(&mut self, run: EndedRun, now: Millis) -> bool {
        if !self.has(run.request, now) {
            return false;
        }
        let place = &mut self.places[(run.request.0 % PLACES) as usize];
        match place {
            Some(proof) if run.sent_at < proof.ended_at => true,
            Some(proof) if proof.ends < BORNE => {
                proof.ends += 1;
                proof.ended_at = now;
                true
            }
            _ => {
                *place = None;
                false
            }
        }
    }
}
