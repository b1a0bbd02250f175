//! The program on loopback sockets from start to shutdown: health checks, load reports, reloads and unavailable
//! services.

use crate::codecs::health_check_message;
use crate::harness::{
    accept_within, attempt, listen, listen_again, ok, report_accepted, serve_http, PoolConnection, Program,
    TIMEOUT,
};
use std::io::{Read, Write};
use std::process::Command;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

#[test]
fn requests_are_served_from_the_first_health_check_to_a_graceful_shutdown() {
    let mut program = Program::start(|_| ok("reply\r\n!"));
    let mut edge = program.connect();
    edge.0.write_all(&health_check_message(1)).unwrap();
    // The server is unhealthy before the pool is bound.
    edge.read_until(&[&[0x94, 1, 1, 0xc0, 0x92, 0xc2]]);
    let mut pool = program.wait_until_serving();
    edge.0.write_all(&health_check_message(2)).unwrap();
    edge.read_until(&[&[0x94, 1, 2, 0xc0, 0x92, 0xc3]]);
    // Two requests run at once and complete in the opposite order; the first makes an upstream call.
    edge.send_request(3, "map", &attempt(3), None, &[0, 13, 10]);
    edge.send_request(4, "buy", &attempt(4), Some("t"), b"");
    assert_eq!(
        pool.next_command(),
        (vec!["spawn".into(), attempt(3), "map".into(), "3".into()], vec![0, 13, 10])
    );
    assert_eq!(pool.next_command().0[1], attempt(4));
    pool.send(&format!("blocked 1 {} 2\r\n\r\n\r\n", attempt(3)));
    let call = program.calls.recv_timeout(TIMEOUT).unwrap();
    assert!(call.contains(&format!("X-Parent-Id: {}\r\n", attempt(3))) && call.ends_with("\r\n\r\n\r\n"));
    assert_eq!(pool.next_command(), (vec!["supply".into(), attempt(3), "8".into()], b"reply\r\n!".to_vec()));
    pool.finish(2, &attempt(4), b"\xff\0four");
    edge.read_until(&[&[0x94, 1, 4, 0xc0, 0x92, 0xc4, 6], b"\xff\0four", b"hint"]);
    // A repeated request is answered with the cached response.
    edge.send_request(5, "buy", &attempt(5), Some("t"), b"");
    edge.read_until(&[&[0x94, 1, 5, 0xc0, 0x92, 0xc4, 6], b"\xff\0four"]);
    // On SIGTERM the server reports OUT, becomes unhealthy, waits for the running requests and closes all connections.
    program.send_sigterm();
    assert!(program.reports.iter().any(|r| r.ends_with("{\"phase\":\"OUT\"}")));
    edge.0.write_all(&health_check_message(6)).unwrap();
    edge.read_until(&[&[0x94, 1, 6, 0xc0, 0x92, 0xc2]]);
    pool.finish(3, &attempt(3), b"three");
    edge.read_until(&[&[0x94, 1, 3, 0xc0, 0x92, 0xc4, 5], b"three", b"closing"]);
    drop(edge);
    assert!(program.wait_for_exit().success());
}

#[test]
fn before_the_pool_is_bound_requests_are_rejected_and_sigterm_exits_cleanly() {
    let mut program = Program::start(|_| None);
    let mut edge = program.connect();
    edge.send_request(1, "map", &attempt(1), None, b"");
    edge.read_until(&[&[0x94, 1, 1, 0x92], b"Overloaded"]);
    program.send_sigterm();
    edge.read_until(&[b"closing"]);
    drop(edge);
    assert!(program.wait_for_exit().success());
}

#[test]
fn the_command_line_reports_an_error_in_one_line() {
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_aldercrank"));
        let out = command.args(args).env_remove("ROUTER_CONFIG").output().unwrap();
        (out.status.success(), String::from_utf8(out.stdout).unwrap(), String::from_utf8(out.stderr).unwrap())
    };
    assert!(run(&["version"]).1.starts_with("aldercrank "));
    for args in [["check-config", "/nowhere.json"].as_slice(), &["serve"], &["check-config", "/dev/null"]] {
        let (success, _, stderr) = run(args);
        assert!(!success && stderr.lines().count() == 1, "{args:?}: {stderr}");
    }
    let program = Program::start(|_| None);
    let (success, stdout, _) = run(&["check-config", program.config.to_str().unwrap()]);
    assert!(success && stdout.contains("n1"), "{stdout}");
}

