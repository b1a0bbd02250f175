//! Every action as it is written for the simulator, with its fields at their edges.

use aldercrank::{Host, RequestId};
use aldercrank_simulator_adapter::Outbox;
use std::fmt::Write;
use std::time::Duration;

const SPANS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_nanos(1_999),
    Duration::from_micros(250_000),
    Duration::from_secs(3_600),
    Duration::MAX,
];

/// One line for each action that has been told.
fn told(text: &mut String, title: &str, tell: impl FnOnce(&mut Outbox)) {
    let mut outbox = Outbox::default();
    tell(&mut outbox);
    let _ = writeln!(text, "# {title}");
    outbox.0.iter().for_each(|action| {
        let _ = writeln!(text, "{action}");
    });
    text.push('\n');
}

fn requests(text: &mut String) {
    let ids = [RequestId(0), RequestId(1_564_119_492), RequestId(u32::MAX)];
    told(text, "Process", |o| ids.into_iter().for_each(|id| o.start_run(id)));
    told(text, "Stop", |o| ids.into_iter().for_each(|id| o.stop_run(id)));
    told(text, "EndFailed", |o| ids.into_iter().for_each(|id| o.fail(id)));
    told(text, "Erase", |o| ids.into_iter().for_each(|id| o.forget(id)));
    told(text, "Join", |o| ids.into_iter().for_each(|id| o.join_original(id)));
    told(text, "Skip", |o| ids.into_iter().for_each(|id| o.skip_call(id)));
    let id = RequestId(7);
    told(text, "SayNo without advice", |o| o.reject(id, None, false));
    told(text, "SayNo that is the last", |o| o.reject(id, None, true));
    told(text, "SayNo with hold_off", |o| SPANS.into_iter().for_each(|s| o.reject(id, Some(s), false)));
    told(text, "SayNo with both", |o| o.reject(id, Some(SPANS[2]), true));
    told(text, "Remember", |o| SPANS.into_iter().for_each(|s| o.remember(id, s)));
    told(text, "Dial", |o| SPANS.into_iter().for_each(|s| o.start_call(id, s)));
}

fn instance(text: &mut String) {
    let flags = [(false, false), (false, true), (true, false), (true, true)];
    told(text, "Fitness", |o| flags.into_iter().for_each(|(good, stored)| o.set_health(good, stored)));
    told(text, "CloseIdle", |o| SPANS.into_iter().for_each(|s| o.close_idle(s)));
    let values = [0.0, 0.05, 0.1 + 0.2, 1.0, 12.0, 1e21, 1e-7, -1.0, f64::NAN, f64::INFINITY];
    told(text, "Say", |o| values.into_iter().for_each(|v| o.set_load_hint(v)));
    told(text, "Remind", |o| SPANS.into_iter().for_each(|s| o.set_timer(s)));
    let words =
        ["", "two servers known", "a \"quote\", a \\, a tab\t, a line\nend, \u{1}, \u{fc}, \u{1f600}"];
    told(text, "WriteLog", |o| words.into_iter().for_each(|line| o.log(line)));
}

pub fn text() -> String {
    let mut text = String::new();
    requests(&mut text);
    instance(&mut text);
    text
}
