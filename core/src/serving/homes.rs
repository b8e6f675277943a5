//! Regions in which requests may run.

use std::collections::HashMap;

use crate::ids::{FailureDomain, Region};

/// The regions in which requests of a route or customer may run; with none, they may run in any.
///
/// ```
/// use redwingfold_core::{Homes, Region};
/// let south: Region = "south".parse()?;
/// let homes = Homes::new(vec![south.clone()]);
/// assert!(homes.allow(Some(&south)) && !homes.allow(None));
/// assert!(Homes::default().allow(None));
/// # Ok::<(), redwingfold_core::ParseIdError>(())
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Homes(Vec<Region>);

impl Homes {
    /// Makes the homes of a list of regions.
    pub fn new(regions: Vec<Region>) -> Self {
        Self(regions)
    }

    /// Says whether requests may run anywhere.
    pub fn is_anywhere(&self) -> bool {
        self.0.is_empty()
    }

    /// Says whether requests may run in a region. One that is not known could be any.
    pub fn allow(&self, region: Option<&Region>) -> bool {
        self.is_anywhere() || region.is_some_and(|region| self.0.contains(region))
    }
}

/// The regions of failure domains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Regions(HashMap<FailureDomain, Region>);

impl Regions {
    /// Returns the region of a failure domain.
    pub fn of(&self, domain: &FailureDomain) -> Option<&Region> {
        self.0.get(domain)
    }
}

impl FromIterator<(FailureDomain, Region)> for Regions {
    fn from_iter<T: IntoIterator<Item = (FailureDomain, Region)>>(regions: T) -> Self {
        Self(regions.into_iter().collect())
    }
}
