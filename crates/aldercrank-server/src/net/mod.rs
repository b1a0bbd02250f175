//! The sockets: one loop on one thread, with everything that it serves.

mod closing;
mod conns;
mod edge;
mod exchange;
mod index;
mod link;
mod members;
pub mod memory;
mod peers;
mod pool;
mod reload;
mod rules;
mod wait;

use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::core::{ConnId, Core, Ports, ReplyTo, TimerId, RESULTS_SHARE};
use crate::deadlines::Deadlines;
use crate::membership::{ENTRY_TTL, REPORT_INTERVAL};
use crate::msgpack_rpc::{self, ResponseFields};
use crate::payload::{OutputBuffer, Payload};
use crate::phase::Phase;
use crate::worker_pool;
use crate::worker_pool::{AttemptId, NoticeNumber};
use aldercrank::{RequestId, Settings};
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction, RegistrationToken};
use link::{Loop, CHUNK};
use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use wait::{ready, Waiter, Whose};

/// Descriptors that are kept for what the server opens itself, however many there are: standard streams, the loop's
/// own, signals and listener, two links to the worker pool, reports, and a configuration that is read.
const OWN_DESCRIPTORS: usize = 24;
/// Of the others: how many edge nodes may have, and how many calls.
const EDGE_SHARE: f64 = 0.75;
const CALLS_SHARE: f64 = 0.25;
/// The last part of the time until the stop, in which connections close.
const LAST_PART: f64 = 0.1;
/// Of the grace: how far the words of servers that leave together are spread.
const LEAVING_SHARE: f64 = 0.3;
/// Until connections are taken again after there was no room.
const LISTEN_AGAIN: Duration = Duration::from_millis(100);
/// Of the slack that answers have: how long connections are read in a row.
const SLICE_SHARE: f64 = 0.1;
/// Of an entry's lapse: the longest between reports that come to nothing, where the service file says nothing else.
/// A service that is back has to hear of this server before the entry is gone.
const BACKOFF_SHARE: f64 = 0.4;
/// The longest that the loop sleeps.
const NAP: Duration = Duration::from_secs(1);

/// Everything that has a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Due {
    Core(TimerId),
    /// Some connection may have been idle for its time.
    Idle,
    /// A connection that was told to close.
    Parted(ConnId),
    /// A connection owes a whole message.
    Whole(ConnId),
    Call(RequestId),
    PoolDial,
    Listen,
    Report,
    /// Something of the rule book's.
    Rules,
    /// While draining: nothing new is run any more; and the end.
    Quiet,
    Stop,
}

/// What the sockets share.
pub struct Net {
    on_loop: Loop,
    waiter: Waiter,
    clock: Clock,
    deadlines: Deadlines<Due>,
    name: String,
    pool_addr: SocketAddr,
    index_addr: Option<SocketAddr>,
    members_addr: SocketAddr,
    edge: conns::Conns,
    pool: pool::PoolLink,
    calls: index::Calls,
    reports: members::Reports,
    /// Connections that may have more to read, in the order of their turns.
    again: VecDeque<ConnId>,
    pool_again: bool,
    /// What the module says of its health.
    good: bool,
    good_changed: bool,
}

/// How the core reaches the sockets.
pub struct Ways(Rc<RefCell<Net>>);

impl Net {
    /// Says an answer, with the free value where there is one.
    fn answer(&mut self, reply_to: ReplyTo, write: impl FnOnce(&mut OutputBuffer, ResponseFields)) {
        self.edge.answer(reply_to, write);
        self.rest(reply_to.conn);
    }

    /// Sees to a connection on which something has come to its end.
    fn rest(&mut self, conn: ConnId) {
        self.edge.rest(conn, self.clock.now(), &mut self.deadlines);
    }
}

