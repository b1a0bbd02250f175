//! Reads the steps of a scenario's timeline.

use super::model::{zone_name, Scenario};
use super::read::{milliseconds, seconds};
use super::timeline::{ConfigCorruption, Fault, ProcessSignal, Publication, SignalSeries, Step, Target};
use crate::ids::{RemoteEndpoint, ServerNo};
use crate::index_stub::IndexState;
use crate::kdl_properties::NodeProperties;
use crate::membership_stub::MembershipState;
use crate::relayed_link::Impairment;
use std::time::Duration;

/// The names of faults in documents.
const FAULTS: [&str; 33] = [
    "kill",
    "leave",
    "stop",
    "bad-config",
    "bad-start",
    "slow",
    "err",
    "pool-gone",
    "pool-late",
    "pool-resets",
    "delay",
    "cut",
    "reset",
    "half",
    "trickle",
    "garble",
    "refuse",
    "unread",
    "index",
    "index-cold",
    "list",
    "list-forgets",
    "list-wrong",
    "list-capacity",
    "list-old",
    "edges-restart",
    "rate",
    "rules",
    "rules-withdraw",
    "rules-broken",
    "rules-old",
    "signals",
    "idle-connections",
];

impl Scenario {
    pub(super) fn read_step(&mut self, properties: &mut NodeProperties) {
        let Some(at) = properties.number_argument("start time in seconds", 0.0, 86_400.0) else { return };
        let Some(index) = properties.keyword_argument("fault", &FAULTS) else { return };
        let word = FAULTS[index];
        let fault = read_fault(word, properties);
        let lasts = properties.number("for", 0.05, 86_400.0).map(seconds);
        let each = properties.number("each", 0.0, 600.0).map_or(Duration::ZERO, seconds);
        let target = self.read_target(properties);
        let (Some(fault), Some(target)) = (fault, target) else { return };
        if fault.is_shared() && target != Target::All {
            properties.report_error(format!("{word} takes no target: remove server=, share= or zone="));
        }
        if fault.is_instant() && lasts.is_some() {
            properties.report_error(format!("{word} is instantaneous: remove for="));
        }
        let word = word.to_string();
        self.timeline.push(Step { at: seconds(at), lasts, each, target, fault, word });
    }

    fn read_target(&mut self, properties: &mut NodeProperties) -> Option<Target> {
        let server = properties.string("server");
        let share = properties.number("share", 0.0, 1.0);
        let zone = properties.string("zone");
        if usize::from(server.is_some()) + usize::from(share.is_some()) + usize::from(zone.is_some()) > 1 {
            properties.report_error("takes only one of server=, share= and zone=");
            return None;
        }
        if let Some(name) = server {
            let number = ServerNo::from_name(&name).filter(|n| (n.0 as usize) < self.fleet.servers);
            if number.is_none() {
                properties
                    .report_error(format!("no server {name}: servers are n1 to n{}", self.fleet.servers));
            }
            return number.map(Target::Server);
        }
        if let Some(name) = zone {
            let index = (0..self.fleet.zones).find(|zone| zone_name(*zone) == name);
            if index.is_none() {
                let last = zone_name(self.fleet.zones - 1);
                properties.report_error(format!("no zone {name}: zones are a to {last}"));
            }
            return index.map(Target::Zone);
        }
        Some(share.map_or(Target::All, Target::Share))
    }
}

/// A property that the step requires: a number from `least` to `most`.
fn required_number(
    properties: &mut NodeProperties,
    name: &'static str,
    least: f64,
    most: f64,
) -> Option<f64> {
    let value = properties.number(name, least, most);
    if value.is_none() {
        properties.report_error(format!("needs {name}= with a number from {least} to {most}"));
    }
    value
}

fn read_fault(word: &str, properties: &mut NodeProperties) -> Option<Fault> {
    match word {
        "kill" => Some(Fault::Kill),
        "leave" => Some(Fault::Shutdown),
        "stop" => Some(Fault::Pause),
        "bad-config" => Some(Fault::InvalidConfig),
        "bad-start" => Some(Fault::InvalidStart),
        "slow" | "err" | "pool-gone" | "pool-late" | "pool-resets" => read_pool_fault(word, properties),
        "index" => read_index_state(properties).map(Fault::Index),
        "index-cold" => Some(Fault::IndexCachesEmptied),
        "list" | "list-wrong" | "list-forgets" | "list-capacity" | "list-old" => {
            read_membership_fault(word, properties)
        }
        "edges-restart" => {
            required_number(properties, "share-of-edges", 0.0, 1.0).map(Fault::EdgeNodesRestart)
        }
        "rate" => required_number(properties, "times", 0.0, 100.0).map(Fault::ArrivalRate),
        "rules" => read_publication(properties).map(Fault::Publish),
        "rules-withdraw" => Some(Fault::Withdraw),
        "rules-broken" => Some(Fault::StoreCorruptConfig(read_config_corruption(properties))),
        "rules-old" => Some(Fault::StoreInitialVersion),
        "signals" => read_signals(properties).map(Fault::Signals),
        "idle-connections" => required_number(properties, "count", 1.0, 10_000.0)
            .map(|count| Fault::IdleConnections(count as usize)),
        link_fault => read_link_fault(link_fault, properties),
    }
}

fn read_pool_fault(word: &str, properties: &mut NodeProperties) -> Option<Fault> {
    match word {
        "slow" => required_number(properties, "to", 0.01, 1.0).map(Fault::SlowPool),
        "err" => required_number(properties, "share-of-runs", 0.0, 1.0).map(Fault::FailingRuns),
        "pool-gone" => Some(Fault::PoolCrash),
        "pool-late" => {
            required_number(properties, "by", 0.05, 600.0).map(|delay| Fault::PoolDelayed(seconds(delay)))
        }
        _ => required_number(properties, "every", 0.05, 600.0)
            .map(|interval| Fault::PoolLinkResets(seconds(interval))),
    }
}

