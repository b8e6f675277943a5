//! Regions in which requests may run.

use std::collections::HashMap;

use crate::ids::{FailureDomain, Region};

/// The regions in which requests of a route or customer may run; with none, they may run in any.
///
/// ```
/// use redwingfold_core::{AllowedRegions, Region};
/// let south: Region = "south".parse()?;
/// let regions = AllowedRegions::new(vec![south.clone()]);
/// assert!(regions.allows(Some(&south)) && !regions.allows(None));
/// assert!(AllowedRegions::default().allows(None));
/// # Ok::<(), redwingfold_core::ParseIdError>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AllowedRegions(Vec<Region>);

impl AllowedRegions {
    /// Makes the allowed regions of a list of regions.
    pub fn new(regions: Vec<Region>) -> Self {
        Self(regions)
    }

    /// Says whether requests may run anywhere.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_empty()
    }

    /// Says whether requests may run in a region. One that is not known could be any.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        self.is_anywhere() || region.is_some_and(|region| self.0.contains(region))
    }
}

/// The regions of failure domains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainRegions(HashMap<FailureDomain, Region>);

impl DomainRegions {
    /// Returns the region of a failure domain.
    pub fn of(&self, domain: &FailureDomain) -> Option<&Region> {
        self.0.get(domain)
    }
}

impl FromIterator<(FailureDomain, Region)> for DomainRegions {
    fn from_iter<T: IntoIterator<Item = (FailureDomain, Region)>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}
