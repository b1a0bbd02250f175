//! The checker of the four rules. It sees only what crosses the wire, at the stand-ins, and what the rig itself
//! did to processes and links; of the program's own tables it knows nothing. No I/O, no clock.
//!
//! A run on a busy machine must not be judged by the machine's pauses: an answer's slack is longer by what its
//! server, and the rig, waited for a core while the txn was open (`SchedulingDelay`).

use crate::ids::{ClassNo, ConnNo, EdgeNo, Incarnation, RequestNo, ServerNo};
use aldercrank_protocol::msgpack_rpc::MessageId;
use aldercrank_protocol::worker_pool::{AttemptId, RunEnd};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Every span of the rules is this much longer on sockets.
const SOCKETS: Duration = Duration::from_millis(50);
/// Why a rule was broken is kept for so many; the rest is counted.
const KEPT: usize = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// A txn without a whole final answer.
    Lost,
    /// Answered after its expiry and the slack.
    Late,
    /// Two answers to one txn, or a referenced one run twice within its window.
    Twice,
    /// Run though it came after the grace, or not answered before the stop.
    Drain,
    /// A limit overrun, or a process that ended by itself.
    Fall,
    /// Settled with what no run made for it, or run with another body or product.
    Mixed,
    /// Acted by a version of the rule book for longer than the bound after another acted by one that contradicts it.
    Fence,
}

#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    /// Seconds since the start.
    pub at: f64,
    pub attempt: Option<String>,
    pub server: Option<String>,
    pub what: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Keyed,
    Unsafe,
}

/// What the rules need to know of a scenario.
#[derive(Clone, Debug)]
pub struct Terms {
    /// By product: effect, and the window of its marks.
    pub classes: Vec<(String, Effect, Duration)>,
    pub slack: Duration,
    pub grace: Duration,
    /// From the notice to leave until the end.
    pub stop: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Answered,
    /// Its caller went, or its connection ended by what the rig did.
    Excused,
}

/// One try, as an edge node wrote it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestNo,
    pub attempt: AttemptId,
    pub edge: EdgeNo,
    pub server: ServerNo,
    pub incarnation: Incarnation,
    pub reply_to: (ConnNo, MessageId),
    pub class: ClassNo,
    pub token: Option<u64>,
    pub body: u64,
    pub asked: Duration,
    pub deadline: Duration,
}

struct Known {
    try_: Attempt,
    state: State,
    ran: bool,
}

/// A run of a referenced txn: where, in which life, and `t0` of the try.
struct Run {
    server: ServerNo,
    incarnation: Incarnation,
    t0: Duration,
    attempt: AttemptId,
}

/// What processes and the rig waited for a core, added up over time.
#[derive(Default)]
pub struct SchedulingDelay {
    samples: Vec<(Duration, Duration, Vec<Duration>)>,
}

impl SchedulingDelay {
    /// The sums so far: the rig's own, and each server's.
    pub fn sample(&mut self, now: Duration, cluster: Duration, servers: Vec<Duration>) {
        self.samples.push((now, cluster, servers));
    }

    /// What one server and the rig waited in this span at most.
    pub fn between(&self, server: ServerNo, from: Duration, to: Duration) -> Duration {
        let at = |time: Duration| self.samples.partition_point(|(at, _, _)| *at <= time);
        let (first, last) = (at(from).saturating_sub(1), at(to).min(self.samples.len().saturating_sub(1)));
        let (Some(a), Some(b)) = (self.samples.get(first), self.samples.get(last)) else {
            return Duration::ZERO;
        };
        let of = |s: &(Duration, Duration, Vec<Duration>)| s.2.get(server.0 as usize).copied();
        let own = of(b).unwrap_or_default().saturating_sub(of(a).unwrap_or_default());
        own + b.1.saturating_sub(a.1)
    }
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    pub attempts: u64,
    pub answered: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub runs: u64,
    pub excused: u64,
    /// Keyed txns that ran in more than one life or server, which only their callers can prevent.
    pub across: u64,
    pub broken: u64,
}

pub struct InvariantChecker {
    terms: Terms,
    attempts: Vec<Known>,
    by_rid: HashMap<AttemptId, usize>,
    by_seat: HashMap<(ConnNo, MessageId), usize>,
    runs: HashMap<u64, Vec<Run>>,
    /// When a server was told to leave, in which life.
    leaving: BTreeMap<(ServerNo, Incarnation), Duration>,
    /// Spans in which the rig did something to a server, or to what it says to edge nodes.
    troubled: BTreeMap<ServerNo, Vec<(Duration, Duration)>>,
    pub noise: SchedulingDelay,
    pub broken: Vec<Violation>,
    pub counts: Counts,
    /// By server: tries of inquiry-like products, and how many of them were settled.
    pub by_server: Vec<(u64, u64)>,
    /// Answers that were late by what had been waited for a core when it was last looked: they are judged once it has
    /// been looked again, since most of it may lie in between.
    doubtful: Vec<(Duration, Attempt)>,
    /// By second and server: txns settled.
    pub completed_in: BTreeMap<(u64, ServerNo), u32>,
}

