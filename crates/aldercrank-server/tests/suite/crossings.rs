//! Pairs of concurrent events, each forced into its unfavourable order: the process is suspended while both are queued,
//! or a stub controls the other end. docs/concurrent-events.md has the table that these tests belong to.

use crate::codecs::health_check_message;
use crate::harness::{
    accept_within, attempt, count_responses, listen, listen_again, report_accepted, request, serve_http,
    EdgeConnection, PoolConnection, Program, TIMEOUT,
};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// The length of a result, in bytes.
const RESULT_BYTES: usize = 4096;
/// How long an edge node waits for the answer to an attempt before it tries another server.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(600);

/// Replaces the value at a JSON pointer.
fn set(config: &mut serde_json::Value, path: &str, value: impl Into<serde_json::Value>) {
    *config.pointer_mut(path).unwrap_or_else(|| panic!("the configuration has no {path}")) = value.into();
}

/// Sends this many requests and completes them with results of [`RESULT_BYTES`].
fn complete_requests(edge: &mut EdgeConnection, pool: &mut PoolConnection, requests: u32) {
    (1..=requests).for_each(|n| edge.send_request(n, "map", &attempt(n), None, b""));
    for n in 1..=requests {
        let (command, _) = pool.next_command();
        pool.finish(n, &command[1], &[7; RESULT_BYTES]);
    }
}

/// Reads until the server closes the connection. Panics if it resets the connection.
fn read_to_close(edge: &mut EdgeConnection) -> Vec<u8> {
    let mut all = Vec::new();
    edge.0.read_to_end(&mut all).expect("the connection was reset");
    all
}

/// Closing a socket with unread input would reset the connection and discard answers that have not been delivered yet.
#[test]
fn input_after_a_protocol_violation_loses_no_answer() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect_slow();
    complete_requests(&mut edge, &mut pool, 8);
    edge.send_request(9, "map", &attempt(9), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(9));
    let mut writer = edge.0.try_clone().unwrap();
    let flood = std::thread::spawn(move || writer.write_all(&[0xc1; 300 * 1024]));
    let received = read_to_close(&mut edge);
    flood.join().unwrap().unwrap();
    // All eight results, and an error for the open call.
    assert_eq!(count_responses(&received), 9);
    assert!(received.len() > 8 * RESULT_BYTES && received.windows(8).any(|w| w == b"Internal"));
}

#[test]
fn an_idle_connection_with_a_slow_reader_closes_only_once_all_output_is_written() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect_slow();
    complete_requests(&mut edge, &mut pool, 32);
    // Longer than the idle timeout and the longest deadline together, after which the server closes.
    std::thread::sleep(Duration::from_millis(6000));
    let received = read_to_close(&mut edge);
    assert_eq!(count_responses(&received), 32);
    assert!(
        received.len() > 32 * RESULT_BYTES && received.ends_with(&[b"closing".as_slice(), &[0x90]].concat())
    );
}

#[test]
fn shutdown_waits_for_a_slow_reader() {
    let mut program = Program::start_with(Some(|_: &str| None), |config| set(config, "/stop_ms", 4000));
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect_slow();
    complete_requests(&mut edge, &mut pool, 32);
    program.send_sigterm();
    // Longer than the idle timeout and the close timeout together.
    std::thread::sleep(Duration::from_millis(2000));
    assert_eq!(count_responses(&read_to_close(&mut edge)), 32);
    drop(edge);
    assert!(program.wait_for_exit().success());
}

/// A close of the write side is no reset: answers that the caller has not read yet are still written.
#[test]
fn a_caller_that_closes_its_write_side_gets_all_answers() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect_slow();
    complete_requests(&mut edge, &mut pool, 32);
    // The server has handled all results once it has sent this command.
    let mut other = program.connect();
    other.send_request(1, "map", &attempt(99), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(99));
    edge.0.shutdown(std::net::Shutdown::Write).unwrap();
    std::thread::sleep(Duration::from_millis(1200));
    assert_eq!(count_responses(&read_to_close(&mut edge)), 32);
}

/// Starts a program that closes an idle connection one second after it has asked the peer to: its callers wait for half
/// a second at most, and the idle timeout is shorter.
fn start_with_close_timeout_of_one_second() -> Program {
    Program::start_with(Some(|_: &str| None), |config| {
        set(config, "/settings/profiles/0/give_up", 500_000);
        set(config, "/settings/profiles/1/give_up", 500_000);
    })
}

