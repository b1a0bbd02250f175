//! The link to the worker pool. It is kept open; after each loss it is connected and bound again.

use super::connection::{discard_consumed, Connection, ReadOutcome};
use super::poller::{StreamEvent, StreamOwner};
use super::{Server, TimerEvent};
use crate::clock::Clock;
use crate::core::Core;
use crate::payload::{count_copied, Payload, BY_REFERENCE_BYTES};
use crate::worker_pool::{self, AttemptId, EventHandler, NoticeNumber};
use aldercrank::{Outcome, Value};
use aldercrank_pacing::{RetryPacer, RetryPacerConfig};
use bytes::Bytes;
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Duration;

/// Base interval between attempts to connect: about a quarter of it after the first failure, then longer, up to
/// [`MAX_INTERVAL_SHARE`] of it. The pool is a process on the same machine, so longer waits would take load off nobody.
const CONNECT_INTERVAL: Duration = Duration::from_millis(200);
/// The longest wait between attempts, as a share of [`CONNECT_INTERVAL`].
const MAX_INTERVAL_SHARE: f64 = 0.5;
/// The most reads in a row, after which other connections are served.
const MAX_READS_PER_TURN: usize = 16;
/// How long connecting may take. If the first packet is dropped, the kernel sends the next one a second later, and goes
/// on trying for two minutes.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A worker pool whose start is later than the previous one's by more than this is another process.
const RESTART_TOLERANCE: Duration = Duration::from_millis(500);

/// Why the link was lost. Its text is the reason in the log line.
#[derive(Debug, thiserror::Error)]
enum LinkLoss {
    #[error("not connected within {CONNECT_TIMEOUT:?}")]
    ConnectTimeout,
    #[error("{0}")]
    ConnectFailed(#[from] io::Error),
    #[error("connection closed by the worker pool or reset")]
    Closed,
    #[error("address of the worker pool changed")]
    AddressChanged,
}

/// A run whose start command has not been written yet.
struct QueuedRun {
    /// Where the command starts in the output of the link, in bytes.
    start: u64,
    attempt: AttemptId,
}

/// The link to the worker pool, and the state that outlives a connection.
pub(super) struct WorkerPoolLink {
    connection: Option<Connection>,
    /// Number of the present connection; events of earlier ones are ignored.
    number: u32,
    reader: worker_pool::EventReader,
    /// The pool has closed the connection, which is read until a read reports that.
    peer_closed: bool,
    /// The longest result, in bytes.
    max_payload_bytes: usize,
    /// Length of the large message that has been received in part, in bytes.
    awaited_length: Option<usize>,
    /// Runs of whose start commands no byte has been written.
    queued_runs: VecDeque<QueuedRun>,
    /// The last notice from the pool that was handled.
    last_notice: NoticeNumber,
    is_bound: bool,
    /// The connection to the previous address. It is kept until the new one is bound, so that the pool can read the
    /// output that was written to it.
    previous: Option<Connection>,
    /// When a bound connection was lost.
    lost_at: Option<Duration>,
    /// When `bind` was sent on this connection. The age in the pool's answer was determined later than that.
    bind_sent_at: Duration,
    /// The latest time at which the worker pool can have started. This server's clock counts from the first pool's
    /// start.
    pool_started_at: Duration,
    pacer: RetryPacer,
}

impl WorkerPoolLink {
    /// A link that is not connected yet. `seed` and `name` determine the jitter between attempts to connect.
    pub(super) fn new(max_payload_bytes: usize, seed: &str, name: &str) -> WorkerPoolLink {
        let max_backoff = CONNECT_INTERVAL.mul_f64(MAX_INTERVAL_SHARE);
        let pacer_config = RetryPacerConfig {
            interval: CONNECT_INTERVAL,
            entry_lifetime: CONNECT_INTERVAL,
            max_backoff,
            server_count: Some(1.0),
        };
        WorkerPoolLink {
            connection: None,
            number: 0,
            reader: worker_pool::EventReader::with_limit(max_payload_bytes),
            peer_closed: false,
            max_payload_bytes,
            awaited_length: None,
            queued_runs: VecDeque::new(),
            last_notice: NoticeNumber(0),
            is_bound: false,
            previous: None,
            lost_at: None,
            bind_sent_at: Duration::ZERO,
            pool_started_at: Duration::ZERO,
            pacer: RetryPacer::new(pacer_config, seed, name, Clock::unix_time()),
        }
    }

