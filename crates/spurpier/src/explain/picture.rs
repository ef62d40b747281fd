//! A picture of the statements that were lost over time.

use std::fmt;

use error_stack::{Report, ResultExt};
use plotters::prelude::*;

use super::Losses;

/// The picture's size, in pixels.
const SIZE: (u32, u32) = (960, 420);
/// Reasons that have a line of their own; all of them would not be told apart.
const MOST_LINES: usize = 8;

/// A picture could not be drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PictureError;

impl fmt::Display for PictureError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the picture cannot be drawn")
    }
}

impl std::error::Error for PictureError {}

/// The losses over time as SVG, a line a reason, those with the most statements.
///
/// # Errors
///
/// [`PictureError`] if the library cannot lay it out.
pub fn picture(losses: &Losses) -> Result<String, Report<PictureError>> {
    let mut text = String::new();
    draw(losses, &mut text).change_context(PictureError)?;
    Ok(text)
}

type Drawn<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(losses: &Losses, text: &'a mut String) -> Drawn<'a> {
    let reasons = losses.reasons();
    let lines = reasons.iter().take(MOST_LINES);
    let lines: Vec<(&str, Vec<(f64, u64)>)> = lines
        .map(|reason| (*reason, losses.over_time(reason)))
        .collect();
    let points = || lines.iter().flat_map(|(_, points)| points);
    let first = points().map(|(at, _)| *at).fold(f64::INFINITY, f64::min);
    let last = points().map(|(at, _)| *at).fold(0.0, f64::max);
    let most = points().map(|(_, count)| *count).max().unwrap_or(1);
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("statements not served", ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(first.min(last)..last + 1.0, 0..most + 1)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, (reason, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(*reason)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()
}
