//! Least-squares fit of a line to measured points.

use serde::Serialize;

/// A fitted line and the errors of the fit.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Fit {
    /// Increase of the figure per unit.
    pub(crate) slope: f64,
    /// Value of the figure at zero.
    pub(crate) offset: f64,
    /// Coefficient of determination.
    pub(crate) r_squared: f64,
    /// Root mean square of the residuals.
    pub(crate) residual: f64,
}

impl Fit {
    /// Fits a line to `points`, at least two of which must differ in x.
    pub(crate) fn new(points: &[(f64, f64)]) -> Fit {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|it| it.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|it| it.1).sum::<f64>() / n;
        let (mut xx, mut xy, mut yy) = (0.0, 0.0, 0.0);
        for (x, y) in points {
            xx += (x - mean_x).powi(2);
            xy += (x - mean_x) * (y - mean_y);
            yy += (y - mean_y).powi(2);
        }
        let slope = xy / xx;
        let offset = mean_y - slope * mean_x;
        let r_squared = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        let squares = points.iter().map(|(x, y)| (y - slope * x - offset).powi(2));
        let residual = (squares.sum::<f64>() / n).sqrt();
        Fit { slope, offset, r_squared, residual }
    }
}
