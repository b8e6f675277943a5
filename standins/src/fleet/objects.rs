//! A builder of configurations for tests.

use serde_json::{Value, json};

/// Returns the API key of a test's customer.
pub fn key_of(customer: &str) -> String {
    format!("key-of-{customer}")
}

/// Objects of a configuration.
#[derive(Clone, Debug, Default)]
pub struct Objects(Vec<Value>);

impl Objects {
    /// Adds an object of any kind.
    #[must_use]
    pub fn with(mut self, kind: &str, name: &str, labels: Value, spec: Value) -> Self {
        self.0.push(json!({"kind": kind, "name": name, "labels": labels, "spec": spec}));
        self
    }

    /// Adds a customer whose API key is [`key_of`] its name; `sha256` is the hash of that key.
    #[must_use]
    pub fn customer(self, name: &str, weight: u32, sha256: &str) -> Self {
        let spec = json!({"key_sha256": [sha256], "weight": weight});
        self.with("customer", name, json!({"org": name}), spec)
    }

    /// Adds a version.
    #[must_use]
    pub fn version(self, name: &str, model: &str, cost: u64, quality: u16) -> Self {
        let spec = json!({"model": model, "cost_per_ktok": cost, "quality": quality});
        self.with("version", name, json!({}), spec)
    }

    /// Adds a model.
    #[must_use]
    pub fn model(self, name: &str, current: &str) -> Self {
        self.with("model", name, json!({}), json!({"current": current}))
    }

    /// Adds a grant.
    #[must_use]
    pub fn grant(self, name: &str, callers: &str, versions: &str) -> Self {
        self.with("grant", name, json!({}), json!({"callers": callers, "versions": versions}))
    }

    /// Adds a rollout.
    #[must_use]
    pub fn rollout(self, name: &str, model: &str, to: &str, share: u16) -> Self {
        self.with("rollout", name, json!({}), json!({"model": model, "to": to, "share": share}))
    }

    /// Adds a placement.
    #[must_use]
    pub fn placement(self, name: &str, hosts: &str, versions: &[&str], share: u16) -> Self {
        let spec = json!({"versions": versions, "hosts": hosts, "load_share": share});
        self.with("placement", name, json!({}), spec)
    }

    /// Adds a plain service that accepts GET, which may be retried, and POST, which may not.
    #[must_use]
    pub fn service(self, name: &str, path: &str) -> Self {
        let spec = json!({
            "path": path, "methods": ["GET", "POST"], "repeatable": ["GET"], "callers": "*",
        });
        self.with("service", name, json!({}), spec)
    }

    /// Adds a cascade.
    #[must_use]
    pub fn cascade(self, name: &str, models: &[&str], target: u16) -> Self {
        self.with("cascade", name, json!({}), json!({"models": models, "target": target}))
    }

    /// Returns whether there are no objects.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the JSON array that `redwingfold-ctl` reads.
    pub fn json(&self) -> String {
        Value::from(self.0.clone()).to_string()
    }
}
