//! A keyed request is tried again within its window, and a partition of 6 s holds the second try up. Once the first has
//! run, the second must neither run nor be rejected.

use crate::edge::{Answer, EdgeConnection, How, Sent};
use crate::fleet::{Addresses, Server};
use crate::platform::{relay, start_index, Link, Members};
use crate::pool::{Pool, Requests, Work};
use crate::{sleep_ms, unix_ms, Random, Record};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The window for repeats of the keyed class.
const WINDOW_MS: u64 = 1000;
/// An edge node tries a keyed request once more if it has no answer by then.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// The partition begins this long after the first payment from the other zone that is sent after `QUIET` seconds.
const QUIET: f64 = 5.0;
const CUT_AFTER: Duration = Duration::from_millis(200);
const CUT_FOR: Duration = Duration::from_secs(6);
const DAY: f64 = 17.0;
const EDGES: usize = 3;
/// The edge node in the other zone; the others are in that of the server.
const FAR_EDGE: usize = 2;
/// Each edge node posts a payment once in `EVERY`, and looks up two balances, each so long after the payment.
const EVERY: Duration = Duration::from_secs(3);
const LOOKUPS_AFTER: [Duration; 2] = [Duration::from_millis(440), Duration::from_millis(470)];
const KEYED: &str = "post-payment";
const LOOKUP: usize = 0;
const PAYMENT: usize = 2;
/// Name, give-up time, work.
const CLASSES: [(&str, u64, Work); 3] = [
    ("balance-lookup", 9160, Work { ms: 250, calls: true }),
    ("statement", 5770, Work { ms: 350, calls: false }),
    (KEYED, 9160, Work { ms: 310, calls: true }),
];

/// The settings of dues-metro-manila, with the times that the bench draws for its day `split+brink+mass`, seed 2.
fn settings() -> String {
    let profile = |name: &str, effect: &str, aim: u64, give_up: u64, window: u64| {
        format!(
            "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"goal_time\":{aim}000,\"give_up\":{give_up}000,\
             \"points\":1.0,\"late_worth\":0.2,\"window\":{window}000}}"
        )
    };
    let profiles = [
        profile("balance-lookup", "retryable", 2790, 9160, 5000),
        profile("statement", "retryable", 2290, 5770, 5000),
        profile(KEYED, "dedup", 2290, 9160, WINDOW_MS),
    ];
    format!(
        "{{\"azs\":[\"quezon-city\",\"makati\"],\"my_zone\":\"makati\",\"peers_total\":2,\"position\":0,\
         \"tick\":5000,\"family\":\"server\",\
         \"family_info\":{{\"cores\":2,\"memory_kb\":20000.0,\"run_factor\":8.0,\"key_kb\":20.0,\"cold\":false,\
         \"advert\":\"threshold\",\"halt\":\"none\",\"cancel_seen\":true,\"passes_deadline\":false,\
         \"readiness\":false,\"below\":\"shared\",\"calls_out\":12.0,\"calls_over\":5000000,\"linger\":200000,\
         \"fresh_for\":0,\"idle\":30000000,\"upstreams\":3,\"heeded\":1000000,\
         \"class_calls\":[true,false,true],\"worth_without\":[0.5,0.0,0.0],\
         \"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]}},\
         \"limits\":{{\"retry_after\":true,\"max_retry_after\":1000000}},\
         \"rules\":{{\"answer_slack\":80000,\"cold_from\":0.33,\"warm_after\":16000000,\"fall\":1500000,\
         \"fall_multiple\":5.0,\"stop_sending_within\":2000000}},\"profiles\":[{}]}}",
        profiles.join(",")
    )
}

struct Try {
    id: String,
    t0: u64,
    edge: usize,
    sent_at: Instant,
    due: Instant,
    /// Answered, given up, or its connection has ended.
    over: bool,
    refused: bool,
}

struct Request {
    class: usize,
    token: Option<String>,
    body: Vec<u8>,
    tries: Vec<Try>,
}

struct EdgeNode {
    address: std::net::SocketAddr,
    connections: Vec<EdgeConnection>,
}

impl EdgeNode {
    fn send(
        &mut self,
        number: usize,
        request: &mut Request,
        id: String,
        record: &Arc<Record>,
        requests: &Arc<Requests>,
    ) {
        if !self.connections.iter().any(EdgeConnection::is_usable) {
            let label = format!("edge {number}");
            let (record, requests) = (record.clone(), requests.clone());
            let opened = EdgeConnection::open(self.address, &label, number as u32, record, requests);
            let Ok(opened) = opened else { return };
            self.connections.push(opened);
        }
        let Some(connection) = self.connections.iter_mut().find(|connection| connection.is_usable()) else {
            return;
        };
        let (class, give_up_ms, _) = CLASSES[request.class];
        let t0 = unix_ms();
        let sent = Sent {
            id: id.clone(),
            class,
            t0,
            budget_ms: None,
            token: request.token.clone(),
            subject: None,
            body: request.body.clone(),
        };
        if connection.send(&sent) {
            if let Some(token) = &request.token {
                record.line(&format!(
                    "edge {number}: {id} is try {} of token {token}",
                    request.tries.len() + 1
                ));
            }
            let now = Instant::now();
            let due = now + Duration::from_millis(give_up_ms);
            request.tries.push(Try { id, t0, edge: number, sent_at: now, due, over: false, refused: false });
        }
    }
}

