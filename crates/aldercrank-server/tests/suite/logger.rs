//! The log: its rate limit, its two formats, and the request log.

use aldercrank_server::logger::{LineLimiter, LogOptions, LogWriter, Logger};

#[test]
fn log_lines_are_limited_by_source_location() {
    let limiter = LineLimiter::default();
    let admitted = (0..50).filter(|_| limiter.admit("a", 1, 7).is_some()).count();
    assert!((1..50).contains(&admitted));
    assert_eq!(limiter.admit("a", 2, 7), Some(0));
    assert_eq!(limiter.admit("a", 1, 8), Some(50 - admitted as u32), "returns how many were suppressed");
}

/// Returns the lines that a few events write to the log under these options.
fn logged(options: LogOptions) -> String {
    use tracing_subscriber::layer::SubscriberExt;
    let lines = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let written = lines.clone();
    let sink = Box::new(move |line: &[u8]| written.lock().unwrap().extend_from_slice(line));
    let logger = Logger(std::sync::Arc::new(LogWriter::new(options, sink)));
    logger.0.configure("n7", false);
    let subscriber = tracing_subscriber::registry().with(logger);
    tracing::subscriber::with_default(subscriber, || {
        tracing::warn!(target: "aldercrank::a", status = 503u16, reason = "two\nlines", "call {}", "failed");
        tracing::debug!(target: "aldercrank::a", "debug event");
        tracing::info!(target: "calloop", "event of another crate");
        for _ in 0..9 {
            tracing::debug!(target: "aldercrank::request", attempt = "0a", "request event");
        }
    });
    let all = lines.lock().unwrap().clone();
    String::from_utf8(all).unwrap()
}

#[test]
fn the_log_is_text_or_json_and_has_request_events_only_if_enabled() {
    let log = logged(LogOptions::default());
    let (at, line) = log.split_once(' ').unwrap();
    assert!(at.parse::<f64>().unwrap() > 1e9);
    assert_eq!(line, "warn call failed status=503 reason=\"two\\nlines\"\n", "an event is one line");
    let log = logged(LogOptions { verbose: true, json: true, requests: true });
    let lines: Vec<serde_json::Value> = log.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 11, "request events are not rate-limited: {log}");
    assert_eq!((&lines[0]["status"], &lines[0]["server"]), (&503.into(), &"n7".into()));
    assert_eq!((&lines[1]["said"], &lines[10]["attempt"]), (&"debug event".into(), &"0a".into()));
}
