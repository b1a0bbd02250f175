//! Formats a scenario as text, with the names that scenario files use and durations in milliseconds.

use aldercrank_test_cluster::edge_nodes::ServerChoice;
use aldercrank_test_cluster::index_stub::IndexState;
use aldercrank_test_cluster::invariant_checker::Effect;
use aldercrank_test_cluster::membership_stub::MembershipState;
use aldercrank_test_cluster::relayed_link::Impairment;
use aldercrank_test_cluster::scenario::{
    Bounds, ConfigCorruption, Fault, InjectedViolation, RequestClass, Scenario, Step, Target,
};
use std::fmt::{Debug, Write};
use std::time::Duration;

/// A duration in milliseconds, exact to the nanosecond.
fn millis(duration: Duration) -> String {
    format!("{}", duration.as_nanos() as f64 / 1e6)
}

fn or_none<T: Debug>(value: Option<T>) -> String {
    value.map_or("none".to_string(), |value| format!("{value:?}"))
}

fn millis_or_none(duration: Option<Duration>) -> String {
    duration.map_or("none".to_string(), millis)
}

/// The whole scenario, one part per line.
pub fn text(scenario: &Scenario) -> String {
    let mut lines = format!("name {:?}\nseed {}\n", scenario.name, scenario.seed);
    writeln!(lines, "span-ms {}", millis(scenario.span)).unwrap();
    writeln!(lines, "from-start {}", scenario.from_start).unwrap();
    lines += &fleet(scenario);
    scenario.classes.iter().for_each(|request_class| lines += &class(request_class));
    lines += &callers(scenario);
    lines += &services(scenario);
    writeln!(lines, "start tell-share={}", scenario.start.report_share).unwrap();
    for (index, timeline_step) in scenario.timeline.iter().enumerate() {
        lines += &step(timeline_step);
        let affected: Vec<String> = scenario.reached(index).iter().map(|server| server.to_string()).collect();
        writeln!(lines, "  reaches {}", affected.join(" ")).unwrap();
    }
    lines += &bounds(&scenario.bounds);
    writeln!(lines, "sabotage {}", scenario.injected_violation.map_or("none", violation_name)).unwrap();
    lines
}

fn fleet(scenario: &Scenario) -> String {
    let fleet = &scenario.fleet;
    format!(
        "fleet servers={} zones={} cores={} memory-kb={} cold={} cold-from={} warm-ms={} warms-times={}\n\
         fleet stop-ms={} grace-ms={} slack-ms={} memory-mb={} sockets={}\n",
        fleet.servers,
        fleet.zones,
        fleet.cores,
        fleet.admission_memory_kb,
        fleet.starts_cold,
        fleet.cold_speed,
        millis(fleet.warm_up),
        fleet.warm_up_factor,
        millis(fleet.stop_timeout),
        millis(fleet.drain_grace),
        millis(fleet.answer_slack),
        fleet.process_memory_mb,
        fleet.max_sockets
    )
}

fn class(class: &RequestClass) -> String {
    let effect = match class.effect {
        Effect::Idempotent => "inquiry-like",
        Effect::Keyed => "referenced",
        Effect::Unsafe => "once-only",
    };
    format!(
        "product {:?} effect={effect} share={} value={} late={} work-ms={} calls={} without={}\n\
         product {:?} sla-ms={} expiry-ms={} window-ms={} memory-kb={} body={}\n",
        class.name,
        class.share,
        class.value,
        class.late_share,
        millis(class.work),
        class.call_probability,
        class.degraded_share,
        class.name,
        millis(class.latency_target),
        millis(class.deadline),
        millis(class.dedup_window),
        class.memory_kb,
        class.body_length
    )
}

