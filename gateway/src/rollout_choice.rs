//! Which version a request goes to in a roll-out, and what decides it.

use std::fmt;

use redwingfold_core::{Affinity, Arm, ArmChoice, Millis, ServiceName, SessionKey};

use crate::rollouts::Rollouts;

/// What may bind a request to a version.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BindingInputs {
    /// The version that it was sent to before.
    pub(crate) reached: Option<Arm>,
    /// Its session.
    pub(crate) session: Option<SessionKey>,
    /// Decides for a request without a session.
    pub(crate) draw: u64,
}

/// What decided which version a request was sent to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum BindingReason {
    /// The share of the roll-out, or no roll-out at all.
    #[default]
    Nothing,
    /// A version that the request itself had reached.
    Request,
    /// A version that its session was on.
    Session,
}

impl fmt::Display for BindingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Nothing => "nothing",
            Self::Request => "request",
            Self::Session => "session",
        })
    }
}

impl Rollouts {
    /// Chooses between the version in service and the one that is rolled out for a request.
    pub(crate) fn arm(
        &self,
        service: &ServiceName,
        inputs: BindingInputs,
        now: Millis,
    ) -> ArmChoice {
        match self.canary(service) {
            Some(canary) => {
                let draw = inputs.session.map_or(inputs.draw, |session| session.0);
                canary.arm(self.affinity(inputs, now), draw, now)
            }
            None => ArmChoice::Arm(Arm::Current),
        }
    }

    /// Returns what binds a request to a version that it, or one of its session, has had before.
    pub(crate) fn binding_reason(&self, inputs: BindingInputs, now: Millis) -> BindingReason {
        match inputs {
            BindingInputs { reached: Some(_), .. } => BindingReason::Request,
            BindingInputs { session: Some(s), .. } if self.moved_sessions.contains(s, now) => {
                BindingReason::Session
            }
            _ => BindingReason::Nothing,
        }
    }

    fn affinity(&self, inputs: BindingInputs, now: Millis) -> Affinity {
        let BindingInputs { reached, session, .. } = inputs;
        match (reached, session) {
            (_, Some(s)) if self.moved_sessions.contains(s, now) => Affinity::Bound(Arm::Target),
            (Some(arm), _) => Affinity::Bound(arm),
            (None, Some(_)) => Affinity::UnknownSession,
            (None, None) => Affinity::None,
        }
    }

    /// Returns the key of a session of a service whose roll-out is under way or has just ended.
    pub(crate) fn session_key(&self, service: &ServiceName, session: &str) -> Option<SessionKey> {
        let target = &self.canary(service)?.order().target;
        Some(SessionKey::new(service, target, session))
    }
}