    /// Adds a command that is sent at the end of the turn. If the link is not bound, the command is dropped; the core
    /// sends what is still needed once it is bound again.
    pub(super) fn send(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        if let Some(connection) = self.connection.as_mut().filter(|_| self.is_bound) {
            connection.output.append_framing(write);
        }
    }

    /// Adds the command that starts a run, as [`WorkerPoolLink::send`] does.
    pub(super) fn start_run(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>) {
        let Some(connection) = self.connection.as_mut().filter(|_| self.is_bound) else { return };
        self.queued_runs.push_back(QueuedRun { start: connection.output.end_offset(), attempt });
        connection
            .output
            .append_framing(|bytes| worker_pool::write_start_run(bytes, attempt, class, body.len()));
        connection.output.append_body(body);
        connection.output.append_framing(worker_pool::write_payload_end);
    }

    /// Writes as much as the socket accepts.
    pub(super) fn flush(&mut self) {
        let Some(connection) = self.connection.as_mut() else { return };
        connection.flush();
        let written = connection.output.written_bytes();
        while self.queued_runs.front().is_some_and(|run| run.start < written) {
            self.queued_runs.pop_front();
        }
    }
}

/// Handles the pool's messages received in one read.
struct PoolEventHandler<'a> {
    server: &'a mut Server,
    /// The buffer that a large message was read into, so that its result can be shared without a copy.
    shared_input: Option<&'a Bytes>,
}

impl PoolEventHandler<'_> {
    /// Records a notice as handled. Returns false if it was handled before: on a new link the pool repeats notices.
    fn record_notice(&mut self, notice: NoticeNumber) -> bool {
        let mut net = self.server.net();
        let is_new = notice > net.pool.last_notice;
        net.pool.last_notice = net.pool.last_notice.max(notice);
        is_new
    }
}

impl EventHandler for PoolEventHandler<'_> {
    fn bound(&mut self, cold: bool, age: Duration) {
        {
            let mut net = self.server.net();
            let net = &mut *net;
            net.pool.is_bound = true;
            let now = net.clock.now();
            net.pool.pacer.succeeded(now, now);
            if let Some(previous) = net.pool.previous.take() {
                previous.close(&net.event_loop);
            }
        }
        self.server.pool_bound(cold, age);
    }

    fn run_finished(
        &mut self,
        notice: NoticeNumber,
        attempt: AttemptId,
        outcome: Outcome,
        run_time: Duration,
        result: &[u8],
    ) {
        if self.record_notice(notice) {
            let now = self.server.now();
            let is_large = result.len() >= BY_REFERENCE_BYTES;
            let shared = self.shared_input.filter(|_| is_large).map(|input| input.slice_ref(result));
            let result = shared.as_ref().map_or(Payload::Transient(result), Payload::Shared);
            if let Some(core) = &mut self.server.core {
                core.run_ended(now, attempt, outcome, run_time, result);
            }
        }
    }

    fn run_blocked(&mut self, notice: NoticeNumber, attempt: AttemptId, body: &[u8]) {
        if self.record_notice(notice) {
            let now = self.server.now();
            if let Some(core) = &mut self.server.core {
                core.call_needed(now, attempt, notice, body);
            }
        }
    }

    fn other_notice(&mut self, notice: NoticeNumber) {
        self.record_notice(notice);
    }

    fn metrics_reported(&mut self, tag: u64, load_metrics: &[f64]) {
        let now = self.server.now();
        if let Some(core) = &mut self.server.core {
            core.metrics_received(now, tag, load_metrics);
        }
    }

    fn unknown_attempt(&mut self, command: &str, id: &str) {
        tracing::info!(
            id,
            command,
            "worker pool does not know the run named in a command; a start command had no effect"
        );
        let now = self.server.now();
        let attempt = AttemptId::new(id).filter(|_| command == worker_pool::START_RUN_COMMAND);
        if let (Some(core), Some(attempt)) = (&mut self.server.core, attempt) {
            core.run_unknown(now, attempt);
        }
    }

    fn malformed_line(&mut self, line: &str) {
        tracing::warn!(line, "worker pool sent a malformed line; ignoring it");
    }
}

