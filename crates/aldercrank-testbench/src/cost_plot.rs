//! Cost as things grow, drawn: one panel for each thing that grows, time on a core for each txn over its number.

use crate::request_cost::{Case, Cost};
use plotters::prelude::*;
use std::path::Path;

type Points = Vec<(f64, f64)>;
type Size = fn(&Case) -> usize;

fn points(rows: &[(Case, Cost)], of: Size) -> Points {
    let grown = rows.iter().filter(|(case, _)| of(case) > 0 && case.requests == 500);
    grown.map(|(case, cost)| (of(case) as f64, cost.cpu.as_nanos() as f64 / 1e3)).collect()
}

/// Draws this build, and an earlier one's rows where there are any, in a shade that differs in grey too.
pub fn growth(file: &Path, rows: &[(Case, Cost)], earlier: &[(Case, Cost)]) -> Result<(), String> {
    let panels: [(&str, Size); 3] =
        [("txns in hand", |c| c.held), ("connections", |c| c.idle), ("marks", |c| c.dedup_entries)];
    let area = SVGBackend::new(file, (1080, 360)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        for ((name, of), area) in panels.iter().zip(area.split_evenly((1, 3))) {
            let lines = [
                ("this build", points(rows, *of), BLACK, true),
                ("the earlier one", points(earlier, *of), RGBColor(150, 150, 150), false),
            ];
            let all = || lines.iter().flat_map(|line| &line.1);
            let (least, most) =
                all().fold((f64::MAX, 0.0f64), |(least, most), (_, y)| (least.min(*y), most.max(*y)));
            let (first, last) =
                all().fold((f64::MAX, 0.0f64), |(first, last), (x, _)| (first.min(*x), last.max(*x)));
            if most == 0.0 {
                continue;
            }
            let mut chart = ChartBuilder::on(&area)
                .caption(format!("time on a core, by {name}"), ("sans-serif", 16))
                .margin(10)
                .x_label_area_size(36)
                .y_label_area_size(52)
                .build_cartesian_2d(
                    (first * 0.8..last * 1.25).log_scale(),
                    (least.min(10.0) * 0.8..most.max(100.0) * 1.5).log_scale(),
                )?;
            chart
                .configure_mesh()
                .x_desc(*name)
                .y_desc("microseconds a txn")
                .x_label_formatter(&|x| format!("{x:.0}"))
                .y_label_formatter(&|y| format!("{y:.0}"))
                .x_labels(5)
                .y_labels(6)
                .light_line_style(WHITE)
                .draw()?;
            for (label, points, colour, filled) in lines.into_iter().filter(|line| !line.1.is_empty()) {
                let dot = if filled { colour.filled() } else { colour.stroke_width(2) };
                chart
                    .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?
                    .label(label)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], colour.stroke_width(2)));
                chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, dot)))?;
            }
            if !earlier.is_empty() {
                chart
                    .configure_series_labels()
                    .position(SeriesLabelPosition::UpperLeft)
                    .border_style(BLACK)
                    .draw()?;
            }
        }
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("{}: {e}", file.display()))
}
