//! A slope as a picture.

use eyre::{Result, eyre};
use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    element::Circle,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLUE, Color, RED, WHITE},
};

use crate::slope::Slope;

const SIZE_PX: (u32, u32) = (640, 400);

/// An SVG picture of the points and the line through them, up to the size to design for.
pub(crate) fn plot(slope: &Slope) -> Result<String> {
    let mut svg = String::new();
    draw(slope, &mut svg).map_err(|e| eyre!("drawing {}: {e}", slope.name))?;
    Ok(svg)
}

fn draw(slope: &Slope, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let right = slope.points.iter().map(|it| it.0).fold(slope.full, f64::max) * 1.05;
    let top = slope.points.iter().map(|it| it.1).fold(slope.value, f64::max).max(1e-9) * 1.1;
    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{} by {}", slope.name, slope.per), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(slope.per).y_desc(slope.unit).draw()?;
    let line = [0.0, right].map(|x| (x, slope.fit.offset + slope.fit.slope * x));
    chart.draw_series(LineSeries::new(line, BLUE.stroke_width(1)))?;
    let dots = slope.points.iter().map(|point| Circle::new(*point, 4, RED.filled()));
    chart.draw_series(dots)?;
    area.present()?;
    Ok(())
}