#[test]
fn a_request_that_arrives_as_its_idle_connection_closes_is_answered() {
    let mut program = start_with_close_timeout_of_one_second();
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.0.write_all(&health_check_message(1)).unwrap();
    edge.read_until(&[b"closing"]);
    program.pause();
    edge.send_request(2, "map", &attempt(2), None, b"");
    // The close timeout has passed as well when the process resumes.
    std::thread::sleep(Duration::from_millis(1200));
    program.resume();
    pool.complete_next_run(1, 2, b"two");
    edge.read_until(&[b"two"]);
}

/// A request that is read after the server has shut down its write side could not be answered, so it must not run.
#[test]
fn a_request_after_the_close_of_its_connection_does_not_run_and_causes_no_reset() {
    let mut program = start_with_close_timeout_of_one_second();
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.0.write_all(&health_check_message(1)).unwrap();
    let received = read_to_close(&mut edge);
    assert!(received.windows(7).any(|w| w == b"closing"));
    edge.send_request(2, "map", &attempt(2), None, b"");
    let mut other = program.connect();
    other.send_request(1, "map", &attempt(3), None, b"");
    pool.complete_next_run(1, 3, b"three");
    other.read_until(&[b"three"]);
    assert_eq!(edge.0.read(&mut [0; 16]).unwrap(), 0);
}

/// A closing connection stays open while a message is being received within the message timeout.
#[test]
fn a_partial_request_on_a_closing_connection_is_awaited() {
    let mut program = start_with_close_timeout_of_one_second();
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.0.write_all(&health_check_message(1)).unwrap();
    edge.read_until(&[b"closing"]);
    let message = request(2, "map", &attempt(2), None, b"");
    let (first, second) = message.split_at(message.len() / 2);
    std::thread::sleep(Duration::from_millis(700));
    edge.0.write_all(first).unwrap();
    // Without the partial message the connection would have closed by now.
    std::thread::sleep(Duration::from_millis(600));
    edge.0.write_all(second).unwrap();
    pool.complete_next_run(1, 2, b"two");
    edge.read_until(&[b"two"]);
}

/// Opens more connections than the limit, each with a repetition of one request that runs until the test finishes it.
/// No accepted connection is idle, so the others wait in the accept queue.
fn exceed_connection_limit(program: &Program, pool: &mut PoolConnection) -> Vec<EdgeConnection> {
    let open = |n: u32| {
        let mut edge = program.connect();
        edge.send_request(1, "buy", &attempt(n), Some("t"), b"");
        edge
    };
    let mut all = vec![open(1)];
    assert_eq!(pool.next_command().0[1], attempt(1));
    all.extend((2..=60).map(open));
    all
}

/// If the listener were closed at the end of the grace period, the connections in the accept queue would be reset.
#[test]
fn connections_in_the_accept_queue_at_the_end_of_the_grace_period_are_answered() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut all = exceed_connection_limit(&program, &mut pool);
    program.send_sigterm();
    // Longer than the grace period.
    std::thread::sleep(Duration::from_millis(500));
    pool.finish(1, &attempt(1), b"done");
    for mut edge in all.drain(..) {
        assert_eq!(count_responses(&read_to_close(&mut edge)), 1);
    }
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_request_on_a_connection_not_yet_accepted_at_sigterm_is_answered() {
    let mut program = Program::start_with(None::<fn(&str) -> Option<String>>, |config| {
        set(config, "/settings/rules/stop_sending_within", 0);
    });
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("0", "3.5");
    program.pause();
    let mut edge = program.connect();
    edge.send_request(1, "buy", &attempt(1), Some("t"), b"");
    program.send_sigterm();
    program.resume();
    assert_eq!(count_responses(&read_to_close(&mut edge)), 1);
    drop(edge);
    assert!(program.wait_for_exit().success());
}

#[test]
fn a_reload_and_sigterm_in_one_turn_both_take_effect() {
    let mut program = Program::start(|_| None);
    let _pool = program.wait_until_serving();
    let (members, addr) = listen(&program.edge.ip().to_string());
    let (report_sender, reports) = channel();
    serve_http(members, report_sender, report_accepted);
    program.pause();
    program.send_sigterm();
    program.reload(&[("members", addr)]);
    program.resume();
    assert!(reports.recv_timeout(TIMEOUT).unwrap().ends_with("{\"phase\":\"OUT\"}"));
    assert!(program.wait_for_exit().success());
}

