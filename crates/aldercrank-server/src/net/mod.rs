//! The network side of a server: a single-threaded event loop with its sockets, timers and signals.
//!
//! This module makes no decisions about requests or versions. It turns input into calls of the core and of the
//! agreement on the versioned configuration, and performs the I/O that they ask for.

mod close_timeouts;
mod config_agreement;
mod config_reload;
mod connection;
mod core_ports;
mod dependency_calls;
mod edge_closing;
mod edge_connection;
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

/// How long accepting pauses when there is no room for another connection, or accepting has failed.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The longest that the event loop waits for events.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// What a timer is for. Each value has at most one timer; setting it again replaces its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum TimerEvent {
    /// A timer of the core.
    Core(TimerId),
    /// A connection may have reached the idle timeout.
    IdleTimeout,
    /// The peer of a closing or lingering connection has not closed it in time.
    CloseTimeout(ConnId),
    /// A connection has not received a complete message in time.
    MessageTimeout(ConnId),
    /// A dependency call has timed out, or could not be made.
    CallTimeout(RequestId),
    /// An attempt to connect to the worker pool is due, or has taken too long.
    ConnectPool,
    /// Accepting connections resumes after a pause.
    ResumeAccepting,
    /// A report to the membership service is due.
    Report,
    /// A timer of the agreement on the versioned configuration.
    ConfigAgreement,
    /// While draining: the server stops listening.
    StopListening,
    /// While draining: the server exits.
    Exit,
}

/// State that all sockets share, and that the core acts on through its ports.
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
    /// Connections that may have more to read, in the order in which they will be read.
    read_queue: VecDeque<ConnId>,
    /// Whether the link to the worker pool may have more to read.
    pool_read_pending: bool,
    /// Whether the core is healthy, as it last reported.
    core_healthy: bool,
    /// Set when this server's health may have changed; handled and cleared at the end of the turn.
    health_changed: bool,
}

impl Net {
    /// Writes the answer to an open call; `write` is given the load hint and version that accompany it.
    fn answer(&mut self, reply_to: ReplyTo, write: impl FnOnce(&mut OutputBuffer, ResponseFields)) {
        self.edge.answer(reply_to, write);
        self.mark_idle(reply_to.conn);
    }

    /// Marks a connection as idle from now on if it has no open calls. Called when a connection is added, and whenever
    /// one of its calls has ended.
    fn mark_idle(&mut self, conn: ConnId) {
        self.edge.mark_idle(conn, self.clock.now(), &mut self.timers);
    }
}

/// Reads the configuration again.
type ReadConfig = Box<dyn Fn() -> Result<Config, Box<dyn Error>>>;

/// A server. The event loop passes it to the callbacks of all event sources.
struct Server {
    net: Rc<RefCell<Net>>,
    /// Created when the worker pool is bound for the first time.
    core: Option<Core<SocketPorts>>,
    /// Present if the service file names a versioned configuration.
    agreement: Option<Box<ConfigAgreement>>,
    /// Whether the pool was cold when it was first bound.
    pool_was_cold: bool,
    phase: Phase,
    config: Config,
    read_config: ReadConfig,
    /// Memory for cached and queued results, in bytes.
    result_memory_bytes: usize,
    /// How long after it was asked to stop the process is killed.
    stop_timeout: Duration,
    socket_settings: SocketSettings,
    /// The buffer that all connections are read into.
    read_buffer: Vec<u8>,
    /// When reading began in this turn of the event loop.
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

    /// The health that is reported to the membership service. It includes the core's health only if the settings say
    /// so.
    fn reports_healthy(&self) -> bool {
        let core_counts = self.socket_settings.reports_health;
        self.phase.is_serving() && (!core_counts || self.net().core_healthy) && !self.lacks_permission()
    }

    /// Resumes accepting connections after a pause.
    fn resume_accepting(&mut self) {
        if let Some(token) = self.listener_token {
            if let Err(e) = self.net().event_loop.enable(&token) {
                tracing::error!(reason = %e, "could not resume accepting connections; serving the open ones only");
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
                net.edge.ask_idle_to_close(now, &mut net.timers);
            }
            TimerEvent::CloseTimeout(conn) => self.close_timed_out(conn),
            TimerEvent::MessageTimeout(conn) => self.message_timed_out(conn),
            TimerEvent::CallTimeout(request_id) => self.call_timed_out(request_id),
            TimerEvent::ConnectPool => self.connect_pool(),
            TimerEvent::ResumeAccepting => self.resume_accepting(),
            TimerEvent::Report => self.report_due(),
            TimerEvent::ConfigAgreement => self.agreement_due(),
            TimerEvent::StopListening => self.stop_listening(now),
            TimerEvent::Exit => {
                self.phase.stop();
            }
        }
    }

    /// Completes a turn of the event loop once its events are handled: queued reads, due timers, changes of health, and
    /// writes.
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
            // A draining server has scheduled its last report already.
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
        net.timers.pop_due(now)
    }

    /// How long the event loop may wait for events: until the next timer, or not at all while reads are pending.
    fn poll_timeout(&self) -> Duration {
        let net = self.net();
        if !net.read_queue.is_empty() || net.pool_read_pending {
            return Duration::ZERO;
        }
        let next = net.timers.next().map(|due| due.saturating_sub(net.clock.now()));
        next.map_or(MAX_SLEEP, |span| span.min(MAX_SLEEP))
    }
}
