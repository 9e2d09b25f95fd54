//! Plots as SVG.

use std::io;
use std::path::Path;

use plotters::prelude::*;

/// One line of a plot.
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// Writes a plot of lines, from zero on both axes.
///
/// # Errors
///
/// Returns what the plotting library says.
pub fn write(to: &Path, title: &str, axes: (&str, &str), lines: &[Line]) -> io::Result<()> {
    draw(to, title, axes, lines).map_err(|error| io::Error::other(error.to_string()))
}

fn draw(
    to: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = lines.iter().flat_map(|line| &line.points);
    let (right, top) = points.fold((1e-9, 1e-9), |(x, y): (f64, f64), p| (x.max(p.0), y.max(p.1)));
    let area = SVGBackend::new(to, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right * 1.05, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    for (number, line) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let series =
            LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)).point_size(3);
        let legend =
            move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour.stroke_width(2));
        chart.draw_series(series)?.label(&line.name).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
