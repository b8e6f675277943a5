//! Line plots as SVG, and least squares fits.

use std::path::Path;

use plotters::prelude::*;

/// A named data series.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub(crate) name: String,
    pub(crate) points: Vec<(f64, f64)>,
}

const SIZE: (u32, u32) = (720, 420);

/// Draws all series on common axes, both of which start at zero.
pub(crate) fn plot(
    path: &Path,
    title: &str,
    x_label: &str,
    y_label: &str,
    lines: &[Line],
) -> eyre::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|line| &line.points);
    let x_max = points().map(|p| p.0).fold(1.0, f64::max);
    let y_max = points().map(|p| p.1).fold(0.001, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw()?;
    for (i, line) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let drawn =
            chart.draw_series(LineSeries::new(line.points.clone(), color.stroke_width(2)))?;
        drawn
            .label(&line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let dots = line.points.iter().map(|p| Circle::new(*p, 3, color.filled()));
        chart.draw_series(dots)?;
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    println!("written: {}", path.display());
    Ok(())
}

/// A least squares fit of a straight line.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub(crate) struct Fit {
    pub(crate) intercept: f64,
    pub(crate) slope: f64,
    /// Root mean square of the residuals.
    pub(crate) error: f64,
}

/// Fits a line. The slope is zero if all points have the same `x`.
pub(crate) fn fit(points: &[(f64, f64)]) -> Fit {
    let n = points.len().max(1) as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
    let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let squared_residuals = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2));
    Fit { intercept, slope, error: (squared_residuals.sum::<f64>() / n).sqrt() }
}
