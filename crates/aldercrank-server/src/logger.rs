//! The program's log: events of `tracing`, one line each on standard error, as text or as JSON.
//!
//! Lines are rate-limited by source location, except those of the request log, which is off by default.
//! Bodies and idempotency keys are never logged.

use crate::clock::Clock;
use serde_json::{Map, Value};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write as _};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::subscriber::Interest;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::Registry;

/// The maximum number of lines that one source location may log in an interval.
const MAX_LINES_PER_INTERVAL: u32 = 3;
const INTERVAL_SECONDS: u64 = 5;
/// The target of the request log, which has the events of single requests.
pub const REQUEST_LOG_TARGET: &str = "aldercrank::request";
/// The prefix of this program's targets; events of other crates are not logged.
const TARGET_PREFIX: &str = "aldercrank";

/// What is logged, and in which form.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogOptions {
    /// Whether events of level debug are logged.
    pub verbose: bool,
    /// Whether each line is a JSON document instead of text.
    pub json: bool,
    /// Whether the request log is on.
    pub requests: bool,
}

#[derive(Clone, Copy)]
struct LineCount {
    interval: u64,
    lines: u32,
}

/// Limits the rate of log lines by source location.
#[derive(Default)]
pub struct LineLimiter {
    /// By file name and line number.
    counts: Mutex<BTreeMap<(String, u32), LineCount>>,
}

impl LineLimiter {
    /// Counts a line that this source location logs in this interval. Returns none if the line must be suppressed,
    /// otherwise how many lines were suppressed in the location's previous interval if this is the first line since.
    pub fn admit(&self, file: &str, line: u32, interval: u64) -> Option<u32> {
        let Ok(mut counts) = self.counts.lock() else { return None };
        let new = LineCount { interval, lines: 0 };
        let count = counts.entry((file.to_string(), line)).or_insert(new);
        let mut suppressed = 0;
        if count.interval != interval {
            suppressed = count.lines.saturating_sub(MAX_LINES_PER_INTERVAL);
            *count = new;
        }
        count.lines += 1;
        (count.lines <= MAX_LINES_PER_INTERVAL).then_some(suppressed)
    }
}

/// An event's message and its fields, in their order.
#[derive(Default)]
struct EventFields {
    message: String,
    fields: Vec<(&'static str, Value)>,
}

impl EventFields {
    fn record_value(&mut self, field: &Field, value: Value) {
        match (field.name(), value) {
            ("message", Value::String(message)) => self.message = message,
            (name, value) => self.fields.push((name, value)),
        }
    }
}

impl Visit for EventFields {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.record_value(field, value.into());
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.record_value(field, value.into());
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.record_value(field, value.into());
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.record_value(field, value.into());
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.record_value(field, value.into());
    }
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.record_value(field, format!("{value:?}").into());
    }
}

fn text_line(at: Duration, level: &Level, event: &EventFields) -> String {
    let level = level.as_str().to_lowercase();
    let mut line = format!("{}.{:03} {level} {}", at.as_secs(), at.subsec_millis(), event.message);
    for (name, value) in &event.fields {
        let _ = match value {
            // Anything but printable ASCII without spaces and quotes is quoted and escaped, so that an event stays on
            // one line.
            Value::String(text) if text.chars().all(|c| c.is_ascii_graphic() && c != '"') => {
                write!(line, " {name}={text}")
            }
            other => write!(line, " {name}={other}"),
        };
    }
    line
}

fn json_line(at: Duration, level: &Level, server: &str, event: EventFields) -> String {
    let mut document = Map::new();
    document.insert("at".into(), (at.as_micros() as f64 / 1e6).into());
    document.insert("level".into(), level.as_str().to_lowercase().into());
    document.insert("server".into(), server.into());
    document.insert("said".into(), event.message.into());
    document.extend(event.fields.into_iter().map(|(name, value)| (name.to_string(), value)));
    Value::Object(document).to_string()
}

/// Where lines go: standard error, except in tests.
type Sink = Box<dyn Fn(&[u8]) + Send + Sync>;

/// Formats and limits log lines, and writes them.
pub struct LogWriter {
    options: LogOptions,
    json: AtomicBool,
    limiter: LineLimiter,
    server: OnceLock<String>,
    sink: Sink,
}

impl LogWriter {
    /// Creates a writer that passes each line, with its line feed, to `sink`.
    pub fn new(options: LogOptions, sink: Sink) -> LogWriter {
        let json = AtomicBool::new(options.json);
        LogWriter { options, json, limiter: LineLimiter::default(), server: OnceLock::new(), sink }
    }

    /// Sets the server's name, which is part of each JSON line, and switches to JSON if `json` is set.
    pub fn configure(&self, name: &str, json: bool) {
        let _ = self.server.set(name.to_string());
        self.json.fetch_or(json, Ordering::Relaxed);
    }

    fn is_logged(&self, metadata: &Metadata) -> bool {
        match metadata.target() {
            REQUEST_LOG_TARGET => self.options.requests,
            target => target.starts_with(TARGET_PREFIX) && *metadata.level() <= self.max_level(),
        }
    }

    fn max_level(&self) -> Level {
        if self.options.verbose {
            Level::DEBUG
        } else {
            Level::INFO
        }
    }

    fn write(&self, at: Duration, event: &Event) {
        let metadata = event.metadata();
        let suppressed = if metadata.target() == REQUEST_LOG_TARGET {
            Some(0)
        } else {
            let (file, line) = (metadata.file().unwrap_or_default(), metadata.line().unwrap_or_default());
            self.limiter.admit(file, line, at.as_secs() / INTERVAL_SECONDS)
        };
        let Some(suppressed) = suppressed else { return };
        let mut recorded = EventFields::default();
        event.record(&mut recorded);
        if suppressed > 0 {
            recorded.fields.push(("left_out", suppressed.into()));
        }
        let server = self.server.get().map_or("", String::as_str);
        let mut line = if self.json.load(Ordering::Relaxed) {
            json_line(at, metadata.level(), server, recorded)
        } else {
            text_line(at, metadata.level(), &recorded)
        };
        line.push('\n');
        (self.sink)(line.as_bytes());
    }
}

/// The log as a layer of `tracing`, shared by the registry and the program.
#[derive(Clone)]
pub struct Logger(pub Arc<LogWriter>);

impl Logger {
    /// Installs the log on standard error for the whole process.
    pub fn install(options: LogOptions) -> Logger {
        let sink = |line: &[u8]| {
            let _ = std::io::stderr().write_all(line);
        };
        let logger = Logger(Arc::new(LogWriter::new(options, Box::new(sink))));
        let _ = tracing::subscriber::set_global_default(Registry::default().with(logger.clone()));
        logger
    }
}

impl<S: Subscriber> Layer<S> for Logger {
    /// Decides once per call site, so that a disabled event costs only the test of a flag.
    fn register_callsite(&self, metadata: &'static Metadata<'static>) -> Interest {
        if self.0.is_logged(metadata) {
            Interest::always()
        } else {
            Interest::never()
        }
    }

    fn enabled(&self, metadata: &Metadata, _: Context<S>) -> bool {
        self.0.is_logged(metadata)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        let max_level = if self.0.options.requests { Level::DEBUG } else { self.0.max_level() };
        Some(LevelFilter::from_level(max_level))
    }

    fn on_event(&self, event: &Event, _: Context<S>) {
        self.0.write(Clock::unix_time(), event);
    }
}
