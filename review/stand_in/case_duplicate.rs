//! A keyed request is tried again within its window, and a partition of 6 s holds the second try up. It must not run.

use crate::edge::{Answer, EdgeConnection, Sent};
use crate::fleet::{Addresses, Server};
use crate::platform::{relay, start_index, Link, Members};
use crate::pool::{Pool, Requests, Work};
use crate::texas::settings;
use crate::{sleep_ms, unix_ms, Random, Record};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The window for repeats of the keyed class.
const WINDOW_MS: u64 = 1000;
/// An edge node tries a keyed request once more if it has no answer by then.
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// The partition begins this long after the first keyed request that is sent after `QUIET` seconds.
const QUIET: f64 = 5.0;
const CUT_AFTER: Duration = Duration::from_millis(200);
const CUT_FOR: Duration = Duration::from_secs(6);
const DAY: f64 = 16.0;
const EDGES: usize = 3;
/// First tries a second, of all edge nodes.
const RATE: f64 = 6.0;
/// Which requests arrive when. With these, a keyed request is tried again during the partition behind other requests on
/// its connection.
const ARRIVALS: u64 = 0x2545_f491_4f6c_dd1d_u64.wrapping_mul(29);
const KEYED: &str = "sale-record";
/// Name, share, give-up time, work.
const CLASSES: [(&str, f64, u64, Work); 4] = [
    ("catalog-sync", 0.36, 8700, Work { ms: 380, calls: true }),
    ("item-lookup", 0.27, 2200, Work { ms: 160, calls: false }),
    ("stock-upload", 0.25, 8700, Work { ms: 380, calls: true }),
    (KEYED, 0.12, 7200, Work { ms: 350, calls: true }),
];

struct Try {
    id: String,
    t0: u64,
    edge: usize,
    sent_at: Instant,
    due: Instant,
    /// Answered, given up, or its connection has ended.
    over: bool,
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
        let (class, _, give_up_ms, _) = CLASSES[request.class];
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
            request.tries.push(Try { id, t0, edge: number, sent_at: now, due, over: false });
        }
    }
}

pub fn run(record: Arc<Record>, command: &str, trouble: bool) -> Result<Option<String>, String> {
    let text = |e: std::io::Error| e.to_string();
    let requests = Arc::new(Requests::default());
    let (members, members_address) = Members::start(record.clone()).map_err(text)?;
    let index = start_index(record.clone(), 60).map_err(text)?;
    let work: HashMap<String, Work> =
        CLASSES.iter().map(|(name, _, _, work)| (name.to_string(), *work)).collect();
    let pool = Pool::start("pool of n2", record.clone(), requests.clone(), work).map_err(text)?;
    let to = Addresses { pool: pool.address, members: members_address, index };
    let server = Server::start("n2", command, &to, &settings("austin", WINDOW_MS))?;
    let ready_by = Instant::now() + Duration::from_secs(20);
    while !members.listed("n2", Instant::now()) {
        if Instant::now() > ready_by {
            return Err(format!("the server did not come up: {}", server.log()));
        }
        sleep_ms(20);
    }
    let cut = Arc::new(Link::default());
    let mut edges = Vec::new();
    for _ in 0..EDGES {
        let address = relay(server.address, cut.clone()).map_err(text)?;
        edges.push(EdgeNode { address, connections: Vec::new() });
    }
    let mut random = Random(ARRIVALS);
    let started = Instant::now();
    let mut next_at = started;
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
                if answers.iter().any(|answer| answer.id == one.id) {
                    one.over = true;
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
        if now < next_at {
            continue;
        }
        next_at += Duration::from_secs_f64((0.5 + random.fraction()) / RATE);
        let fraction = random.fraction();
        let mut below = 0.0;
        let class = CLASSES.iter().position(|(_, share, _, _)| {
            below += share;
            fraction < below
        });
        let class = class.unwrap_or(0);
        let is_keyed = CLASSES[class].0 == KEYED;
        let token = is_keyed.then(|| format!("{:016x}{:016x}", random.next(), random.next()));
        let body = format!("body {:016x}", random.next()).into_bytes();
        let mut request = Request { class, token, body, tries: Vec::new() };
        let edge = (random.next() % EDGES as u64) as usize;
        let id = format!("{:016x}", random.next());
        edges[edge].send(edge, &mut request, id, &record, &requests);
        if is_keyed
            && cut_at.is_none()
            && started.elapsed().as_secs_f64() > QUIET
            && !request.tries.is_empty()
        {
            cut_at = Some(now + CUT_AFTER);
        }
        all.push(request);
    }
    for line in server.log().lines() {
        record.line(&format!("log of n2: {line}"));
    }
    let ended = pool.ended.lock().map_err(|_| "the pool failed".to_string())?;
    let completed = |id: &str| ended.iter().any(|run| run.completed && run.id == id);
    let (mut keyed, mut tried_again, mut run_twice) = (0, 0, Vec::new());
    for request in all.iter().filter(|request| request.token.is_some()) {
        keyed += 1;
        tried_again += usize::from(request.tries.len() > 1);
        let ran: Vec<&Try> = request.tries.iter().filter(|one| completed(&one.id)).collect();
        for pair in ran.windows(2) {
            let apart = pair[1].t0 - pair[0].t0;
            if apart < WINDOW_MS {
                let token = request.token.as_deref().unwrap_or_default();
                let line = format!(
                    "token {token} ran twice: as {} and, written {apart} ms later, as {}; the window is {WINDOW_MS} ms",
                    pair[0].id, pair[1].id
                );
                record.line(&line);
                run_twice.push(line);
            }
        }
    }
    let figures = format!("keyed requests {keyed}, tried again {tried_again}, run twice {}", run_twice.len());
    record.line(&figures);
    println!("{figures}");
    if cut_at.is_none() || !all.iter().any(|request| request.tries.iter().any(|one| completed(&one.id))) {
        return Err("the server ran nothing".to_string());
    }
    Ok(run_twice.into_iter().next())
}
