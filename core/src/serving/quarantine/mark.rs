//! Records in the store about requests under which servers ended.

use std::fmt;

use crate::ids::Millis;
use crate::serving::catalog::BackendId;
use crate::serving::fingerprint::Fingerprint;

/// An event in the history of a suspect request. Marks are only added and withdrawn, never changed, so that the order
/// in which gateways write them does not matter.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Mark {
    /// The server ended while it ran the request.
    End(BackendId),
    /// The request was sent as the trial with this number.
    Trial(u8),
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::End(server) => write!(f, "end/{server}"),
            Self::Trial(number) => write!(f, "trial/{number}"),
        }
    }
}

impl Mark {
    /// Parses the [`Display`](fmt::Display) form; returns `None` if the text has another form.
    ///
    /// ```
    /// use redwingfold_core::Mark;
    /// let marks = [Mark::End("e1".into()), Mark::Trial(2)];
    /// assert!(marks.iter().all(|mark| Mark::parse(&mark.to_string()).as_ref() == Some(mark)));
    /// assert_eq!(Mark::parse("trial/x"), None);
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        match text.split_once('/')? {
            ("end", server) if !server.is_empty() => Some(Self::End(server.into())),
            ("trial", number) => number.parse().ok().map(Self::Trial),
            _ => None,
        }
    }
}

/// A mark that was added or withdrawn.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MarkChange {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The mark.
    pub mark: Mark,
    /// Age of the event; `None` if the mark is withdrawn.
    pub age: Option<Millis>,
}
