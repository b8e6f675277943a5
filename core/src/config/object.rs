//! The objects that operators declare.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::change::StreamsOnWithdrawal;
use crate::ids::{CustomerName, ModelName, Offset, ParseIdError, PerMille, VersionName};
use crate::label::{Labels, Selector};

/// A selector over the labels of hosts.
pub type HostSelector = Selector;

/// One declared object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// Name, unique within the kind.
    pub name: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// What the object declares.
    #[serde(flatten)]
    pub spec: Spec,
}

/// What an object declares, by kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind", content = "spec")]
pub enum Spec {
    /// Models in the order in which a request tries them.
    Cascade(CascadeSpec),
    /// A customer and its API keys.
    Customer(CustomerSpec),
    /// Which customers and sessions may use which versions.
    Grant(GrantSpec),
    /// A family of versions, requested by its name.
    Model(ModelSpec),
    /// Versions that a set of hosts has to load.
    Placement(PlacementSpec),
    /// A gradual move of a model's new sessions to another version.
    Rollout(RolloutSpec),
    /// An HTTP service other than a model, by path.
    Service(ServiceSpec),
    /// A session declared by operators.
    Session(SessionSpec),
    /// One deployable version of a model.
    Version(VersionSpec),
}

/// Models in the order in which a request tries them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CascadeSpec {
    /// Models, cheapest first.
    pub models: Vec<ModelName>,
    /// Quality from which an answer is final, in thousandths of the rating service's scale.
    pub target: PerMille,
}

/// A customer and its API keys.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSpec {
    /// SHA-256 of each valid API key, as 64 lower-case hex digits.
    pub key_sha256: Vec<String>,
    /// Weight in the fair queue; a customer with weight 2 gets twice the share of one with 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Which customers and sessions may use which versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GrantSpec {
    /// Selector over the labels of the customer and of its session, with `customer` and `session`
    /// added.
    pub callers: Selector,
    /// Selector over the labels of versions, with `version` and `model` added.
    pub versions: Selector,
}

/// A family of versions, requested by its name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Version of new sessions that no rollout applies to.
    pub current: VersionName,
}

/// Versions that a set of hosts has to load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementSpec {
    /// The versions.
    pub versions: Vec<VersionName>,
    /// Selector over the labels `host`, `pool` and `failure_domain` of hosts.
    pub hosts: HostSelector,
    /// Share of these hosts that may load one version concurrently; at least one host may.
    #[serde(default = "default_load_share")]
    pub load_share: PerMille,
}

fn default_load_share() -> PerMille {
    PerMille(250)
}

/// A gradual move of a model's new sessions from its current version to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// The model.
    pub model: ModelName,
    /// The version that is rolled out.
    pub to: VersionName,
    /// Share of new sessions that get it.
    pub share: PerMille,
    /// Shares to which the rollout advances automatically as ratings allow; if empty, operators
    /// set the share.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<PerMille>,
    /// Number of rated answers that a step needs.
    #[serde(default = "default_per_step")]
    pub per_step: u32,
    /// Allowed share of bad answers.
    #[serde(default = "default_allowed_bad")]
    pub allowed_bad: PerMille,
    /// Number of rated answers when the current share was set; maintained by the entries.
    #[serde(default)]
    pub rated_before: u64,
}

fn default_per_step() -> u32 {
    50
}

fn default_allowed_bad() -> PerMille {
    PerMille(100)
}

/// An HTTP service other than a model, by path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Path prefix, with a leading slash.
    pub path: String,
    /// Methods that are accepted.
    pub methods: Vec<String>,
    /// Methods whose requests may be retried; all others run at most once.
    #[serde(default)]
    pub repeatable: Vec<String>,
    /// Selector over the labels of customers and sessions.
    pub callers: Selector,
}

/// A session declared by operators.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SessionSpec {
    /// Its customer.
    pub customer: CustomerName,
    /// Version that the session uses regardless of rollouts.
    #[serde(default)]
    pub version: Option<VersionName>,
}

/// One deployable version of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Its model.
    pub model: ModelName,
    /// Price of 1,000 tokens in millionths of the currency.
    pub cost_per_ktok: u64,
    /// Prior quality, used until there are ratings.
    pub quality: PerMille,
    /// Weight of the prior, as a number of ratings.
    #[serde(default = "default_prior_weight")]
    pub quality_weight: u32,
    /// Offset of the withdrawal, if the version is withdrawn; set by the fold.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub withdrawn_at: Option<Offset>,
    /// What happens to streams in flight when the version is withdrawn; set by the withdrawal.
    #[serde(default)]
    pub withdrawn_streams: StreamsOnWithdrawal,
}

fn default_prior_weight() -> u32 {
    20
}

impl Spec {
    /// Returns the kind's name as written in JSON.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Cascade(_) => "cascade",
            Self::Customer(_) => "customer",
            Self::Grant(_) => "grant",
            Self::Model(_) => "model",
            Self::Placement(_) => "placement",
            Self::Rollout(_) => "rollout",
            Self::Service(_) => "service",
            Self::Session(_) => "session",
            Self::Version(_) => "version",
        }
    }
}

impl Object {
    /// Returns the object's key.
    pub fn key(&self) -> ObjectKey {
        ObjectKey { kind: self.spec.kind().to_owned(), name: self.name.clone() }
    }
}

/// Kind and name of an object, written `kind/name`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectKey {
    /// The kind as written in JSON.
    pub kind: String,
    /// The name.
    pub name: String,
}

impl ObjectKey {
    /// Creates a key.
    pub fn new(kind: &str, name: impl fmt::Display) -> Self {
        Self { kind: kind.to_owned(), name: name.to_string() }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl FromStr for ObjectKey {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.split_once('/') {
            Some((kind, name)) if !kind.is_empty() && !name.is_empty() => Ok(Self::new(kind, name)),
            _ => Err(ParseIdError::new("an object's key (kind/name)", text)),
        }
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> Self {
        key.to_string()
    }
}
