//! Labels of objects, and selectors that match them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Labels of one object, by key.
pub type Labels = BTreeMap<String, String>;

/// A conjunction of requirements over labels.
///
/// Written as a comma-separated list of `key=value`, `key!=value`, `key in (a|b)`, `key` (present)
/// and `!key` (absent). The empty selector matches nothing, so that a selector left empty by
/// mistake grants nothing. `*` matches everything.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Selector {
    text: String,
    terms: Vec<Term>,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Term {
    Absent(String),
    Any,
    In(String, BTreeSet<String>),
    NotEqual(String, String),
    Present(String),
}

/// A selector that cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseSelectorError(String);

impl fmt::Display for ParseSelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a selector term: write key=value, key!=value, key in (a|b), key, !key or *",
            self.0
        )
    }
}

impl std::error::Error for ParseSelectorError {}

impl Selector {
    /// Returns whether the labels match every term.
    ///
    /// ```
    /// use redwingfold_core::{Labels, Selector};
    /// let labels = Labels::from([("org".into(), "ani".into())]);
    /// let selector: Selector = "org in (ani|haus),!test".parse().unwrap();
    /// assert!(selector.matches(&labels));
    /// assert!(!"".parse::<Selector>().unwrap().matches(&labels));
    /// ```
    pub fn matches(&self, labels: &Labels) -> bool {
        !self.terms.is_empty() && self.terms.iter().all(|term| term.matches(labels))
    }
}

impl Term {
    fn matches(&self, labels: &Labels) -> bool {
        match self {
            Self::Absent(key) => !labels.contains_key(key),
            Self::Any => true,
            Self::In(key, values) => labels.get(key).is_some_and(|v| values.contains(v)),
            Self::NotEqual(key, value) => labels.get(key) != Some(value),
            Self::Present(key) => labels.contains_key(key),
        }
    }
}

fn is_word(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:@/".contains(&b))
}

impl FromStr for Term {
    type Err = ParseSelectorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let bad = || ParseSelectorError(text.to_owned());
        let word = |s: &str| match s.trim() {
            s if is_word(s) => Ok(s.to_owned()),
            _ => Err(bad()),
        };
        match text.trim() {
            "*" => Ok(Self::Any),
            t if t.ends_with(')') => {
                let (key, list) = t.split_once(" in (").ok_or_else(bad)?;
                let values =
                    list[..list.len() - 1].split('|').map(word).collect::<Result<_, _>>()?;
                Ok(Self::In(word(key)?, values))
            }
            t => match (t.split_once("!="), t.split_once('='), t.strip_prefix('!')) {
                (Some((key, value)), _, _) => Ok(Self::NotEqual(word(key)?, word(value)?)),
                (_, Some((key, value)), _) => {
                    Ok(Self::In(word(key)?, BTreeSet::from([word(value)?])))
                }
                (_, _, Some(key)) => Ok(Self::Absent(word(key)?)),
                _ => Ok(Self::Present(word(t)?)),
            },
        }
    }
}

impl FromStr for Selector {
    type Err = ParseSelectorError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let terms = match text.trim() {
            "" => Vec::new(),
            t => t.split(',').map(str::parse).collect::<Result<_, _>>()?,
        };
        Ok(Self { text: text.to_owned(), terms })
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl TryFrom<String> for Selector {
    type Error = ParseSelectorError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Selector> for String {
    fn from(selector: Selector) -> Self {
        selector.text
    }
}
