//! Cost as things grow, drawn: one panel for each thing that grows, time on a core for each txn over its number.

use crate::cost::{Case, Cost};
use plotters::prelude::*;
use std::path::Path;

type Points = Vec<(f64, f64)>;
type Size = fn(&Case) -> usize;

fn points(rows: &[(Case, Cost)], of: Size) -> Points {
    let grown = rows.iter().filter(|(case, _)| of(case) > 0 && case.txns == 500);
    grown.map(|(case, cost)| (of(case) as f64, cost.cpu.as_nanos() as f64 / 1e3)).collect()
}

pub fn growth(file: &Path, rows: &[(Case, Cost)]) -> Result<(), String> {
    let panels: [(&str, Size); 3] =
        [("txns in hand", |c| c.held), ("connections", |c| c.idle), ("marks", |c| c.marks)];
    let area = SVGBackend::new(file, (1080, 360)).into_drawing_area();
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        area.fill(&WHITE)?;
        for ((name, of), area) in panels.iter().zip(area.split_evenly((1, 3))) {
            let points = points(rows, *of);
            if points.is_empty() {
                continue;
            }
            let most = points.iter().map(|p| p.1).fold(1.0, f64::max) * 1.2;
            let (first, last) = (points[0].0, points[points.len() - 1].0);
            let mut chart = ChartBuilder::on(&area)
                .caption(format!("CPU a txn, by {name}"), ("sans-serif", 16))
                .margin(10)
                .x_label_area_size(36)
                .y_label_area_size(48)
                .build_cartesian_2d((first * 0.8..last * 1.25).log_scale(), 0.0..most)?;
            chart.configure_mesh().x_desc(*name).y_desc("microseconds").x_labels(5).draw()?;
            chart.draw_series(LineSeries::new(points.clone(), &BLACK))?;
            chart.draw_series(points.iter().map(|p| Circle::new(*p, 4, BLACK.filled())))?;
        }
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("{}: {e}", file.display()))
}
