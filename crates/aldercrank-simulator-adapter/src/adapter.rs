//! The simulated instances of one process and the dispatch of their events.

use crate::actions::ActionBuffer;
use crate::error::{BatchError, InvalidPart};
use crate::events::Event;
use aldercrank::Admission;
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::time::Duration;

struct Instance {
    admission: Admission<ActionBuffer>,
    /// The simulator's clock at the start of the instance, in microseconds.
    started_at_micros: u64,
}

/// All simulated instances of one process, by number. They share no state.
#[derive(Default)]
pub struct SimulatorAdapter {
    instances: BTreeMap<u64, Instance>,
}

impl SimulatorAdapter {
    /// Handles the events of one batch, which is a line of input, and returns the reply, which is a line of output.
    /// Both are without their line end.
    ///
    /// # Errors
    ///
    /// If the line is not a valid batch. The groups before the invalid one have been handled by then.
    pub fn handle_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Json = serde_json::from_str(line).map_err(|source| {
            let byte = source.column().saturating_sub(1).min(line.len());
            BatchError::Json { source, byte }
        })?;
        let invalid = |part| BatchError::InvalidPart { part, byte: line.len() };
        let clock_micros =
            batch.get("ts").and_then(Json::as_u64).ok_or_else(|| invalid(InvalidPart::Timestamp))?;
        let groups =
            batch.get("groups").and_then(Json::as_array).ok_or_else(|| invalid(InvalidPart::Groups))?;
        let mut replies = Vec::new();
        for group in groups {
            let (Some(instance), Some(items)) =
                (group.get("i").and_then(Json::as_u64), group.get("items").and_then(Json::as_array))
            else {
                return Err(invalid(InvalidPart::GroupFields));
            };
            for item in items {
                self.handle_event(instance, clock_micros, item);
            }
            let actions = self.take_actions(instance);
            if !actions.is_empty() {
                replies.push(json!({"i": instance, "actions": actions}));
            }
        }
        Ok(json!({ "groups": replies }).to_string())
    }

    fn take_actions(&mut self, instance: u64) -> Vec<Json> {
        let instance = self.instances.get_mut(&instance);
        instance.map(|instance| std::mem::take(&mut instance.admission.host.0)).unwrap_or_default()
    }

    /// Starts or ends an instance, or passes the event on to it. Unknown events, and events of instances that are not
    /// running, are ignored.
    fn handle_event(&mut self, instance: u64, clock_micros: u64, item: &Json) {
        let name = item.get("t").and_then(Json::as_str).unwrap_or_default();
        match name {
            "PowerOn" => {
                let settings = item.get("env").map(aldercrank_json_settings::settings).unwrap_or_default();
                let admission = Admission::new(&settings, Duration::ZERO, ActionBuffer::default());
                self.instances.insert(instance, Instance { admission, started_at_micros: clock_micros });
            }
            "Kill" => {
                self.instances.remove(&instance);
            }
            _ => {
                if let Some(instance) = self.instances.get_mut(&instance) {
                    instance.handle_event(name, clock_micros, item);
                }
            }
        }
    }
}

impl Instance {
    fn handle_event(&mut self, name: &str, clock_micros: u64, item: &Json) {
        let admission = &mut self.admission;
        let event = Event::new(item, self.started_at_micros);
        let now = event.since_start(clock_micros);
        match (name, event.request_id()) {
            ("NewRequest", Some(id)) => admission.request_received(now, id, &event.incoming_request()),
            ("Alarm", _) => admission.timer_fired(now, &event.load_metrics()),
            ("WindDown", _) => admission.drain(now, event.deadline().unwrap_or(now)),
            ("Awaiting", Some(id)) => admission.call_requested(now, id),
            ("WoundUp", Some(id)) => admission.run_ended(now, id, event.outcome(), event.duration()),
            ("CallEnded", Some(id)) => admission.call_ended(now, id, event.outcome(), event.duration()),
            ("ClientGone", Some(id)) => admission.caller_gone(now, id),
            _ => {}
        }
    }
}
