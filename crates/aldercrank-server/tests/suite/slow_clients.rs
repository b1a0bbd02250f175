//! Hundreds of clients that write slowly, stop within a message, or don't read: the process stays within its memory, and
//! others are served.

use crate::codecs::request_message;
use crate::harness::{attempt, request, EdgeConnection, Program};
use std::io::Write;

/// More than the places that a limit of 384 descriptors leaves.
const CLIENTS: u32 = 300;
const DESCRIPTORS: usize = 384;
/// The harness's memory limit, in KB.
const MEMORY_LIMIT_KB: u64 = 64 * 1024;
/// The clients send the parts of their messages in this many steps.
const STEPS: usize = 8;

/// What the clients send, without its end.
#[derive(Clone, Copy, Debug)]
enum Unfinished {
    LargeRequest,
    /// A field map of as many short fields as a message may hold.
    ManyFields,
}

fn message(unfinished: Unfinished) -> Vec<u8> {
    match unfinished {
        Unfinished::LargeRequest => request(1, "map", &attempt(1), None, &[7; 2048]),
        Unfinished::ManyFields => request_message(1, "map", &[("a", "b"); 4000], b""),
    }
}

fn expect_served(sound: &mut EdgeConnection, number: u32) {
    sound.send_request(number, "map", &attempt(1000 + number), None, b"");
    sound.read_until(&[b"done"]);
}

#[test]
fn hundreds_of_unfinished_messages_take_little_memory_and_no_service() {
    for unfinished in [Unfinished::LargeRequest, Unfinished::ManyFields] {
        let mut program = Program::start_with_descriptor_limit(Some(|_: &str| None), |_| (), DESCRIPTORS);
        let pool = program.wait_until_serving();
        std::thread::spawn(move || pool.serve(b"done"));
        let mut sound = program.connect();
        expect_served(&mut sound, 1);
        let message = message(unfinished);
        let step = message.len() / (STEPS + 1);
        let mut clients: Vec<EdgeConnection> = (0..CLIENTS).map(|_| program.connect()).collect();
        for (number, part) in (2..).zip(message.chunks(step).take(STEPS)) {
            // The server may have closed some of them to make room.
            clients.iter_mut().for_each(|client| drop(client.0.write_all(part)));
            expect_served(&mut sound, number);
        }
        let resident_kb = program.resident_kb();
        assert!(resident_kb < MEMORY_LIMIT_KB, "{unfinished:?}: {resident_kb} KB");
    }
}

#[test]
fn hundreds_of_clients_that_read_no_results_take_little_memory_and_no_service() {
    let mut program = Program::start_with_descriptor_limit(Some(|_: &str| None), |_| (), DESCRIPTORS);
    let pool = program.wait_until_serving();
    std::thread::spawn(move || pool.serve(&[7; 4096]));
    let mut sound = program.connect();
    let mut clients = Vec::new();
    // Edge nodes have at most half of the descriptors.
    for number in 1..=DESCRIPTORS as u32 / 2 {
        let mut client = program.connect_slow();
        let first = number * 100;
        (1..=31).for_each(|n| client.send_request(n, "map", &attempt(first + n), None, b""));
        clients.push(client);
        sound.send_request(number, "map", &attempt(first), None, b"");
        sound.read_until(&[&[7; 4096]]);
    }
    let resident_kb = program.resident_kb();
    assert!(resident_kb < MEMORY_LIMIT_KB, "{resident_kb} KB");
}
