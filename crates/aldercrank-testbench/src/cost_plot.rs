//! Plots the CPU time per request as SVG, with one panel each for its growth with the requests in flight, the
//! connections and the deduplication entries.

use crate::cost_case::{CostCase, GROWTH_REQUESTS};
use crate::request_cost::RequestCost;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};

/// Width and height of the drawing, in pixels.
const SIZE: (u32, u32) = (1080, 360);
/// The colour of the earlier build's line: a grey that differs from black in a print without colours as well.
const EARLIER: RGBColor = RGBColor(150, 150, 150);

/// The size that grows, and the CPU time per request in microseconds.
type Point = (f64, f64);
/// Returns one of the sizes of a case.
type SizeOf = fn(&CostCase) -> usize;
type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// One build's line in a panel.
struct BuildLine {
    label: &'static str,
    points: Vec<Point>,
    colour: RGBColor,
    filled: bool,
}

/// The minimum and maximum of some numbers.
struct Range {
    min: f64,
    max: f64,
}

impl Range {
    fn of(numbers: impl Iterator<Item = f64>) -> Range {
        let empty = Range { min: f64::MAX, max: 0.0 };
        numbers.fold(empty, |range, n| Range { min: range.min.min(n), max: range.max.max(n) })
    }
}

/// The points of the growth cases of this size.
fn points(rows: &[(CostCase, RequestCost)], size: SizeOf) -> Vec<Point> {
    let grown = rows.iter().filter(|(case, _)| size(case) > 0 && case.requests == GROWTH_REQUESTS);
    grown.map(|(case, cost)| (size(case) as f64, cost.cpu_time.as_nanos() as f64 / 1e3)).collect()
}

/// The plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{}: {cause}", file.display())]
pub(crate) struct PlotError {
    file: PathBuf,
    cause: Box<dyn Error>,
}

/// Draws this build's rows and those of an earlier build, if any. Fails if the file cannot be written.
pub(crate) fn draw(
    file: &Path,
    rows: &[(CostCase, RequestCost)],
    earlier: &[(CostCase, RequestCost)],
) -> Result<(), PlotError> {
    draw_panels(file, rows, earlier).map_err(|cause| PlotError { file: file.to_path_buf(), cause })
}

fn draw_panels(
    file: &Path,
    rows: &[(CostCase, RequestCost)],
    earlier: &[(CostCase, RequestCost)],
) -> Result<(), Box<dyn Error>> {
    let sizes: [(&str, SizeOf); 3] = [
        ("requests in flight", |case| case.queued),
        ("connections", |case| case.idle_connections),
        ("dedup entries", |case| case.dedup_entries),
    ];
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    for ((name, size), panel) in sizes.into_iter().zip(area.split_evenly((1, sizes.len()))) {
        let lines = [
            BuildLine { label: "this build", points: points(rows, size), colour: BLACK, filled: true },
            BuildLine {
                label: "earlier build",
                points: points(earlier, size),
                colour: EARLIER,
                filled: false,
            },
        ];
        draw_panel(&panel, name, &lines, !earlier.is_empty())?;
    }
    area.present()?;
    Ok(())
}

fn draw_panel(
    panel: &Panel,
    name: &str,
    lines: &[BuildLine],
    with_labels: bool,
) -> Result<(), Box<dyn Error>> {
    let all = || lines.iter().flat_map(|line| &line.points);
    let (size, time) = (Range::of(all().map(|point| point.0)), Range::of(all().map(|point| point.1)));
    if time.max == 0.0 {
        return Ok(());
    }
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("CPU time by {name}"), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(
            (size.min * 0.8..size.max * 1.25).log_scale(),
            (time.min.min(10.0) * 0.8..time.max.max(100.0) * 1.5).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc(name)
        .y_desc("microseconds per request")
        .x_label_formatter(&|x| format!("{x:.0}"))
        .y_label_formatter(&|y| format!("{y:.0}"))
        .x_labels(5)
        .y_labels(6)
        .light_line_style(WHITE)
        .draw()?;
    for line in lines.iter().filter(|line| !line.points.is_empty()) {
        let stroke = line.colour.stroke_width(2);
        let dot = if line.filled { line.colour.filled() } else { stroke };
        chart
            .draw_series(LineSeries::new(line.points.clone(), stroke))?
            .label(line.label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], stroke));
        chart.draw_series(line.points.iter().map(|point| Circle::new(*point, 4, dot)))?;
    }
    if with_labels {
        let position = SeriesLabelPosition::UpperLeft;
        chart.configure_series_labels().position(position).border_style(BLACK).draw()?;
    }
    Ok(())
}