fn callers(scenario: &Scenario) -> String {
    let (callers, policy) = (&scenario.callers, &scenario.callers.policy);
    let choose = match policy.server_choice {
        ServerChoice::RoundRobin => "round-robin",
        ServerChoice::LeastOpenCalls => "least-open",
        ServerChoice::TwoChoices => "two-choices",
        ServerChoice::Sticky => "sticky",
    };
    format!(
        "callers rate={} edges={} choose={choose} tries={} patience-ms={} heeds={} retry-budget={}\n\
         callers checks-ms={} connections={} idle-ms={} leave={} again={}\n",
        callers.rate,
        callers.edges,
        policy.max_attempts,
        millis_or_none(policy.attempt_timeout),
        policy.follows_advice,
        policy.retry_budget,
        millis_or_none(policy.health_check_interval),
        policy.max_connections,
        millis(policy.idle_timeout),
        policy.cancel_probability,
        policy.retries_keyed_after_failure
    )
}

/// The index, the membership service and the versioned configuration.
fn services(scenario: &Scenario) -> String {
    let (index, callers) = (&scenario.index, &scenario.callers);
    let mut lines = format!(
        "index slots={} limit={} take-ms={} cold={} warming={}\nlist capacity={} lag-ms={} learn-ms={}\n",
        index.slots,
        index.limit,
        millis(index.call_duration),
        index.cold_slowdown,
        index.calls_to_warm,
        scenario.membership_capacity,
        millis(callers.membership_lag),
        millis(callers.membership_refresh)
    );
    lines += &match &scenario.versioned_config {
        None => "rules none\n".to_string(),
        Some(settings) => format!(
            "rules committee={} within-ms={} alone-ms={} disks={} set={:?}\n",
            settings.committee,
            millis(settings.decision_bound),
            millis(settings.alone_for),
            settings.has_disks,
            settings.initial_items
        ),
    };
    lines
}

fn step(step: &Step) -> String {
    let target = match &step.target {
        Target::All => "all".to_string(),
        Target::Server(server) => format!("server {server}"),
        Target::Share(share) => format!("share {share}"),
        Target::Zone(zone) => format!("zone {zone}"),
    };
    format!(
        "at-ms {} {:?} for-ms={} each-ms={} target={target} once-for-all={}\n  {}\n",
        millis(step.at),
        step.word,
        millis_or_none(step.lasts),
        millis(step.each),
        step.fault.is_shared(),
        fault(&step.fault)
    )
}

fn fault(fault: &Fault) -> String {
    match fault {
        Fault::Kill => "kill".into(),
        Fault::Shutdown => "leave".into(),
        Fault::Pause => "stop".into(),
        Fault::Signals(series) => {
            format!("signals send={:?} gap-ms={}", series.signals, millis(series.gap))
        }
        Fault::IdleConnections(count) => format!("idle-connections count={count}"),
        Fault::InvalidConfig => "bad-config".into(),
        Fault::InvalidStart => "bad-start".into(),
        Fault::SlowPool(to) => format!("slow to={to}"),
        Fault::FailingRuns(share) => format!("err share-of-runs={share}"),
        Fault::PoolCrash => "pool-gone".into(),
        Fault::PoolDelayed(by) => format!("pool-late by-ms={}", millis(*by)),
        Fault::PoolLinkResets(every) => format!("pool-resets every-ms={}", millis(*every)),
        Fault::ImpairLink { remote, to_server, from_server } => {
            format!(
                "pair with={} to=[{}] from=[{}]",
                remote.scenario_name(),
                impairment(to_server.as_ref()),
                impairment(from_server.as_ref())
            )
        }
        Fault::RefuseConnections(with) => format!("refuse with={}", with.scenario_name()),
        Fault::Index(state) => format!("index state={}", index_state(*state)),
        Fault::IndexCachesEmptied => "index-cold".into(),
        Fault::MembershipService(state) => format!("list state={}", membership_state(*state)),
        Fault::MembershipForgets => "list-forgets".into(),
        Fault::MembershipCapacity(to) => format!("list-capacity to={to}"),
        Fault::MembershipWrong => "list-wrong".into(),
        Fault::MembershipStale(by) => format!("list-old by-ms={}", millis(*by)),
        Fault::EdgeNodesRestart(share) => format!("edges-restart share-of-edges={share}"),
        Fault::ArrivalRate(times) => format!("rate times={times}"),
        Fault::Publish(publication) => {
            format!(
                "rules set={:?} every-ms={} two={}",
                publication.items,
                millis_or_none(publication.interval),
                publication.contradictory
            )
        }
        Fault::Withdraw => "rules-withdraw".into(),
        Fault::StoreCorruptConfig(kind) => format!("rules-broken kind={}", config_corruption(*kind)),
        Fault::StoreInitialVersion => "rules-old".into(),
    }
}

