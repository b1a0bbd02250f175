//! A small logger: one line each on standard error, with Unix time; a place that logs too often is cut short.

use crate::clock::Clock;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Mutex;

/// Lines that one place in the code may log in so many seconds.
const MOST: u32 = 3;
const SECONDS: u64 = 5;

#[derive(Default)]
pub struct Logger {
    /// By place: the stretch of seconds, and the lines in it.
    said: Mutex<BTreeMap<(String, u32), (u64, u32)>>,
}

impl Logger {
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

    pub fn install(level: log::LevelFilter) {
        if log::set_boxed_logger(Box::new(Logger::default())).is_ok() {
            log::set_max_level(level);
        }
    }
}

impl log::Log for Logger {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let at = Clock::unix();
        let place = (record.file().unwrap_or_default(), record.line().unwrap_or_default());
        let Some(left_out) = self.admits(place.0, place.1, at.as_secs() / SECONDS) else { return };
        let more = if left_out > 0 { format!(" ({left_out} like it left out)") } else { String::new() };
        let level = record.level().as_str().to_lowercase();
        let line = format!("{}.{:03} {level} {}{more}\n", at.as_secs(), at.subsec_millis(), record.args());
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}
