//! What the log says of a request and its attempts.

use crate::attempt::{Attempted, Begun};
use crate::request::Flight;
use redwingfold_core::{Arm, BackendServer};
use xxhash_rust::xxh3::xxh3_64;

impl Flight {
    /// Writes a line for an attempt that brought no answer.
    pub(crate) fn log_attempt(&self, server: &BackendServer, attempted: &Attempted) {
        let (what, why) = match attempted {
            Attempted::Begun(_) => return,
            Attempted::Lost(why) => ("lost", why.as_str()),
            Attempted::NotRun(why) => ("not_run", why.as_str()),
            Attempted::OtherServer => ("other_server", ""),
            Attempted::Silent => ("silent", ""),
            Attempted::Unreachable(why) => ("unreachable", why.as_str()),
        };
        self.gw.telemetry.count(&format!("attempt.{what}"), 1);
        self.gw.telemetry.info(
            "attempt_failed",
            &[
                ("request", &self.facts.id),
                ("content", &self.fingerprint),
                ("server", &server.id),
                ("addr", &server.addr),
                ("what", &what),
                ("why", &why),
                ("sends", &self.sends),
                ("left_ms", &self.left()),
            ],
        );
    }

    /// Writes a line for a failure that a server answered with, and the load that it reports.
    pub(crate) fn log_failure(&self, begun: &Begun) {
        let load = begun.facts.load.unwrap_or_default();
        self.gw.telemetry.count("attempt.failure", 1);
        self.gw.telemetry.info(
            "answer_failed",
            &[
                ("request", &self.facts.id),
                ("route", &self.route.name),
                ("server", &begun.server.id),
                ("version", &begun.server.version),
                ("status", &begun.head.status.as_u16()),
                ("running", &load.running),
                ("waiting", &load.waiting),
                ("slots", &load.slots),
                ("first_ms", &begun.first_byte),
            ],
        );
    }

    /// Writes a line for an answer that broke off after its head.
    pub(crate) fn log_broken(&self, server: &BackendServer, why: &str) {
        self.gw.telemetry.count("attempt.broken", 1);
        self.gw.telemetry.info(
            "answer_broken",
            &[
                ("request", &self.facts.id),
                ("content", &self.fingerprint),
                ("server", &server.id),
                ("why", &why),
                ("events", &self.events),
            ],
        );
    }

    /// Records the session of a long request once more at its end, from which on its next one may follow.
    fn refresh_session(&self) {
        let (gw, now) = (&self.gw, self.gw.now());
        let is_long = now.since(self.begun).0 >= gw.settings.session_retention.0 / 2;
        let Some(server) = self.server.as_ref() else { return };
        if is_long && self.reached == Some(Arm::Target) {
            self.record_session(server, now);
        }
    }

    /// Writes a line for an answer that is dropped for a larger model's.
    pub(crate) fn log_larger(&self, size: usize, confidence: u8, larger: usize) {
        self.gw.telemetry.count("request.larger_model", 1);
        self.gw.telemetry.info(
            "larger_model",
            &[
                ("request", &self.facts.id),
                ("model", &self.route.sizes[size]),
                ("confidence", &confidence),
                ("next", &self.route.sizes[larger]),
                ("pressure", &format_args!("{:.2}", self.gw.pressure())),
                ("spent_ms", &self.gw.now().since(self.begun)),
            ],
        );
    }
}

impl Drop for Flight {
    /// Writes the request's line: also when its caller has gone, which drops it anywhere.
    fn drop(&mut self) {
        self.leave_quarantine();
        self.refresh_session();
        let gw = &self.gw;
        gw.in_flight.set(gw.in_flight.get().saturating_sub(1));
        gw.held_bytes.set(gw.held_bytes.get().saturating_sub(self.body.len()));
        let took = gw.now().since(self.begun);
        let server = self.server.as_ref().map_or("", |s| s.id.as_str());
        let version = self.server.as_ref().map_or("", |s| s.version.as_str());
        let model = self.size.map_or("", |size| self.route.sizes[size].as_str());
        let confidence = self.confidence.map_or_else(String::new, |c| c.to_string());
        let first = self.first_byte.map_or_else(String::new, |t| t.to_string());
        // A hash is the same on all gateways and does not name the caller.
        let session = self.facts.session.as_deref().map(|s| xxh3_64(s.as_bytes()));
        let session = session.map_or_else(String::new, |hash| format!("{hash:016x}"));
        let (first_version, bound_by) = match &self.first_version {
            Some((version, bound_by)) => (version.as_str(), bound_by.to_string()),
            None => ("", String::new()),
        };
        let keepers = self.keepers_answer.map_or_else(String::new, |answer| answer.to_string());
        let resumed = self.facts.resume_after.map_or_else(String::new, |id| id.to_string());
        gw.telemetry.count("request.count", 1);
        gw.telemetry.time("request.ms", took.0);
        gw.telemetry.info(
            "request",
            &[
                ("request", &self.facts.id),
                ("content", &self.fingerprint),
                ("route", &self.route.name),
                ("service", &self.service),
                ("config", &self.catalog.version),
                ("outcome", &self.outcome),
                ("sends", &self.sends),
                ("tokens", &self.facts.usage.prompt),
                ("server", &server),
                ("version", &version),
                ("session", &session),
                ("first_version", &first_version),
                ("bound_by", &bound_by),
                ("keepers", &keepers),
                ("model", &model),
                ("confidence", &confidence),
                ("pressure", &format_args!("{:.2}", gw.pressure())),
                ("first_ms", &first),
                ("resumed_after", &resumed),
                ("events", &self.events),
                ("longest_pause_ms", &self.longest_pause),
                ("took_ms", &took),
                ("limit_ms", &self.until.since(self.begun)),
            ],
        );
    }
}
