//! Starts a server, and runs its event loop until it has shut down.

use super::config_agreement::ConfigAgreement;
use super::connection::EventLoopHandle;
use super::dependency_calls::DependencyCalls;
use super::edge_connections::EdgeConnections;
use super::membership_reports::MembershipReports;
use super::poller::{Poller, StreamEvent, StreamOwner};
use super::socket_settings::SocketSettings;
use super::worker_pool_link::WorkerPoolLink;
use super::{Net, ReadConfig, Server, TimerEvent, ACCEPT_RETRY_INTERVAL};
use crate::clock::Clock;
use crate::config::Config;
use crate::core::{ConnId, CACHED_RESULTS_MEMORY_SHARE};
use crate::deadlines::Deadlines;
use crate::membership::{ENTRY_TTL, REPORT_INTERVAL};
use crate::phase::Phase;
use aldercrank_pacing::RetryPacer;
use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction, RegistrationToken};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::error::Error;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// File descriptors reserved for what the server opens regardless of its load: standard streams, the event loop's own,
/// signals and listener, two links to the worker pool, reports, and the configuration file while it is read.
const RESERVED_DESCRIPTORS: usize = 24;
/// The share of the remaining descriptors that connections from edge nodes may use.
const EDGE_SHARE: f64 = 0.75;
/// The share of the remaining descriptors that dependency calls may use.
const CALLS_SHARE: f64 = 0.25;
/// The longest interval between reports that fail, as a share of an entry's TTL, unless the service file sets one. A
/// membership service that is available again has to receive a report before the entry expires.
const REPORT_BACKOFF_SHARE: f64 = 0.4;

/// Serves until the process has been asked to stop and has shut down. `read_config` is called on SIGHUP and reads the
/// configuration again.
///
/// # Errors
///
/// If the server can't listen on its address, or the event loop can't be set up or fails to wait for events.
pub fn serve<E: Into<Box<dyn Error>> + 'static>(
    config: Config,
    read_config: impl Fn() -> Result<Config, E> + 'static,
) -> io::Result<()> {
    let mut event_loop: EventLoop<'static, Server> = EventLoop::try_new()?;
    watch_signals(&event_loop.handle())?;
    let listener = Rc::new(TcpListener::bind(config.listen)?);
    let listener_token = watch_listener(&event_loop.handle(), &listener)?;
    let net = new_net(&config, event_loop.handle(), Poller::new(&event_loop)?);
    let read_config: ReadConfig = Box::new(move || read_config().map_err(Into::into));
    let mut server = Server::new(config, net, read_config, listener, listener_token);
    tracing::info!(address = %server.config.listen, "listening");
    server.connect_pool();
    if server.agreement.is_some() {
        server.agreement_due();
    }
    let mut events = Vec::new();
    while !server.phase.is_stopped() {
        let poll_timeout = server.poll_timeout();
        server.net.borrow().poller.wait(&mut events, poll_timeout)?;
        for event in &events {
            let event = StreamEvent::from(event);
            match event.owner {
                StreamOwner::WorkerPool(link) => server.pool_event(link, event),
                StreamOwner::Edge(conn) => server.edge_event(ConnId(conn), event),
                StreamOwner::EventLoop => event_loop.dispatch(Some(Duration::ZERO), &mut server)?,
            }
        }
        server.finish_turn();
    }
    Ok(())
}

fn watch_signals(event_loop: &EventLoopHandle) -> io::Result<()> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    event_loop
        .insert_source(signals, |event, _, server| match event.signal() {
            Signal::SIGHUP => server.reload(),
            _ => server.shutdown_requested(),
        })
        .map_err(|e| e.error)?;
    Ok(())
}

fn watch_listener(event_loop: &EventLoopHandle, listener: &Rc<TcpListener>) -> io::Result<RegistrationToken> {
    listener.set_nonblocking(true)?;
    let source = Generic::new(listener.clone(), Interest::READ, Mode::Level);
    let token = event_loop
        .insert_source(source, |_, listener, server| {
            if server.accept(listener) {
                return Ok(PostAction::Continue);
            }
            let mut net = server.net();
            let retry_at = net.clock.now() + ACCEPT_RETRY_INTERVAL;
            net.timers.set(TimerEvent::ResumeAccepting, retry_at);
            Ok(PostAction::Disable)
        })
        .map_err(|e| e.error)?;
    Ok(token)
}

fn new_net(config: &Config, event_loop: EventLoopHandle, poller: Poller) -> Net {
    let available = config.max_sockets.saturating_sub(RESERVED_DESCRIPTORS) as f64;
    let limit = |share: f64| (available * share).max(1.0) as usize;
    Net {
        event_loop,
        poller,
        clock: Clock::default(),
        timers: Deadlines::default(),
        name: config.name.clone(),
        pool_address: config.pool_address,
        dependency_address: config.dependency_address,
        membership_address: config.membership_address,
        edge: EdgeConnections::with_limit(limit(EDGE_SHARE)),
        pool: WorkerPoolLink::new(config.max_result_bytes, &config.seed, &config.name),
        calls: DependencyCalls::with_limit(limit(CALLS_SHARE)),
        reports: MembershipReports::new(report_pacer(config)),
        read_queue: VecDeque::new(),
        pool_read_pending: false,
        core_healthy: true,
        health_changed: false,
    }
}

/// Paces reports by the TTL of an entry, and by the number of servers if the settings give it.
fn report_pacer(config: &Config) -> RetryPacer {
    let pacer_config = aldercrank_pacing::RetryPacerConfig {
        interval: REPORT_INTERVAL,
        entry_lifetime: ENTRY_TTL,
        max_backoff: config.max_report_backoff.unwrap_or(ENTRY_TTL.mul_f64(REPORT_BACKOFF_SHARE)),
        server_count: config.settings.number("peers_total"),
    };
    RetryPacer::new(pacer_config, &config.seed, &config.name, Clock::unix_time())
}

impl Server {
    fn new(
        config: Config,
        mut net: Net,
        read_config: ReadConfig,
        listener: Rc<TcpListener>,
        listener_token: RegistrationToken,
    ) -> Server {
        let agreement = config
            .agreement
            .as_ref()
            .map(|agreement| Box::new(ConfigAgreement::new(&config, agreement, net.event_loop.clone())));
        let socket_settings = SocketSettings::new(&config.settings);
        socket_settings.apply_to(&mut net.edge);
        Server {
            net: Rc::new(RefCell::new(net)),
            core: None,
            agreement,
            pool_was_cold: false,
            phase: Phase::Starting,
            read_config,
            result_memory_bytes: (config.memory_bytes as f64 * CACHED_RESULTS_MEMORY_SHARE) as usize,
            stop_timeout: config.stop_timeout,
            config,
            socket_settings,
            read_buffer: Vec::new(),
            read_round_start: None,
            listener: Some(listener),
            accept_queue_empty_at: Duration::ZERO,
            listener_token: Some(listener_token),
        }
    }
}