/// The names of signals in documents.
const SIGNALS: [(&str, ProcessSignal); 6] = [
    ("hup", ProcessSignal::Reload),
    ("hup-invalid", ProcessSignal::ReloadInvalid),
    ("term", ProcessSignal::Terminate),
    ("stop", ProcessSignal::Pause),
    ("cont", ProcessSignal::Resume),
    ("pool-restart", ProcessSignal::PoolRestart),
];

fn read_signals(properties: &mut NodeProperties) -> Option<SignalSeries> {
    let gap = milliseconds(properties.number("gap-ms", 0.0, 10_000.0).unwrap_or(0.0));
    let text = properties.string("send").unwrap_or_default();
    let signal_of = |word: &str| SIGNALS.iter().find(|(name, _)| *name == word).map(|(_, signal)| *signal);
    let signals: Option<Vec<ProcessSignal>> = text.split_whitespace().map(signal_of).collect();
    let series = signals.filter(|signals| !signals.is_empty()).map(|signals| SignalSeries { signals, gap });
    if series.is_none() {
        let names = SIGNALS.map(|(name, _)| name).join(", ");
        properties.report_error(format!("needs send= with one or more of {names}"));
    }
    series
}

fn read_membership_fault(word: &str, properties: &mut NodeProperties) -> Option<Fault> {
    match word {
        "list" => {
            let states = [MembershipState::Down, MembershipState::Silent, MembershipState::Closing];
            let state = properties.keyword("state", &["down", "silent", "closing"]);
            if state.is_none() {
                properties.report_error("needs state=\"down\", \"silent\" or \"closing\"");
            }
            state.map(|i| Fault::MembershipService(states[i]))
        }
        "list-wrong" => Some(Fault::MembershipWrong),
        "list-forgets" => Some(Fault::MembershipForgets),
        "list-capacity" => required_number(properties, "to", 0.1, 1e6).map(Fault::MembershipCapacity),
        _ => required_number(properties, "by", 0.0, 60.0).map(|lag| Fault::MembershipStale(seconds(lag))),
    }
}

fn read_publication(properties: &mut NodeProperties) -> Option<Publication> {
    let items = properties.string("set");
    let interval = properties.number("every", 0.05, 600.0).map(seconds);
    let contradictory = properties.flag("two").unwrap_or(false);
    if items.is_none() {
        properties.report_error("needs set=\"CLASS.ITEM=VALUE\"; separate alternatives by |");
    }
    items.map(|items| Publication { items, interval, contradictory })
}

fn read_config_corruption(properties: &mut NodeProperties) -> ConfigCorruption {
    let kinds = [
        ConfigCorruption::Truncated,
        ConfigCorruption::Overlong,
        ConfigCorruption::InvalidField,
        ConfigCorruption::LaterFormat,
    ];
    kinds[properties.keyword("kind", &["cut", "long", "field", "later"]).unwrap_or(0)]
}

fn read_index_state(properties: &mut NodeProperties) -> Option<IndexState> {
    let keywords = ["slow", "hung", "shedding", "half", "dead"];
    let slowdown = properties.number("by", 1.0, 1000.0);
    let Some(index) = properties.keyword("state", &keywords) else {
        properties.report_error(format!("needs state=, one of {}", keywords.join(", ")));
        return None;
    };
    if keywords[index] == "slow" && slowdown.is_none() {
        properties.report_error("state=\"slow\" needs by=, the factor by which calls take longer");
        return None;
    }
    let states = [
        IndexState::Slow(slowdown.unwrap_or(1.0)),
        IndexState::Hung,
        IndexState::Shedding,
        IndexState::Truncating,
        IndexState::Dead,
    ];
    Some(states[index])
}

fn read_link_fault(word: &str, properties: &mut NodeProperties) -> Option<Fault> {
    let names = RemoteEndpoint::ALL.map(RemoteEndpoint::scenario_name);
    let remote = properties.keyword("with", &names).map(|i| RemoteEndpoint::ALL[i]);
    if remote.is_none() {
        properties.report_error(format!("needs with=, one of {}", names.join(", ")));
    }
    if word == "refuse" {
        return remote.map(Fault::RefuseConnections);
    }
    let impairment = read_impairment(word, properties)?;
    let direction = properties.keyword("way", &["to", "from", "both"]).unwrap_or(2);
    let (to_server, from_server) = (direction != 1, direction != 0);
    remote.map(|remote| Fault::ImpairLink {
        remote,
        to_server: to_server.then(|| impairment.clone()),
        from_server: from_server.then_some(impairment),
    })
}

fn read_impairment(word: &str, properties: &mut NodeProperties) -> Option<Impairment> {
    let mut impairment = Impairment::default();
    let mut bytes =
        |name: &'static str, least: f64| required_number(properties, name, least, 1e9).map(|n| n as u64);
    match word {
        "cut" => impairment.blocked = true,
        "reset" => impairment.reset_after_bytes = bytes("after", 0.0),
        "half" => impairment.silent_after_bytes = bytes("after", 0.0),
        "trickle" => impairment.bytes_per_second = bytes("rate", 1.0),
        "delay" => {
            impairment.delay = required_number(properties, "ms", 0.0, 60_000.0).map(milliseconds)?;
            impairment.jitter = properties.number("jitter", 0.0, 10.0).unwrap_or(0.0);
        }
        "garble" => {
            impairment.bit_flip_probability = required_number(properties, "share-of-pieces", 0.0, 1.0)?;
        }
        _ => impairment.unread = true,
    }
    Some(impairment)
}