impl Ports for Ways {
    fn complete(&mut self, reply_to: ReplyTo, result: Payload) {
        self.0.borrow_mut().answer(reply_to, |out, beside| {
            out.words(|words| msgpack_rpc::write_completed(words, reply_to.call, result.bytes().len()));
            out.result(&result);
            out.words(|words| msgpack_rpc::write_completed_end(words, beside));
        });
    }
    fn reject(&mut self, reply_to: ReplyTo, retry_after: Option<Duration>, last: bool) {
        self.0.borrow_mut().answer(reply_to, |out, beside| {
            out.words(|words| msgpack_rpc::write_rejected(words, reply_to.call, beside, retry_after, last));
        });
    }
    fn fail(&mut self, reply_to: ReplyTo) {
        self.0.borrow_mut().answer(reply_to, |out, beside| {
            out.words(|words| msgpack_rpc::write_failed(words, reply_to.call, beside));
        });
    }
    fn decided_by_version(&mut self, reply_to: ReplyTo, version: u64) {
        self.0.borrow_mut().edge.judge(reply_to, version);
    }
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>) {
        self.0.borrow_mut().pool.spawn(attempt, class, body);
    }
    fn stop_run(&mut self, attempt: AttemptId) {
        self.0.borrow_mut().pool.say(|words| worker_pool::write_stop_run(words, attempt));
    }
    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]) {
        self.0.borrow_mut().pool.say(|words| worker_pool::write_call_result(words, attempt, reply));
    }
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber) {
        self.0.borrow_mut().pool.say(|words| worker_pool::write_skip_call(words, attempt, notice));
    }
    fn request_metrics(&mut self, tag: u64) {
        self.0.borrow_mut().pool.say(|words| worker_pool::write_metrics_request(words, tag));
    }
    fn start_call(&mut self, request: RequestId, attempt: AttemptId, body: &[u8], timeout: Duration) {
        self.0.borrow_mut().call(request, attempt, body, timeout);
    }
    fn cancel_call(&mut self, request: RequestId) {
        self.0.borrow_mut().hang_up(request);
    }
    fn health(&mut self, good: bool) {
        let mut net = self.0.borrow_mut();
        net.good_changed |= std::mem::replace(&mut net.good, good) != good;
    }
    fn close_idle(&mut self, span: Duration) {
        let mut net = self.0.borrow_mut();
        let net = &mut *net;
        net.edge.close_idle(span, &mut net.deadlines);
    }
    fn advertise(&mut self, value: f64) {
        self.0.borrow_mut().edge.set_hint(value);
    }
    fn set_timer(&mut self, what: TimerId, after: Duration) {
        let mut net = self.0.borrow_mut();
        let at = net.clock.now() + after;
        net.deadlines.set(Due::Core(what), at);
    }
}

/// What the loop hands to each of its sources.
pub struct Server {
    net: Rc<RefCell<Net>>,
    core: Option<Core<Ways>>,
    /// Where the service file names a rule book.
    rules: Option<Box<rules::Rules>>,
    /// Whether the pool was cold when it was first bound.
    cold: bool,
    phase: Phase,
    config: Config,
    /// Reads the configuration again.
    reread: Box<dyn Fn() -> Result<Config, ConfigError>>,
    room: usize,
    stop: Duration,
    terms: SocketTerms,
    /// What is read goes here first, whoever says it.
    chunk: Vec<u8>,
    /// When this round's reading began.
    round: Option<Duration>,
    listener: Option<Rc<TcpListener>>,
    /// When it was last known that no connection waited to be taken.
    none_waited: Duration,
    listening: Option<RegistrationToken>,
}

