//! Requests on resting connections, held up by a partition of 6 s. Each has to get its final answer in time.

use crate::edge::{EdgeConnection, How, Sent};
use crate::fleet::{Addresses, Server};
use crate::platform::{relay, start_index, Link, Members};
use crate::pool::{Pool, Requests, Work};
use crate::texas::settings;
use crate::{sleep_ms, unix_ms, Random, Record};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seconds from the first requests on. Edge nodes close a connection after 30 s of idleness; these rest for 28 s.
const CUT_AT: f64 = 27.0;
const CUT_FOR: f64 = 6.0;
const SECOND_AT: f64 = 28.0;
/// One connection of each edge node.
const EDGES: usize = 4;
/// The slack of the site, and the 50 ms that sockets add to every limit.
const SLACK_MS: u64 = 80 + 50;
const CLASSES: [(&str, u64, bool); 2] = [("catalog-sync", 8700, false), ("sale-record", 7200, true)];

/// A request that was sent, and when its answer is due.
struct Pending {
    id: String,
    edge: usize,
    due: Instant,
    how: Option<How>,
    answered_at: Option<Instant>,
}

pub fn run(record: Arc<Record>, command: &str, trouble: bool) -> Result<Option<String>, String> {
    let text = |e: std::io::Error| e.to_string();
    let requests = Arc::new(Requests::default());
    let (members, members_address) = Members::start(record.clone()).map_err(text)?;
    let index = start_index(record.clone(), 60).map_err(text)?;
    let work: HashMap<String, Work> =
        CLASSES.iter().map(|(name, _, _)| (name.to_string(), Work { ms: 300, calls: true })).collect();
    let pool = Pool::start("pool of n2", record.clone(), requests.clone(), work).map_err(text)?;
    let to = Addresses { pool: pool.address, members: members_address, index };
    let server = Server::start("n2", command, &to, &settings("austin"))?;
    let ready_by = Instant::now() + Duration::from_secs(20);
    while !members.listed("n2", Instant::now()) {
        if Instant::now() > ready_by {
            return Err(format!("the server did not come up: {}", server.log()));
        }
        sleep_ms(20);
    }
    let cut = Arc::new(Link::default());
    let address = relay(server.address, cut.clone()).map_err(text)?;
    let mut connections = Vec::new();
    for edge in 0..EDGES {
        let label = format!("edge {edge}");
        let opened = EdgeConnection::open(address, &label, edge as u32, record.clone(), requests.clone());
        connections.push(opened.map_err(text)?);
    }
    let mut random = Random(0x2545_f491_4f6c_dd1d);
    let started = Instant::now();
    let at = |started: Instant| started.elapsed().as_secs_f64();
    let mut pending: Vec<Pending> = Vec::new();
    let (mut rounds, mut unsent) = (0, 0);
    loop {
        let now = at(started);
        let is_cut = trouble && (CUT_AT..CUT_AT + CUT_FOR).contains(&now);
        if is_cut != cut.is_cut() {
            record.line(if is_cut { "the partition begins" } else { "the partition ends" });
            cut.set_cut(is_cut);
        }
        if (rounds == 0 && now >= 0.0) || (rounds == 1 && now >= SECOND_AT) {
            rounds += 1;
            for (edge, connection) in connections.iter_mut().enumerate() {
                let (class, give_up_ms, keyed) = CLASSES[edge % CLASSES.len()];
                let id = format!("{:016x}", random.next());
                let sent = Sent {
                    id: id.clone(),
                    class,
                    t0: unix_ms(),
                    budget_ms: None,
                    token: keyed.then(|| format!("{:032x}", random.next())),
                    subject: None,
                    body: format!("body of {id}").into_bytes(),
                };
                // An edge node that has been told `closing` sends on a new connection; that would be another case.
                if !connection.is_usable() || !connection.send(&sent) {
                    unsent += 1;
                    continue;
                }
                let due = Instant::now() + Duration::from_millis(give_up_ms + SLACK_MS);
                pending.push(Pending { id, edge, due, how: None, answered_at: None });
            }
        }
        for answer in connections.iter().flat_map(EdgeConnection::take_answers) {
            if let Some(request) = pending.iter_mut().find(|request| request.id == answer.id) {
                (request.how, request.answered_at) = (Some(answer.how), Some(answer.at));
            }
        }
        let all_over = pending.iter().all(|request| request.how.is_some() || Instant::now() > request.due);
        if rounds == 2 && all_over {
            break;
        }
        sleep_ms(2);
    }
    for line in server.log().lines() {
        record.line(&format!("log of n2: {line}"));
    }
    let is_final = |request: &&Pending| {
        let in_time = request.answered_at.is_some_and(|at| at <= request.due);
        in_time && request.how.is_some_and(|how| how != How::Closed)
    };
    let first = pending.iter().take(EDGES).filter(is_final).count();
    let lost: Vec<&Pending> = pending.iter().skip(EDGES).filter(|request| !is_final(request)).collect();
    for request in &lost {
        record.line(&format!("lost: {} of edge {}: {:?}", request.id, request.edge, request.how));
    }
    let figures = format!(
        "first requests with a final answer: {first} of {EDGES}; requests after the rest without one: {} of {}; not sent: {unsent}",
        lost.len(),
        pending.len() - EDGES.min(pending.len())
    );
    record.line(&figures);
    println!("{figures}");
    if first < EDGES || pending.len() < 2 * EDGES {
        return Err("the requests could not be sent".to_string());
    }
    Ok((!lost.is_empty()).then(|| format!("{} requests got no final answer by their due time", lost.len())))
}
