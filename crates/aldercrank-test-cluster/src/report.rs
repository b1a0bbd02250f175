//! The report of a run: a self-contained HTML page with figures, and plots over time on which bands mark faults.

use crate::edge_nodes::RequestEnd;
use crate::run_record::{Outcome, Second};
use minijinja::{context, Environment};
use plotters::prelude::*;
use serde::Serialize;

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (860, 240);
/// The upper end of the vertical axis, as a multiple of the highest value.
const HEADROOM: f64 = 1.08;

/// Colour and width of the lines in a plot. Their widths distinguish them in black-and-white print.
const LINE_STYLES: [(RGBColor, u32); 4] = [
    (RGBColor(0, 60, 120), 3),
    (RGBColor(215, 120, 0), 2),
    (RGBColor(60, 150, 90), 1),
    (RGBColor(150, 150, 150), 4),
];

/// The minijinja template of the page.
const PAGE: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ o.scenario }}</title><style>
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 900px; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .8em; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left } h2 { margin: 1.6em 0 .2em } .bad { color: #a00 }
figure { margin: 0 } figcaption { color: #555; font-size: 13px }
</style></head><body>
<h1>{{ o.scenario }}</h1>
<p>{{ o.servers }} servers, {{ o.span_s }} s, seed {{ o.seed }}.
{% if o.counts.broken == 0 %}No invariant was violated.{% else %}<b class="bad">{{ o.counts.broken }} violations of invariants.</b>{% endif %}</p>
<table><tr><th></th><th>this run</th>{% if fault_free %}<th>without faults</th>{% endif %}</tr>
{% for row in rows %}<tr><td>{{ row.name }}</td><td>{{ row.value }}</td>{% if fault_free %}<td>{{ row.fault_free }}</td>{% endif %}</tr>
{% endfor %}</table>
{% if o.broken %}<h2>Violations</h2><table><tr><th>invariant</th><th>time, s</th><th>server</th><th>attempt</th><th>description</th></tr>
{% for b in o.broken %}<tr><td>{{ b.rule }}</td><td>{{ b.at }}</td><td>{{ b.server or "" }}</td><td>{{ b.attempt or "" }}</td><td>{{ b.what }}</td></tr>
{% endfor %}</table>{% endif %}
{% for plot in plots %}<h2>{{ plot.title }}</h2><figure>{{ plot.svg|safe }}<figcaption>{{ plot.caption }}</figcaption></figure>
{% endfor %}
<h2>Faults</h2><table><tr><th>fault</th><th>start, s</th><th>end, s</th></tr>
{% for f in o.faults %}<tr><td>{{ f[2] }}</td><td>{{ f[0]|round(2) }}</td><td>{{ f[1]|round(2) }}</td></tr>
{% endfor %}</table>
<p>The servers are processes of the program on loopback; callers, edge nodes, worker pools, index and membership service
are stubs of the test cluster. Requests are counted in the second in which they arrived.</p>
</body></html>
"#;

/// An error in the creation of a report.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A plot could not be drawn.
    #[error("could not draw a plot: {0}")]
    Plot(String),
    /// The page could not be rendered.
    #[error("could not render the page: {0}")]
    Page(#[from] minijinja::Error),
}

fn plot_error(error: impl std::fmt::Display) -> ReportError {
    ReportError::Plot(error.to_string())
}

/// One line of a plot.
struct Series<'a> {
    name: String,
    value: Box<dyn Fn(&Second) -> f64 + 'a>,
}

impl<'a> Series<'a> {
    fn new(name: &str, value: impl Fn(&Second) -> f64 + 'a) -> Series<'a> {
        Series { name: name.to_string(), value: Box::new(value) }
    }

    /// The number of requests that ended in any of these ways.
    fn ended(name: &str, ends: &'static [RequestEnd]) -> Series<'a> {
        Series::new(name, move |second| {
            ends.iter().map(|end| second.ends.get(end).copied().unwrap_or(0) as f64).sum()
        })
    }
}

/// The contents of a plot.
struct PlotSpec<'a> {
    title: &'static str,
    caption: &'static str,
    unit: &'static str,
    series: Vec<Series<'a>>,
}

/// A rendered plot.
#[derive(Serialize)]
struct Plot {
    title: &'static str,
    caption: &'static str,
    svg: String,
}

/// A row of the table of figures.
#[derive(Serialize)]
struct Row {
    name: String,
    value: String,
    /// The value in the run without faults; empty if there was no such run.
    fault_free: String,
}

/// Draws the series over time as an SVG image, with bands behind the lines where a fault was in effect.
fn render_plot(outcome: &Outcome, spec: &PlotSpec) -> Result<String, ReportError> {
    let mut svg = String::new();
    // The seconds after the callers have stopped, in which the cluster shuts down, are not shown.
    let shown = &outcome.seconds[..outcome.seconds.len().min(outcome.span_s.ceil() as usize)];
    let seconds = shown.len().max(1) as f64;
    let values = shown.iter().flat_map(|second| spec.series.iter().map(move |series| (series.value)(second)));
    let highest = values.fold(1e-9, f64::max);
    let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(plot_error)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..seconds, 0.0..highest * HEADROOM)
        .map_err(plot_error)?;
    let bands = outcome.faults.iter().map(|(from, until, _)| {
        Rectangle::new(
            [(*from, 0.0), (until.min(seconds), highest * HEADROOM)],
            RGBColor(235, 225, 200).mix(0.5).filled(),
        )
    });
    chart.draw_series(bands).map_err(plot_error)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the callers started")
        .y_desc(spec.unit)
        .y_labels(6)
        .x_label_formatter(&|x: &f64| format!("{x:.0}"))
        .y_label_formatter(&|y: &f64| if highest < 5.0 { format!("{y:.1}") } else { format!("{y:.0}") })
        .light_line_style(WHITE.mix(0.0))
        .draw()
        .map_err(plot_error)?;
    for (index, series) in spec.series.iter().enumerate() {
        let (color, width) = LINE_STYLES[index % LINE_STYLES.len()];
        let style = color.stroke_width(width);
        let points =
            shown.iter().enumerate().map(|(index, second)| (index as f64 + 0.5, (series.value)(second)));
        let line = chart.draw_series(LineSeries::new(points, style)).map_err(plot_error)?;
        line.label(&series.name).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.2))
        .draw()
        .map_err(plot_error)?;
    area.present().map_err(plot_error)?;
    drop(chart);
    drop(area);
    Ok(svg)
}