impl Server {
    fn net(&self) -> RefMut<'_, Net> {
        self.net.borrow_mut()
    }

    fn now(&self) -> Duration {
        self.net.borrow().clock.now()
    }

    /// The buffer for reading, taken until it is put back.
    fn chunk(&mut self) -> Vec<u8> {
        let mut chunk = std::mem::take(&mut self.chunk);
        chunk.resize(CHUNK, 0);
        chunk
    }

    fn ways(&self) -> Ways {
        Ways(self.net.clone())
    }

    /// What health checks hear.
    fn fit(&self) -> bool {
        self.phase.serving() && self.net().good && !self.rules_mute()
    }

    /// What the membership service hears: it follows health only where the settings say so.
    fn listed(&self) -> bool {
        self.phase.serving() && (!self.terms.follows_health || self.net().good) && !self.rules_mute()
    }

    /// There may be room again for connections that were left waiting.
    fn listen_again(&mut self) {
        if let Some(token) = self.listening {
            if let Err(e) = self.net().on_loop.enable(&token) {
                tracing::error!(why = %e, "cannot listen again");
            }
        }
    }

    fn due(&mut self, what: Due) {
        let now = self.now();
        match what {
            Due::Core(reminder) => {
                if let Some(core) = &mut self.core {
                    core.reminded(now, reminder);
                }
            }
            Due::Idle => {
                let mut net = self.net();
                let net = &mut *net;
                net.edge.part_idle(now, &mut net.deadlines);
            }
            Due::Parted(conn) => self.edge_parted(conn),
            Due::Whole(conn) => self.edge_mute(conn),
            Due::Call(request) => self.call_due(request),
            Due::PoolDial => self.pool_dial(),
            Due::Listen => self.listen_again(),
            Due::Report => self.report_due(),
            Due::Rules => self.rules_due(),
            Due::Quiet => self.quiet(now),
            Due::Stop => {
                self.phase.done();
            }
        }
    }

    /// The notice to leave.
    fn told_to_leave(&mut self) {
        let now = self.now();
        let last_part = self.stop.mul_f64(LAST_PART);
        let stop = now + self.stop - last_part;
        let grace = self.config.settings.span("rules.stop_sending_within").unwrap_or_default();
        if !self.phase.told_to_leave() {
            return;
        }
        // Hundreds are told in the same moment: their words must not come in one burst. No later than the grace.
        let spread = grace.min(self.stop).mul_f64(LEAVING_SHARE);
        let sooner = if self.core.is_some() { self.report_leaving(spread) } else { Duration::ZERO };
        let quiet = (now + grace).saturating_sub(sooner).min(stop);
        self.net().deadlines.set(Due::Quiet, quiet);
        let end = stop + last_part / 2;
        self.net().deadlines.set(Due::Stop, end);
        self.net().edge.ends_in(end.saturating_sub(quiet));
        if let Some(core) = &mut self.core {
            core.drain(now, stop);
        } else {
            self.quiet(now);
        }
    }

    /// Nothing that comes from here on is run: a refused connection says so best. Connections that wait for room are
    /// not refused but reset by the end of the listener, with what was written on them, so it ends only once none
    /// waits.
    fn quiet(&mut self, now: Duration) {
        if let Some(listener) = self.listener.take() {
            let none_waits = self.accept(&listener);
            match self.listening.take_if(|_| none_waits) {
                Some(token) => self.net().on_loop.remove(token),
                None => {
                    self.listener = Some(listener);
                    self.net().deadlines.set(Due::Quiet, now + LISTEN_AGAIN);
                }
            }
        }
        let mut net = self.net();
        let net = &mut *net;
        net.edge.part_all(now, &mut net.deadlines);
    }

    /// Whether a server that is leaving has nothing left to do.
    fn finished(&self) -> bool {
        let owes = self.core.as_ref().is_some_and(|core| core.owed() > 0) || self.net().reports.owed();
        self.phase.draining() && self.listener.is_none() && !owes && self.net().edge.is_empty()
    }

    /// One turn after the loop's: what has more to read, what is due, what has changed.
    fn turn(&mut self) {
        self.edge_turns();
        self.round = None;
        if std::mem::take(&mut self.net().pool_again) {
            self.pool_readable();
        }
        loop {
            let what = {
                let mut net = self.net();
                let now = net.clock.now();
                net.deadlines.due(now)
            };
            let Some(what) = what else { break };
            self.due(what);
        }
        if std::mem::take(&mut self.net().good_changed) {
            tracing::info!(good = self.fit(), "health");
            // One that leaves says so at its own moment.
            if !self.phase.draining() {
                self.report_soon();
            }
        }
        if self.finished() {
            self.phase.done();
        }
        let mut net = self.net();
        net.edge.flush();
        net.pool.flush();
    }

    fn nap(&self) -> Duration {
        let net = self.net();
        if !net.again.is_empty() || net.pool_again {
            return Duration::ZERO;
        }
        let next = net.deadlines.next().map(|at| at.saturating_sub(net.clock.now()));
        next.map_or(NAP, |span| span.min(NAP))
    }
}

/// What the sockets themselves take from settings.
struct SocketTerms {
    /// How long connections are read before what is due has its turn.
    slice: Duration,
    /// Whether the membership service hears of health.
    follows_health: bool,
    /// The longest that anybody waits for an answer.
    patience: Duration,
    /// How long a caller of each product waits at most, where requests don't say how long theirs does.
    deadlines: Vec<(Rc<str>, Duration)>,
}

impl SocketTerms {
    fn read(settings: &Settings) -> SocketTerms {
        let slack = settings.span("rules.answer_slack").unwrap_or(NAP);
        let classes = aldercrank::parameters::classes(settings);
        let patience = classes.iter().map(|class| class.deadline).max().unwrap_or(NAP);
        let silent = settings.flag("family_info.passes_deadline") == Some(false);
        let deadlines = classes.into_iter().filter(|_| silent).map(|class| (class.name, class.deadline));
        SocketTerms {
            slice: slack.mul_f64(SLICE_SHARE),
            follows_health: settings.flag("family_info.readiness") != Some(false),
            patience,
            deadlines: deadlines.collect(),
        }
    }

