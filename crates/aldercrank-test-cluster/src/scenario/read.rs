//! Reads a scenario from its KDL document: every fault is said with its line and column, and what may have been meant.

use super::*;

/// Scenarios that include one another may be so deep.
const DEEP: usize = 8;

/// Reads a file that a document includes; says why not, where that is not for the file's own faults.
type Include<'a> = dyn FnMut(&mut Scenario, &str, &mut Vec<String>) -> Option<String> + 'a;

const NODES: [&str; 15] = [
    "name",
    "from-start",
    "include",
    "seed",
    "seconds",
    "fleet",
    "product",
    "callers",
    "index",
    "list",
    "at",
    "bounds",
    "rules",
    "start",
    "sabotage",
];

impl Scenario {
    /// Reads a file, and those that it includes.
    pub fn load(path: &Path) -> Result<Scenario, Wrong> {
        let mut scenario = Scenario::default();
        let mut wrong = Vec::new();
        scenario.read_file(path, &mut wrong, 0);
        if wrong.is_empty() {
            scenario.can_be_met().map_err(|why| Wrong(vec![format!("{}: {why}", path.display())]))?;
            Ok(scenario)
        } else {
            Err(Wrong(wrong))
        }
    }

    /// Reads a document that includes no other.
    pub fn parse(text: &str) -> Result<Scenario, Wrong> {
        let mut scenario = Scenario::default();
        let mut wrong = Vec::new();
        scenario
            .read(text, "", &mut wrong, &mut |_, _, _| Some("there is no file to include from here".into()));
        if wrong.is_empty() {
            scenario.can_be_met().map_err(|why| Wrong(vec![why]))?;
            Ok(scenario)
        } else {
            Err(Wrong(wrong))
        }
    }

