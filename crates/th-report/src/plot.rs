//! Plots the burn rates of the last six hours.

use plotters::{
    chart::{ChartBuilder, LabelAreaPosition, SeriesLabelPosition},
    drawing::IntoDrawingArea,
    element::PathElement,
    prelude::SVGBackend,
    series::LineSeries,
    style::{BLACK, Color, Palette, Palette99, WHITE},
};
use thiserror::Error;

use crate::{burn::burn_rate, report::Report, report::Row, tier::HISTORY_SLOTS};

/// The result of plotting.
pub(crate) type Result<T, E = PlotError> = std::result::Result<T, E>;

const SIZE_PX: (u32, u32) = (960, 480);
const SLOT_MINUTES: f64 = 5.0;
const MIN_RATE: f64 = 1.0;

/// The plot could not be drawn.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("cannot plot the burn rates: {0}")]
pub struct PlotError(String);

/// Returns an SVG plot of the burn rates of the last six hours, with one line for each row.
pub fn plot(report: &Report) -> Result<String> {
    let mut svg = String::new();
    draw(report, &mut svg).map_err(|e| PlotError(e.to_string()))?;
    Ok(svg)
}

fn draw(report: &Report, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let lines: Vec<_> = report.rows.iter().map(|row| (row, rates(row))).collect();
    let rates = lines.iter().flat_map(|(_, line)| line.iter().map(|(_, rate)| *rate));
    let top = rates.fold(MIN_RATE, f64::max) * 1.1;
    let span = HISTORY_SLOTS as f64 * SLOT_MINUTES;

    let area = SVGBackend::with_string(svg, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("burn rate of the error budget", ("sans-serif", 18))
        .margin(10)
        .set_label_area_size(LabelAreaPosition::Left, 50)
        .set_label_area_size(LabelAreaPosition::Bottom, 40)
        .build_cartesian_2d(-span..0.0, 0.0..top)?;
    chart.configure_mesh().x_desc("minutes from now").y_desc("burn rate").draw()?;
    for (n, (row, line)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let name = format!("{} {}", row.service, row.measure);
        let path = LineSeries::new(line, color.stroke_width(2)).point_size(2);
        let drawn = chart.draw_series(path)?.label(name);
        drawn.legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn rates(row: &Row) -> Vec<(f64, f64)> {
    let mut line = Vec::new();
    for point in &row.history {
        let Some(rate) = burn_rate(point.count, row.objective) else { continue };
        line.push((f64::from(point.ago) * -SLOT_MINUTES, rate.0));
    }
    line
}
