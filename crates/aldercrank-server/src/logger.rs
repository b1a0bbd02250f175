//! The program's log: events of `tracing`, one line each on standard error, as text for people or as JSON for
//! programs. A place that logs too often is cut short, but for what is told of each txn, which is off unless it is
//! asked for. No body and no token is ever a field.

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

/// Lines that one place in the code may log in so many seconds.
const MOST: u32 = 3;
const SECONDS: u64 = 5;
/// What is told of each txn, under this target.
pub const REQUEST_LOG_TARGET: &str = "aldercrank::request";
/// Others' events are not ours to log.
const OURS: &str = "aldercrank";

/// What is logged, and how.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogOptions {
    pub verbose: bool,
    /// A JSON document a line, in place of text.
    pub json: bool,
    /// Each txn's way through the server.
    pub requests: bool,
}

/// Which places have logged how much of late.
#[derive(Default)]
pub struct Bound {
    /// By place: the stretch of seconds, and the lines in it.
    said: Mutex<BTreeMap<(String, u32), (u64, u32)>>,
}

impl Bound {
    /// Whether one more line from this place is written in this stretch; and how many were not, before it.
    pub fn admits(&self, file: &str, line: u32, stretch: u64) -> Option<u32> {
        let Ok(mut said) = self.said.lock() else { return None };
        let (at, count) = said.entry((file.to_string(), line)).or_insert((stretch, 0));
        let left_out = if *at == stretch { 0 } else { count.saturating_sub(MOST) };
        if *at != stretch {
            (*at, *count) = (stretch, 0);
        }
        *count += 1;
        (*count <= MOST).then_some(left_out)
    }
}

/// An event's words and fields, in their order.
#[derive(Default)]
struct Said {
    words: String,
    fields: Vec<(&'static str, Value)>,
}

impl Said {
    fn field(&mut self, field: &Field, value: Value) {
        match (field.name(), value) {
            ("message", Value::String(words)) => self.words = words,
            (name, value) => self.fields.push((name, value)),
        }
    }
}

impl Visit for Said {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.field(field, value.into());
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.field(field, value.into());
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.field(field, value.into());
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.field(field, value.into());
    }
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.field(field, value.into());
    }
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.field(field, format!("{value:?}").into());
    }
}

fn text(at: Duration, level: &Level, said: &Said) -> String {
    let level = level.as_str().to_lowercase();
    let mut line = format!("{}.{:03} {level} {}", at.as_secs(), at.subsec_millis(), said.words);
    for (name, value) in &said.fields {
        let _ = match value {
            // A plain word stands as it is; what has spaces or line ends in it is quoted, so that a line stays one.
            Value::String(word) if word.chars().all(|c| c.is_ascii_graphic() && c != '"') => {
                write!(line, " {name}={word}")
            }
            other => write!(line, " {name}={other}"),
        };
    }
    line
}

fn json(at: Duration, level: &Level, server: &str, said: Said) -> String {
    let mut all = Map::new();
    all.insert("at".into(), (at.as_micros() as f64 / 1e6).into());
    all.insert("level".into(), level.as_str().to_lowercase().into());
    all.insert("server".into(), server.into());
    all.insert("said".into(), said.words.into());
    all.extend(said.fields.into_iter().map(|(name, value)| (name.to_string(), value)));
    Value::Object(all).to_string()
}

/// Where lines go; standard error, but for tests.
type Sink = Box<dyn Fn(&[u8]) + Send + Sync>;

pub struct Lines {
    wish: LogOptions,
    json: AtomicBool,
    bound: Bound,
    server: OnceLock<String>,
    sink: Sink,
}

impl Lines {
    pub fn new(wish: LogOptions, sink: Sink) -> Lines {
        let json = AtomicBool::new(wish.json);
        Lines { wish, json, bound: Bound::default(), server: OnceLock::new(), sink }
    }

    /// The server's name, which each JSON line carries; and whether the service file asks for JSON.
    pub fn called(&self, name: &str, json: bool) {
        let _ = self.server.set(name.to_string());
        self.json.fetch_or(json, Ordering::Relaxed);
    }

    fn wanted(&self, of: &Metadata) -> bool {
        match of.target() {
            REQUEST_LOG_TARGET => self.wish.requests,
            target => target.starts_with(OURS) && *of.level() <= self.most(),
        }
    }

    fn most(&self) -> Level {
        if self.wish.verbose {
            Level::DEBUG
        } else {
            Level::INFO
        }
    }

    fn line(&self, at: Duration, event: &Event) {
        let of = event.metadata();
        let place = (of.file().unwrap_or_default(), of.line().unwrap_or_default());
        let bounded = of.target() != REQUEST_LOG_TARGET;
        let stretch = at.as_secs() / SECONDS;
        let left_out = if bounded { self.bound.admits(place.0, place.1, stretch) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        let mut said = Said::default();
        event.record(&mut said);
        if left_out > 0 {
            said.fields.push(("left_out", left_out.into()));
        }
        let server = self.server.get().map_or("", String::as_str);
        let mut line = match self.json.load(Ordering::Relaxed) {
            true => json(at, of.level(), server, said),
            false => text(at, of.level(), &said),
        };
        line.push('\n');
        (self.sink)(line.as_bytes());
    }
}

/// The lines, as a layer that the registry and the program both hold.
#[derive(Clone)]
pub struct Logger(pub Arc<Lines>);

impl Logger {
    /// From here on all of this process is logged so.
    pub fn install(wish: LogOptions) -> Logger {
        let sink = |line: &[u8]| {
            let _ = std::io::stderr().write_all(line);
        };
        let logger = Logger(Arc::new(Lines::new(wish, Box::new(sink))));
        let _ = tracing::subscriber::set_global_default(Registry::default().with(logger.clone()));
        logger
    }
}

impl<S: Subscriber> Layer<S> for Logger {
    /// What is not wanted costs a look at a flag.
    fn register_callsite(&self, of: &'static Metadata<'static>) -> Interest {
        if self.0.wanted(of) {
            Interest::always()
        } else {
            Interest::never()
        }
    }

    fn enabled(&self, of: &Metadata, _: Context<S>) -> bool {
        self.0.wanted(of)
    }

    fn max_level_hint(&self) -> Option<LevelFilter> {
        let most = if self.0.wish.requests { Level::DEBUG } else { self.0.most() };
        Some(LevelFilter::from_level(most))
    }

    fn on_event(&self, event: &Event, _: Context<S>) {
        self.0.line(Clock::unix(), event);
    }
}
