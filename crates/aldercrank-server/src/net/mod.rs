//! The sockets of a server: one event loop on one thread, and everything that it serves.
//!
//! This module holds no decisions: it turns input into calls of the core and of the agreement on the versioned
//! configuration, and carries out what they ask for.

mod config_agreement;
mod config_reload;
mod connection;
mod core_ports;
mod dependency_calls;
mod edge_closing;
mod edge_connections;
mod edge_requests;
mod http_exchange;
mod idle_list;
mod membership_reports;
mod peer_connections;
mod poller;
mod shutdown;
mod socket_settings;
mod startup;
pub mod state_file;
mod worker_pool_link;

pub use startup::serve;

use crate::clock::Clock;
use crate::config::Config;
use crate::core::{ConnId, Core, ReplyTo, TimerId};
use crate::deadlines::Deadlines;
use crate::msgpack_rpc::ResponseFields;
use crate::payload::OutputBuffer;
use crate::phase::Phase;
use aldercrank::RequestId;
use calloop::RegistrationToken;
use config_agreement::ConfigAgreement;
use connection::{EventLoopHandle, READ_BUFFER_BYTES};
use core_ports::SocketPorts;
use dependency_calls::DependencyCalls;
use edge_connections::EdgeConnections;
use membership_reports::MembershipReports;
use poller::Poller;
use socket_settings::SocketSettings;
use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::error::Error;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;
use worker_pool_link::WorkerPoolLink;

/// How long accepting pauses after the connection limit was reached.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The longest that the event loop sleeps.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What a timer is for. Each kind, with its id, is set at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum TimerEvent {
    /// A timer of the core.
    Core(TimerId),
    /// Some connection may have been idle for the idle timeout.
    IdleTimeout,
    /// The wait for a peer that was asked to close, or whose connection lingers, is over.
    CloseTimeout(ConnId),
    /// A connection owes a complete message.
    MessageTimeout(ConnId),
    /// A dependency call has timed out, or could not be made.
    CallTimeout(RequestId),
    /// An attempt to connect to the worker pool is due, or has taken too long.
    ConnectPool,
    /// Connections may be accepted again.
    Listen,
    /// A report to the membership service is due.
    Report,
    /// A timer of the agreement on the versioned configuration.
    ConfigAgreement,
    /// While draining: the server stops listening.
    StopListening,
    /// While draining: the server exits.
    Exit,
}

/// What the sockets share.
struct Net {
    event_loop: EventLoopHandle,
    poller: Poller,
    clock: Clock,
    timers: Deadlines<TimerEvent>,
    /// The name of this server.
    name: String,
    pool_address: SocketAddr,
    dependency_address: Option<SocketAddr>,
    membership_address: SocketAddr,
    edge: EdgeConnections,
    pool: WorkerPoolLink,
    calls: DependencyCalls,
    reports: MembershipReports,
    /// Connections that may have more to read, in the order of their turns.
    read_queue: VecDeque<ConnId>,
    /// The link to the worker pool may have more to read.
    pool_read_pending: bool,
    /// The health that the core reports.
    core_healthy: bool,
    health_changed: bool,
}

impl Net {
    /// Sends the answer to an open call, with the load hint if there is one.
    fn answer(&mut self, reply_to: ReplyTo, write: impl FnOnce(&mut OutputBuffer, ResponseFields)) {
        self.edge.answer(reply_to, write);
        self.mark_idle(reply_to.conn);
    }

    /// Called when a call of a connection has ended, or when it has none: without open calls it is idle.
    fn mark_idle(&mut self, conn: ConnId) {
        self.edge.mark_idle(conn, self.clock.now(), &mut self.timers);
    }
}

/// Reads the configuration again.
type ReadConfig = Box<dyn Fn() -> Result<Config, Box<dyn Error>>>;

