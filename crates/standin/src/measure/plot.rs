//! Line plots in SVG.

use std::io;
use std::path::Path;

use plotters::prelude::*;

/// A line of a plot.
pub struct Line {
    /// The name in the legend.
    pub name: String,
    /// The points as x and y values.
    pub points: Vec<(f64, f64)>,
}

/// Writes a line plot with axes that start at zero.
///
/// # Errors
///
/// Returns the error of the plotting library.
pub fn write(path: &Path, title: &str, axes: (&str, &str), lines: &[Line]) -> io::Result<()> {
    draw(path, title, axes, lines).map_err(|error| io::Error::other(error.to_string()))
}

fn draw(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = lines.iter().flat_map(|line| &line.points);
    let (max_x, max_y) =
        points.fold((1e-9, 1e-9), |(x, y): (f64, f64), p| (x.max(p.0), y.max(p.1)));
    let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)?;
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
