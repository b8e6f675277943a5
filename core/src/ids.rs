//! Newtypes for IDs, times, offsets, shares and rates.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// An ID or number that cannot be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParseIdError {
    what: &'static str,
    text: String,
}

impl ParseIdError {
    pub(crate) fn new(what: &'static str, text: &str) -> Self {
        Self { what, text: text.chars().take(80).collect() }
    }
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.what)
    }
}

impl std::error::Error for ParseIdError {}

const MAX_NAME_LEN: usize = 128;

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= MAX_NAME_LEN
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.:@".contains(&b))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if is_name(text) {
                    Ok(Self(text.to_owned()))
                } else {
                    Err(ParseIdError::new($what, text))
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// Name of a customer: 1 to 128 ASCII letters, digits and `-_.:@`.
    CustomerName,
    "a customer's name (1 to 128 letters, digits and -_.:@)"
);
name_type!(
    /// Name of a failure domain.
    FailureDomain,
    "a failure domain's name (1 to 128 letters, digits and -_.:@)"
);
name_type!(
    /// Name of a host.
    HostId,
    "a host's name (1 to 128 letters, digits and -_.:@)"
);
name_type!(
    /// Name of a model.
    ModelName,
    "a model's name (1 to 128 letters, digits and -_.:@)"
);
name_type!(
    /// Name of a region.
    Region,
    "a region's name (1 to 128 letters, digits and -_.:@)"
);
name_type!(
    /// A session ID as the caller sends it.
    SessionId,
    "a session id (1 to 128 letters, digits and -_.:@)"
);
name_type!(
    /// Name of a version.
    VersionName,
    "a version's name (1 to 128 letters, digits and -_.:@)"
);

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty), $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError::new($what, text))
            }
        }
    };
}

number_type!(
    /// A size in bytes.
    ByteCount(usize),
    "a number of bytes"
);
number_type!(
    /// Identifies one run of a process; it changes at each restart.
    Incarnation(u64),
    "an incarnation (a whole number)"
);
number_type!(
    /// A point in time or a duration, in milliseconds.
    Millis(u64),
    "a number of milliseconds"
);
number_type!(
    /// Position in a stream of the log service; the first record has offset 1, and 0 is before it.
    Offset(u64),
    "an offset (a whole number)"
);
number_type!(
    /// A share or quality in thousandths.
    PerMille(u16),
    "a number of thousandths"
);

/// Requests per second; finite and non-negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// Creates a rate; returns `None` if `per_second` is negative or not finite.
    ///
    /// ```
    /// use redwingfold_core::RequestRate;
    /// assert_eq!(RequestRate::new(1.5).map(RequestRate::per_second), Some(1.5));
    /// assert_eq!(RequestRate::new(-1.0), None);
    /// ```
    pub fn new(per_second: f64) -> Option<Self> {
        (per_second.is_finite() && per_second >= 0.0).then_some(Self(per_second))
    }

    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rate = text.parse().ok().and_then(Self::new);
        rate.ok_or_else(|| {
            ParseIdError::new(
                "a request rate (a finite, non-negative number of requests per second)",
                text,
            )
        })
    }
}

impl Millis {
    /// Returns the time `span` later, saturating.
    #[must_use]
    pub fn after(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the duration since `earlier`, or zero if that is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

macro_rules! hex_type {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:032x}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                match u128::from_str_radix(text, 16) {
                    Ok(n) if text.len() == 32 => Ok(Self(n)),
                    _ => Err(ParseIdError::new($what, text)),
                }
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

hex_type!(
    /// ID of one append to a stream of the log, such as a claim, a load or a batch.
    ClaimId,
    "a claim id (32 hex digits)"
);
hex_type!(
    /// Hash of a customer's name and the idempotency key that it sent.
    KeyHash,
    "a key hash (32 hex digits)"
);
hex_type!(
    /// ID that an entry assigns to a request.
    RequestId,
    "a request id (32 hex digits)"
);

impl KeyHash {
    /// Hashes a customer's idempotency key, so that the key itself is never stored or logged.
    ///
    /// ```
    /// use redwingfold_core::KeyHash;
    /// let ani = "ani".parse().unwrap();
    /// let other = "other".parse().unwrap();
    /// assert_ne!(KeyHash::of(&ani, "slip-1"), KeyHash::of(&other, "slip-1"));
    /// ```
    pub fn of(customer: &CustomerName, key: &str) -> Self {
        let mut buf = Vec::with_capacity(customer.as_str().len() + key.len() + 1);
        buf.extend_from_slice(customer.as_str().as_bytes());
        buf.push(0);
        buf.extend_from_slice(key.as_bytes());
        Self(xxhash_rust::xxh3::xxh3_128(&buf))
    }
}