impl Server {
    /// Connects to the worker pool if there is no connection. An attempt that is still under way has timed out.
    pub(super) fn connect_pool(&mut self) {
        if self.phase.is_stopped() {
            return;
        }
        if self.net().pool.connection.as_ref().is_some_and(Connection::is_connecting) {
            return self.pool_link_lost(&LinkLoss::ConnectTimeout);
        }
        let mut net = self.net();
        if net.pool.connection.is_some() {
            return;
        }
        net.pool.number = net.pool.number.wrapping_add(1);
        let (address, number) = (net.pool_address, net.pool.number);
        let started = Connection::connect(address).and_then(|connection| {
            connection.register_with_poller(&net.poller, StreamOwner::WorkerPool(number))?;
            Ok(connection)
        });
        match started {
            Ok(connection) => {
                let timeout_at = net.clock.now() + CONNECT_TIMEOUT;
                net.pool.connection = Some(connection);
                net.timers.set(TimerEvent::ConnectPool, timeout_at);
            }
            Err(e) => {
                tracing::warn!(reason = %e, "could not connect to the worker pool; retrying");
                let now = net.clock.now();
                let retry_at = net.pool.pacer.failed(now);
                net.timers.set(TimerEvent::ConnectPool, retry_at);
            }
        }
    }

    /// Handles an event of the connection with this number; events of earlier connections are ignored.
    pub(super) fn pool_event(&mut self, number: u32, event: StreamEvent) {
        if self.net().pool.number != number {
            return;
        }
        self.net().pool.peer_closed |= event.ended;
        if event.writable {
            self.pool_writable();
        }
        if event.readable {
            self.read_pool();
        }
    }

    fn pool_writable(&mut self) {
        let mut net = self.net();
        let last_notice = net.pool.last_notice;
        let Some(connection) = &mut net.pool.connection else { return };
        if !connection.is_connecting() {
            return net.pool.flush();
        }
        match connection.finish_connecting() {
            Ok(()) => {
                connection.output.append_framing(|bytes| worker_pool::write_bind(bytes, last_notice));
                connection.flush();
                net.pool.bind_sent_at = net.clock.now();
                drop(net);
                self.phase.pool_linked();
            }
            Err(e) => {
                drop(net);
                self.pool_link_lost(&e.into());
            }
        }
    }

    /// Reads the link until it would block, at most [`MAX_READS_PER_TURN`] times.
    pub(super) fn read_pool(&mut self) {
        let mut buffer = self.take_read_buffer();
        let mut reads = 0;
        let is_lost = loop {
            let (outcome, requested) = {
                let mut net = self.net();
                let awaits_large = net.pool.awaited_length.is_some();
                match &mut net.pool.connection {
                    // A large message is read into its own buffer, and not beyond its end.
                    Some(connection) if !connection.is_connecting() && awaits_large => {
                        let requested = connection.input.capacity() - connection.input.len();
                        (connection.read_into_input(), requested)
                    }
                    Some(connection) if !connection.is_connecting() => {
                        (connection.read(&mut buffer), buffer.len())
                    }
                    _ => break false,
                }
            };
            reads += 1;
            match outcome {
                ReadOutcome::Bytes(length) => {
                    let is_in_place = self.net().pool.awaited_length.is_some();
                    self.handle_pool_input(if is_in_place { &[] } else { &buffer[..length] });
                    // A short read has emptied the socket; a close after it has an event of its own.
                    if length < requested && !self.net().pool.peer_closed {
                        break false;
                    }
                }
                ReadOutcome::WouldBlock => break false,
                ReadOutcome::Closed | ReadOutcome::Broken => break true,
            }
            if reads == MAX_READS_PER_TURN {
                self.net().pool_read_pending = true;
                break false;
            }
        };
        self.read_buffer = buffer;
        if is_lost {
            self.pool_link_lost(&LinkLoss::Closed);
        }
    }

    /// Handles input: `bytes`, or, for a large message, what was appended to the connection's input.
    fn handle_pool_input(&mut self, bytes: &[u8]) {
        let (mut input, mut reader) = {
            let mut net = self.net();
            let net = &mut *net;
            let Some(connection) = &mut net.pool.connection else { return };
            if net.pool.awaited_length.is_some_and(|length| connection.input.len() < length) {
                return;
            }
            (std::mem::take(&mut connection.input), std::mem::take(&mut net.pool.reader))
        };
        let (mut consumed, has_earlier_input) = (0, !input.is_empty());
        let awaited = self.net().pool.awaited_length.take();
        let shared_input = awaited.map(|_| Bytes::from(std::mem::take(&mut input)));
        if has_earlier_input && shared_input.is_none() {
            count_copied(bytes.len());
            input.extend_from_slice(bytes);
        }
        let received = match &shared_input {
            Some(shared) => shared,
            None if has_earlier_input => &input[..],
            None => bytes,
        };
        loop {
            let mut handler = PoolEventHandler { server: self, shared_input: shared_input.as_ref() };
            let Some(length) = reader.read(&received[consumed..], &mut handler) else { break };
            consumed += length;
        }
        let rest = &received[consumed..];
        // Once a message within the limit is known to be large, a buffer of its stated length is allocated for it.
        let awaited_length =
            reader.message_length(rest).filter(|length| *length > rest.len().max(BY_REFERENCE_BYTES));
        let mut net = self.net();
        let net = &mut *net;
        (net.pool.reader, net.pool.awaited_length) = (reader, awaited_length);
        let Some(connection) = &mut net.pool.connection else { return };
        connection.input = match awaited_length {
            Some(length) => {
                let mut large = Vec::with_capacity(length);
                large.extend_from_slice(rest);
                count_copied(rest.len());
                large
            }
            None if has_earlier_input && shared_input.is_none() => discard_consumed(input, consumed),
            None => {
                count_copied(rest.len());
                rest.to_vec()
            }
        };
    }

