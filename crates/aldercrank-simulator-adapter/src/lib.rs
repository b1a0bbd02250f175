//! Decodes batches of the drill's wire into calls of `Admission` and encodes what it tells its host. Decides nothing.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

use aldercrank::{Admission, CallerId, Host, IncomingRequest, Outcome, RequestId};
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::time::Duration;

/// Collects one instance's actions until the reply is written.
#[derive(Default)]
pub struct Outbox(pub Vec<Json>);

fn us(span: Duration) -> u64 {
    span.as_micros().min(u128::from(u64::MAX)) as u64
}

impl Host for Outbox {
    fn start_run(&mut self, request: RequestId) {
        self.0.push(json!({"t": "Process", "request_id": request.0}));
    }
    fn stop_run(&mut self, request: RequestId) {
        self.0.push(json!({"t": "Stop", "request_id": request.0}));
    }
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>, last: bool) {
        let mut action = json!({"t": "SayNo", "request_id": request.0});
        if let Some(span) = retry_after {
            action["hold_off"] = us(span).into();
        }
        if last {
            action["last"] = true.into();
        }
        self.0.push(action);
    }
    fn fail(&mut self, request: RequestId) {
        self.0.push(json!({"t": "EndFailed", "request_id": request.0}));
    }
    fn remember(&mut self, request: RequestId, span: Duration) {
        self.0.push(json!({"t": "Remember", "request_id": request.0, "for_time": us(span)}));
    }
    fn forget(&mut self, request: RequestId) {
        self.0.push(json!({"t": "Erase", "request_id": request.0}));
    }
    fn join_original(&mut self, request: RequestId) {
        self.0.push(json!({"t": "Join", "request_id": request.0}));
    }
    fn start_call(&mut self, request: RequestId, timeout: Duration) {
        self.0.push(json!({"t": "Dial", "request_id": request.0, "give_up_after": us(timeout)}));
    }
    fn skip_call(&mut self, request: RequestId) {
        self.0.push(json!({"t": "Skip", "request_id": request.0}));
    }
    fn set_health(&mut self, good: bool, stored: bool) {
        self.0.push(json!({"t": "Fitness", "enable": good, "stored": stored}));
    }
    fn close_idle(&mut self, span: Duration) {
        self.0.push(json!({"t": "CloseIdle", "for_time": us(span)}));
    }
    fn set_load_hint(&mut self, value: f64) {
        self.0.push(json!({"t": "Say", "value": value}));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.push(json!({"t": "Remind", "delay": us(after), "tag": "tick"}));
    }
    fn log(&mut self, line: &str) {
        self.0.push(json!({"t": "WriteLog", "words": line}));
    }
}

struct Instance {
    admission: Admission<Outbox>,
    /// The clock at its start.
    zero: u64,
}

/// All instances of one process; they share nothing.
#[derive(Default)]
pub struct Drill {
    instances: BTreeMap<u64, Instance>,
}