/// A server: what the event loop hands to each of its sources.
struct Server {
    net: Rc<RefCell<Net>>,
    /// Exists once the worker pool has been bound.
    core: Option<Core<SocketPorts>>,
    /// Exists where the service file names a versioned configuration.
    agreement: Option<Box<ConfigAgreement>>,
    /// Whether the pool was cold when it was first bound.
    pool_was_cold: bool,
    phase: Phase,
    config: Config,
    read_config: ReadConfig,
    /// Memory for cached and queued results, in bytes.
    result_memory_bytes: usize,
    /// From the request to stop until the process is killed.
    time_to_stop: Duration,
    socket_settings: SocketSettings,
    /// The buffer that all reads use.
    read_buffer: Vec<u8>,
    /// When the reads of this turn began.
    read_round_start: Option<Duration>,
    listener: Option<Rc<TcpListener>>,
    /// When the accept queue was last known to be empty.
    accept_queue_empty_at: Duration,
    listener_token: Option<RegistrationToken>,
}

impl Server {
    fn net(&self) -> RefMut<'_, Net> {
        self.net.borrow_mut()
    }

    fn now(&self) -> Duration {
        self.net.borrow().clock.now()
    }

    /// Takes the read buffer; the caller puts it back into `read_buffer`.
    fn take_read_buffer(&mut self) -> Vec<u8> {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        buffer.resize(READ_BUFFER_BYTES, 0);
        buffer
    }

    fn core_ports(&self) -> SocketPorts {
        SocketPorts(self.net.clone())
    }

    /// The health that edge nodes see in health checks.
    fn is_healthy(&self) -> bool {
        self.phase.is_serving() && self.net().core_healthy && !self.lacks_permission()
    }

    /// The health that is reported to the membership service; the core's health counts only where the settings say so.
    fn reports_healthy(&self) -> bool {
        let core_counts = self.socket_settings.reports_health;
        self.phase.is_serving() && (!core_counts || self.net().core_healthy) && !self.lacks_permission()
    }

    /// Accepts connections again after a pause.
    fn listen_again(&mut self) {
        if let Some(token) = self.listener_token {
            if let Err(e) = self.net().event_loop.enable(&token) {
                tracing::error!(reason = %e, "could not resume accepting connections; serving the present ones only");
            }
        }
    }

    fn timer_fired(&mut self, timer: TimerEvent) {
        let now = self.now();
        match timer {
            TimerEvent::Core(id) => {
                if let Some(core) = &mut self.core {
                    core.timer_fired(now, id);
                }
            }
            TimerEvent::IdleTimeout => {
                let mut net = self.net();
                let net = &mut *net;
                net.edge.close_timed_out(now, &mut net.timers);
            }
            TimerEvent::CloseTimeout(conn) => self.close_timed_out(conn),
            TimerEvent::MessageTimeout(conn) => self.message_timed_out(conn),
            TimerEvent::CallTimeout(request_id) => self.call_timed_out(request_id),
            TimerEvent::ConnectPool => self.connect_pool(),
            TimerEvent::Listen => self.listen_again(),
            TimerEvent::Report => self.report_due(),
            TimerEvent::ConfigAgreement => self.agreement_due(),
            TimerEvent::StopListening => self.stop_listening(now),
            TimerEvent::Exit => {
                self.phase.stop();
            }
        }
    }

    /// What follows the events of each turn of the loop: pending reads, timers, changes of health, and writes.
    fn finish_turn(&mut self) {
        self.run_queued_reads();
        self.read_round_start = None;
        if std::mem::take(&mut self.net().pool_read_pending) {
            self.read_pool();
        }
        while let Some(timer) = self.next_due_timer() {
            self.timer_fired(timer);
        }
        if std::mem::take(&mut self.net().health_changed) {
            tracing::info!(healthy = self.is_healthy(), "health changed");
            // A draining server has its report scheduled.
            if !self.phase.is_draining() {
                self.report_soon();
            }
        }
        if self.is_drained() {
            self.phase.stop();
        }
        let mut net = self.net();
        net.edge.flush();
        net.pool.flush();
    }

    fn next_due_timer(&self) -> Option<TimerEvent> {
        let mut net = self.net();
        let now = net.clock.now();
        net.timers.due(now)
    }

    /// How long the event loop may sleep.
    fn sleep_span(&self) -> Duration {
        let net = self.net();
        if !net.read_queue.is_empty() || net.pool_read_pending {
            return Duration::ZERO;
        }
        let next = net.timers.next().map(|due| due.saturating_sub(net.clock.now()));
        next.map_or(MAX_SLEEP, |span| span.min(MAX_SLEEP))
    }
}
