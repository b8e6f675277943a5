//! Access checks and the choice of the version that answers a request.

use crate::config::{Config, ObjectKey, Spec, VersionSpec};
use crate::error::ErrorKind;
use crate::ids::{CustomerName, ModelName, PerMille, SessionId, VersionName};
use crate::label::Labels;

/// The reason why no version may answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AccessDenied {
    /// The error kind for the caller.
    pub kind: ErrorKind,
    /// The requested name and the error kind, as text.
    pub detail: String,
}

/// The versions that may answer a request, in the order in which to try them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// One version for each step.
    pub steps: Vec<VersionName>,
    /// Quality from which an answer is final, so that the next step is skipped; `None` if the first
    /// answer is final.
    pub target: Option<PerMille>,
}

impl Config {
    /// Returns a version's declaration.
    pub fn version(&self, name: &VersionName) -> Option<&VersionSpec> {
        match &self.objects.get(&ObjectKey::new("version", name))?.object.spec {
            Spec::Version(version) => Some(version),
            _ => None,
        }
    }

    /// Returns the customer that owns an API key, given the key's SHA-256 as lower-case hex.
    pub fn customer_of_key(&self, sha256: &str) -> Option<CustomerName> {
        self.of_kind("customer").find_map(|(key, spec)| match spec {
            Spec::Customer(c) if c.key_sha256.iter().any(|k| k == sha256) => key.name.parse().ok(),
            _ => None,
        })
    }

    /// Returns the objects of one kind.
    pub fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = (&'a ObjectKey, &'a Spec)> {
        self.objects
            .range(ObjectKey::new(kind, "")..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(key, stored)| (key, &stored.object.spec))
    }

    /// Returns the labels that grants are matched against.
    pub fn caller_labels(&self, customer: &CustomerName, session: Option<&SessionId>) -> Labels {
        let mut labels = self.labels_of("customer", customer.as_str());
        labels.insert("customer".to_owned(), customer.to_string());
        if let Some(session) = session {
            match self.objects.get(&ObjectKey::new("session", session)) {
                Some(stored) if is_session_of(&stored.object.spec, customer) => {
                    labels.extend(stored.object.labels.clone());
                }
                _ => {}
            }
            labels.insert("session".to_owned(), session.to_string());
        }
        labels
    }

    /// Returns the labels of a version, with its name and model added.
    pub fn version_labels(&self, name: &VersionName) -> Labels {
        let mut labels = self.labels_of("version", name.as_str());
        labels.insert("version".to_owned(), name.to_string());
        if let Some(version) = self.version(name) {
            labels.insert("model".to_owned(), version.model.to_string());
        }
        labels
    }

    fn labels_of(&self, kind: &str, name: &str) -> Labels {
        match self.objects.get(&ObjectKey::new(kind, name)) {
            Some(stored) => stored.object.labels.clone(),
            None => Labels::new(),
        }
    }

    /// Checks whether a caller may use a version.
    ///
    /// The entry and the side both check this, each with the latest configuration that it has.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::UnknownModel`], [`ErrorKind::Withdrawn`] or [`ErrorKind::NotAllowed`].
    pub fn check_access(
        &self,
        customer: &CustomerName,
        session: Option<&SessionId>,
        version: &VersionName,
    ) -> Result<(), ErrorKind> {
        let spec = self.version(version).ok_or(ErrorKind::UnknownModel)?;
        let callers = self.caller_labels(customer, session);
        let labels = self.version_labels(version);
        let granted = self.of_kind("grant").any(|(_, spec)| match spec {
            Spec::Grant(g) => g.callers.matches(&callers) && g.versions.matches(&labels),
            _ => false,
        });
        match spec.withdrawn_at {
            _ if !granted => Err(ErrorKind::NotAllowed),
            Some(_) => Err(ErrorKind::Withdrawn),
            None => Ok(()),
        }
    }

    fn pinned_by_operator(
        &self,
        customer: &CustomerName,
        session: Option<&SessionId>,
        model: &ModelName,
    ) -> Option<VersionName> {
        let stored = self.objects.get(&ObjectKey::new("session", session?))?;
        match &stored.object.spec {
            Spec::Session(s) if s.customer == *customer => s
                .version
                .clone()
                .filter(|version| self.version(version).is_some_and(|v| v.model == *model)),
            _ => None,
        }
    }
}