#[test]
fn two_reloads_of_an_invalid_configuration_while_draining_change_nothing() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(1), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    program.pause();
    std::fs::write(&program.config, "{\"name\": \"n1\"").unwrap();
    program.signal("-HUP");
    program.send_sigterm();
    program.resume();
    assert!(program.reports.iter().any(|r| r.ends_with("{\"phase\":\"OUT\"}")));
    program.signal("-HUP");
    pool.finish(1, &attempt(1), b"one");
    edge.read_until(&[b"one"]);
    drop(edge);
    assert!(program.wait_for_exit().success());
}

/// The addresses in such a configuration may be those of another customer, so none of its fields may take effect.
#[test]
fn a_configuration_of_another_server_or_of_other_request_classes_changes_no_address() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let (other, addr) = listen(&program.edge.ip().to_string());
    let original = program.configuration.clone();
    for (path, value) in [("/name", "n2".into()), ("/settings/profiles", serde_json::json!([{"name": "x"}]))]
    {
        program.configuration = original.clone();
        set(&mut program.configuration, path, value);
        program.reload(&[("pool", addr), ("members", addr), ("index", addr)]);
        assert!(accept_within(&other, Duration::from_millis(300)).is_none(), "{path}");
    }
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(1), None, b"");
    pool.complete_next_run(1, 1, b"one");
    edge.read_until(&[b"one"]);
}

#[test]
fn check_config_names_all_invalid_settings_in_one_line() {
    let program = Program::start(|_| None);
    let mut configuration = program.configuration.clone();
    set(&mut configuration, "/settings/family_info/memory_kb", "lots");
    set(&mut configuration, "/settings/rules/fall_multiple", -1);
    set(&mut configuration, "/settings/profiles/1/name", "map");
    let path = program.config.with_extension("bad");
    std::fs::write(&path, configuration.to_string()).unwrap();
    let mut run = std::process::Command::new(env!("CARGO_BIN_EXE_aldercrank"));
    let out = run.arg("check-config").arg(&path).env_remove("ROUTER_CONFIG").output().unwrap();
    std::fs::remove_file(&path).unwrap();
    let why = String::from_utf8(out.stderr).unwrap();
    assert!(!out.status.success() && why.lines().count() == 1, "{why}");
    for name in ["settings.family_info.memory_kb", "settings.rules.fall_multiple", "settings.profiles.1.name"]
    {
        assert!(why.contains(name), "{name}: {why}");
    }
}

/// A suspended server notices the lost link only after the new pool has started, so the time of the loss doesn't show
/// that the pool was restarted. Without that, notices of the new pool would be taken for repeated ones.
#[test]
fn a_pool_that_is_replaced_while_the_server_is_suspended_counts_as_restarted() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(1), None, b"");
    pool.complete_next_run(4, 1, b"one");
    edge.read_until(&[b"one"]);
    edge.send_request(2, "map", &attempt(2), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(2));
    program.pause();
    drop(pool);
    std::thread::sleep(Duration::from_millis(1200));
    program.resume();
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("4", "400");
    // Runs of the old pool have failed; the numbers of the new pool's notices start at 1 again.
    edge.read_until(&[&[0x94, 1, 2, 0x92]]);
    edge.send_request(3, "map", &attempt(3), None, b"");
    pool.complete_next_run(1, 3, b"three");
    edge.read_until(&[b"three"]);
}

#[test]
fn a_server_killed_with_requests_in_flight_serves_again_at_the_same_address() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.send_request(1, "buy", &attempt(1), Some("t"), b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    program.restart();
    drop(edge);
    let mut pool = PoolConnection::accept(&program.pool);
    assert_eq!(pool.next_command().0, ["bind", "0"]);
    pool.send("bound warm 2000\r\n");
    // The result of a run that the previous process started is ignored.
    pool.finish(1, &attempt(1), b"one");
    let mut edge = program.connect();
    edge.send_request(1, "buy", &attempt(2), Some("u"), b"");
    pool.complete_next_run(2, 2, b"two");
    edge.read_until(&[b"two"]);
}

#[test]
fn restarted_servers_are_ready_within_ten_seconds_while_the_membership_service_is_unavailable() {
    let mut program = Program::start_with_stubs(None::<fn(&str) -> Option<String>>);
    let mut pool = PoolConnection::accept(&program.pool);
    for _ in 0..10 {
        assert_eq!(pool.next_command().0, ["bind", "0"]);
        program.restart();
        let started_at = Instant::now();
        pool = PoolConnection::accept(&program.pool);
        assert_eq!(pool.next_command().0, ["bind", "0"]);
        pool.send("bound cold 10\r\n");
        let mut edge = program.connect();
        edge.send_request(1, "map", &attempt(1), None, b"");
        pool.complete_next_run(1, 1, b"one");
        edge.read_until(&[b"one"]);
        assert!(started_at.elapsed() < Duration::from_secs(10));
        // The next process listens on the same address.
        program.restart();
        pool = PoolConnection::accept(&program.pool);
    }
}