fn secs(at: Duration) -> f64 {
    (at.as_secs_f64() * 1e3).round() / 1e3
}

impl InvariantChecker {
    pub fn new(terms: Terms) -> InvariantChecker {
        InvariantChecker {
            terms,
            attempts: Vec::new(),
            by_rid: HashMap::new(),
            by_seat: HashMap::new(),
            runs: HashMap::new(),
            leaving: BTreeMap::new(),
            troubled: BTreeMap::new(),
            noise: SchedulingDelay::default(),
            broken: Vec::new(),
            counts: Counts::default(),
            by_server: Vec::new(),
            doubtful: Vec::new(),
            completed_in: BTreeMap::new(),
        }
    }

    pub fn breaks(
        &mut self,
        now: Duration,
        rule: Rule,
        attempt: Option<AttemptId>,
        server: Option<ServerNo>,
        what: impl Into<String>,
    ) {
        self.counts.broken += 1;
        if self.broken.len() < KEPT {
            let (attempt, server) = (attempt.map(|r| r.to_string()), server.map(|s| s.to_string()));
            self.broken.push(Violation { rule, at: secs(now), attempt, server, what: what.into() });
        }
    }

    pub fn find(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.by_rid.get(&attempt).map(|i| &self.attempts[*i].try_)
    }

    /// The try that a call on a connection was made for.
    pub fn at(&self, reply_to: (ConnNo, MessageId)) -> Option<&Attempt> {
        self.by_seat.get(&reply_to).map(|i| &self.attempts[*i].try_)
    }

    /// Whether the try on this seat was run.
    pub fn ran(&self, reply_to: (ConnNo, MessageId)) -> bool {
        self.by_seat.get(&reply_to).is_some_and(|i| self.attempts[*i].ran)
    }

    /// Written whole to a connection that stands, or will.
    pub fn asked(&mut self, asked: Attempt) {
        self.counts.attempts += 1;
        if self.terms.classes[asked.class.0 as usize].1 == Effect::Idempotent {
            let place = asked.server.0 as usize;
            if self.by_server.len() <= place {
                self.by_server.resize(place + 1, (0, 0));
            }
            self.by_server[place].0 += 1;
        }
        let at = self.attempts.len();
        self.by_rid.insert(asked.attempt, at);
        self.by_seat.insert(asked.reply_to, at);
        self.attempts.push(Known { try_: asked, state: State::Open, ran: false });
    }

    /// A span in which what happens to this server's txns is the rig's doing. An open one ends with another call.
    pub fn trouble(&mut self, server: ServerNo, from: Duration, to: Duration) {
        self.troubled.entry(server).or_default().push((from, to));
    }

    fn in_trouble(&self, server: ServerNo, from: Duration, to: Duration) -> bool {
        let spans = self.troubled.get(&server);
        spans.is_some_and(|spans| spans.iter().any(|(a, b)| *a <= to && *b >= from))
    }

    /// An answer has been read. `result` is whose run made it, where it is a result.
    pub fn answered(
        &mut self,
        now: Duration,
        server: ServerNo,
        reply_to: (ConnNo, MessageId),
        result: Option<&[u8]>,
        rejected: bool,
    ) {
        let Some(&at) = self.by_seat.get(&reply_to) else {
            if !self.in_trouble(server, now, now) {
                self.breaks(now, Rule::Twice, None, Some(server), "an answer to a call that was never made");
            }
            return;
        };
        let (state, asked, ran) =
            (self.attempts[at].state, self.attempts[at].try_.clone(), self.attempts[at].ran);
        if state == State::Answered && self.in_trouble(asked.server, asked.asked, now) {
            return;
        }
        if state == State::Answered {
            let what = "a second answer to one txn";
            return self.breaks(now, Rule::Twice, Some(asked.attempt), Some(asked.server), what);
        }
        self.counts.answered += 1;
        match (result, rejected) {
            (Some(_), _) => self.counts.completed += 1,
            (None, true) => self.counts.rejected += 1,
            (None, false) => self.counts.failed += 1,
        }
        self.attempts[at].state = State::Answered;
        if state == State::Excused {
            return;
        }
        let most = self.due(&asked, now);
        if now > most && !self.in_trouble(asked.server, asked.asked, now) {
            self.doubtful.push((now, asked.clone()));
        }
        let effect = self.terms.classes[asked.class.0 as usize].1;
        if rejected && ran && effect != Effect::Idempotent {
            let what = "declined though it ran";
            self.breaks(now, Rule::Twice, Some(asked.attempt), Some(asked.server), what);
        }
        if let Some(result) = result {
            *self.completed_in.entry((now.as_secs(), asked.server)).or_default() += 1;
            if let Some(own) = self.by_server.get_mut(asked.server.0 as usize) {
                own.1 += u64::from(self.terms.classes[asked.class.0 as usize].1 == Effect::Idempotent);
            }
            self.made_for(now, &asked, result);
        }
    }

