//! Fingerprints, by which equal requests are recognized under different request ids.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Hash of a request's content and its caller; repeats of a request have the same one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIdError;

    /// Parses the hexadecimal form.
    ///
    /// ```
    /// use redwingfold_core::Fingerprint;
    /// assert_eq!(Fingerprint(10).to_string().parse(), Ok(Fingerprint(10)));
    /// assert!("10".parse::<Fingerprint>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        let number = is_hex.then(|| u64::from_str_radix(text, 16).ok()).flatten();
        number.map(Self).ok_or_else(|| ParseIdError::new("a fingerprint (16 hex digits)", text))
    }
}
