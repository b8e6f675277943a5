//! Whether a request may be sent.

use crate::ids::Millis;
use crate::serving::fingerprint::Fingerprint;

/// Whether a request may be sent to a server, as far as one suspect is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request is not quarantined and may be sent.
    Allowed,
    /// The request is refused; holds the time until the next trial or until the request is forgotten.
    Refused(Millis),
    /// The request may be sent to one server as the trial with this number, by the gateway that writes the mark of the
    /// trial first.
    Trial(u8),
}

/// A trial of a suspect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspectTrial {
    /// The suspect request or prompt part.
    pub suspect: Fingerprint,
    /// Number of the trial, starting at 1.
    pub number: u8,
}

/// Whether a request may be sent to a server, with regard to its content and all shared parts of its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestAdmission {
    /// Nothing of the request is quarantined, and it may be sent.
    Allowed,
    /// The request is refused.
    Refused {
        /// What is quarantined.
        suspect: Fingerprint,
        /// Time until the next trial, or until the suspect is forgotten.
        left: Millis,
    },
    /// The request may be sent to one server as a trial of each of these, by the gateway that writes their marks first.
    Trial(Vec<SuspectTrial>),
}