    /// What was waited for a core has been looked at.
    pub fn looked(&mut self, now: Duration, cluster: Duration, servers: Vec<Duration>) {
        self.noise.sample(now, cluster, servers);
        self.judge_doubtful();
    }

    fn judge_doubtful(&mut self) {
        for (at, asked) in std::mem::take(&mut self.doubtful) {
            if at > self.due(&asked, at) {
                let late = (at - asked.deadline).as_secs_f64();
                let what = format!("answered {late:.3} s after its expiry");
                self.breaks(at, Rule::Late, Some(asked.attempt), Some(asked.server), what);
            }
        }
    }

    /// When an answer is late: its expiry, the slack, what sockets take, what was waited for a core.
    fn due(&self, asked: &Attempt, now: Duration) -> Duration {
        asked.deadline + self.terms.slack + SOCKETS + self.noise.between(asked.server, asked.asked, now)
    }

    /// A result must be what some run made for this txn.
    fn made_for(&mut self, now: Duration, asked: &Attempt, result: &[u8]) {
        let maker = maker(result).and_then(|attempt| self.by_rid.get(&attempt).copied());
        let fits = maker.is_some_and(|at| {
            let maker = &self.attempts[at];
            let same = maker.try_.attempt == asked.attempt
                || (asked.token.is_some() && maker.try_.token == asked.token);
            same && maker.ran && maker.try_.server == asked.server
        });
        if !fits && !self.in_trouble(asked.server, asked.asked, now) {
            let what = "settled with what no run made for it";
            self.breaks(now, Rule::Mixed, Some(asked.attempt), Some(asked.server), what);
        }
    }

    /// The caller took it back: no answer is owed any more.
    pub fn excuse(&mut self, reply_to: (ConnNo, MessageId)) {
        if let Some(&at) = self.by_seat.get(&reply_to) {
            if self.attempts[at].state == State::Open {
                self.attempts[at].state = State::Excused;
                self.counts.excused += 1;
            }
        }
    }

    /// A connection ended with this call open. `ours`: the rig, or what it did, ended it.
    pub fn broken_off(&mut self, now: Duration, reply_to: (ConnNo, MessageId), ours: bool) {
        let Some(&at) = self.by_seat.get(&reply_to) else { return };
        if self.attempts[at].state != State::Open {
            return;
        }
        let asked = self.attempts[at].try_.clone();
        self.attempts[at].state = State::Excused;
        self.counts.excused += 1;
        if !ours && !self.in_trouble(asked.server, asked.asked, now) {
            let what = "its connection was ended without an answer";
            self.breaks(now, Rule::Lost, Some(asked.attempt), Some(asked.server), what);
        }
    }

    /// Its time is over. Said once an answer can't be in time any more.
    pub fn overdue(&mut self, now: Duration, reply_to: (ConnNo, MessageId)) -> bool {
        let Some(&at) = self.by_seat.get(&reply_to) else { return true };
        if self.attempts[at].state != State::Open {
            return true;
        }
        let asked = self.attempts[at].try_.clone();
        if now <= self.due(&asked, now) {
            return false;
        }
        self.attempts[at].state = State::Excused;
        if self.in_trouble(asked.server, asked.asked, now) {
            self.counts.excused += 1;
        } else {
            let what = "no answer by its expiry and the slack";
            self.breaks(now, Rule::Lost, Some(asked.attempt), Some(asked.server), what);
        }
        true
    }

