//! Fingerprints, by which requests are recognized that are equal or have a part of their prompts in common.

use std::fmt;
use std::str::FromStr;

use crate::ids::ParseIdError;

/// Bits that mark the fingerprint of a prompt part. The other bits hold the id of the part, which operators see in logs.
const PART_TAG: u64 = 0xffff << 48;

/// Identifies a request by a hash of its content and its caller, or a shared part of prompts by its id.
///
/// Both kinds have the same form, so that records and messages between gateways do not distinguish them.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Creates the fingerprint of a request's content from its hash.
    ///
    /// ```
    /// use redwingfold_core::Fingerprint;
    /// assert!(!Fingerprint::of_content(u64::MAX).is_prompt_part());
    /// ```
    pub fn of_content(hash: u64) -> Self {
        match hash & PART_TAG {
            PART_TAG => Self(hash & !PART_TAG),
            _ => Self(hash),
        }
    }

    /// Creates the fingerprint of a prompt part from its id. The upper 16 bits of a longer id are folded into the lower
    /// ones.
    ///
    /// ```
    /// use redwingfold_core::Fingerprint;
    /// let part = Fingerprint::of_prompt_part(0x5c1e_07a2);
    /// assert!(part.is_prompt_part());
    /// assert_eq!(part.to_string(), "ffff00005c1e07a2");
    /// ```
    pub fn of_prompt_part(id: u64) -> Self {
        Self(PART_TAG | ((id ^ (id >> 48)) & !PART_TAG))
    }

    /// Returns whether this identifies a prompt part, rather than a request.
    pub fn is_prompt_part(self) -> bool {
        self.0 & PART_TAG == PART_TAG
    }
}

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