#[test]
fn requests_are_served_without_dependency_and_membership_service_and_reports_follow_later() {
    let mut program = Program::start_with_stubs(None::<fn(&str) -> Option<String>>);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("0", "3.5");
    let mut edge = program.connect();
    // A call whose connection was refused never ran: it is retried, and the request fails by its deadline.
    edge.send_request(1, "buy", &attempt(1), Some("t"), b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    pool.send(&format!("blocked 1 {} 1\r\n?\r\n", attempt(1)));
    edge.send_request(2, "map", &attempt(2), None, b"");
    assert_eq!(pool.next_command().0[1], attempt(2));
    pool.finish(2, &attempt(2), b"two");
    edge.read_until(&[b"two", &[0x94, 1, 1, 0x92], b"Internal"]);
    let (addr, reports) = program.unstarted_stubs.pop().unwrap();
    serve_http(listen_again(addr), reports, report_accepted);
    assert!(program.reports.recv_timeout(TIMEOUT).unwrap().ends_with("{\"phase\":\"UP\"}"));
}

#[test]
fn after_a_suspension_of_the_process_each_request_has_one_answer() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    (1..=4).for_each(|n| edge.send_request(n, "buy", &attempt(n), Some(&attempt(n)), b""));
    (1..=4).for_each(|n| assert_eq!(pool.next_command().0[1], attempt(n)));
    program.signal("-STOP");
    // During the suspension one run completes, a repeat of its request arrives, and all deadlines pass.
    pool.finish(1, &attempt(1), b"one");
    edge.send_request(5, "buy", &attempt(1), Some(&attempt(1)), b"");
    std::thread::sleep(Duration::from_millis(3200));
    program.signal("-CONT");
    let mut received = Vec::new();
    let count_responses = |bytes: &[u8]| bytes.windows(2).filter(|w| *w == [0x94, 1]).count();
    edge.0.set_read_timeout(Some(Duration::from_millis(600))).unwrap();
    loop {
        let mut chunk = [0; 4096];
        match edge.0.read(&mut chunk) {
            Ok(n) if n > 0 => received.extend(&chunk[..n]),
            _ => break,
        }
    }
    assert_eq!(count_responses(&received), 5, "{received:?}");
    // The next command is for another request, so no request ran again.
    edge.send_request(6, "buy", &attempt(6), Some(&attempt(6)), b"");
    assert_eq!(pool.next_command().0[1], attempt(6));
}

