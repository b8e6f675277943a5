//! The objects that each selector matches, for review before a change is published.

use super::fold::{Config, StoredObject};
use super::object::{Object, ObjectKey, Spec};
use super::validate;
use crate::label::{Labels, Selector};

/// One selector and what it matches.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SelectorMatch {
    /// The object that has the selector.
    pub object: ObjectKey,
    /// Field of the object that holds the selector.
    pub field: &'static str,
    /// The selector as written.
    pub selector: String,
    /// The objects that it matches.
    pub matched: Vec<ObjectKey>,
}

impl Config {
    /// Returns the configuration with a change applied, without validation.
    pub fn with_change(&self, put: &[Object], delete: &[ObjectKey]) -> Self {
        let mut next = self.clone();
        for key in delete {
            next.objects.remove(key);
        }
        for object in put {
            let stored = StoredObject { revision: self.offset, object: object.clone() };
            next.objects.insert(object.key(), stored);
        }
        next
    }

    /// Returns the problems for which the fold would reject these objects.
    pub fn problems(&self) -> Vec<String> {
        validate::problems(&self.objects)
    }

    /// Returns each selector with the objects that it matches.
    pub fn selector_matches(&self) -> Vec<SelectorMatch> {
        let mut found = Vec::new();
        for (key, stored) in &self.objects {
            let mut add = |field, selector: &Selector, matched| {
                let (object, selector) = (key.clone(), selector.to_string());
                found.push(SelectorMatch { object, field, selector, matched });
            };
            match &stored.object.spec {
                Spec::Grant(g) => {
                    add("callers", &g.callers, self.callers_of(&g.callers));
                    add("versions", &g.versions, self.versions_of(&g.versions));
                }
                Spec::Service(s) => add("callers", &s.callers, self.callers_of(&s.callers)),
                _ => {}
            }
        }
        found
    }

    /// Returns the customers and the declared sessions that a selector matches.
    fn callers_of(&self, selector: &Selector) -> Vec<ObjectKey> {
        let mut found = Vec::new();
        for (key, spec) in self.of_kind("customer").chain(self.of_kind("session")) {
            let labels = match spec {
                Spec::Session(s) => match key.name.parse() {
                    Ok(session) => self.caller_labels(&s.customer, Some(&session)),
                    Err(_) => Labels::new(),
                },
                _ => match key.name.parse() {
                    Ok(customer) => self.caller_labels(&customer, None),
                    Err(_) => Labels::new(),
                },
            };
            if selector.matches(&labels) {
                found.push(key.clone());
            }
        }
        found
    }

    fn versions_of(&self, selector: &Selector) -> Vec<ObjectKey> {
        let versions = self.of_kind("version").filter(|(key, _)| {
            key.name.parse().is_ok_and(|v| selector.matches(&self.version_labels(&v)))
        });
        versions.map(|(key, _)| key.clone()).collect()
    }
}
