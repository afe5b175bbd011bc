//! Plots of measurements.

use eyre::{Result, eyre};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::Circle,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLUE, Color, RED, WHITE},
};

use crate::measurement::Measurement;

const SIZE_PX: (u32, u32) = (640, 400);

/// Draws the points and the fitted line as SVG, up to the size that the system is designed for.
pub(crate) fn plot(measurement: &Measurement) -> Result<String> {
    let mut svg = String::new();
    draw(measurement, &mut svg).map_err(|e| eyre!("drawing {}: {e}", measurement.name))?;
    Ok(svg)
}

fn draw(measurement: &Measurement, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let right = measurement.points.iter().map(|it| it.0).fold(measurement.full, f64::max) * 1.05;
    let top =
        measurement.points.iter().map(|it| it.1).fold(measurement.value, f64::max).max(1e-9) * 1.1;
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{} by {}", measurement.name, measurement.per), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(measurement.per).y_desc(measurement.unit).draw()?;
    let line = [0.0, right].map(|x| (x, measurement.fit.offset + measurement.fit.slope * x));
    chart.draw_series(LineSeries::new(line, BLUE.stroke_width(1)))?;
    let dots = measurement.points.iter().map(|point| Circle::new(*point, 4, RED.filled()));
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}
