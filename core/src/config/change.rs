//! Records of the configuration stream.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::object::{Object, ObjectKey};
use crate::ids::{Millis, Offset, RequestId, VersionName};

/// A record of the configuration stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum ConfigRecord {
    /// A change of objects, accepted only if each object still has the expected revision.
    Change(Change),
    /// Takes a version out of service, whatever its revision.
    Withdraw(Withdrawal),
}

/// A change of objects.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// ID that the author generates; a second record with the same ID has no effect.
    pub id: RequestId,
    /// Author of the change.
    pub author: String,
    /// Reason given by the author.
    pub reason: String,
    /// Time by the author's clock, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// Expected revision of each object that is put or deleted; 0 if it must not exist yet.
    pub expects: BTreeMap<ObjectKey, Offset>,
    /// Objects to create or replace.
    #[serde(default)]
    pub put: Vec<Object>,
    /// Objects to delete.
    #[serde(default)]
    pub delete: Vec<ObjectKey>,
}

/// Takes a version out of service.
///
/// It expects no revision: a withdrawal must win every race, and is idempotent. Putting a version
/// back in service is an ordinary change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Withdrawal {
    /// ID that the author generates; a second record with the same ID has no effect.
    pub id: RequestId,
    /// Author: an operator, or a daemon whose test stopped the version.
    pub author: String,
    /// Reason given by the author.
    pub reason: String,
    /// Time by the author's clock, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// The version.
    pub version: VersionName,
    /// What happens to streams in flight.
    #[serde(default)]
    pub streams: StreamsOnWithdrawal,
}

/// What happens to a withdrawn version's streams in flight.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StreamsOnWithdrawal {
    /// They are cancelled, and the caller gets an error.
    Cancel,
    /// They continue to their end.
    #[default]
    Finish,
}

impl ConfigRecord {
    /// Returns the ID by which a second copy is recognised and ignored.
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
