//! Log lines of a request and its attempts.

use crate::admission::EndedRequest;
use crate::attempt::{AttemptOutcome, UpstreamResponse};
use crate::fingerprint::customer_hash;
use crate::request::{CALLER_GONE, InFlightRequest};
use redwingfold_core::{Arm, BackendServer};
use xxhash_rust::xxh3::xxh3_64;

impl InFlightRequest {
    /// Logs an attempt that has no valid response.
    pub(crate) fn log_attempt(&self, server: &BackendServer, outcome: &AttemptOutcome) {
        let (what, why) = match outcome {
            AttemptOutcome::Started(_) => return,
            AttemptOutcome::Lost(why) => ("lost", why.as_str()),
            AttemptOutcome::NotRun(why) => ("not_run", why.as_str()),
            AttemptOutcome::NotWritten(why) => ("not_written", why.as_str()),
            AttemptOutcome::OtherServer => ("other_server", ""),
            AttemptOutcome::Silent => ("silent", ""),
            AttemptOutcome::Stale(why) => ("stale", why.as_str()),
            AttemptOutcome::Unreachable(why) => ("unreachable", why.as_str()),
        };
        let counter = match outcome {
            AttemptOutcome::NotWritten(_) | AttemptOutcome::Stale(_) => {
                "connection.stale".to_owned()
            }
            _ => format!("attempt.{what}"),
        };
        self.gw.telemetry.count(&counter, 1);
        self.gw.telemetry.info(
            "attempt_failed",
            &[
                ("request", &self.metadata.id),
                ("content", &self.fingerprint),
                ("parts", &self.metadata.shared_part_ids()),
                ("server", &server.id),
                ("addr", &server.addr),
                ("what", &what),
                ("why", &why),
                ("sends", &self.sends),
                ("left_ms", &self.time_left()),
            ],
        );
    }

    /// Logs a response with an error status, and the load that the server reported with it.
    pub(crate) fn log_error_response(&self, response: &UpstreamResponse) {
        let load = response.metadata.load.unwrap_or_default();
        self.gw.telemetry.count("attempt.failure", 1);
        self.gw.telemetry.info(
            "answer_failed",
            &[
                ("request", &self.metadata.id),
                ("route", &self.route.name),
                ("server", &response.server.id),
                ("version", &response.server.version),
                ("status", &response.head.status.as_u16()),
                ("running", &load.running),
                ("waiting", &load.waiting),
                ("slots", &load.slots),
                ("first_ms", &response.time_to_first_byte),
            ],
        );
    }

    /// Logs a response that broke off after its head.
    pub(crate) fn log_broken_response(&self, server: &BackendServer, why: &str) {
        self.gw.telemetry.count("attempt.broken", 1);
        self.gw.telemetry.info(
            "answer_broken",
            &[
                ("request", &self.metadata.id),
                ("content", &self.fingerprint),
                ("parts", &self.metadata.shared_part_ids()),
                ("server", &server.id),
                ("why", &why),
                ("events", &self.event_count),
            ],
        );
    }

    /// Records the move of a long request's session again at the request's end. The record made at the send may have nearly
    /// expired by then, and the session's next request follows only now.
    fn refresh_session(&self) {
        let (gw, now) = (&self.gw, self.gw.now());
        let is_long = now.since(self.received_at).0 >= gw.settings.session_retention.0 / 2;
        let Some(server) = self.server.as_ref() else { return };
        if is_long && self.sent_arm == Some(Arm::Target) {
            self.record_session_move(server, now);
        }
    }

    /// Logs a response that is dropped in favor of a larger model.
    pub(crate) fn log_larger_model(&self, size: usize, confidence: u8, larger: usize) {
        self.gw.telemetry.count("request.larger_model", 1);
        self.gw.telemetry.info(
            "larger_model",
            &[
                ("request", &self.metadata.id),
                ("model", &self.route.sizes[size]),
                ("confidence", &confidence),
                ("next", &self.route.sizes[larger]),
                ("pressure", &format_args!("{:.2}", self.gw.pressure())),
                ("spent_ms", &self.gw.now().since(self.received_at)),
            ],
        );
    }
}

impl Drop for InFlightRequest {
    /// Logs the request. This runs on drop because a request is dropped at any await point when its caller disconnects.
    fn drop(&mut self) {
        self.settle_quarantine();
        self.refresh_session();
        let gw = &self.gw;
        gw.in_flight.set(gw.in_flight.get().saturating_sub(1));
        let took = gw.now().since(self.received_at);
        if let Some(admitted_at) = self.admitted_at.filter(|_| self.sends > 0) {
            gw.record_ended_request(&EndedRequest {
                service: &self.service,
                customer: customer_hash(self.customer.as_ref()),
                took: gw.now().since(admitted_at),
                tokens: self.memory_tokens(),
            });
        }
        let server = self.server.as_ref().map_or("", |s| s.id.as_str());
        let version = self.server.as_ref().map_or("", |s| s.version.as_str());
        let model = self.size.map_or("", |size| self.route.sizes[size].as_str());
        let confidence = self.confidence.map_or_else(String::new, |c| c.to_string());
        let first = self.time_to_first_byte.map_or_else(String::new, |t| t.to_string());
        // The hash correlates log lines of all gateways without revealing the session id.
        let session = self.metadata.session.as_deref().map(|s| xxh3_64(s.as_bytes()));
        let session = session.map_or_else(String::new, |hash| format!("{hash:016x}"));
        let (first_version, bound_by) = match &self.first_send {
            Some((version, bound_by)) => (version.as_str(), bound_by.to_string()),
            None => ("", String::new()),
        };
        let keepers = self.keepers_reply.map_or_else(String::new, |answer| answer.to_string());
        let resumed = self.metadata.resume_after.map_or_else(String::new, |id| id.to_string());
        gw.telemetry.count("request.count", 1);
        if self.outcome == CALLER_GONE {
            let counter = match self.sends {
                0 => "request.caller_gone.not_sent",
                _ => "request.caller_gone.sent",
            };
            gw.telemetry.count(counter, 1);
        }
        gw.telemetry.time("request.ms", took.0);
        gw.telemetry.info(
            "request",
            &[
                ("request", &self.metadata.id),
                ("content", &self.fingerprint),
                ("parts", &self.metadata.shared_part_ids()),
                ("route", &self.route.name),
                ("service", &self.service),
                ("config", &self.catalog.version),
                ("outcome", &self.outcome),
                ("sends", &self.sends),
                ("tokens", &self.metadata.usage.prompt),
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
                ("events", &self.event_count),
                ("longest_pause_ms", &self.longest_pause),
                ("took_ms", &took),
                ("limit_ms", &self.deadline.since(self.received_at)),
            ],
        );
    }
}
