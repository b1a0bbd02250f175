//! A run as one self-contained page: figures, and plots over time with the faults as bands.

use crate::run_record::{Outcome, Second};
use minijinja::{context, Environment};
use plotters::prelude::*;

const SIZE: (u32, u32) = (860, 240);

/// Lines told apart in grey as well: by how dark they are, and by their width.
const INKS: [(RGBColor, u32); 4] = [
    (RGBColor(0, 60, 120), 3),
    (RGBColor(215, 120, 0), 2),
    (RGBColor(60, 150, 90), 1),
    (RGBColor(150, 150, 150), 4),
];

const PAGE: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ o.scenario }}</title><style>
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 900px; color: #222 }
table { border-collapse: collapse; margin: 1em 0 } td, th { padding: .2em .8em; text-align: right; border-bottom: 1px solid #ddd }
td:first-child, th:first-child { text-align: left } h2 { margin: 1.6em 0 .2em } .bad { color: #a00 }
figure { margin: 0 } figcaption { color: #555; font-size: 13px }
</style></head><body>
<h1>{{ o.scenario }}</h1>
<p>{{ o.servers }} servers, {{ o.span_s }} s, seed {{ o.seed }}.
{% if o.counts.broken == 0 %}No rule was broken.{% else %}<b class="bad">{{ o.counts.broken }} times a rule was broken.</b>{% endif %}</p>
<table><tr><th></th><th>this run</th>{% if calm %}<th>without faults</th>{% endif %}</tr>
{% for row in rows %}<tr><td>{{ row[0] }}</td><td>{{ row[1] }}</td>{% if calm %}<td>{{ row[2] }}</td>{% endif %}</tr>
{% endfor %}</table>
{% if o.broken %}<h2>Rules broken</h2><table><tr><th>rule</th><th>at, s</th><th>server</th><th>txn</th><th>what</th></tr>
{% for b in o.broken %}<tr><td>{{ b.rule }}</td><td>{{ b.at }}</td><td>{{ b.server or "" }}</td><td>{{ b.attempt or "" }}</td><td>{{ b.what }}</td></tr>
{% endfor %}</table>{% endif %}
{% for plot in plots %}<h2>{{ plot[0] }}</h2><figure>{{ plot[2]|safe }}<figcaption>{{ plot[1] }}</figcaption></figure>
{% endfor %}
<h2>What went wrong</h2><table><tr><th>what</th><th>from, s</th><th>until, s</th></tr>
{% for f in o.faults %}<tr><td>{{ f[2] }}</td><td>{{ f[0]|round(2) }}</td><td>{{ f[1]|round(2) }}</td></tr>
{% endfor %}</table>
<p>The servers are processes of the program on loopback; callers, edge nodes, worker pools, index and list service are
the laboratory's stand-ins. A txn counts in the second in which its caller came.</p>
</body></html>
"#;

type Series<'a> = (String, Box<dyn Fn(&Second) -> f64 + 'a>);

/// One plot over the seconds, with the faults as bands behind the lines.
fn plot(o: &Outcome, unit: &str, series: &[Series]) -> Result<String, String> {
    let mut svg = String::new();
    // What comes after the callers is the fleet's end.
    let shown = &o.seconds[..o.seconds.len().min(o.span_s.ceil() as usize)];
    let seconds = shown.len().max(1) as f64;
    let most = shown.iter().flat_map(|s| series.iter().map(move |(_, of)| of(s))).fold(1e-9, f64::max);
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..seconds, 0.0..most * 1.08)
            .map_err(|e| e.to_string())?;
        let bands = o.faults.iter().map(|(from, until, _)| {
            Rectangle::new(
                [(*from, 0.0), (until.min(seconds), most * 1.08)],
                RGBColor(235, 225, 200).mix(0.5).filled(),
            )
        });
        chart.draw_series(bands).map_err(|e| e.to_string())?;
        let whole = |x: &f64| format!("{x:.0}");
        let fine = |y: &f64| if most < 5.0 { format!("{y:.1}") } else { format!("{y:.0}") };
        chart
            .configure_mesh()
            .x_desc("seconds since the callers came")
            .y_desc(unit)
            .y_labels(6)
            .x_label_formatter(&whole)
            .y_label_formatter(&fine)
            .light_line_style(WHITE.mix(0.0))
            .draw()
            .map_err(|e| e.to_string())?;
        for (n, (name, of)) in series.iter().enumerate() {
            let (ink, width) = INKS[n % INKS.len()];
            let style = ink.stroke_width(width);
            let points = shown.iter().enumerate().map(|(at, s)| (at as f64 + 0.5, of(s)));
            let line = LineSeries::new(points, style);
            let drawn = chart.draw_series(line).map_err(|e| e.to_string())?;
            drawn.label(name).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()
            .map_err(|e| e.to_string())?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

fn plots(o: &Outcome) -> Result<Vec<(String, String, String)>, String> {
    let by_class: Vec<Series> = o
        .classes
        .iter()
        .enumerate()
        .map(|(n, (name, _))| -> Series {
            let of = move |s: &Second| if s.sought[n] > 0.0 { s.got[n] / s.sought[n] } else { 0.0 };
            (name.clone(), Box::new(of))
        })
        .collect();
    use crate::edge_nodes::RequestEnd::*;
    let ended = |name: &str, kinds: &'static [crate::edge_nodes::RequestEnd]| -> Series<'static> {
        let of = |s: &Second| kinds.iter().map(|k| s.ends.get(k).copied().unwrap_or(0) as f64).sum();
        (name.to_string(), Box::new(of))
    };
    let ends = vec![
        ended("settled in time", &[InTime]),
        ended("settled late", &[Late]),
        ended("declined", &[Rejected]),
        ended("voided or no answer", &[Failed, Expired]),
    ];
    let of = |name: &str, of: fn(&Second) -> f64| -> Series<'static> { (name.to_string(), Box::new(of)) };
    let list = vec![of("reports", |s| s.reports as f64), of("of them refused", |s| s.refused_reports as f64)];
    let in_hand = vec![of("calls in hand", |s| s.in_hand)];
    let made = vec![of("calls made", |s| s.calls as f64)];
    let servers = vec![of("running", |s| s.up as f64), of("listed", |s| s.listed as f64)];
    let text = |a: &str, b: &str| (a.to_string(), b.to_string());
    let rows: [((String, String), &str, &[Series]); 6] = [
        (
            text("Value by product", "Value got of value sought, 1 is all. Bands: a fault lasts."),
            "share",
            &by_class,
        ),
        (text("How txns ended", "By the second in which their callers came."), "txns a second", &ends),
        (text("Load on the list service", "Reports that came whole."), "reports a second", &list),
        (text("Calls made to the index", "Of all servers together."), "calls a second", &made),
        (text("Calls in hand at the index", "On average, of all servers together."), "calls", &in_hand),
        (text("Servers", "At the end of each second."), "servers", &servers),
    ];
    rows.into_iter().map(|((title, what), unit, series)| Ok((title, what, plot(o, unit, series)?))).collect()
}

pub fn html(o: &Outcome, calm: Option<&Outcome>) -> Result<String, String> {
    let row = |name: &str, of: &dyn Fn(&Outcome) -> String| {
        [name.to_string(), of(o), calm.map(of).unwrap_or_default()]
    };
    let mut rows = vec![row("value got of value sought", &|o| format!("{:.3}", o.value))];
    for (n, (name, _)) in o.classes.iter().enumerate() {
        rows.push(row(name, &|o| format!("{:.3}", o.classes[n].1)));
    }
    rows.extend([
        row("settled, median, ms", &|o| format!("{:.1}", o.p50_ms)),
        row("settled, 99th percentile, ms", &|o| format!("{:.1}", o.p99_ms)),
        row("tries", &|o| o.counts.attempts.to_string()),
        row("runs", &|o| o.counts.runs.to_string()),
        row("runs of one txn in several lives", &|o| o.counts.across.to_string()),
        row("most calls in hand at the index", &|o| o.index_most.to_string()),
        row("most memory of a server, KB", &|o| o.memory_kb.to_string()),
    ]);
    let mut page = Environment::new();
    page.set_auto_escape_callback(|_| minijinja::AutoEscape::Html);
    page.add_template("run", PAGE).map_err(|e| e.to_string())?;
    let template = page.get_template("run").map_err(|e| e.to_string())?;
    let plots = plots(o)?;
    template.render(context! { o, calm, rows, plots }).map_err(|e| e.to_string())
}
