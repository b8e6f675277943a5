//! Records of the configuration stream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::object::{Object, ObjectKey};
use crate::ids::{Millis, Offset, RequestId, VersionName};

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum ConfigRecord {
    /// A change of objects, accepted only if nothing it touches has moved.
    Change(Change),
    /// Takes a version out of service, whatever else is going on.
    Withdraw(Withdrawal),
}

/// A change of objects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Chosen by the author; a second record with the same id has no effect.
    pub id: RequestId,
    /// Who asks for it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, by the author's clock, since 1970.
    pub at: Millis,
    /// Revision of each object touched; 0 for one that must not exist yet.
    pub expects: BTreeMap<ObjectKey, Offset>,
    /// Objects to set.
    #[serde(default)]
    pub put: Vec<Object>,
    /// Objects to remove.
    #[serde(default)]
    pub delete: Vec<ObjectKey>,
}

/// Takes a version out of service.
///
/// It expects no revision: a withdrawal must win over every race, and withdrawing twice does no
/// harm. Putting a version back is an ordinary change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// Chosen by the author; a second record with the same id has no effect.
    pub id: RequestId,
    /// Who asks for it: an operator, or a daemon whose test stopped the version.
    pub author: String,
    /// Why.
    pub reason: String,
    /// When, by the author's clock, since 1970.
    pub at: Millis,
    /// The version.
    pub version: VersionName,
    /// What happens to streams under way.
    #[serde(default)]
    pub streams: StreamsOnWithdrawal,
}

/// What happens to a withdrawn version's streams under way.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamsOnWithdrawal {
    /// They are cut, and the caller is told.
    Cancel,
    /// They run to their end.
    #[default]
    Finish,
}

impl ConfigRecord {
    /// Returns the id that makes a second copy ineffective.
    pub fn id(&self) -> RequestId {
        match self {
            Self::Change(change) => change.id,
            Self::Withdraw(withdrawal) => withdrawal.id,
        }
    }

    /// Returns author, reason and time.
    pub fn origin(&self) -> (&str, &str, Millis) {
        match self {
            Self::Change(c) => (&c.author, &c.reason, c.at),
            Self::Withdraw(w) => (&w.author, &w.reason, w.at),
        }
    }
}
