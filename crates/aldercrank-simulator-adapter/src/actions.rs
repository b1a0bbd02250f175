//! Encodes the actions of admission control for the simulator.

use aldercrank::{Host, RequestId};
use serde_json::{json, Value as Json};
use std::time::Duration;

/// Collects the encoded actions of one instance until the reply is written.
#[derive(Default)]
pub struct ActionBuffer(pub Vec<Json>);

/// A duration in microseconds, the protocol's unit of time.
fn micros(duration: Duration) -> u64 {
    duration.as_micros().min(u128::from(u64::MAX)) as u64
}

impl Host for ActionBuffer {
    fn start_run(&mut self, request_id: RequestId) {
        self.0.push(json!({"t": "Process", "request_id": request_id.0}));
    }
    fn stop_run(&mut self, request_id: RequestId) {
        self.0.push(json!({"t": "Stop", "request_id": request_id.0}));
    }
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Duration>, last: bool) {
        let mut action = json!({"t": "SayNo", "request_id": request_id.0});
        if let Some(delay) = retry_after {
            action["hold_off"] = micros(delay).into();
        }
        if last {
            action["last"] = true.into();
        }
        self.0.push(action);
    }
    fn fail(&mut self, request_id: RequestId) {
        self.0.push(json!({"t": "EndFailed", "request_id": request_id.0}));
    }
    fn remember(&mut self, request_id: RequestId, span: Duration) {
        self.0.push(json!({"t": "Remember", "request_id": request_id.0, "for_time": micros(span)}));
    }
    fn forget(&mut self, request_id: RequestId) {
        self.0.push(json!({"t": "Erase", "request_id": request_id.0}));
    }
    fn join_original(&mut self, request_id: RequestId) {
        self.0.push(json!({"t": "Join", "request_id": request_id.0}));
    }
    fn start_call(&mut self, request_id: RequestId, timeout: Duration) {
        self.0.push(json!({"t": "Dial", "request_id": request_id.0, "give_up_after": micros(timeout)}));
    }
    fn skip_call(&mut self, request_id: RequestId) {
        self.0.push(json!({"t": "Skip", "request_id": request_id.0}));
    }
    fn set_health(&mut self, healthy: bool, stored: bool) {
        self.0.push(json!({"t": "Fitness", "enable": healthy, "stored": stored}));
    }
    fn close_idle(&mut self, span: Duration) {
        self.0.push(json!({"t": "CloseIdle", "for_time": micros(span)}));
    }
    fn set_load_hint(&mut self, value: f64) {
        self.0.push(json!({"t": "Say", "value": value}));
    }
    fn set_timer(&mut self, after: Duration) {
        self.0.push(json!({"t": "Remind", "delay": micros(after), "tag": "tick"}));
    }
    fn log(&mut self, line: &str) {
        self.0.push(json!({"t": "WriteLog", "words": line}));
    }
}