fn is_session_of(spec: &Spec, customer: &CustomerName) -> bool {
    matches!(spec, Spec::Session(s) if s.customer == *customer)
}

/// Returns the bucket of a session in 0..1000; a rollout with share `s` applies to buckets below
/// `s`.
///
/// The bucket is a hash of the model and `bucket_key`, so all entries compute the same one, and a
/// session whose pin was lost most likely gets the same version again.
pub fn rollout_bucket(model: &ModelName, bucket_key: &str) -> PerMille {
    let text = format!("{model}\0{bucket_key}");
    PerMille((xxhash_rust::xxh3::xxh3_64(text.as_bytes()) % 1000) as u16)
}

/// Chooses the version of one model for a new session, or for a request without one.
///
/// `bucket_key` is the session ID, or the request ID if there is no session.
///
/// # Errors
///
/// Returns the error kind of the last candidate.
pub fn choose_version(
    config: &Config,
    customer: &CustomerName,
    session: Option<&SessionId>,
    model: &ModelName,
    bucket_key: &str,
) -> Result<VersionName, ErrorKind> {
    let current = match config.objects.get(&ObjectKey::new("model", model)) {
        Some(stored) => match &stored.object.spec {
            Spec::Model(spec) => spec.current.clone(),
            _ => return Err(ErrorKind::UnknownModel),
        },
        None => return Err(ErrorKind::UnknownModel),
    };
    let bucket = rollout_bucket(model, bucket_key);
    let rolled = config.of_kind("rollout").find_map(|(_, spec)| match spec {
        Spec::Rollout(r) if r.model == *model && bucket < r.share => Some(r.to.clone()),
        _ => None,
    });
    let pinned = config.pinned_by_operator(customer, session, model);
    let mut last = ErrorKind::UnknownModel;
    for version in pinned.into_iter().chain(rolled).chain([current]) {
        match config.check_access(customer, session, &version) {
            Ok(()) => return Ok(version),
            Err(kind) => last = kind,
        }
    }
    Err(last)
}

/// Plans the versions that may answer a request for `name`: a version, a model or a cascade.
///
/// `quality` gives the lower confidence bound of a version's quality for this kind of request.
/// A cascade starts at the cheapest step that is expected to reach its target, or at the first step
/// if none is.
///
/// # Errors
///
/// [`AccessDenied`] if no step may run.
pub fn plan(
    config: &Config,
    customer: &CustomerName,
    session: Option<&SessionId>,
    name: &str,
    bucket_key: &str,
    quality: impl Fn(&VersionName, &VersionSpec) -> PerMille,
) -> Result<Plan, AccessDenied> {
    let denied = |kind: ErrorKind| AccessDenied { kind, detail: format!("{name}: {kind}") };
    if let Some(stored) = config.objects.get(&ObjectKey::new("cascade", name))
        && let Spec::Cascade(cascade) = &stored.object.spec
    {
        let mut last = ErrorKind::UnknownModel;
        let mut steps = Vec::new();
        for model in &cascade.models {
            match choose_version(config, customer, session, model, bucket_key) {
                Ok(version) => steps.push(version),
                Err(kind) => last = kind,
            }
        }
        if steps.is_empty() {
            return Err(denied(last));
        }
        let cost = |v: &VersionName| config.version(v).map_or(u64::MAX, |spec| spec.cost_per_ktok);
        steps.sort_by_key(|v| cost(v));
        let good = |v: &VersionName| {
            config.version(v).is_some_and(|spec| quality(v, spec) >= cascade.target)
        };
        // Starts at the cheapest step expected to reach the target; the more expensive ones follow
        // as escalation.
        let first = steps.iter().position(good).unwrap_or(0);
        steps.drain(..first);
        return Ok(Plan { steps, target: Some(cascade.target) });
    }
    if config.objects.contains_key(&ObjectKey::new("model", name))
        && let Ok(model) = name.parse()
    {
        let version =
            choose_version(config, customer, session, &model, bucket_key).map_err(denied)?;
        return Ok(Plan { steps: vec![version], target: None });
    }
    let version: VersionName = name.parse().map_err(|_| denied(ErrorKind::UnknownModel))?;
    config.check_access(customer, session, &version).map_err(denied)?;
    Ok(Plan { steps: vec![version], target: None })
}
