//! The core round the module: owns it and the txns in hand, does no I/O and has no clock. What happens comes
//! in with its time, one method each; what is to be done goes out through `Ports`. Decides nothing.

mod host;
mod link;
mod read;
mod rules;
mod run;
mod start;
mod time;

use crate::dedup::{CachedOutcome, DedupKey, DedupTable, EntryId};
use crate::logger::REQUEST_LOG_TARGET;
use crate::payload::{self, Payload};
use crate::slots::{Slot, Slots};
use crate::worker_pool::{AttemptId, NoticeNumber};
use aldercrank::tree::Tree;
use aldercrank::{
    parameters, Admission, DeterministicMap, Effect, IncomingRequest, Outcome, RequestId, Settings,
};
pub use aldercrank_protocol::msgpack_rpc::MessageId;
use std::collections::VecDeque;
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;

/// A connection from an edge node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u32);

/// Where an answer is owed: a call on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplyTo {
    pub conn: ConnId,
    pub call: MessageId,
}

/// What the core asks to be reminded of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerId {
    /// The module's tick.
    Tick,
    /// Gauges are wanted, a moment before the tick.
    LoadMetrics,
    /// A kept key may go.
    Key(EntryId),
    /// A spawn whose fate is unknown may be sent again.
    CachedOutcome(RequestId),
}

/// How the core acts. Sockets implement it; tests fake it.
pub trait Ports {
    /// Final answers.
    fn complete(&mut self, reply_to: ReplyTo, result: Payload);
    fn reject(&mut self, reply_to: ReplyTo, retry_after: Option<Duration>, last: bool);
    fn fail(&mut self, reply_to: ReplyTo);
    /// A txn is judged by this version of the rule book; its answer says so. Said before its answer, if at all.
    fn decided_by_version(&mut self, _reply_to: ReplyTo, _version: u64) {}
    /// To the worker pool.
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>);
    fn stop_run(&mut self, attempt: AttemptId);
    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]);
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber);
    /// Asks for the gauges; the answer carries the tag.
    fn request_metrics(&mut self, tag: u64);
    /// To the index.
    fn start_call(&mut self, request: RequestId, attempt: AttemptId, body: &[u8], timeout: Duration);
    fn cancel_call(&mut self, request: RequestId);
    /// To whoever asks or listens.
    fn health(&mut self, good: bool);
    fn close_idle(&mut self, span: Duration);
    fn advertise(&mut self, value: f64);
    fn set_timer(&mut self, what: TimerId, after: Duration);
}

/// A txn as it was read.
pub struct ReceivedRequest<'a> {
    pub attempt: AttemptId,
    pub dedup_key: Option<DedupKey>,
    pub arrival: IncomingRequest<'a>,
    /// The longest that it can have lain unread, as we know ourselves.
    pub unread: Duration,
    pub body: &'a [u8],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Joined,
    Running,
    Over,
}

/// Whether the worker pool has heard the last command that must not be said twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Delivery {
    Confirmed,
    /// Said on this link; a poll with this tag or a later one, once answered, proves that it was heard.
    ConfirmedBy(u64),
    /// Said on a link that was lost.
    Unknown,
    /// Not said: there was no link.
    Unsent,
}