    fn read_file(&mut self, path: &Path, wrong: &mut Vec<String>, deep: usize) {
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) => return wrong.push(format!("{}: {e}", path.display())),
        };
        let beside: PathBuf = path.parent().unwrap_or(Path::new(".")).to_path_buf();
        self.read(&text, &format!("{}:", path.display()), wrong, &mut |scenario, name, wrong| {
            if deep >= DEEP {
                return Some(format!("scenarios include one another more than {DEEP} deep"));
            }
            scenario.read_file(&beside.join(name), wrong, deep + 1);
            None
        });
    }

    fn read(&mut self, text: &str, place: &str, wrong: &mut Vec<String>, include: &mut Include) {
        let mut reader = Reader::new(text);
        if let Some(document) = reader.document() {
            for node in document.nodes() {
                let name = node.name().value();
                if !NODES.contains(&name) {
                    reader.unknown(node.name().span().offset(), name, &NODES);
                    continue;
                }
                let mut properties = NodeProperties::of(&mut reader, node);
                if name == "include" {
                    let file = properties.first_text("the file's name");
                    if let Some(why) = file.and_then(|file| include(self, &file, wrong)) {
                        properties.fault(why);
                    }
                } else {
                    self.node(name, &mut properties);
                }
                properties.done();
            }
        }
        wrong.extend(reader.faults().iter().map(|fault| format!("{place}{fault}")));
    }

    fn node(&mut self, name: &str, properties: &mut NodeProperties) {
        match name {
            "name" => set(&mut self.name, properties.first_text("a name")),
            "seed" => {
                set(&mut self.seed, properties.first_number("a seed", 0.0, 9e15).map(|n| n as u64));
            }
            "from-start" => set(&mut self.from_start, Some(true)),
            "seconds" => set(&mut self.span, properties.first_number("the seconds", 0.5, 86_400.0).map(secs)),
            "fleet" => self.fleet(properties),
            "product" => self.class(properties),
            "callers" => self.callers(properties),
            "index" => {
                set(&mut self.index.slots, properties.number("slots", 1.0, 1e6));
                set(&mut self.index.limit, properties.number("limit", 1.0, 1e6));
                set(&mut self.index.call_duration, properties.number("take-ms", 0.1, 1e5).map(ms));
                set(&mut self.index.cold_slowdown, properties.number("cold", 1.0, 100.0));
                set(&mut self.index.warming, properties.number("warming", 1.0, 1e6).map(|n| n as u32));
            }
            "list" => {
                set(&mut self.list_capacity, properties.number("capacity", 0.1, 1e6));
                set(&mut self.callers.lag, properties.number("lag-ms", 0.0, 20_000.0).map(ms));
                set(&mut self.callers.learn, properties.number("learn-ms", 10.0, 20_000.0).map(ms));
            }
            "rules" => self.rule_book(properties),
            "start" => {
                set(&mut self.start.tell_share, properties.flag("tell-share"));
            }
            "at" => self.step(properties),
            "bounds" => {
                set_some(&mut self.bounds.value, properties.number("value", 0.0, 1.0));
                set_some(&mut self.bounds.of_calm, properties.number("of-calm", 0.0, 2.0));
                set_some(&mut self.bounds.inquiry_of_calm, properties.number("inquiry-of-calm", 0.0, 2.0));
                set_some(&mut self.bounds.list_second, properties.number("list-second", 0.0, 1e6));
                set_some(&mut self.bounds.list_tenth, properties.number("list-tenth", 0.0, 1e6));
                let refused = properties.number("list-refused", 0.0, 1e9);
                set_some(&mut self.bounds.list_refused, refused.map(|n| n as u64));
                set_some(&mut self.bounds.listed_by, properties.number("listed-by", 0.0, 86_400.0).map(secs));
                set_some(&mut self.bounds.acted, properties.number("acted", 0.0, 1e9).map(|n| n as u64));
                set_some(&mut self.bounds.free_p99_ms, properties.number("free-p99-ms", 0.0, 1e6));
                set_some(&mut self.bounds.fenced_p99_ms, properties.number("fenced-p99-ms", 0.0, 1e6));
                let cut = properties.number("cut-inquiry-of-calm", 0.0, 2.0);
                set_some(&mut self.bounds.cut_inquiry_of_calm, cut);
                set_some(
                    &mut self.bounds.collapses,
                    properties.number("collapses", 0.0, 1e9).map(|n| n as u64),
                );
                set_some(&mut self.bounds.flaps, properties.number("flaps", 0.0, 1e9).map(|n| n as u64));
                set_some(&mut self.bounds.steady, properties.number("steady", 0.0, 1e6));
                set_some(&mut self.bounds.crowded, properties.number("crowded", 0.0, 1e6));
                let most = properties.number("index-most", 0.0, 1e9);
                set_some(&mut self.bounds.index_most, most.map(|n| n as u64));
                set_some(&mut self.bounds.across, properties.number("across", 0.0, 1e9).map(|n| n as u64));
            }
            _ => {
                let words =
                    ["lose-answer", "double-run", "late-start", "swap-result", "overrun", "double-answer"];
                use InjectedViolation::*;
                let kinds = [LoseAnswer, DoubleRun, LateStart, SwapResult, Overrun, DoubleAnswer];
                self.sabotage = properties.first_word("what is broken", &words).map(|i| kinds[i]);
            }
        }
    }

    fn fleet(&mut self, properties: &mut NodeProperties) {
        let fleet = &mut self.fleet;
        set(&mut fleet.servers, properties.number("servers", 1.0, 2000.0).map(|n| n as usize));
        set(&mut fleet.zones, properties.number("zones", 1.0, 26.0).map(|n| n as usize));
        set(&mut fleet.cores, properties.number("cores", 1.0, 256.0));
        set(&mut fleet.memory_kb, properties.number("memory-kb", 100.0, 1e9));
        set(&mut fleet.cold, properties.flag("cold"));
        set(&mut fleet.cold_from, properties.number("cold-from", 0.05, 1.0));
        set(&mut fleet.warm_after, properties.number("warm-ms", 1.0, 1e6).map(ms));
        set(&mut fleet.warms_times, properties.number("warms-times", 0.1, 100.0));
        set(&mut fleet.stop, properties.number("stop-ms", 200.0, 60_000.0).map(ms));
        set(&mut fleet.grace, properties.number("grace-ms", 0.0, 60_000.0).map(ms));
        set(&mut fleet.slack, properties.number("slack-ms", 10.0, 1000.0).map(ms));
        set(&mut fleet.memory_mb, properties.number("memory-mb", 8.0, 1e5));
        set(&mut fleet.sockets, properties.number("sockets", 32.0, 65_536.0).map(|n| n as usize));
    }

    fn class(&mut self, properties: &mut NodeProperties) {
        let Some(name) = properties.first_text("its name") else { return };
        let at = match self.classes.iter().position(|p| p.name == name) {
            Some(at) => at,
            None => {
                let like = Scenario::default().classes[0].clone();
                self.classes.push(RequestClass { name, ..like });
                self.classes.len() - 1
            }
        };
        let p = &mut self.classes[at];
        let effects = [Effect::Idempotent, Effect::Keyed, Effect::Unsafe];
        let effect = properties.word("effect", &["inquiry-like", "referenced", "once-only"]);
        set(&mut p.effect, effect.map(|i| effects[i]));
        set(&mut p.share, properties.number("share", 0.0, 1e6));
        set(&mut p.value, properties.number("value", 0.0, 1e6));
        set(&mut p.late, properties.number("late", 0.0, 1.0));
        set(&mut p.work, properties.number("work-ms", 0.1, 60_000.0).map(ms));
        set(&mut p.calls, properties.number("calls", 0.0, 1.0));
        set(&mut p.without, properties.number("without", 0.0, 1.0));
        set(&mut p.latency_target, properties.number("sla-ms", 10.0, 60_000.0).map(ms));
        set(&mut p.deadline, properties.number("expiry-ms", 20.0, 120_000.0).map(ms));
        set(&mut p.window, properties.number("window-ms", 100.0, 600_000.0).map(ms));
        set(&mut p.memory_kb, properties.number("memory-kb", 0.1, 2000.0));
        set(&mut p.body, properties.number("body", 0.0, 2048.0).map(|n| n as usize));
    }

    fn callers(&mut self, properties: &mut NodeProperties) {
        let callers = &mut self.callers;
        let policy = &mut callers.policy;
        set(&mut callers.rate, properties.number("rate", 0.1, 1e6));
        set(&mut callers.edges, properties.number("edges", 1.0, 1000.0).map(|n| n as usize));
        let kinds =
            [ServerChoice::RoundRobin, ServerChoice::Least, ServerChoice::TwoChoices, ServerChoice::Sticky];
        let choose = properties.word("choose", &["round-robin", "least-open", "two-choices", "sticky"]);
        set(&mut policy.choose, choose.map(|i| kinds[i]));
        set(&mut policy.max_attempts, properties.number("tries", 1.0, 100.0).map(|n| n as u32));
        if let Some(patience) = properties.number("patience-ms", 0.0, 120_000.0) {
            policy.attempt_timeout = (patience > 0.0).then(|| ms(patience));
        }
        set(&mut policy.follows_advice, properties.flag("heeds"));
        set(&mut policy.retry_budget, properties.number("retry-budget", 0.0, 1000.0));
        if let Some(every) = properties.number("checks-ms", 0.0, 60_000.0) {
            policy.health_check_interval = (every > 0.0).then(|| ms(every));
        }
        set(&mut policy.max_connections, properties.number("connections", 1.0, 100.0).map(|n| n as usize));
        set(&mut policy.idle_timeout, properties.number("idle-ms", 100.0, 600_000.0).map(ms));
        set(&mut policy.cancel_probability, properties.number("leave", 0.0, 1.0));
        set(&mut policy.retries_keyed_after_failure, properties.flag("again"));
    }

    fn rule_book(&mut self, properties: &mut NodeProperties) {
        let standing = self.rules.take();
        let mut rules = standing.unwrap_or(RuleBook {
            committee: 3,
            within: secs(2.0),
            alone: secs(60.0),
            disks: false,
            set: String::new(),
        });
        set(&mut rules.committee, properties.number("committee", 1.0, 9.0).map(|n| n as usize));
        set(&mut rules.within, properties.number("within-ms", 500.0, 60_000.0).map(ms));
        set(&mut rules.alone, properties.number("alone-ms", 1000.0, 86_400_000.0).map(ms));
        set(&mut rules.disks, properties.flag("disks"));
        set(&mut rules.set, properties.text("set"));
        self.rules = Some(rules);
    }

    fn step(&mut self, properties: &mut NodeProperties) {
        let Some(at) = properties.first_number("the second at which it begins", 0.0, 86_400.0) else {
            return;
        };
        let words = [
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
        ];
        let Some(word) = properties.first_word("what goes wrong", &words) else { return };
        let fault = match words[word] {
            "kill" => Some(Fault::Kill),
            "leave" => Some(Fault::Leave),
            "stop" => Some(Fault::Stop),
            "bad-config" => Some(Fault::BadConfig),
            "bad-start" => Some(Fault::BadStart),
            "slow" => needs(properties, "to", 0.01, 1.0).map(Fault::Slow),
            "err" => needs(properties, "share-of-runs", 0.0, 1.0).map(Fault::Err),
            "pool-gone" => Some(Fault::PoolGone),
            "pool-late" => needs(properties, "by", 0.05, 600.0).map(|s| Fault::PoolLate(secs(s))),
            "pool-resets" => needs(properties, "every", 0.05, 600.0).map(|s| Fault::PoolResets(secs(s))),
            "index" => index_state(properties).map(Fault::Index),
            "index-cold" => Some(Fault::IndexCold),
            "list" => {
                let kinds = [MembershipState::Down, MembershipState::Silent, MembershipState::Closing];
                let state = properties.word("state", &["down", "silent", "closing"]);
                if state.is_none() {
                    properties.fault("needs state=\"down\", \"silent\" or \"closing\"");
                }
                state.map(|i| Fault::MembershipStub(kinds[i]))
            }
            "list-wrong" => Some(Fault::ListWrong),
            "list-forgets" => Some(Fault::ListForgets),
            "list-capacity" => needs(properties, "to", 0.1, 1e6).map(Fault::ListCapacity),
            "list-old" => needs(properties, "by", 0.0, 60.0).map(|s| Fault::ListOld(secs(s))),
            "edges-restart" => needs(properties, "share-of-edges", 0.0, 1.0).map(Fault::EdgesRestart),
            "rate" => needs(properties, "times", 0.0, 100.0).map(Fault::Rate),
            "rules" => {
                let set = properties.text("set");
                let (every, two) =
                    (properties.number("every", 0.05, 600.0).map(secs), properties.flag("two"));
                if set.is_none() {
                    properties.fault("needs set=\"PRODUCT.ITEM=VALUE\", alternatives apart by |");
                }
                set.map(|set| Fault::Publish(Published { set, every, two: two.unwrap_or(false) }))
            }
            "rules-withdraw" => Some(Fault::Withdraw),
            "rules-broken" => {
                let kinds = [Spoilt::Cut, Spoilt::Long, Spoilt::Field, Spoilt::Later];
                let kind = properties.word("kind", &["cut", "long", "field", "later"]).unwrap_or(0);
                Some(Fault::RulesBroken(kinds[kind]))
            }
            "rules-old" => Some(Fault::RulesOld),
            pair => pair_fault(pair, properties),
        };
        let lasts = properties.number("for", 0.05, 86_400.0).map(secs);
        let each = properties.number("each", 0.0, 600.0).map_or(Duration::ZERO, secs);
        let target = self.target(properties);
        let (Some(fault), Some(target)) = (fault, target) else { return };
        if fault.shared() && target != Target::All {
            properties.fault("is about all servers; it takes no server, share or zone");
        }
        if fault.instant() && lasts.is_some() {
            properties.fault("is over at once; it takes no `for`");
        }
        let step = Step { at: secs(at), lasts, each, target, fault, word: words[word].to_string() };
        self.timeline.push(step);
    }

    fn target(&mut self, properties: &mut NodeProperties) -> Option<Target> {
        let server = properties.text("server");
        let share = properties.number("share", 0.0, 1.0);
        let zone = properties.text("zone");
        if usize::from(server.is_some()) + usize::from(share.is_some()) + usize::from(zone.is_some()) > 1 {
            properties.fault("takes one of server, share and zone");
            return None;
        }
        if let Some(name) = server {
            let number = ServerNo::from_name(&name).filter(|n| (n.0 as usize) < self.fleet.servers);
            if number.is_none() {
                properties.fault(format!("{name} is none of n1 to n{}", self.fleet.servers));
            }
            return number.map(Target::Server);
        }
        if let Some(name) = zone {
            let place = (0..self.fleet.zones).find(|z| zone_name(*z) == name);
            if place.is_none() {
                properties.fault(format!("{name} is none of a to {}", zone_name(self.fleet.zones - 1)));
            }
            return place.map(Target::Zone);
        }
        Some(share.map_or(Target::All, Target::Share))
    }

    /// Whether it makes sense as a whole; a reason where it does not.
    fn can_be_met(&self) -> Result<(), String> {
        let sum: f64 = self.classes.iter().map(|p| p.share).sum();
        if sum <= 0.0 {
            return Err(
                "the shares of all products come to nothing: nobody would ask for anything".to_string()
            );
        }
        for p in &self.classes {
            if p.deadline < p.latency_target {
                return Err(format!("{}: its expiry comes before its SLA time", p.name));
            }
        }
        if let Some(step) = self.timeline.iter().find(|s| s.at >= self.span) {
            let (at, span) = (step.at.as_secs_f64(), self.span.as_secs_f64());
            return Err(format!("{} at {at} s: the run is over after {span} s", step.word));
        }
        let book = |s: &&Step| {
            matches!(s.fault, Fault::Publish(_) | Fault::Withdraw | Fault::RulesBroken(_) | Fault::RulesOld)
        };
        if let (Some(step), None) = (self.timeline.iter().find(book), &self.rules) {
            return Err(format!("{}: there is no rule book; say `rules committee=3` first", step.word));
        }
        if self.rules.as_ref().is_some_and(|r| r.committee > self.fleet.servers) {
            return Err("the committee has more members than there are servers".to_string());
        }
        if self.fleet.zones > self.fleet.servers {
            return Err("there are more zones than servers".to_string());
        }
        let conns = self.callers.edges * (self.callers.policy.max_connections + 1);
        let room = self.fleet.sockets * 7 / 10;
        if conns > room {
            return Err(format!(
                "{} edge nodes with {} connections each, and one for checks, come to {conns} on a server that \
                 takes {room} (0.7 of sockets={}): fewer, or more sockets",
                self.callers.edges, self.callers.policy.max_connections, self.fleet.sockets
            ));
        }
        Ok(())
    }

    /// The servers that a step is about, in the order in which it reaches them.
    pub fn reached(&self, number: usize) -> Vec<ServerNo> {
        let all: Vec<ServerNo> = (0..self.fleet.servers).map(|n| ServerNo(n as u16)).collect();
        match &self.timeline[number].target {
            Target::All => all,
            Target::Server(server) => vec![*server],
            Target::Share(share) => {
                let many = (all.len() as f64 * share).round() as usize;
                RandomStream::of(self.seed, &format!("step {number}")).sample(&all, many.max(1))
            }
            Target::Zone(zone) => {
                all.into_iter().filter(|s| s.0 as usize % self.fleet.zones == *zone).collect()
            }
        }
    }

    /// The same without faults, and so without bounds.
    pub fn calm(&self) -> Scenario {
        let name = format!("{}, without faults", self.name);
        Scenario { name, timeline: Vec::new(), bounds: Bounds::default(), sabotage: None, ..self.clone() }
    }
}

