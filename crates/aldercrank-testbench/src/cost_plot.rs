//! Cost as things grow, drawn as SVG: one panel for each thing that grows, time on a core for each request over its
//! number.

use crate::cost_case::{CostCase, GROWTH_REQUESTS};
use crate::request_cost::RequestCost;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::error::Error;
use std::path::{Path, PathBuf};

/// Width and height of the drawing, in pixels.
const SIZE: (u32, u32) = (1080, 360);
/// The colour of an earlier build's line, which differs from black in grey as well.
const EARLIER: RGBColor = RGBColor(150, 150, 150);

/// What grew, and the time on a core in microseconds.
type Point = (f64, f64);
/// How far a case has grown in one of the sizes.
type SizeOf = fn(&CostCase) -> usize;
type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// The line of one build in a panel.
struct BuildLine {
    label: &'static str,
    points: Vec<Point>,
    colour: RGBColor,
    filled: bool,
}

/// The least and the greatest of some numbers.
struct Range {
    least: f64,
    most: f64,
}

impl Range {
    fn of(numbers: impl Iterator<Item = f64>) -> Range {
        let none = Range { least: f64::MAX, most: 0.0 };
        numbers.fold(none, |range, n| Range { least: range.least.min(n), most: range.most.max(n) })
    }
}

/// The points of the cases in which this size grows.
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

/// Draws this build, and an earlier one's rows where there are any. Fails where the file can't be written.
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
                label: "the earlier one",
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
    if time.most == 0.0 {
        return Ok(());
    }
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("time on a core, by {name}"), ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(
            (size.least * 0.8..size.most * 1.25).log_scale(),
            (time.least.min(10.0) * 0.8..time.most.max(100.0) * 1.5).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc(name)
        .y_desc("microseconds a request")
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
