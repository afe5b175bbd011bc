//! Weights per service, class and region.

use super::{ClassIx, RowRemap, ServiceIx};

/// A weight from 0 to 1 for each service, class and region.
///
/// The weights of one service and class sum to 1.
#[derive(Debug, Clone, PartialEq)]
pub struct Weights {
    classes: usize,
    regions: usize,
    cells: Vec<f32>,
    /// Whether a service's weights changed at the last commit.
    moving: Vec<bool>,
}

impl Weights {
    pub(crate) fn new(services: usize, classes: usize, regions: usize) -> Weights {
        let cells = vec![0.0; services * classes * regions];
        Weights { classes, regions, cells, moving: vec![false; services] }
    }

    /// The weights of one class, by region.
    pub fn row(&self, service: ServiceIx, class: ClassIx) -> &[f32] {
        let start = (service.row() * self.classes + class.row()) * self.regions;
        &self.cells[start..start + self.regions]
    }

    /// The weights of a service, one row per class with one weight per region.
    pub fn rows(&self, service: ServiceIx) -> &[f32] {
        let size = self.classes * self.regions;
        &self.cells[service.row() * size..][..size]
    }

    pub(crate) fn rows_mut(&mut self, service: ServiceIx) -> &mut [f32] {
        let size = self.classes * self.regions;
        &mut self.cells[service.row() * size..][..size]
    }

    /// Whether the service's traffic is moving between regions.
    pub fn is_moving(&self, service: ServiceIx) -> bool {
        self.moving[service.row()]
    }

    pub(crate) fn set_moving(&mut self, service: ServiceIx, moving: bool) {
        self.moving[service.row()] = moving;
    }

    /// Copies the rows of the previous bundle. The weight of a removed region is distributed over
    /// the remaining ones of its row in proportion to their weights. A row with no remaining
    /// weight stays as it is.
    pub(crate) fn remap_from(&mut self, from: &Weights, remap: &RowRemap) {
        for ((service, class), (to, cell)) in remap.class_pairs() {
            let old = &from.cells[(service * from.classes + class) * from.regions..];
            let start = (to * self.classes + cell) * self.regions;
            let new = &mut self.cells[start..start + self.regions];
            let remapped = remap.regions.iter().map(|it| it.map_or(0.0, |region| old[region]));
            let sum: f32 = remapped.clone().sum();
            if sum <= 0.0 {
                continue;
            }
            for (weight, remapped) in new.iter_mut().zip(remapped) {
                *weight = remapped / sum;
            }
        }
    }

    /// Memory that the weights use, in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.capacity() * size_of::<f32>()
    }
}
