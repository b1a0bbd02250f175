//! Every action as it is encoded for the simulator, with boundary values of its fields.

use aldercrank::{Host, RequestId};
use aldercrank_simulator_adapter::ActionBuffer;
use std::fmt::Write;
use std::time::Duration;

const DURATIONS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_nanos(1_999),
    Duration::from_micros(250_000),
    Duration::from_secs(3_600),
    Duration::MAX,
];

/// Records the encoded actions under a title, one line each.
fn record(text: &mut String, title: &str, perform: impl FnOnce(&mut ActionBuffer)) {
    let mut buffer = ActionBuffer::default();
    perform(&mut buffer);
    let _ = writeln!(text, "# {title}");
    buffer.0.iter().for_each(|action| {
        let _ = writeln!(text, "{action}");
    });
    text.push('\n');
}

fn request_actions(text: &mut String) {
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
        DURATIONS.into_iter().for_each(|delay| buffer.reject(id, Some(delay), false))
    });
    record(text, "SayNo with both", |buffer| buffer.reject(id, Some(DURATIONS[2]), true));
    record(text, "Remember", |buffer| DURATIONS.into_iter().for_each(|span| buffer.remember(id, span)));
    record(text, "Dial", |buffer| DURATIONS.into_iter().for_each(|timeout| buffer.start_call(id, timeout)));
}

fn instance_actions(text: &mut String) {
    let flags = [(false, false), (false, true), (true, false), (true, true)];
    record(text, "Fitness", |buffer| {
        flags.into_iter().for_each(|(healthy, stored)| buffer.set_health(healthy, stored))
    });
    record(text, "CloseIdle", |buffer| DURATIONS.into_iter().for_each(|span| buffer.close_idle(span)));
    let values = [0.0, 0.05, 0.1 + 0.2, 1.0, 12.0, 1e21, 1e-7, -1.0, f64::NAN, f64::INFINITY];
    record(text, "Say", |buffer| values.into_iter().for_each(|value| buffer.set_load_hint(value)));
    record(text, "Remind", |buffer| DURATIONS.into_iter().for_each(|delay| buffer.set_timer(delay)));
    let log_lines =
        ["", "two servers known", "a \"quote\", a \\, a tab\t, a line\nend, \u{1}, \u{fc}, \u{1f600}"];
    record(text, "WriteLog", |buffer| log_lines.into_iter().for_each(|line| buffer.log(line)));
}

pub fn text() -> String {
    let mut text = String::new();
    request_actions(&mut text);
    instance_actions(&mut text);
    text
}
