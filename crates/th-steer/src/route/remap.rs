//! Matches the table rows of one bundle to those of the next.

use super::RouteMap;

/// For each row of a new map, the row with the same id in the old map, if there is one.
#[derive(Debug, Clone)]
pub struct RowRemap {
    pub(crate) services: Vec<Option<usize>>,
    pub(crate) classes: Vec<Option<usize>>,
    pub(crate) regions: Vec<Option<usize>>,
}

impl RowRemap {
    /// Matches the rows of two maps by id.
    pub fn new(old: &RouteMap, new: &RouteMap) -> RowRemap {
        let mut classes = match_rows(old.classes(), new.classes());
        classes.push(Some(old.classes().len())); // the row for unknown blocks
        RowRemap {
            services: match_rows(old.services(), new.services()),
            classes,
            regions: match_rows(old.regions(), new.regions()),
        }
    }

    /// Pairs of old and new (service, region) rows, for ids that both maps have.
    pub(crate) fn region_pairs(&self) -> impl Iterator<Item = ((usize, usize), (usize, usize))> {
        let services = self.services.iter().enumerate();
        services.flat_map(move |(s, old)| {
            let regions = self.regions.iter().enumerate();
            regions.filter_map(move |(r, region)| Some((((*old)?, (*region)?), (s, r))))
        })
    }

    /// Pairs of old and new (service, class) rows, for ids that both maps have.
    pub(crate) fn class_pairs(&self) -> impl Iterator<Item = ((usize, usize), (usize, usize))> {
        let services = self.services.iter().enumerate();
        services.flat_map(move |(s, old)| {
            let classes = self.classes.iter().enumerate();
            classes.filter_map(move |(c, class)| Some((((*old)?, (*class)?), (s, c))))
        })
    }
}

fn match_rows<T: Ord>(old: &[T], new: &[T]) -> Vec<Option<usize>> {
    new.iter().map(|it| old.binary_search(it).ok()).collect()
}
