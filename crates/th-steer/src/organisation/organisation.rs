//! An organisation.

use std::collections::BTreeSet;

use th_protocol::{OrganisationId, RegionId};

use crate::quota::Quota;

/// An organisation, on whose behalf callers make requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its id.
    pub id: OrganisationId,
    /// Rank of its requests among waiting ones; `None` if the rank of the route applies.
    pub rank: Option<u32>,
    /// What it may ask of all entry VMs together; `None` for no limit.
    pub quota: Option<Quota>,
    /// The only regions in which its requests may run; empty for all.
    pub home_regions: BTreeSet<RegionId>,
}