struct Request {
    attempt: AttemptId,
    reply_to: Option<ReplyTo>,
    dedup_key: Option<DedupKey>,
    class: usize,
    /// Of its product when it was read.
    effect: Effect,
    /// None once it is over.
    body: Option<Rc<[u8]>>,
    repeats: Option<RequestId>,
    stage: Stage,
    delivery: Delivery,
    /// The call that the run waits for: its notice and body.
    blocked: Option<(NoticeNumber, Rc<[u8]>)>,
    called: Option<Duration>,
    /// What to tell a run that waits, once the link is back: the reply, or to go on without.
    unsaid: Option<Option<Rc<[u8]>>>,
    /// The last word to it was to go on without, which names the call and may be said twice.
    passed: bool,
    joined: Duration,
    waiters: Vec<RequestId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Link {
    Down,
    /// The worker pool replays notices; a poll with this tag ends them.
    Replaying(u64),
    Up,
}

/// How many ticks after its answer a spawn of unknown fate is sent again, to free its place.
const AFTER_ANSWER: u32 = 30;
/// Gauges are asked for this long before the tick, as a share of it.
const LOAD_METRICS_BEFORE: f64 = 0.15;
/// How much of the server's memory kept results may take.
pub const RESULTS_SHARE: f64 = 0.1;

/// What the core keeps beside the module: the requests in hand, the dedup table and the ports.
pub struct CoreState<P: Ports> {
    pub ports: P,
    now: Duration,
    classes: Vec<(Rc<str>, Effect)>,
    longest: Duration,
    /// The longest that a client waits.
    patience: Duration,
    tick: Duration,
    requests: Slots<Request>,
    attempts: DeterministicMap<AttemptId, RequestId>,
    replies_owed: Tree<ReplyTo, RequestId>,
    dedup: DedupTable,
    link: Link,
    tag: u64,
    polling: bool,
    /// The last poll that was answered.
    answered: u64,
    load_metrics: Vec<f64>,
    /// The version of the rule book that is gone by, where there is one.
    version: Option<u64>,
    lease: rules::Lease,
    /// This server's share of the index, where the rule book gives one.
    share: Option<f64>,
    /// Calls that were not made, since it has no share now; the module is told once it has returned.
    unmade: VecDeque<RequestId>,
    /// Ends that the module is told of once it has returned.
    ended: VecDeque<(RequestId, Outcome)>,
}

pub struct Core<P: Ports> {
    admission: Admission<CoreState<P>>,
    /// Where the service file asks for it.
    start: Option<start::Start>,
}

/// Tells of a txn where that is wanted; where not, nothing of it is looked at.
macro_rules! tell {
    ($attempt:expr, $($said:tt)+) => {
        tracing::debug!(target: REQUEST_LOG_TARGET, attempt = %$attempt, $($said)+)
    };
}
use tell;

fn slot(id: RequestId) -> Slot {
    Slot(id.0)
}

impl<P: Ports> Core<P> {
    /// `now`: how long ago the worker pool came up. `room`: bytes for the results that are kept.
    pub fn start(settings: Settings, now: Duration, room: usize, ports: P) -> Core<P> {
        let state = CoreState {
            ports,
            now,
            classes: Vec::new(),
            longest: Duration::ZERO,
            patience: Duration::MAX,
            tick: Duration::ZERO,
            requests: Slots::default(),
            attempts: DeterministicMap::default(),
            replies_owed: Tree::default(),
            dedup: DedupTable::new(room),
            link: Link::Down,
            tag: 0,
            polling: false,
            answered: 0,
            load_metrics: Vec::new(),
            version: None,
            lease: rules::Lease::default(),
            share: None,
            unmade: VecDeque::new(),
            ended: VecDeque::new(),
        };
        let mut core = Core { admission: Admission::new(&settings, now, state), start: None };
        core.admission.host.goes_by(&settings);
        core
    }

    /// Txns that are held or run.
    pub fn in_hand(&self) -> usize {
        self.admission.host.attempts.len()
    }

    /// Txns that an answer is owed to.
    pub fn owed(&self) -> usize {
        self.admission.host.replies_owed.len()
    }

    /// Txns that a slot is taken for, and marks that are kept, those past their window counted in.
    pub fn in_tables(&self) -> (usize, usize) {
        (self.admission.host.requests.len(), self.admission.host.dedup.len())
    }

    /// Something happens now. What time alone has changed comes first: no act before it.
    fn at(&mut self, now: Duration) -> &mut CoreState<P> {
        self.admission.host.now = self.admission.host.now.max(now);
        if now >= self.admission.host.lease.next() {
            self.lapse(now);
        }
        &mut self.admission.host
    }

    /// Tells the module of the ends that it brought about itself.
    fn follow(&mut self) {
        self.follow_unmade();
        while let Some((id, how)) = self.admission.host.ended.pop_front() {
            let now = self.admission.host.now;
            let Some(request) = self.admission.host.request(id) else { continue };
            match request.stage {
                Stage::Joined => {
                    let result = request.dedup_key.map(|key| self.admission.host.dedup.fate(&key));
                    match result.filter(|_| how == Outcome::Completed) {
                        Some(CachedOutcome::Completed(bytes)) => {
                            self.end_join(id, Some(Payload::Shared(&bytes)))
                        }
                        _ => self.end_join(id, None),
                    }
                }
                Stage::Running => {
                    self.admission.host.over(id);
                    self.admission.run_ended(now, id, how, Duration::ZERO);
                }
                _ => {}
            }
        }
    }

    /// Answers a repeat from what it repeats.
    fn end_join(&mut self, id: RequestId, result: Option<Payload>) {
        let state = &mut self.admission.host;
        let now = state.now;
        let Some(took) =
            state.request(id).filter(|t| t.stage == Stage::Joined).map(|t| now.saturating_sub(t.joined))
        else {
            return;
        };
        let attempt = state.attempt(id);
        tell!(attempt, completed = result.is_some(), "answered from what it repeats");
        if let Some(reply_to) = state.reply_to(id) {
            match result {
                Some(bytes) => state.ports.complete(reply_to, bytes),
                None => state.ports.fail(reply_to),
            }
        }
        state.over(id);
        let how = if result.is_some() { Outcome::Completed } else { Outcome::Failed };
        self.admission.run_ended(now, id, how, took);
    }
}