/// The process's descriptor limit is the one in its configuration, and idle clients open as many connections as they
/// can.
#[test]
fn idle_clients_leave_descriptors_for_the_servers_own_connections() {
    let mut program = Program::start_with_descriptor_limit(None::<fn(&str) -> Option<String>>, |_| (), 32);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("0", "3.5");
    let mut idle: Vec<EdgeConnection> = Vec::new();
    for _ in 0..100 {
        let mut edge = program.connect();
        let _ = edge.0.write_all(&health_check_message(1));
        idle.push(edge);
    }
    // The link to the pool is lost and bound again, the membership service becomes available, and a new client is
    // served.
    drop(pool);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("0", "60000");
    let (addr, reports) = program.unstarted_stubs.pop().unwrap();
    serve_http(listen_again(addr), reports, report_accepted);
    assert!(program.reports.recv_timeout(TIMEOUT).unwrap().ends_with("{\"phase\":\"UP\"}"));
    let mut edge = program.connect();
    // The connection waits in the accept queue until idle ones have been closed. A request sent before that would reach
    // the server late, and would be rejected if it had waited for nearly the latency target.
    let _ = edge.0.write_all(&health_check_message(2));
    edge.read_until(&[&[0x94, 1, 2]]);
    edge.send_request(1, "map", &attempt(1), None, b"");
    pool.complete_next_run(1, 1, b"one");
    edge.read_until(&[b"one"]);
}

#[test]
fn at_the_connection_limit_the_server_does_not_busy_wait_and_accepts_again_later() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut all = exceed_connection_limit(&program, &mut pool);
    let before = program.voluntary_context_switches();
    std::thread::sleep(Duration::from_secs(1));
    let sleeps = program.voluntary_context_switches() - before;
    assert!(sleeps < 400, "{sleeps}");
    pool.finish(1, &attempt(1), b"done");
    // Connections whose calls are answered close and make room for the others.
    for mut edge in all.drain(..) {
        edge.read_until(&[b"done"]);
    }
}

/// Connects, sends a request and waits for its answer. Returns how long all of that took.
fn time_to_answer(server: SocketAddr, attempt_number: u32) -> Duration {
    let started_at = Instant::now();
    let stream = TcpStream::connect(server).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let mut edge = EdgeConnection(stream);
    edge.send_request(1, "map", &attempt(attempt_number), None, b"");
    edge.read_until(&[&[0x94, 1]]);
    started_at.elapsed()
}

/// The kernel drops connection requests beyond the length of the accept queue, and a client repeats its request only
/// after a second, which is longer than edge nodes wait. Fewer connections than the server's limit must not cause that.
#[test]
fn requests_on_a_burst_of_new_connections_are_answered_before_edge_nodes_give_up() {
    const CONNECTIONS: u32 = 200;
    let mut program = Program::start_with(Some(|_: &str| None), |config| {
        set(config, "/limits/sockets", 400);
    });
    let pool = program.wait_until_serving();
    std::thread::spawn(move || pool.serve(b"done"));
    program.pause();
    let server = program.edge;
    let callers: Vec<_> =
        (1..=CONNECTIONS).map(|number| std::thread::spawn(move || time_to_answer(server, number))).collect();
    std::thread::sleep(Duration::from_millis(100));
    program.resume();
    let times: Vec<Duration> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let late = times.iter().filter(|time| **time > ATTEMPT_TIMEOUT).count();
    assert_eq!(late, 0, "{late} of {CONNECTIONS} answers took longer, the last {:?}", times.iter().max());
}

/// Neither an unavailable nor a silent membership service delays the shutdown.
#[test]
fn a_membership_service_that_does_not_answer_does_not_delay_the_shutdown() {
    let mut program = Program::start_with_stubs(None::<fn(&str) -> Option<String>>);
    let silent = listen_again(program.unstarted_stubs.pop().unwrap().0);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("0", "3.5");
    let _first = accept_within(&silent, TIMEOUT).expect("no report was sent");
    let stop_requested_at = Instant::now();
    program.send_sigterm();
    assert!(program.wait_for_exit().success());
    assert!(
        stop_requested_at.elapsed() < Duration::from_millis(1500),
        "the shutdown took longer than stop_ms"
    );
}
