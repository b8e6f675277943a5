//! The complete list of error kinds, and the table that maps each kind to its response.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::Millis;

/// Whether a request that failed was run by a backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It may have reached a backend server.
    MayHaveRun,
    /// It never reached a backend server.
    NotRun,
    /// A backend server ran it.
    Ran,
}

impl RunState {
    /// Combines the states of two attempts of a request: the request has run, or may have run, if
    /// either attempt has.
    ///
    /// ```
    /// use redwingfold_core::RunState;
    /// assert_eq!(RunState::MayHaveRun.and(RunState::NotRun), RunState::MayHaveRun);
    /// ```
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::Ran, _) | (_, Self::Ran) => Self::Ran,
            (Self::MayHaveRun, _) | (_, Self::MayHaveRun) => Self::MayHaveRun,
            (Self::NotRun, Self::NotRun) => Self::NotRun,
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MayHaveRun => "may_have_run",
            Self::NotRun => "not_run",
            Self::Ran => "ran",
        })
    }
}

/// The response for an error kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ErrorRow {
    /// HTTP status.
    pub status: u16,
    /// Machine-readable code in the response body.
    pub code: &'static str,
    /// Whether the request was run, as far as the caller may rely on it.
    pub run: RunState,
    /// Minimum delay before a retry; `None` if a retry cannot succeed.
    pub retry_after: Option<Millis>,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $code:literal, $run:ident, $after:expr;)*) => {
        /// Every way in which a request can fail.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &[Self] = &[$(Self::$kind,)*];

            /// Returns the kind's row of the table.
            ///
            /// ```
            /// use redwingfold_core::{ErrorKind, RunState};
            /// let row = ErrorKind::Overloaded.row();
            /// assert_eq!((row.status, row.run), (429, RunState::NotRun));
            /// ```
            pub const fn row(self) -> ErrorRow {
                match self {
                    $(Self::$kind => ErrorRow {
                        status: $status,
                        code: $code,
                        run: RunState::$run,
                        retry_after: $after,
                    },)*
                }
            }
        }
    };
}

const fn ms(n: u64) -> Option<Millis> {
    Some(Millis(n))
}

error_kinds! {
    /// The request is not well-formed HTTP or JSON.
    BadRequest => 400, "bad_request", NotRun, None;
    /// The customer's key is missing or wrong.
    BadKey => 401, "bad_key", NotRun, None;
    /// The customer may not use the version or service.
    NotAllowed => 403, "not_allowed", NotRun, None;
    /// No service has this path.
    UnknownPath => 404, "unknown_path", NotRun, None;
    /// No model, version or cascade has this name.
    UnknownModel => 404, "unknown_model", NotRun, None;
    /// The path exists, but not with this method.
    WrongMethod => 405, "wrong_method", NotRun, None;
    /// The client took too long to send the request.
    SlowSender => 408, "slow_sender", NotRun, ms(1_000);
    /// The request with this idempotency key is running elsewhere.
    StillRunning => 409, "still_running", MayHaveRun, ms(2_000);
    /// Another request with this key was forwarded, and its outcome is unknown.
    OutcomeUnknown => 409, "outcome_unknown", MayHaveRun, None;
    /// The body is larger than the limit.
    BodyTooLarge => 413, "body_too_large", NotRun, None;
    /// The head is larger than the limit.
    HeadTooLarge => 431, "head_too_large", NotRun, None;
    /// The customer's queue is full, or the deadline cannot be met.
    Overloaded => 429, "overloaded", NotRun, ms(1_000);
    /// The deadline passed while the request waited.
    DeadlinePassed => 504, "deadline_passed", NotRun, ms(1_000);
    /// The deadline passed after the request had been forwarded.
    DeadlineInRun => 504, "deadline_in_run", MayHaveRun, ms(1_000);
    /// Every version that the customer may use is withdrawn.
    Withdrawn => 503, "version_withdrawn", NotRun, ms(30_000);
    /// No backend server that may serve the request can be reached.
    NoBackend => 503, "no_backend", NotRun, ms(2_000);
    /// The process is stopping.
    Stopping => 503, "stopping", NotRun, ms(1_000);
    /// No configuration has been read yet.
    NoConfig => 503, "no_config", NotRun, ms(2_000);
    /// The log service cannot be reached, and the request needs a record in it first.
    LogAway => 503, "log_away", NotRun, ms(5_000);
    /// The buffer for records that wait for the log service is full.
    BacklogFull => 503, "backlog_full", NotRun, ms(30_000);
    /// Backend servers terminated while they ran the request, and it is quarantined.
    Quarantined => 503, "quarantined", NotRun, ms(30_000);
    /// Too many open connections or requests.
    TooManyOpen => 503, "too_many_open", NotRun, ms(1_000);
    /// A peer sent a malformed frame.
    TornFrame => 502, "torn_frame", MayHaveRun, ms(1_000);
    /// The connection to the backend server was lost after the request had been forwarded.
    BackendLost => 502, "backend_lost", MayHaveRun, ms(1_000);
    /// The backend server answered with an error.
    BackendFailed => 502, "backend_failed", Ran, ms(1_000);
    /// A record of the log cannot be parsed or is of an unknown kind; the fold skips it.
    BadRecord => 422, "bad_record", NotRun, None;
    /// An object refers to one that does not exist, or has a value out of range.
    BadObject => 422, "bad_object", NotRun, None;
    /// A selector matches nothing.
    EmptySelector => 422, "empty_selector", NotRun, None;
    /// A change expected another revision: a concurrent change came first.
    RevisionMoved => 409, "revision_moved", NotRun, None;
    /// The peer has no certificate of the fleet, or another protocol version.
    BadPeer => 502, "bad_peer", NotRun, ms(5_000);
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.row().code)
    }
}
