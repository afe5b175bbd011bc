//! A least-squares line through measured points.

use serde::Serialize;

/// A line, and how far the points are from it.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Fit {
    /// Growth of the figure for each unit.
    pub(crate) slope: f64,
    /// The figure at zero.
    pub(crate) offset: f64,
    /// Share of the variance that the line explains.
    pub(crate) r_squared: f64,
    /// Root of the mean square of the points' distances from the line.
    pub(crate) residual: f64,
}

impl Fit {
    /// The line through `points`, of which two must differ in their first number.
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
