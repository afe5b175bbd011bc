//! The organisations of a configuration, found by their keys.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use th_protocol::OrganisationId;
use thiserror::Error;

use super::{key::KeyDigest, organisation::Organisation};
use crate::quota::Quota;

/// The result of creating a table.
pub(crate) type Result<T, E = TableError> = std::result::Result<T, E>;

/// Reason why organisations cannot be used together.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TableError {
    /// Two organisations have the same id.
    #[error("organisation {0} is listed twice")]
    Duplicate(OrganisationId),
    /// Two organisations have the same key.
    #[error("organisations {0} and {1} share a key; each key must belong to one organisation")]
    SharedKey(OrganisationId, OrganisationId),
}

/// The organisations of a configuration, found by their keys.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OrganisationTable {
    organisations: Vec<Arc<Organisation>>,
    /// Keys with the positions of their organisations, in as many buckets as there are keys, so that the time of a
    /// look-up does not depend on their number.
    buckets: Vec<Vec<(KeyDigest, usize)>>,
}

impl OrganisationTable {
    /// Creates the table of organisations and their keys.
    pub fn new(members: Vec<(Organisation, Vec<KeyDigest>)>) -> Result<OrganisationTable> {
        let count = members.iter().map(|(_, keys)| keys.len()).sum::<usize>().max(1);
        let mut buckets: Vec<Vec<(KeyDigest, usize)>> = vec![Vec::new(); count];
        let mut organisations: Vec<Arc<Organisation>> = Vec::with_capacity(members.len());
        let mut ids = BTreeSet::new();
        for (organisation, keys) in members {
            let position = organisations.len();
            if !ids.insert(organisation.id.clone()) {
                return Err(TableError::Duplicate(organisation.id));
            }
            for key in keys {
                let bucket = &mut buckets[key.bucket(count)];
                let Some((_, owner)) = bucket.iter().find(|(it, _)| *it == key) else {
                    bucket.push((key, position));
                    continue;
                };
                if *owner != position {
                    let first = organisations[*owner].id.clone();
                    return Err(TableError::SharedKey(first, organisation.id));
                }
            }
            organisations.push(Arc::new(organisation));
        }
        Ok(OrganisationTable { organisations, buckets })
    }

    /// Returns the organisation to which a key belongs.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Organisation>> {
        let bucket = self.buckets.get(key.bucket(self.buckets.len()))?;
        let (_, position) = bucket.iter().find(|(it, _)| it == key)?;
        self.organisations.get(*position)
    }

    /// The organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.organisations.iter()
    }

    /// The quotas of those organisations that have one.
    pub fn quotas(&self) -> BTreeMap<OrganisationId, Quota> {
        let mut quotas = BTreeMap::new();
        for it in &self.organisations {
            if let Some(quota) = it.quota {
                quotas.insert(it.id.clone(), quota);
            }
        }
        quotas
    }
}