impl Drill {
    /// Takes one line, gives the reply, or says what is wrong and at which byte.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Json = serde_json::from_str(line)
            .map_err(|e| format!("not a batch: {e} (byte {})", byte_at(line, &e)))?;
        let now = batch.get("ts").and_then(Json::as_u64).ok_or_else(|| misses(line, "a clock under ts"))?;
        let groups = batch
            .get("groups")
            .and_then(Json::as_array)
            .ok_or_else(|| misses(line, "a list under groups"))?;
        let mut replies = Vec::new();
        for group in groups {
            let (Some(i), Some(items)) =
                (group.get("i").and_then(Json::as_u64), group.get("items").and_then(Json::as_array))
            else {
                return Err(misses(line, "i and items in a group"));
            };
            for item in items {
                self.event(i, now, item);
            }
            let sent = self.instances.get_mut(&i).map(|s| std::mem::take(&mut s.admission.host.0));
            if let Some(actions) = sent.filter(|a| !a.is_empty()) {
                replies.push(json!({"i": i, "actions": actions}));
            }
        }
        Ok(json!({ "groups": replies }).to_string())
    }

    fn event(&mut self, i: u64, clock: u64, item: &Json) {
        let name = item.get("t").and_then(Json::as_str).unwrap_or_default();
        if name == "PowerOn" {
            let settings = item.get("env").map(aldercrank_json_settings::settings).unwrap_or_default();
            let admission = Admission::new(&settings, Duration::ZERO, Outbox::default());
            self.instances.insert(i, Instance { admission, zero: clock });
            return;
        }
        if name == "Kill" {
            self.instances.remove(&i);
            return;
        }
        let Some(Instance { admission, zero }) = self.instances.get_mut(&i) else { return };
        let now = Duration::from_micros(clock.saturating_sub(*zero));
        let at = |field: &str| {
            item.get(field)
                .and_then(Json::as_u64)
                .filter(|t| *t > 0)
                .map(|t| Duration::from_micros(t.saturating_sub(*zero)))
        };
        let span =
            |field: &str| Duration::from_micros(item.get(field).and_then(Json::as_u64).unwrap_or_default());
        let id =
            item.get("request_id").and_then(Json::as_u64).and_then(|n| u32::try_from(n).ok()).map(RequestId);
        match (name, id) {
            ("NewRequest", Some(id)) => admission.request_received(now, id, &arrival(item, at("drop_dead"))),
            ("Alarm", _) => {
                let gauges: Vec<f64> = item
                    .get("pressure")
                    .and_then(Json::as_array)
                    .map(|row| row.iter().map(|g| g.as_f64().unwrap_or_default()).collect())
                    .unwrap_or_default();
                admission.timer_fired(now, &gauges);
            }
            ("WindDown", _) => admission.drain(now, at("drop_dead").unwrap_or(now)),
            ("Awaiting", Some(id)) => admission.call_requested(now, id),
            ("WoundUp", Some(id)) => admission.run_ended(now, id, outcome(item), span("duration")),
            ("CallEnded", Some(id)) => admission.call_ended(now, id, outcome(item), span("duration")),
            ("ClientGone", Some(id)) => admission.caller_gone(now, id),
            _ => {}
        }
    }
}

fn arrival(item: &Json, deadline: Option<Duration>) -> IncomingRequest<'_> {
    let text = |field: &str| item.get(field).and_then(Json::as_str);
    let num = |field: &str| item.get(field).and_then(Json::as_f64).unwrap_or_default();
    let int = |field: &str| item.get(field).and_then(Json::as_u64).unwrap_or_default();
    let bits = int("bitmap");
    IncomingRequest {
        class: text("cls").unwrap_or_default(),
        tenant: text("user_group"),
        subject: text("name_key"),
        deadline,
        work: Some(int("estimate")).filter(|w| *w > 0 && bits & 1 != 0).map(Duration::from_micros),
        memory_kb: num("footprint"),
        rank: num("precedence"),
        retry: bits & 2 != 0,
        write: bits & 4 != 0,
        caller: CallerId(int("by")),
        unread_for: Duration::from_micros(int("lay")),
        repeats: Some(int("dup_of")).filter(|d| *d > 0).and_then(|d| u32::try_from(d).ok()).map(RequestId),
    }
}

fn outcome(item: &Json) -> Outcome {
    match item.get("result").and_then(Json::as_str).unwrap_or_default() {
        "completed" => Outcome::Completed,
        "saturated" => Outcome::Rejected,
        "overdue" => Outcome::TimedOut,
        "refused_conn" => Outcome::Unreachable,
        "severed" => Outcome::ConnectionLost,
        "recalled" => Outcome::Cancelled,
        "superseded" => Outcome::NeverStarted,
        _ => Outcome::Failed,
    }
}

fn byte_at(line: &str, e: &serde_json::Error) -> usize {
    e.column().saturating_sub(1).min(line.len())
}

fn misses(line: &str, what: &str) -> String {
    format!("not a batch: {what} is missing (byte {})", line.len())
}