    /// The worker pool was told to run it. Says whether it is known with this product and body.
    pub fn spawned(
        &mut self,
        now: Duration,
        server: ServerNo,
        incarnation: Incarnation,
        attempt: AttemptId,
        class: &str,
        body: u64,
    ) -> bool {
        let Some(&at) = self.by_rid.get(&attempt) else { return false };
        let asked = self.attempts[at].try_.clone();
        if (asked.server, asked.incarnation) != (server, incarnation) {
            return false;
        }
        let (name, effect, window) = self.terms.classes[asked.class.0 as usize].clone();
        if (name != class || asked.body != body) && !self.in_trouble(server, asked.asked, now) {
            let what = "run with another product or body than came";
            self.breaks(now, Rule::Mixed, Some(attempt), Some(server), what);
        }
        self.counts.runs += 1;
        self.attempts[at].ran = true;
        if let Some(&told) = self.leaving.get(&(server, incarnation)) {
            if asked.asked > told + self.terms.grace + SOCKETS {
                let what = "run though it came after the grace";
                self.breaks(now, Rule::Drain, Some(attempt), Some(server), what);
            }
        }
        let Some(token) = asked.token.filter(|_| effect == Effect::Keyed) else { return true };
        let runs = self.runs.entry(token).or_default();
        let here = runs
            .iter()
            .find(|r| (r.server, r.incarnation) == (server, incarnation) && asked.asked <= r.t0 + window);
        let (again, across) = (here.map(|r| r.attempt), here.is_none() && !runs.is_empty());
        runs.push(Run { server, incarnation, t0: asked.asked, attempt });
        self.counts.across += u64::from(across);
        if let Some(first) = again {
            let what = format!("run within the window of {first}, a try of the same txn");
            self.breaks(now, Rule::Twice, Some(attempt), Some(server), what);
        }
        true
    }

    /// Nothing of it was carried out, so it is no run.
    pub fn run_ended(&mut self, attempt: AttemptId, end: RunEnd) {
        let Some(&at) = self.by_rid.get(&attempt).filter(|_| end == RunEnd::Void) else { return };
        self.attempts[at].ran = false;
        if let Some(token) = self.attempts[at].try_.token {
            self.runs.entry(token).or_default().retain(|r| r.attempt != attempt);
        }
    }

    pub fn told_to_leave(&mut self, now: Duration, server: ServerNo, incarnation: Incarnation) {
        self.leaving.insert((server, incarnation), now);
    }

    /// A process has ended: by itself, as it was told, or at the rig's hand.
    pub fn process_ended(
        &mut self,
        now: Duration,
        server: ServerNo,
        incarnation: Incarnation,
        code: Option<i32>,
        killed: bool,
    ) {
        let told = self.leaving.get(&(server, incarnation)).copied();
        let waited = self.noise.between(server, told.unwrap_or(now), now);
        match told {
            Some(told) if !killed => {
                if code != Some(0) {
                    let what = format!("told to leave, it ended with {}", ending(code));
                    self.breaks(now, Rule::Fall, None, Some(server), what);
                }
                if now > told + self.terms.stop + SOCKETS + waited {
                    let what = "it had not ended when its time to leave was over";
                    self.breaks(now, Rule::Drain, None, Some(server), what);
                }
            }
            None if !killed => {
                let what = format!("it ended by itself with {}", ending(code));
                self.breaks(now, Rule::Fall, None, Some(server), what);
            }
            _ => {}
        }
        self.trouble_after(now, server);
    }

    /// What was open on a process that has ended is judged by its connections, which end with it.
    fn trouble_after(&mut self, now: Duration, server: ServerNo) {
        if !self.leaving.keys().any(|(s, _)| *s == server) {
            self.trouble(server, now, now);
        }
    }

    /// Those not answered at the end of a run.
    pub fn open(&self) -> usize {
        self.attempts.iter().filter(|t| t.state == State::Open).count()
    }

    /// All that is still open is judged.
    pub fn finish(&mut self, now: Duration) {
        self.judge_doubtful();
        let open: Vec<Attempt> =
            self.attempts.iter().filter(|t| t.state == State::Open).map(|t| t.try_.clone()).collect();
        for asked in open {
            if !self.in_trouble(asked.server, asked.asked, now) {
                let what = "not answered when the run was over";
                self.breaks(now, Rule::Lost, Some(asked.attempt), Some(asked.server), what);
            }
        }
    }
}

fn ending(code: Option<i32>) -> String {
    code.map_or("a signal".to_string(), |code| format!("exit {code}"))
}

/// What became of a run's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call<'a> {
    /// It needed none.
    None,
    Answered(&'a [u8]),
    /// It went on without: its result is worth a part.
    LeftOut,
}

/// What a pool writes as the result of a run.
pub fn result(attempt: AttemptId, call: Call) -> Vec<u8> {
    let mut bytes = format!("made by {attempt} ").into_bytes();
    match call {
        Call::None => bytes.extend(b"alone"),
        Call::Answered(reply) => bytes.extend(reply),
        Call::LeftOut => bytes.extend(LEFT_OUT),
    }
    bytes
}

const LEFT_OUT: &[u8] = b"without its call";

/// Whether a result was made without the call that it needed.
pub fn poorer(result: &[u8]) -> bool {
    result.ends_with(LEFT_OUT)
}

fn maker(result: &[u8]) -> Option<AttemptId> {
    let rest = result.strip_prefix(b"made by ")?;
    AttemptId::new(std::str::from_utf8(rest.get(..16)?).ok()?)
}
