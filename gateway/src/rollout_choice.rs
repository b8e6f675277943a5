//! Choice between the current version and the target of a rollout for a request, and the reason for it.

use std::fmt;

use redwingfold_core::{Affinity, Arm, ArmChoice, Millis, ServiceName, SessionKey};

use crate::rollouts::Rollouts;

/// What the choice of a request's version depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BindingInputs {
    /// The arm that earlier sends of the request reached.
    pub(crate) reached: Option<Arm>,
    /// The session of the request.
    pub(crate) session: Option<SessionKey>,
    /// Number that decides the share of the rollout for a request without a session.
    pub(crate) draw: u64,
}

/// Why a request was sent to its version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum BindingReason {
    /// The share of the rollout, or there is no rollout.
    #[default]
    Nothing,
    /// The request itself had reached the version.
    Request,
    /// The session of the request was on the version.
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
    /// Chooses between the current version and the target of the rollout for a request.
    pub(crate) fn arm(
        &self,
        service: &ServiceName,
        inputs: BindingInputs,
        now: Millis,
    ) -> ArmChoice {
        match self.canary(service) {
            Some(canary) => {
                let draw = inputs.session.map_or(inputs.draw, |session| session.0);
                canary.choose_arm(self.affinity(inputs, now), draw, now)
            }
            None => ArmChoice::Arm(Arm::Current),
        }
    }

    /// Returns why a request is bound to a version: it was sent there before, or its session has moved there.
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

    /// Returns the key of a session for the latest rollout of its service; `None` if there was no rollout.
    pub(crate) fn session_key(&self, service: &ServiceName, session: &str) -> Option<SessionKey> {
        let target = &self.canary(service)?.order().target;
        Some(SessionKey::new(service, target, session))
    }
}