    /// Moves the link to a new address. Input that has arrived on the old link is handled first. The pool repeats later
    /// notices on the new link, by their numbers. Commands that it has not confirmed are treated as after a lost link.
    pub(super) fn pool_address_changed(&mut self) {
        self.read_pool();
        {
            let mut net = self.net();
            let net = &mut *net;
            net.pool.flush();
            let connection = net.pool.connection.take_if(|connection| !connection.is_connecting());
            if let Some(connection) = &connection {
                connection.shut_down_writing();
            }
            if let Some(older) = std::mem::replace(&mut net.pool.previous, connection) {
                older.close(&net.event_loop);
            }
        }
        self.pool_link_lost(&LinkLoss::AddressChanged);
        self.connect_pool();
    }

    fn pool_link_lost(&mut self, loss: &LinkLoss) {
        tracing::warn!(reason = %loss, "link to the worker pool lost; reconnecting");
        let (now, queued_runs);
        {
            let mut net = self.net();
            let net = &mut *net;
            if let Some(connection) = net.pool.connection.take() {
                connection.close(&net.event_loop);
            }
            now = net.clock.now();
            net.pool.reader = worker_pool::EventReader::with_limit(net.pool.max_payload_bytes);
            (net.pool.awaited_length, net.pool.peer_closed) = (None, false);
            queued_runs = std::mem::take(&mut net.pool.queued_runs);
            if std::mem::take(&mut net.pool.is_bound) {
                net.pool.lost_at = Some(now);
            }
            let retry_at = net.pool.pacer.failed(now);
            net.timers.set(TimerEvent::ConnectPool, retry_at);
        }
        if let Some(core) = &mut self.core {
            core.pool_lost(now, queued_runs.into_iter().map(|run| run.attempt));
        }
    }

    /// The worker pool has answered `bind`. The first time, the core starts, on a clock that counts from the pool's
    /// start.
    fn pool_bound(&mut self, cold: bool, age: Duration) {
        tracing::info!(cold, "bound to the worker pool");
        if self.phase.pool_up() {
            self.start_core(cold, age);
        }
        let now = self.now();
        let was_restarted = self.net().pool.detect_restart(now, age);
        if let Some(core) = &mut self.core {
            if was_restarted {
                core.pool_restarted(now, cold);
            }
            core.pool_bound(now);
        }
    }

    fn start_core(&mut self, cold: bool, age: Duration) {
        {
            let mut net = self.net();
            let net = &mut *net;
            let before = net.clock.now();
            net.clock.set_elapsed(age);
            net.timers.rebase(before, age);
        }
        let mut settings = self.config.settings.clone();
        settings.set("family_info.cold", Value::Flag(cold));
        let core = Core::new(&settings, age, self.result_memory_bytes, self.core_ports());
        (self.core, self.pool_was_cold) = (Some(core), cold);
        if let (true, Some(core)) = (self.config.start.report_share, &mut self.core) {
            core.track_slow_start(age, &self.config.settings, cold);
        }
        self.apply_config_to_new_core();
        self.schedule_first_report();
    }
}

impl WorkerPoolLink {
    /// Returns whether the pool is another process than before. That is so if it started after the link was lost, or
    /// later than the previous pool: a server that was suspended notices the loss of the link late.
    fn detect_restart(&mut self, now: Duration, age: Duration) -> bool {
        let started_later = self.bind_sent_at > self.pool_started_at + age + RESTART_TOLERANCE;
        let was_restarted = self.lost_at.take().is_some_and(|lost_at| lost_at + age < now || started_later);
        if was_restarted {
            tracing::warn!("worker pool was restarted; failing the requests whose runs were in progress");
            (self.last_notice, self.pool_started_at) = (NoticeNumber(0), now.saturating_sub(age));
        }
        was_restarted
    }
}
