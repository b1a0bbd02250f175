//! Every action as it is written for the simulator, with its fields at their edges.

use aldercrank::{Host, RequestId};
use aldercrank_simulator_adapter::ActionBuffer;
use std::fmt::Write;
use std::time::Duration;

const SPANS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_nanos(1_999),
    Duration::from_micros(250_000),
    Duration::from_secs(3_600),
    Duration::MAX,
];

/// Writes one line for each encoded action.
fn record(text: &mut String, title: &str, act: impl FnOnce(&mut ActionBuffer)) {
    let mut buffer = ActionBuffer::default();
    act(&mut buffer);
    let _ = writeln!(text, "# {title}");
    buffer.0.iter().for_each(|action| {
        let _ = writeln!(text, "{action}");
    });
    text.push('\n');
}

fn requests(text: &mut String) {
    let ids = [RequestId(0), RequestId(1_564_119_492), RequestId(u32::MAX)];
    record(text, "Process", |buffer| ids.into_iter().for_each(|id| buffer.start_run(id)));
    record(text, "Stop", |buffer| ids.into_iter().for_each(|id| buffer.stop_run(id)));
    record(text, "EndFailed", |buffer| ids.into_iter().for_each(|id| buffer.fail(id)));
    record(text, "Erase", |buffer| ids.into_iter().for_each(|id| buffer.forget(id)));
    record(text, "Join", |buffer| ids.into_iter().for_each(|id| buffer.join_original(id)));
    record(text, "Skip", |buffer| ids.into_iter().for_each(|id| buffer.skip_call(id)));
    let id = RequestId(7);
    record(text, "SayNo without advice", |buffer| buffer.reject(id, None, false));
    record(text, "SayNo that is the last", |buffer| buffer.reject(id, None, true));
    record(text, "SayNo with hold_off", |buffer| {
        SPANS.into_iter().for_each(|s| buffer.reject(id, Some(s), false))
    });
    record(text, "SayNo with both", |buffer| buffer.reject(id, Some(SPANS[2]), true));
    record(text, "Remember", |buffer| SPANS.into_iter().for_each(|s| buffer.remember(id, s)));
    record(text, "Dial", |buffer| SPANS.into_iter().for_each(|s| buffer.start_call(id, s)));
}

fn instance(text: &mut String) {
    let flags = [(false, false), (false, true), (true, false), (true, true)];
    record(text, "Fitness", |buffer| {
        flags.into_iter().for_each(|(good, stored)| buffer.set_health(good, stored))
    });
    record(text, "CloseIdle", |buffer| SPANS.into_iter().for_each(|s| buffer.close_idle(s)));
    let values = [0.0, 0.05, 0.1 + 0.2, 1.0, 12.0, 1e21, 1e-7, -1.0, f64::NAN, f64::INFINITY];
    record(text, "Say", |buffer| values.into_iter().for_each(|v| buffer.set_load_hint(v)));
    record(text, "Remind", |buffer| SPANS.into_iter().for_each(|s| buffer.set_timer(s)));
    let log_lines =
        ["", "two servers known", "a \"quote\", a \\, a tab\t, a line\nend, \u{1}, \u{fc}, \u{1f600}"];
    record(text, "WriteLog", |buffer| log_lines.into_iter().for_each(|line| buffer.log(line)));
}

pub fn text() -> String {
    let mut text = String::new();
    requests(&mut text);
    instance(&mut text);
    text
}
