//! Decodes the simulator's events. A field that is missing or has another type takes its default.

use aldercrank::{CallerId, IncomingRequest, Outcome, RequestId};
use serde_json::Value as Json;
use std::time::Duration;

// Bits of a request's `bitmap`: `estimate` is valid, the request is a retry, and the request writes.
const FLAG_ESTIMATE: u64 = 1;
const FLAG_RETRY: u64 = 2;
const FLAG_WRITE: u64 = 4;

/// An event of one instance. Its times are relative to the start of the instance.
pub(crate) struct Event<'a> {
    item: &'a Json,
    /// The simulator's clock at the start of the instance, in microseconds.
    started_at_micros: u64,
}

impl<'a> Event<'a> {
    pub(crate) fn new(item: &'a Json, started_at_micros: u64) -> Event<'a> {
        Event { item, started_at_micros }
    }

    fn text(&self, field: &str) -> Option<&'a str> {
        self.item.get(field).and_then(Json::as_str)
    }

    fn integer(&self, field: &str) -> u64 {
        self.item.get(field).and_then(Json::as_u64).unwrap_or_default()
    }

    fn number(&self, field: &str) -> f64 {
        self.item.get(field).and_then(Json::as_f64).unwrap_or_default()
    }

    /// The time from the start of the instance to this reading of the clock; 0 if the clock is before the start.
    pub(crate) fn since_start(&self, clock_micros: u64) -> Duration {
        Duration::from_micros(clock_micros.saturating_sub(self.started_at_micros))
    }

    pub(crate) fn request_id(&self) -> Option<RequestId> {
        let id = self.item.get("request_id").and_then(Json::as_u64)?;
        u32::try_from(id).ok().map(RequestId)
    }

    /// How long the run or call that has ended took.
    pub(crate) fn duration(&self) -> Duration {
        Duration::from_micros(self.integer("duration"))
    }

    /// The deadline of a request, or the time at which a draining instance stops; `None` if the field is 0.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        Some(self.integer("drop_dead")).filter(|clock| *clock > 0).map(|clock| self.since_start(clock))
    }

    pub(crate) fn load_metrics(&self) -> Vec<f64> {
        let metrics = self.item.get("pressure").and_then(Json::as_array);
        metrics
            .map(|row| row.iter().map(|metric| metric.as_f64().unwrap_or_default()).collect())
            .unwrap_or_default()
    }

    pub(crate) fn incoming_request(&self) -> IncomingRequest<'a> {
        let flags = self.integer("bitmap");
        let work = Some(self.integer("estimate")).filter(|micros| *micros > 0 && flags & FLAG_ESTIMATE != 0);
        let repeats = Some(self.integer("dup_of")).filter(|id| *id > 0);
        IncomingRequest {
            class: self.text("cls").unwrap_or_default(),
            tenant: self.text("user_group"),
            subject: self.text("name_key"),
            deadline: self.deadline(),
            work: work.map(Duration::from_micros),
            memory_kb: self.number("footprint"),
            rank: self.number("precedence"),
            retry: flags & FLAG_RETRY != 0,
            write: flags & FLAG_WRITE != 0,
            caller: CallerId(self.integer("by")),
            unread_time: Duration::from_micros(self.integer("lay")),
            repeats: repeats.and_then(|id| u32::try_from(id).ok()).map(RequestId),
        }
    }

    pub(crate) fn outcome(&self) -> Outcome {
        match self.text("result").unwrap_or_default() {
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
}
