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
                let mut props = Props::of(&mut reader, node);
                if name == "include" {
                    let file = props.first_text("the file's name");
                    if let Some(why) = file.and_then(|file| include(self, &file, wrong)) {
                        props.fault(why);
                    }
                } else {
                    self.node(name, &mut props);
                }
                props.done();
            }
        }
        wrong.extend(reader.faults().iter().map(|fault| format!("{place}{fault}")));
    }

    fn node(&mut self, name: &str, props: &mut Props) {
        match name {
            "name" => set(&mut self.name, props.first_text("a name")),
            "seed" => {
                set(&mut self.seed, props.first_number("a seed", 0.0, 9e15).map(|n| n as u64));
            }
            "from-start" => set(&mut self.from_start, Some(true)),
            "seconds" => set(&mut self.span, props.first_number("the seconds", 0.5, 86_400.0).map(secs)),
            "fleet" => self.fleet(props),
            "product" => self.product(props),
            "callers" => self.callers(props),
            "index" => {
                set(&mut self.index.slots, props.number("slots", 1.0, 1e6));
                set(&mut self.index.limit, props.number("limit", 1.0, 1e6));
                set(&mut self.index.take, props.number("take-ms", 0.1, 1e5).map(ms));
                set(&mut self.index.cold, props.number("cold", 1.0, 100.0));
                set(&mut self.index.warming, props.number("warming", 1.0, 1e6).map(|n| n as u32));
            }
            "list" => {
                set(&mut self.list_capacity, props.number("capacity", 0.1, 1e6));
                set(&mut self.callers.lag, props.number("lag-ms", 0.0, 20_000.0).map(ms));
                set(&mut self.callers.learn, props.number("learn-ms", 10.0, 20_000.0).map(ms));
            }
            "rules" => self.rule_book(props),
            "start" => {
                set(&mut self.start.tell_share, props.flag("tell-share"));
            }
            "at" => self.step(props),
            "bounds" => {
                set_some(&mut self.bounds.value, props.number("value", 0.0, 1.0));
                set_some(&mut self.bounds.of_calm, props.number("of-calm", 0.0, 2.0));
                set_some(&mut self.bounds.inquiry_of_calm, props.number("inquiry-of-calm", 0.0, 2.0));
                set_some(&mut self.bounds.list_second, props.number("list-second", 0.0, 1e6));
                set_some(&mut self.bounds.list_tenth, props.number("list-tenth", 0.0, 1e6));
                let refused = props.number("list-refused", 0.0, 1e9);
                set_some(&mut self.bounds.list_refused, refused.map(|n| n as u64));
                set_some(&mut self.bounds.listed_by, props.number("listed-by", 0.0, 86_400.0).map(secs));
                set_some(&mut self.bounds.acted, props.number("acted", 0.0, 1e9).map(|n| n as u64));
                set_some(&mut self.bounds.free_p99_ms, props.number("free-p99-ms", 0.0, 1e6));
                set_some(&mut self.bounds.fenced_p99_ms, props.number("fenced-p99-ms", 0.0, 1e6));
                let cut = props.number("cut-inquiry-of-calm", 0.0, 2.0);
                set_some(&mut self.bounds.cut_inquiry_of_calm, cut);
                set_some(&mut self.bounds.collapses, props.number("collapses", 0.0, 1e9).map(|n| n as u64));
                set_some(&mut self.bounds.flaps, props.number("flaps", 0.0, 1e9).map(|n| n as u64));
                set_some(&mut self.bounds.steady, props.number("steady", 0.0, 1e6));
                set_some(&mut self.bounds.crowded, props.number("crowded", 0.0, 1e6));
                let most = props.number("index-most", 0.0, 1e9);
                set_some(&mut self.bounds.index_most, most.map(|n| n as u64));
                set_some(&mut self.bounds.across, props.number("across", 0.0, 1e9).map(|n| n as u64));
            }
            _ => {
                let words =
                    ["lose-answer", "double-run", "late-start", "swap-result", "overrun", "double-answer"];
                use Sabotage::*;
                let kinds = [LoseAnswer, DoubleRun, LateStart, SwapResult, Overrun, DoubleAnswer];
                self.sabotage = props.first_word("what is broken", &words).map(|i| kinds[i]);
            }
        }
    }

    fn fleet(&mut self, props: &mut Props) {
        let fleet = &mut self.fleet;
        set(&mut fleet.servers, props.number("servers", 1.0, 2000.0).map(|n| n as usize));
        set(&mut fleet.zones, props.number("zones", 1.0, 26.0).map(|n| n as usize));
        set(&mut fleet.cores, props.number("cores", 1.0, 256.0));
        set(&mut fleet.memory_kb, props.number("memory-kb", 100.0, 1e9));
        set(&mut fleet.cold, props.flag("cold"));
        set(&mut fleet.cold_from, props.number("cold-from", 0.05, 1.0));
        set(&mut fleet.warm_after, props.number("warm-ms", 1.0, 1e6).map(ms));
        set(&mut fleet.warms_times, props.number("warms-times", 0.1, 100.0));
        set(&mut fleet.stop, props.number("stop-ms", 200.0, 60_000.0).map(ms));
        set(&mut fleet.grace, props.number("grace-ms", 0.0, 60_000.0).map(ms));
        set(&mut fleet.slack, props.number("slack-ms", 10.0, 1000.0).map(ms));
        set(&mut fleet.memory_mb, props.number("memory-mb", 8.0, 1e5));
        set(&mut fleet.sockets, props.number("sockets", 32.0, 65_536.0).map(|n| n as usize));
    }

    fn product(&mut self, props: &mut Props) {
        let Some(name) = props.first_text("its name") else { return };
        let at = match self.products.iter().position(|p| p.name == name) {
            Some(at) => at,
            None => {
                let like = Scenario::default().products[0].clone();
                self.products.push(Product { name, ..like });
                self.products.len() - 1
            }
        };
        let p = &mut self.products[at];
        let effects = [Effect::Idempotent, Effect::Keyed, Effect::Unsafe];
        let effect = props.word("effect", &["inquiry-like", "referenced", "once-only"]);
        set(&mut p.effect, effect.map(|i| effects[i]));
        set(&mut p.share, props.number("share", 0.0, 1e6));
        set(&mut p.value, props.number("value", 0.0, 1e6));
        set(&mut p.late, props.number("late", 0.0, 1.0));
        set(&mut p.work, props.number("work-ms", 0.1, 60_000.0).map(ms));
        set(&mut p.calls, props.number("calls", 0.0, 1.0));
        set(&mut p.without, props.number("without", 0.0, 1.0));
        set(&mut p.sla, props.number("sla-ms", 10.0, 60_000.0).map(ms));
        set(&mut p.expiry, props.number("expiry-ms", 20.0, 120_000.0).map(ms));
        set(&mut p.window, props.number("window-ms", 100.0, 600_000.0).map(ms));
        set(&mut p.memory_kb, props.number("memory-kb", 0.1, 2000.0));
        set(&mut p.body, props.number("body", 0.0, 2048.0).map(|n| n as usize));
    }

    fn callers(&mut self, props: &mut Props) {
        let callers = &mut self.callers;
        let habits = &mut callers.habits;
        set(&mut callers.rate, props.number("rate", 0.1, 1e6));
        set(&mut callers.edges, props.number("edges", 1.0, 1000.0).map(|n| n as usize));
        let kinds = [Choose::RoundRobin, Choose::Least, Choose::TwoChoices, Choose::Sticky];
        let choose = props.word("choose", &["round-robin", "least-open", "two-choices", "sticky"]);
        set(&mut habits.choose, choose.map(|i| kinds[i]));
        set(&mut habits.tries, props.number("tries", 1.0, 100.0).map(|n| n as u32));
        if let Some(patience) = props.number("patience-ms", 0.0, 120_000.0) {
            habits.patience = (patience > 0.0).then(|| ms(patience));
        }
        set(&mut habits.heeds, props.flag("heeds"));
        set(&mut habits.retry_budget, props.number("retry-budget", 0.0, 1000.0));
        if let Some(every) = props.number("checks-ms", 0.0, 60_000.0) {
            habits.checks = (every > 0.0).then(|| ms(every));
        }
        set(&mut habits.connections, props.number("connections", 1.0, 100.0).map(|n| n as usize));
        set(&mut habits.idle, props.number("idle-ms", 100.0, 600_000.0).map(ms));
        set(&mut habits.leave, props.number("leave", 0.0, 1.0));
        set(&mut habits.again, props.flag("again"));
    }

    fn rule_book(&mut self, props: &mut Props) {
        let standing = self.rules.take();
        let mut rules = standing.unwrap_or(RuleBook {
            committee: 3,
            within: secs(2.0),
            alone: secs(60.0),
            disks: false,
            set: String::new(),
        });
        set(&mut rules.committee, props.number("committee", 1.0, 9.0).map(|n| n as usize));
        set(&mut rules.within, props.number("within-ms", 500.0, 60_000.0).map(ms));
        set(&mut rules.alone, props.number("alone-ms", 1000.0, 86_400_000.0).map(ms));
        set(&mut rules.disks, props.flag("disks"));
        set(&mut rules.set, props.text("set"));
        self.rules = Some(rules);
    }

    fn step(&mut self, props: &mut Props) {
        let Some(at) = props.first_number("the second at which it begins", 0.0, 86_400.0) else { return };
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
        let Some(word) = props.first_word("what goes wrong", &words) else { return };
        let fault = match words[word] {
            "kill" => Some(Fault::Kill),
            "leave" => Some(Fault::Leave),
            "stop" => Some(Fault::Stop),
            "bad-config" => Some(Fault::BadConfig),
            "bad-start" => Some(Fault::BadStart),
            "slow" => needs(props, "to", 0.01, 1.0).map(Fault::Slow),
            "err" => needs(props, "share-of-runs", 0.0, 1.0).map(Fault::Err),
            "pool-gone" => Some(Fault::PoolGone),
            "pool-late" => needs(props, "by", 0.05, 600.0).map(|s| Fault::PoolLate(secs(s))),
            "pool-resets" => needs(props, "every", 0.05, 600.0).map(|s| Fault::PoolResets(secs(s))),
            "index" => index_state(props).map(Fault::Index),
            "index-cold" => Some(Fault::IndexCold),
            "list" => {
                let kinds = [list::State::Down, list::State::Silent, list::State::Closing];
                let state = props.word("state", &["down", "silent", "closing"]);
                if state.is_none() {
                    props.fault("needs state=\"down\", \"silent\" or \"closing\"");
                }
                state.map(|i| Fault::List(kinds[i]))
            }
            "list-wrong" => Some(Fault::ListWrong),
            "list-forgets" => Some(Fault::ListForgets),
            "list-capacity" => needs(props, "to", 0.1, 1e6).map(Fault::ListCapacity),
            "list-old" => needs(props, "by", 0.0, 60.0).map(|s| Fault::ListOld(secs(s))),
            "edges-restart" => needs(props, "share-of-edges", 0.0, 1.0).map(Fault::EdgesRestart),
            "rate" => needs(props, "times", 0.0, 100.0).map(Fault::Rate),
            "rules" => {
                let set = props.text("set");
                let (every, two) = (props.number("every", 0.05, 600.0).map(secs), props.flag("two"));
                if set.is_none() {
                    props.fault("needs set=\"PRODUCT.ITEM=VALUE\", alternatives apart by |");
                }
                set.map(|set| Fault::Publish(Published { set, every, two: two.unwrap_or(false) }))
            }
            "rules-withdraw" => Some(Fault::Withdraw),
            "rules-broken" => {
                let kinds = [Spoilt::Cut, Spoilt::Long, Spoilt::Field, Spoilt::Later];
                let kind = props.word("kind", &["cut", "long", "field", "later"]).unwrap_or(0);
                Some(Fault::RulesBroken(kinds[kind]))
            }
            "rules-old" => Some(Fault::RulesOld),
            pair => pair_fault(pair, props),
        };
        let lasts = props.number("for", 0.05, 86_400.0).map(secs);
        let each = props.number("each", 0.0, 600.0).map_or(Duration::ZERO, secs);
        let target = self.target(props);
        let (Some(fault), Some(target)) = (fault, target) else { return };
        if fault.shared() && target != Target::All {
            props.fault("is about all servers; it takes no server, share or zone");
        }
        if fault.instant() && lasts.is_some() {
            props.fault("is over at once; it takes no `for`");
        }
        let step = Step { at: secs(at), lasts, each, target, fault, word: words[word].to_string() };
        self.timeline.push(step);
    }

    fn target(&mut self, props: &mut Props) -> Option<Target> {
        let server = props.text("server");
        let share = props.number("share", 0.0, 1.0);
        let zone = props.text("zone");
        if usize::from(server.is_some()) + usize::from(share.is_some()) + usize::from(zone.is_some()) > 1 {
            props.fault("takes one of server, share and zone");
            return None;
        }
        if let Some(name) = server {
            let number = ServerNo::named(&name).filter(|n| (n.0 as usize) < self.fleet.servers);
            if number.is_none() {
                props.fault(format!("{name} is none of n1 to n{}", self.fleet.servers));
            }
            return number.map(Target::Server);
        }
        if let Some(name) = zone {
            let place = (0..self.fleet.zones).find(|z| zone_name(*z) == name);
            if place.is_none() {
                props.fault(format!("{name} is none of a to {}", zone_name(self.fleet.zones - 1)));
            }
            return place.map(Target::Zone);
        }
        Some(share.map_or(Target::All, Target::Share))
    }

    /// Whether it makes sense as a whole; a reason where it does not.
    fn can_be_met(&self) -> Result<(), String> {
        let sum: f64 = self.products.iter().map(|p| p.share).sum();
        if sum <= 0.0 {
            return Err(
                "the shares of all products come to nothing: nobody would ask for anything".to_string()
            );
        }
        for p in &self.products {
            if p.expiry < p.sla {
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
        let conns = self.callers.edges * (self.callers.habits.connections + 1);
        let room = self.fleet.sockets * 7 / 10;
        if conns > room {
            return Err(format!(
                "{} edge nodes with {} connections each, and one for checks, come to {conns} on a server that \
                 takes {room} (0.7 of sockets={}): fewer, or more sockets",
                self.callers.edges, self.callers.habits.connections, self.fleet.sockets
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
                Draw::of(self.seed, &format!("step {number}")).some(&all, many.max(1))
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
fn needs(props: &mut Props, name: &'static str, least: f64, most: f64) -> Option<f64> {
    let value = props.number(name, least, most);
    if value.is_none() {
        props.fault(format!("needs {name}= with a number from {least} to {most}"));
    }
    value
}

fn index_state(props: &mut Props) -> Option<index::State> {
    let words = ["slow", "hung", "shedding", "half", "dead"];
    let by = props.number("by", 1.0, 1000.0);
    let Some(state) = props.word("state", &words) else {
        props.fault(format!("needs state=, one of {}", words.join(", ")));
        return None;
    };
    if words[state] == "slow" && by.is_none() {
        props.fault("slow needs by=, how many times as long a call takes");
        return None;
    }
    use index::State::*;
    Some([Slow(by.unwrap_or(1.0)), Hung, Shedding, Half, Dead][state])
}

/// What spoils a pair.
fn pair_fault(word: &str, props: &mut Props) -> Option<Fault> {
    let words = Far::ALL.map(Far::word);
    let with = props.word("with", &words).map(|i| Far::ALL[i]);
    if with.is_none() {
        props.fault(format!("needs with=, one of {}", words.join(", ")));
    }
    let bytes = |n: Option<f64>| n.map(|n| n as u64);
    let spoil = match word {
        "delay" => {
            let delay = needs(props, "ms", 0.0, 60_000.0).map(ms)?;
            Spoil { delay, jitter: props.number("jitter", 0.0, 10.0).unwrap_or(0.0), ..Spoil::default() }
        }
        "cut" => Spoil { dead: true, ..Spoil::default() },
        "reset" => Spoil { reset_after: bytes(needs(props, "after", 0.0, 1e9)), ..Spoil::default() },
        "half" => Spoil { silent_after: bytes(needs(props, "after", 0.0, 1e9)), ..Spoil::default() },
        "trickle" => Spoil { trickle: bytes(needs(props, "rate", 1.0, 1e9)), ..Spoil::default() },
        "garble" => Spoil { garble: needs(props, "share-of-pieces", 0.0, 1.0)?, ..Spoil::default() },
        "unread" => Spoil { unread: true, ..Spoil::default() },
        _ => return with.map(Fault::Refuse),
    };
    let way = props.word("way", &["to", "from", "both"]).unwrap_or(2);
    let (to, from) = (way != 1, way != 0);
    with.map(|with| Fault::Pair(with, to.then(|| spoil.clone()), from.then_some(spoil)))
}