pub fn zone_name(zone: usize) -> String {
    char::from(b'a' + (zone % 26) as u8).to_string()
}

fn set<T>(to: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *to = value;
    }
}

fn set_some<T>(to: &mut Option<T>, value: Option<T>) {
    if value.is_some() {
        *to = value;
    }
}

/// A number that a step can't do without.
fn needs(properties: &mut NodeProperties, name: &'static str, least: f64, most: f64) -> Option<f64> {
    let value = properties.number(name, least, most);
    if value.is_none() {
        properties.fault(format!("needs {name}= with a number from {least} to {most}"));
    }
    value
}

fn index_state(properties: &mut NodeProperties) -> Option<IndexState> {
    let words = ["slow", "hung", "shedding", "half", "dead"];
    let by = properties.number("by", 1.0, 1000.0);
    let Some(state) = properties.word("state", &words) else {
        properties.fault(format!("needs state=, one of {}", words.join(", ")));
        return None;
    };
    if words[state] == "slow" && by.is_none() {
        properties.fault("slow needs by=, how many times as long a call takes");
        return None;
    }
    use IndexState::*;
    Some([Slow(by.unwrap_or(1.0)), Hung, Shedding, Truncating, Dead][state])
}

/// What spoils a pair.
fn pair_fault(word: &str, properties: &mut NodeProperties) -> Option<Fault> {
    let words = RemoteEndpoint::ALL.map(RemoteEndpoint::scenario_name);
    let with = properties.word("with", &words).map(|i| RemoteEndpoint::ALL[i]);
    if with.is_none() {
        properties.fault(format!("needs with=, one of {}", words.join(", ")));
    }
    let bytes = |n: Option<f64>| n.map(|n| n as u64);
    let corruption = match word {
        "delay" => {
            let delay = needs(properties, "ms", 0.0, 60_000.0).map(ms)?;
            Corruption {
                delay,
                jitter: properties.number("jitter", 0.0, 10.0).unwrap_or(0.0),
                ..Corruption::default()
            }
        }
        "cut" => Corruption { blocked: true, ..Corruption::default() },
        "reset" => Corruption {
            reset_after_bytes: bytes(needs(properties, "after", 0.0, 1e9)),
            ..Corruption::default()
        },
        "half" => Corruption {
            silent_after_bytes: bytes(needs(properties, "after", 0.0, 1e9)),
            ..Corruption::default()
        },
        "trickle" => Corruption {
            bytes_per_second: bytes(needs(properties, "rate", 1.0, 1e9)),
            ..Corruption::default()
        },
        "garble" => Corruption {
            bit_flip_probability: needs(properties, "share-of-pieces", 0.0, 1.0)?,
            ..Corruption::default()
        },
        "unread" => Corruption { unread: true, ..Corruption::default() },
        _ => return with.map(Fault::Refuse),
    };
    let way = properties.word("way", &["to", "from", "both"]).unwrap_or(2);
    let (to, from) = (way != 1, way != 0);
    with.map(|with| Fault::Pair(with, to.then(|| corruption.clone()), from.then_some(corruption)))
}
