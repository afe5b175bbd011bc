//! A quantity measured at several sizes, with the line fitted through the points.

use std::fmt;

use serde::Serialize;

use crate::fit::Fit;

/// A quantity measured at several sizes, with the line fitted through the points.
#[derive(Debug, Serialize)]
pub(crate) struct Measurement {
    /// Name of the quantity.
    pub(crate) name: &'static str,
    /// Unit of the quantity.
    pub(crate) unit: &'static str,
    /// What the size counts, such as entry VMs.
    pub(crate) per: &'static str,
    /// Sizes and measured values.
    pub(crate) points: Vec<(f64, f64)>,
    /// The fitted line.
    pub(crate) fit: Fit,
    /// The size that the system is designed for.
    pub(crate) full: f64,
    /// Value of the fitted line at the full size.
    pub(crate) value: f64,
}

impl Measurement {
    pub(crate) fn new(
        (name, unit, per): (&'static str, &'static str, &'static str),
        points: Vec<(f64, f64)>,
        full: f64,
    ) -> Measurement {
        let fit = Fit::new(&points);
        let value = fit.offset + fit.slope * full;
        Measurement { name, unit, per, points, fit, full, value }
    }

    /// Name of the plot's file, without its extension.
    pub(crate) fn file_name(&self) -> String {
        format!("{} by {}", self.name, self.per).replace([' ', '/', ','], "-")
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Measurement { name, unit, per, fit, full, value, .. } = self;
        write!(f, "{name} [{unit}] = {:.4} + {:.4e} per {per}", fit.offset, fit.slope)?;
        write!(
            f,
            "; r2 {:.3}, residual {:.3}; at {full}: {value:.3};",
            fit.r_squared, fit.residual
        )?;
        for (size, figure) in &self.points {
            write!(f, " {size}: {figure:.3}")?;
        }
        Ok(())
    }
}
