//! A fifth of the backends fall silent for 6 s. Afterwards each of them has to take work again.

use crate::edge::{EdgeConnection, How, Sent};
use crate::fleet::{Addresses, Server};
use crate::platform::{relay, start_index, Link, Members};
use crate::pool::{Pool, Requests, Work};
use crate::{sleep_ms, unix_ms, Random, Record};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Seconds from the start of the load: the silence begins, how long it lasts, and the end of the day.
const CUT_AT: f64 = 15.0;
const CUT_FOR: f64 = 6.0;
const DAY: f64 = 75.0;
/// How long after the silence the server may still be out: the list is late by 2 s, and an entry lapses after 3 s.
const SETTLING: f64 = 15.0;
/// How late an edge node sees the list ("a second or two").
const LIST_LAG: Duration = Duration::from_millis(1500);
const EDGES: usize = 12;
const SERVERS: usize = 5;
/// The server that falls silent.
const SILENT: usize = 1;
/// First tries a second, of each edge node: 3.7 a second for each server, as in the brief.
const RATE: f64 = 3.7 * SERVERS as f64 / EDGES as f64;

struct Class {
    name: &'static str,
    share: f64,
    give_up_ms: u64,
    work: Work,
    keyed: bool,
}

const CLASSES: [Class; 3] = [
    Class {
        name: "map-extract",
        share: 0.51,
        give_up_ms: 11000,
        work: Work { ms: 380, calls: true },
        keyed: false,
    },
    Class {
        name: "route-plan",
        share: 0.29,
        give_up_ms: 5300,
        work: Work { ms: 270, calls: false },
        keyed: false,
    },
    Class {
        name: "licence-buy",
        share: 0.20,
        give_up_ms: 5300,
        work: Work { ms: 160, calls: true },
        keyed: true,
    },
];

/// The settings of nairobi-main as it has grown.
fn settings() -> String {
    let profile = |name: &str, effect: &str, aim: u64, give_up: u64, points: f64, window: u64| {
        format!(
            "{{\"name\":\"{name}\",\"effect\":\"{effect}\",\"goal_time\":{aim}000,\"give_up\":{give_up}000,\
             \"points\":{points:.1},\"late_worth\":0.2,\"window\":{window}000}}"
        )
    };
    let profiles = [
        profile("map-extract", "retryable", 3200, 11000, 1.0, 5000),
        profile("route-plan", "retryable", 2100, 5300, 2.0, 5000),
        profile("licence-buy", "dedup", 1600, 5300, 5.0, 15951),
    ];
    format!(
        "{{\"azs\":[\"nbo-dc1\"],\"my_zone\":\"nbo-dc1\",\"peers_total\":5,\"position\":0,\"tick\":5000,\
         \"family\":\"server\",\
         \"family_info\":{{\"cores\":2,\"memory_kb\":8000.0,\"run_factor\":4.0,\"key_kb\":20.0,\"cold\":false,\
         \"advert\":\"share_of\",\"halt\":\"abort\",\"cancel_seen\":true,\"passes_deadline\":true,\
         \"readiness\":true,\"below\":\"shared\",\"calls_out\":6.0,\"calls_over\":5000000,\"linger\":200000,\
         \"fresh_for\":0,\"idle\":30000000,\"upstreams\":12,\"heeded\":1000000,\
         \"class_calls\":[true,false,true],\"worth_without\":[0.6,0.0,0.0],\
         \"meters\":[\"cpu_busy\",\"runnable\",\"mem_used\",\"sockets\"]}},\
         \"limits\":{{\"retry_after\":true,\"max_retry_after\":1000000}},\
         \"rules\":{{\"answer_slack\":60000,\"cold_from\":0.23,\"warm_after\":17000000,\"fall\":2000000,\
         \"fall_multiple\":5.0,\"stop_sending_within\":2000000}},\"profiles\":[{}]}}",
        profiles.join(",")
    )
}

struct World {
    record: Arc<Record>,
    requests: Arc<Requests>,
    members: Arc<Members>,
    started: Instant,
    done: AtomicBool,
    counts: [Counts; SERVERS],
}

/// What the edge nodes see of one server: before the partition, and once it may be expected back.
#[derive(Default)]
struct Counts {
    served_before: AtomicUsize,
    sent_after: AtomicUsize,
    served_after: AtomicUsize,
    checks_good_after: AtomicUsize,
    checks_bad_after: AtomicUsize,
}

