//! Regions in which requests may run, for data residency.

use std::collections::HashMap;

use crate::ids::{FailureDomain, Region};

/// The regions in which requests of a route or customer may run; an empty list allows all.
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
    /// Creates the list.
    pub fn new(regions: Vec<Region>) -> Self {
        Self(regions)
    }

    /// Returns whether requests may run in any region.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether requests may run in `region`. An unknown region is allowed only if all are.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        self.is_anywhere() || region.is_some_and(|region| self.0.contains(region))
    }
}

/// The region of each failure domain.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainRegions(HashMap<FailureDomain, Region>);

impl DomainRegions {
    /// Returns the region of a failure domain, if it is configured.
    pub fn of(&self, domain: &FailureDomain) -> Option<&Region> {
        self.0.get(domain)
    }
}

impl FromIterator<(FailureDomain, Region)> for DomainRegions {
    fn from_iter<T: IntoIterator<Item = (FailureDomain, Region)>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}