#[test]
fn a_reload_moves_every_link_and_an_invalid_file_moves_none() {
    let mut program = Program::start(|_| ok("old"));
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    (1..=2).for_each(|n| edge.send_request(n, "buy", &attempt(n), Some(&attempt(n)), b""));
    (1..=2).for_each(|n| assert_eq!(pool.next_command().0[1], attempt(n)));
    // Neither a truncated file nor a reload with the same addresses changes anything.
    std::fs::write(&program.config, "{\"name\":").unwrap();
    program.signal("-HUP");
    std::thread::sleep(Duration::from_millis(100));
    program.reload(&[]);
    pool.finish(1, &attempt(1), b"one");
    edge.read_until(&[b"one"]);
    // Reload with new addresses, on which the stubs of this test listen.
    let ip = program.edge.ip().to_string();
    let (new_pool, pool_addr) = listen(&ip);
    let ((call_sender, calls), (report_sender, reports)) = (channel(), channel());
    let ((index, index_addr), (members, members_addr)) = (listen(&ip), listen(&ip));
    serve_http(index, call_sender, |_| ok("new"));
    serve_http(members, report_sender, report_accepted);
    program.reload(&[("pool", pool_addr), ("index", index_addr), ("members", members_addr)]);
    let mut new_link = PoolConnection::accept(&new_pool);
    assert_eq!(new_link.next_command().0, ["bind", "1"]);
    // A request that arrives before the new link is bound is started on it. A result that arrives on both links is
    // sent to the caller once.
    pool.finish(2, &attempt(2), b"two");
    edge.send_request(3, "buy", &attempt(3), Some("t"), b"");
    std::thread::sleep(Duration::from_millis(50));
    new_link.send("bound warm 99000\r\n");
    new_link.finish(2, &attempt(2), b"two");
    assert_eq!(new_link.next_command().0[..2], ["spawn".to_string(), attempt(3)]);
    new_link.send(&format!("blocked 3 {} 1\r\n?\r\n", attempt(3)));
    assert_eq!(new_link.next_command(), (vec!["supply".into(), attempt(3), "3".into()], b"new".to_vec()));
    assert!(calls.try_recv().is_ok() && program.calls.try_recv().is_err());
    new_link.finish(4, &attempt(3), b"three");
    let received = edge.read_until(&[b"two", b"three"]);
    assert_eq!(received.windows(3).filter(|w| *w == b"two").count(), 1);
    assert!(reports.recv_timeout(TIMEOUT).unwrap().ends_with("{\"phase\":\"UP\"}"));
    while program.reports.try_recv().is_ok() {}
    // Reload once more while draining: the load report goes to the newest address.
    program.send_sigterm();
    assert!(reports.iter().any(|r| r.ends_with("{\"phase\":\"OUT\"}")));
    program.reload(&[]);
    let _back = PoolConnection::accept(&program.pool);
    assert!(program.reports.recv_timeout(TIMEOUT).unwrap().ends_with("{\"phase\":\"OUT\"}"));
    drop(edge);
    assert!(program.wait_for_exit().success());
}

#[test]
fn reloaded_settings_apply_only_to_later_requests() {
    let mut program = Program::start(|_| None);
    let mut pool = program.wait_until_serving();
    let mut edge = program.connect();
    edge.send_request(1, "buy", &attempt(1), Some("t1"), b"");
    assert_eq!(pool.next_command().0[1], attempt(1));
    // A reload withdraws the class, and another one offers it again.
    let profiles = program.configuration["settings"]["profiles"].as_array().unwrap();
    let class = profiles.iter().position(|p| p["name"] == "buy").unwrap();
    program.configuration["settings"]["profiles"][class]["offered"] = false.into();
    program.reload(&[]);
    std::thread::sleep(Duration::from_millis(150));
    edge.send_request(2, "buy", &attempt(2), Some("t2"), b"");
    edge.read_until(&[b"Overloaded"]);
    pool.finish(1, &attempt(1), b"bought");
    edge.read_until(&[b"bought"]);
    program.configuration["settings"]["profiles"][class]["offered"] = true.into();
    program.reload(&[]);
    std::thread::sleep(Duration::from_millis(150));
    edge.send_request(3, "buy", &attempt(3), Some("t3"), b"");
    assert_eq!(pool.next_command().0[1], attempt(3));
    pool.finish(2, &attempt(3), b"again");
    edge.read_until(&[b"again"]);
}

#[test]
fn an_unanswered_report_delays_neither_the_next_nor_a_changed_one() {
    // The grace period is shorter than the time that the server waits for the response to a report.
    let short_grace_period = |config: &mut serde_json::Value| {
        config["settings"]["rules"]["stop_sending_within"] = serde_json::json!(120_000);
    };
    let mut program = Program::start_with(None::<fn(&str) -> Option<String>>, short_grace_period);
    let silent = listen_again(program.unstarted_stubs.pop().unwrap().0);
    let mut pool = PoolConnection::accept(&program.pool);
    pool.bind("0", "3.5");
    let began = Instant::now();
    let mut reports = Vec::new();
    for phase in ["UP", "UP", "OUT"] {
        if phase == "OUT" {
            program.send_sigterm();
        }
        let mut stream =
            accept_within(&silent, TIMEOUT).unwrap_or_else(|| panic!("{phase} was never reported"));
        let mut text = [0; 1024];
        let n = stream.read(&mut text).unwrap();
        assert!(String::from_utf8_lossy(&text[..n]).ends_with(&format!("{{\"phase\":\"{phase}\"}}")));
        reports.push(stream);
    }
    assert!(began.elapsed() < Duration::from_millis(1900));
}