pub fn run(record: Arc<Record>, command: &str, trouble: bool) -> Result<Option<String>, String> {
    let text = |e: std::io::Error| e.to_string();
    let requests = Arc::new(Requests::default());
    let (members, members_address) = Members::start(record.clone()).map_err(text)?;
    let index = start_index(record.clone(), 60).map_err(text)?;
    let work: HashMap<String, Work> =
        CLASSES.iter().map(|(name, _, work)| (name.to_string(), *work)).collect();
    let pool = Pool::start("pool of n2", record.clone(), requests.clone(), work).map_err(text)?;
    let to = Addresses { pool: pool.address, members: members_address, index };
    let server = Server::start("n2", command, &to, &settings())?;
    let ready_by = Instant::now() + Duration::from_secs(20);
    while !members.listed("n2", Instant::now()) {
        if Instant::now() > ready_by {
            return Err(format!("the server did not come up: {}", server.log()));
        }
        sleep_ms(20);
    }
    let (cut, whole) = (Arc::new(Link::default()), Arc::new(Link::default()));
    let mut edges = Vec::new();
    for edge in 0..EDGES {
        let link = if edge == FAR_EDGE { cut.clone() } else { whole.clone() };
        let address = relay(server.address, link).map_err(text)?;
        edges.push(EdgeNode { address, connections: Vec::new() });
    }
    let mut random = Random(0x2545_f491_4f6c_dd1d);
    let started = Instant::now();
    // When each edge node posts its next payment, and how many of its look-ups it has sent since the last one.
    let mut next: Vec<(Instant, usize)> =
        (0..EDGES).map(|edge| (started + EVERY * edge as u32 / EDGES as u32, LOOKUPS_AFTER.len())).collect();
    let mut all: Vec<Request> = Vec::new();
    let mut cut_at: Option<Instant> = None;
    while started.elapsed().as_secs_f64() < DAY {
        sleep_ms(2);
        let now = Instant::now();
        let is_cut = trouble && cut_at.is_some_and(|at| now >= at && now < at + CUT_FOR);
        if is_cut != cut.is_cut() {
            record.line(if is_cut { "the partition begins" } else { "the partition ends" });
            cut.set_cut(is_cut);
        }
        let answers: Vec<Answer> = edges
            .iter()
            .flat_map(|edge| edge.connections.iter().flat_map(EdgeConnection::take_answers))
            .collect();
        for request in &mut all {
            let mut wants_retry = None;
            for one in request.tries.iter_mut().filter(|one| !one.over) {
                if let Some(answer) = answers.iter().find(|answer| answer.id == one.id) {
                    (one.over, one.refused) = (true, answer.how == How::Refused);
                } else if now >= one.due {
                    one.over = true;
                    edges[one.edge]
                        .connections
                        .iter_mut()
                        .for_each(|connection| connection.interrupt(&one.id));
                } else if request.token.is_some() && now >= one.sent_at + RETRY_AFTER {
                    wants_retry = Some(one.edge);
                }
            }
            // A client tries again once at most, at the same server, which may have run the first try.
            if let Some(edge) = wants_retry.filter(|_| request.tries.len() == 1) {
                let id = format!("{:016x}", random.next());
                edges[edge].send(edge, request, id, &record, &requests);
            }
        }
        for edge in 0..EDGES {
            let (payment_at, lookups) = next[edge];
            let lookup_at = LOOKUPS_AFTER.get(lookups).map(|after| payment_at - EVERY + *after);
            if now < lookup_at.unwrap_or(payment_at) {
                continue;
            }
            let class = if lookup_at.is_some() { LOOKUP } else { PAYMENT };
            next[edge] = if class == LOOKUP { (payment_at, lookups + 1) } else { (payment_at + EVERY, 0) };
            let is_keyed = class == PAYMENT;
            let token = is_keyed.then(|| format!("{:016x}{:016x}", random.next(), random.next()));
            let body = format!("body {:016x}", random.next()).into_bytes();
            let mut request = Request { class, token, body, tries: Vec::new() };
            let id = format!("{:016x}", random.next());
            edges[edge].send(edge, &mut request, id, &record, &requests);
            let is_due = started.elapsed().as_secs_f64() > QUIET && !request.tries.is_empty();
            if edge == FAR_EDGE && is_keyed && cut_at.is_none() && is_due {
                cut_at = Some(now + CUT_AFTER);
            }
            all.push(request);
        }
    }
    for line in server.log().lines() {
        record.line(&format!("log of n2: {line}"));
    }
    let ended = pool.ended.lock().map_err(|_| "the pool failed".to_string())?;
    let completed = |id: &str| ended.iter().any(|run| run.completed && run.id == id);
    let (mut keyed, mut tried_again) = (0, 0);
    let (mut run_twice, mut refused) = (Vec::new(), Vec::new());
    for request in all.iter().filter(|request| request.token.is_some()) {
        keyed += 1;
        tried_again += usize::from(request.tries.len() > 1);
        let [first, second] = &request.tries[..] else { continue };
        let apart = second.t0 - first.t0;
        if !completed(&first.id) || apart >= WINDOW_MS {
            continue;
        }
        let token = request.token.as_deref().unwrap_or_default();
        let tries = format!("token {token}: {} ran; {}, written {apart} ms later,", first.id, second.id);
        if completed(&second.id) {
            run_twice.push(format!("{tries} ran too"));
        } else if second.refused {
            refused.push(format!("{tries} was rejected as never run"));
        }
    }
    run_twice.iter().chain(&refused).for_each(|line| record.line(line));
    let figures = format!(
        "keyed requests {keyed}, tried again {tried_again}, run twice {}, rejected after their run {}",
        run_twice.len(),
        refused.len()
    );
    record.line(&figures);
    println!("{figures}");
    if cut_at.is_none() || !all.iter().any(|request| request.tries.iter().any(|one| completed(&one.id))) {
        return Err("the server ran nothing".to_string());
    }
    Ok(run_twice.into_iter().chain(refused).next())
}