impl World {
    fn at(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
    fn is_after(&self) -> bool {
        self.at() > CUT_AT + CUT_FOR + SETTLING
    }
}

/// The server that an edge node sends to next.
struct Target {
    name: String,
    address: std::net::SocketAddr,
    connections: Vec<EdgeConnection>,
    check: Option<EdgeConnection>,
    away_until: Option<Instant>,
}

fn edge_node(world: &World, number: usize, targets: Vec<(String, std::net::SocketAddr)>) {
    let mut random = Random(0x9e37_79b9_7f4a_7c15 ^ (number as u64 + 1) << 20);
    let mut targets: Vec<Target> = targets
        .into_iter()
        .map(|(name, address)| Target {
            name,
            address,
            connections: Vec::new(),
            check: None,
            away_until: None,
        })
        .collect();
    let mut turn = number;
    let mut next_at = Instant::now();
    let mut next_check = Instant::now();
    // Sent and not answered: id, target, connection, give-up time.
    let mut open: Vec<(String, usize, Instant)> = Vec::new();
    // What this edge node sees of the list.
    let mut listed = vec![true; targets.len()];
    while !world.done.load(Ordering::SeqCst) {
        sleep_ms(2);
        let now = Instant::now();
        for (target, listed) in targets.iter().zip(&mut listed) {
            *listed = now.checked_sub(LIST_LAG).is_some_and(|at| world.members.listed(&target.name, at));
        }
        for (index, target) in targets.iter_mut().enumerate() {
            let answers: Vec<_> = target.connections.iter().flat_map(EdgeConnection::take_answers).collect();
            for answer in answers {
                open.retain(|(id, _, _)| *id != answer.id);
                if answer.how == How::Refused && !answer.backoff.is_zero() {
                    target.away_until = Some(answer.at + answer.backoff);
                }
                if answer.how == How::Served && world.at() < CUT_AT {
                    world.counts[index].served_before.fetch_add(1, Ordering::SeqCst);
                } else if answer.how == How::Served && world.is_after() {
                    world.counts[index].served_after.fetch_add(1, Ordering::SeqCst);
                }
            }
            target.connections.retain(|connection| connection.is_usable() || !open.is_empty());
        }
        let late: Vec<_> = open.iter().filter(|(_, _, until)| *until <= now).cloned().collect();
        for (id, index, _) in late {
            targets[index].connections.iter_mut().for_each(|connection| connection.interrupt(&id));
            open.retain(|(other, _, _)| *other != id);
        }
        if now >= next_check {
            next_check = now + Duration::from_secs(2);
            for (index, target) in targets.iter_mut().enumerate() {
                if target.check.is_none() {
                    let label = format!("edge {number} check of {}", target.name);
                    let (record, requests) = (world.record.clone(), world.requests.clone());
                    target.check =
                        EdgeConnection::open(target.address, &label, number as u32, record, requests).ok();
                }
                if let Some(check) = &mut target.check {
                    if world.is_after() {
                        let counter = match check.healthy() {
                            Some(true) => &world.counts[index].checks_good_after,
                            _ => &world.counts[index].checks_bad_after,
                        };
                        counter.fetch_add(1, Ordering::SeqCst);
                    }
                    if check.is_usable() {
                        check.check();
                    } else {
                        target.check = None;
                    }
                }
            }
        }
        if now < next_at {
            continue;
        }
        next_at += Duration::from_secs_f64((0.5 + random.fraction()) / RATE);
        let fraction = random.fraction();
        let mut below = 0.0;
        let chosen = CLASSES.iter().find(|class| {
            below += class.share;
            fraction < below
        });
        let class = chosen.unwrap_or(&CLASSES[0]);
        turn += 1;
        let order = (0..targets.len()).map(|step| (turn + step) % targets.len());
        let willing = order
            .filter(|index| listed[*index] && targets[*index].away_until.is_none_or(|until| until <= now));
        let Some(index) = willing.into_iter().next() else {
            world.record.line(&format!("edge {number}: no server is willing"));
            continue;
        };
        let target = &mut targets[index];
        if !target.connections.iter().any(EdgeConnection::is_usable) {
            let label = format!("edge {number} to {}", target.name);
            let (record, requests) = (world.record.clone(), world.requests.clone());
            match EdgeConnection::open(target.address, &label, number as u32, record, requests) {
                Ok(connection) => target.connections.push(connection),
                Err(_) => continue,
            }
        }
        let Some(connection) = target.connections.iter_mut().find(|connection| connection.is_usable()) else {
            continue;
        };
        let id = format!("{:016x}", random.next());
        let sent = Sent {
            id: id.clone(),
            class: class.name,
            t0: unix_ms(),
            budget_ms: Some(class.give_up_ms),
            token: class.keyed.then(|| format!("{:032x}", random.next())),
            subject: None,
            body: format!("body of {id}").into_bytes(),
        };
        if connection.send(&sent) {
            open.push((id, index, now + Duration::from_millis(class.give_up_ms)));
            if world.is_after() {
                world.counts[index].sent_after.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

pub fn run(record: Arc<Record>, command: &str, trouble: bool) -> Result<Option<String>, String> {
    let text = |e: std::io::Error| e.to_string();
    let requests = Arc::new(Requests::default());
    let (members, members_address) = Members::start(record.clone()).map_err(text)?;
    let index = start_index(record.clone(), 60).map_err(text)?;
    let cut = Arc::new(Link::default());
    let work: HashMap<String, Work> =
        CLASSES.iter().map(|class| (class.name.to_string(), class.work)).collect();
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let name = format!("n{}", number + 1);
        let pool = Pool::start(&format!("pool of {name}"), record.clone(), requests.clone(), work.clone())
            .map_err(text)?;
        let members = if number == SILENT {
            relay(members_address, cut.clone()).map_err(text)?
        } else {
            members_address
        };
        let to = Addresses { pool: pool.address, members, index };
        servers.push(Server::start(&name, command, &to, &settings())?);
    }
    // Each entry is listed once its server has reported.
    let ready_by = Instant::now() + Duration::from_secs(20);
    let all_listed = |at: Instant| servers.iter().all(|server| members.listed(&server.name, at));
    while !Instant::now().checked_sub(LIST_LAG).is_some_and(all_listed) {
        if Instant::now() > ready_by {
            let logs: Vec<String> = servers.iter().map(Server::log).collect();
            return Err(format!("the servers did not come up: {}", logs.join("\n")));
        }
        sleep_ms(20);
    }
    let world = Arc::new(World {
        record: record.clone(),
        requests,
        members: members.clone(),
        started: Instant::now(),
        done: AtomicBool::new(false),
        counts: Default::default(),
    });
    record.line("load begins");
    let mut threads = Vec::new();
    for edge in 0..EDGES {
        let mut targets = Vec::new();
        for (number, server) in servers.iter().enumerate() {
            let address = if number == SILENT {
                relay(server.address, cut.clone()).map_err(text)?
            } else {
                server.address
            };
            targets.push((server.name.clone(), address));
        }
        let world = world.clone();
        threads.push(std::thread::spawn(move || edge_node(&world, edge, targets)));
    }
    while world.at() < DAY {
        let is_cut = trouble && (CUT_AT..CUT_AT + CUT_FOR).contains(&world.at());
        if is_cut != cut.is_cut() {
            let what = if is_cut { "begins" } else { "ends" };
            record.line(&format!("the silence of {} {what}", servers[SILENT].name));
            cut.set_cut(is_cut);
        }
        sleep_ms(2);
    }
    world.done.store(true, Ordering::SeqCst);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    let seconds = DAY - CUT_AT - CUT_FOR - SETTLING;
    let mut out_of_service = Vec::new();
    for (server, counts) in servers.iter_mut().zip(&world.counts) {
        let alive = server.is_running();
        let listed = members.listed(&server.name, Instant::now());
        for line in server.log().lines() {
            record.line(&format!("log of {}: {line}", server.name));
        }
        let figures = format!(
            "{}: served {} in the first {CUT_AT} s; in the last {seconds} s: sent {}, served {}, health checks good {} bad {}; \
             listed at the end {listed}, process runs {alive}",
            server.name,
            count(&counts.served_before),
            count(&counts.sent_after),
            count(&counts.served_after),
            count(&counts.checks_good_after),
            count(&counts.checks_bad_after),
        );
        record.line(&figures);
        println!("{figures}");
        if count(&counts.served_before) == 0 {
            return Err(format!("{} did not serve before the silence", server.name));
        }
        // Broken if a server never came back: it runs, nothing waits for it, and it took nothing.
        if count(&counts.served_after) == 0 && count(&counts.checks_good_after) == 0 {
            out_of_service.push(server.name.clone());
        }
    }
    let names = out_of_service.join(", ");
    Ok((!out_of_service.is_empty())
        .then(|| format!("{names}: runs, with an idle pool and whole links, but never takes work again")))
}