    /// How long the caller of a request that doesn't say so waits: as long as any of its product does. None where
    /// requests have to say so.
    fn deadline(&self, class: &str) -> Option<Duration> {
        let known = self.deadlines.iter().find(|(name, _)| **name == *class);
        // The core turns away what it doesn't know, whatever its deadline.
        known.map(|(_, deadline)| *deadline).or((!self.deadlines.is_empty()).then_some(self.patience))
    }
}

/// How reports are paced: by the lapse of an entry, and by how many servers there are where that is told.
fn pace(config: &Config) -> aldercrank_pacing::RetryPacer {
    let terms = aldercrank_pacing::Terms {
        interval: REPORT_INTERVAL,
        lapse: ENTRY_TTL,
        longest: config.reports_longest.unwrap_or(ENTRY_TTL.mul_f64(BACKOFF_SHARE)),
        servers: config.settings.num("peers_total"),
    };
    aldercrank_pacing::RetryPacer::new(terms, &config.seed, &config.name, Clock::unix())
}

/// Serves until the notice to leave has been followed. `reread` gives the configuration anew, at SIGHUP.
pub fn serve(
    config: Config,
    reread: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> std::io::Result<()> {
    let mut events: EventLoop<'static, Server> = EventLoop::try_new()?;
    let on_loop = events.handle();
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    on_loop
        .insert_source(signals, |event, _, server| match event.signal() {
            Signal::SIGHUP => server.reload(),
            _ => server.told_to_leave(),
        })
        .map_err(|e| e.error)?;
    let listener = Rc::new(TcpListener::bind(config.listen)?);
    listener.set_nonblocking(true)?;
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let listening = on_loop
        .insert_source(source, |_, listener, server| {
            if server.accept(listener) {
                return Ok(PostAction::Continue);
            }
            let mut net = server.net();
            let at = net.clock.now() + LISTEN_AGAIN;
            net.deadlines.set(Due::Listen, at);
            Ok(PostAction::Disable)
        })
        .map_err(|e| e.error)?;
    let share =
        |share: f64| (config.sockets.saturating_sub(OWN_DESCRIPTORS) as f64 * share).max(1.0) as usize;
    let net = Net {
        on_loop,
        waiter: Waiter::new(&events)?,
        clock: Clock::default(),
        deadlines: Deadlines::default(),
        name: config.name.clone(),
        pool_addr: config.pool,
        index_addr: config.index,
        members_addr: config.members,
        edge: conns::Conns::at_most(share(EDGE_SHARE)),
        pool: pool::PoolLink::at_most(config.result, &config.seed, &config.name),
        calls: index::Calls::at_most(share(CALLS_SHARE)),
        reports: members::Reports::new(pace(&config)),
        again: VecDeque::new(),
        pool_again: false,
        good: true,
        good_changed: false,
    };
    let on_loop = net.on_loop.clone();
    let rules = config.rules.as_ref().map(|wanted| Box::new(rules::Rules::new(&config, wanted, on_loop)));
    let terms = SocketTerms::read(&config.settings);
    let mut server = Server {
        net: Rc::new(RefCell::new(net)),
        core: None,
        rules,
        cold: false,
        phase: Phase::Starting,
        reread: Box::new(reread),
        room: (config.memory as f64 * RESULTS_SHARE) as usize,
        stop: config.stop,
        config,
        terms,
        chunk: Vec::new(),
        round: None,
        listener: Some(listener),
        none_waited: Duration::ZERO,
        listening: Some(listening),
    };
    tracing::info!(on = %server.config.listen, "listening");
    server.pool_dial();
    if server.rules.is_some() {
        server.rules_due();
    }
    let mut come = Vec::new();
    while !server.phase.stopped() {
        let nap = server.nap();
        server.net.borrow().waiter.wait(&mut come, nap)?;
        for event in &come {
            let ready = ready(event);
            match ready.whose {
                Whose::Pool(link) => server.pool_ready(link, ready),
                Whose::Edge(conn) => server.edge_ready(ConnId(conn), ready),
                Whose::Calloop => events.dispatch(Some(Duration::ZERO), &mut server)?,
            }
        }
        server.turn();
    }
    Ok(())
}