fn value_by_class(outcome: &Outcome) -> Vec<Series<'_>> {
    let classes = outcome.classes.iter().enumerate();
    let series = classes.map(|(class, (name, _))| {
        Series::new(name, move |second| {
            if second.sought[class] > 0.0 {
                second.got[class] / second.sought[class]
            } else {
                0.0
            }
        })
    });
    series.collect()
}

fn plot_specs(outcome: &Outcome) -> Vec<PlotSpec<'_>> {
    vec![
        PlotSpec {
            title: "Value by request class",
            caption: "Value obtained, as a share of the value of all requests. Bands mark faults in effect.",
            unit: "share",
            series: value_by_class(outcome),
        },
        PlotSpec {
            title: "Outcome of requests",
            caption: "By the second in which they arrived.",
            unit: "requests per second",
            series: vec![
                Series::ended("completed in time", &[RequestEnd::InTime]),
                Series::ended("completed late", &[RequestEnd::Late]),
                Series::ended("rejected", &[RequestEnd::Rejected]),
                Series::ended("failed or no response", &[RequestEnd::Failed, RequestEnd::Expired]),
            ],
        },
        PlotSpec {
            title: "Load on the membership service",
            caption: "Load reports that were received in full.",
            unit: "reports per second",
            series: vec![
                Series::new("reports", |second| second.reports as f64),
                Series::new("of them rejected", |second| second.rejected_reports as f64),
            ],
        },
        PlotSpec {
            title: "Calls to the index",
            caption: "Total of all servers.",
            unit: "calls per second",
            series: vec![Series::new("calls", |second| second.calls as f64)],
        },
        PlotSpec {
            title: "Outstanding calls at the index",
            caption: "Mean over each second, total of all servers.",
            unit: "calls",
            series: vec![Series::new("outstanding calls", |second| second.outstanding_calls)],
        },
        PlotSpec {
            title: "Servers",
            caption: "At the end of each second.",
            unit: "servers",
            series: vec![
                Series::new("running", |second| second.up as f64),
                Series::new("listed", |second| second.listed as f64),
            ],
        },
    ]
}

fn rows(outcome: &Outcome, fault_free: Option<&Outcome>) -> Vec<Row> {
    let row = |name: &str, figure: &dyn Fn(&Outcome) -> String| Row {
        name: name.to_string(),
        value: figure(outcome),
        fault_free: fault_free.map(figure).unwrap_or_default(),
    };
    let mut rows = vec![row("value obtained, share of all requests", &|o| format!("{:.3}", o.value))];
    for (class, (name, _)) in outcome.classes.iter().enumerate() {
        rows.push(row(name, &|o| format!("{:.3}", o.classes[class].1)));
    }
    rows.extend([
        row("response time of completed requests, median, ms", &|o| format!("{:.1}", o.p50_ms)),
        row("response time of completed requests, 99th percentile, ms", &|o| format!("{:.1}", o.p99_ms)),
        row("attempts", &|o| o.counts.attempts.to_string()),
        row("runs", &|o| o.counts.runs.to_string()),
        row("runs of requests that had run on another server or incarnation", &|o| {
            o.counts.across.to_string()
        }),
        row("outstanding calls at the index, peak", &|o| o.index_most.to_string()),
        row("memory of a server, peak, KB", &|o| o.memory_kb.to_string()),
    ]);
    rows
}

/// Renders the report of a run, compared with the run of the same seed without faults if there is one.
///
/// # Errors
/// Returns an error if a plot can't be drawn or the page can't be rendered.
pub fn html(outcome: &Outcome, fault_free: Option<&Outcome>) -> Result<String, ReportError> {
    let mut page = Environment::new();
    page.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    page.add_template("run", PAGE)?;
    let template = page.get_template("run")?;
    let plots = plot_specs(outcome)
        .into_iter()
        .map(|spec| Ok(Plot { title: spec.title, caption: spec.caption, svg: render_plot(outcome, &spec)? }))
        .collect::<Result<Vec<Plot>, ReportError>>()?;
    Ok(template.render(context! { o => outcome, fault_free, rows => rows(outcome, fault_free), plots })?)
}