/// The faults of one direction of a link.
fn impairment(impairment: Option<&Impairment>) -> String {
    let Some(impairment) = impairment else { return "untouched".to_string() };
    format!(
        "delay-ms={} jitter={} cut={} reset-after={} silent-after={} rate={} share-of-pieces={} unread={}",
        millis(impairment.delay),
        impairment.jitter,
        impairment.blocked,
        or_none(impairment.reset_after_bytes),
        or_none(impairment.silent_after_bytes),
        or_none(impairment.bytes_per_second),
        impairment.bit_flip_probability,
        impairment.unread
    )
}

fn index_state(state: IndexState) -> String {
    match state {
        IndexState::Healthy => "well".into(),
        IndexState::Slow(by) => format!("slow by={by}"),
        IndexState::Hung => "hung".into(),
        IndexState::Shedding => "shedding".into(),
        IndexState::Truncating => "half".into(),
        IndexState::Dead => "dead".into(),
    }
}

fn membership_state(state: MembershipState) -> &'static str {
    match state {
        MembershipState::Up => "up",
        MembershipState::Down => "down",
        MembershipState::Silent => "silent",
        MembershipState::Closing => "closing",
    }
}

fn config_corruption(kind: ConfigCorruption) -> &'static str {
    match kind {
        ConfigCorruption::Truncated => "cut",
        ConfigCorruption::Overlong => "long",
        ConfigCorruption::InvalidField => "field",
        ConfigCorruption::LaterFormat => "later",
    }
}

fn bounds(bounds: &Bounds) -> String {
    let listed_by = millis_or_none(bounds.listed_by);
    let all = [
        ("value", or_none(bounds.value)),
        ("of-calm", or_none(bounds.of_calm)),
        ("inquiry-of-calm", or_none(bounds.idempotent_of_calm)),
        ("across", or_none(bounds.across)),
        ("list-second", or_none(bounds.membership_per_second)),
        ("list-tenth", or_none(bounds.membership_per_tenth)),
        ("list-refused", or_none(bounds.membership_rejected)),
        ("listed-by-ms", listed_by),
        ("acted", or_none(bounds.acted)),
        ("free-p99-ms", or_none(bounds.free_p99_ms)),
        ("fenced-p99-ms", or_none(bounds.fenced_p99_ms)),
        ("cut-inquiry-of-calm", or_none(bounds.cut_off_idempotent_of_calm)),
        ("index-most", or_none(bounds.index_most)),
        ("collapses", or_none(bounds.collapses)),
        ("steady", or_none(bounds.steady)),
        ("crowded", or_none(bounds.crowded)),
        ("flaps", or_none(bounds.flaps)),
    ];
    all.iter().map(|(name, value)| format!("bounds {name}={value}\n")).collect()
}

fn violation_name(violation: InjectedViolation) -> &'static str {
    match violation {
        InjectedViolation::LoseAnswer => "lose-answer",
        InjectedViolation::DoubleRun => "double-run",
        InjectedViolation::LateStart => "late-start",
        InjectedViolation::SwapResult => "swap-result",
        InjectedViolation::Overrun => "overrun",
        InjectedViolation::DoubleAnswer => "double-answer",
        InjectedViolation::LoseLastAnswer => "lose-last-answer",
        InjectedViolation::IgnoreTerm => "ignore-term",
    }
}
