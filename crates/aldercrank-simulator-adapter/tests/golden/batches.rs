//! Batches with every event, in the order of a server's life, and the reply to each.

use aldercrank_simulator_adapter::Drill;
use std::fmt::Write;

/// A simulator adapter whose batches and replies are written down.
#[derive(Default)]
pub struct Talk {
    drill: Drill,
    pub text: String,
}

impl Talk {
    pub fn section(&mut self, title: &str) {
        let _ = writeln!(self.text, "== {title}\n");
        self.drill = Drill::default();
    }

    /// One line in, and the reply or the error.
    pub fn line(&mut self, title: &str, line: &str) {
        let reply = match self.drill.batch(line) {
            Ok(reply) => format!("reply: {reply}"),
            Err(why) => format!("error: {why}"),
        };
        let _ = writeln!(self.text, "# {title}\nbatch: {line}\n{reply}\n");
    }

    /// A batch for instance 3 alone.
    pub fn items(&mut self, title: &str, clock: u64, items: &str) {
        self.line(title, &format!(r#"{{"ts":{clock},"groups":[{{"i":3,"items":[{items}]}}]}}"#));
    }
}

/// Settings under which every kind of action comes; these words go into `family_info` too.
pub fn power_on(more: &str) -> String {
    let profiles = r#"[{"name":"look","effect":"retryable","goal_time":1000000,"give_up":3000000,"points":1.0,"late_worth":0.2,"window":5000000},{"name":"pay","effect":"dedup","goal_time":1000000,"give_up":3000000,"points":2.0,"late_worth":0.0,"window":5000000},{"name":"send","effect":"fragile","goal_time":1000000,"give_up":3000000,"points":1.0,"late_worth":0.0,"window":5000000}]"#;
    let info = format!(
        r#"{{"cores":2,"memory_kb":90000.0,"run_factor":4.0,"key_kb":1.0,"halt":"abort","idle":30000000,"upstreams":4,"calls_out":8.0,"calls_over":5000000,"linger":200000,"fresh_for":400000,"class_calls":[true,true,true],"worth_without":[0.5,0.0,0.0],"meters":["cpu_busy","runnable"]{more}}}"#
    );
    let rules =
        r#"{"answer_slack":60000,"fall_multiple":5.0,"stop_sending_within":1000000,"warm_after":18000000}"#;
    let limits = r#"{"retry_after":true,"max_retry_after":1000000}"#;
    format!(
        r#"{{"t":"PowerOn","salt":5,"env":{{"family_info":{info},"rules":{rules},"limits":{limits},"tick":2000,"profiles":{profiles}}}}}"#
    )
}

/// A request with these fields beside its id and class.
fn request(id: u64, class: &str, more: &str) -> String {
    format!(
        r#"{{"t":"NewRequest","request_id":{id},"cls":"{class}","footprint":9.0,"precedence":0.5{more}}}"#
    )
}

/// An event about a request that has a result.
fn ended(event: &str, id: u64, result: &str) -> String {
    format!(r#"{{"t":"{event}","request_id":{id},"result":"{result}","duration":18500}}"#)
}

fn about(event: &str, id: u64) -> String {
    format!(r#"{{"t":"{event}","request_id":{id}}}"#)
}

const ALARM: &str = r#"{"t":"Alarm","tag":"tick","pressure":[0.62,3]}"#;
const RESULTS: [&str; 9] = [
    "completed",
    "errored",
    "saturated",
    "overdue",
    "refused_conn",
    "severed",
    "recalled",
    "superseded",
    "unheard-of",
];

fn requests(talk: &mut Talk) {
    talk.section("requests");
    talk.line("an empty batch", r#"{"ts":5,"groups":[]}"#);
    talk.items("an event before PowerOn", 5, &about("ClientGone", 1));
    talk.items("PowerOn", 1_000_000, &power_on(""));
    let full = r#","user_group":"t","name_key":"s-1","drop_dead":3600000,"estimate":12000,"bitmap":7,"by":17,"lay":1850,"unheard":[1]"#;
    talk.items("a request with all fields", 1_100_000, &request(1, "look", full));
    talk.items("a request with few fields", 1_100_000, r#"{"t":"NewRequest","request_id":2,"cls":"look"}"#);
    talk.items("the highest id", 1_100_000, &request(4_294_967_295, "send", ""));
    talk.items("an id out of range", 1_100_000, &request(4_294_967_296, "look", ""));
    talk.items("an id that came before", 1_100_000, &request(1, "look", ""));
    talk.items("a class that is not listed", 1_100_000, &request(3, "dance", ""));
    talk.items("a request without a class", 1_100_000, r#"{"t":"NewRequest","request_id":4}"#);
    talk.items("a deadline of 0 is none", 1_100_000, &request(5, "look", r#","drop_dead":0"#));
    talk.items("a deadline that is past", 1_100_000, &request(6, "look", r#","drop_dead":1000001"#));
    talk.items("a deadline before the start", 1_100_000, &request(7, "look", r#","drop_dead":1"#));
    talk.items("a long time unread", 1_100_000, &request(8, "look", r#","lay":4000000"#));
    talk.items(
        "fields of other kinds",
        1_100_000,
        &request(9, "look", r#","lay":"x","drop_dead":-1,"by":1.5"#),
    );
    talk.items("a run ends that is not known", 1_300_000, &ended("WoundUp", 99, "completed"));
    talk.items("a run ends without a result", 1_300_000, &about("WoundUp", 1));
}

/// Long runs: one that is completed is told of as far too slow.
fn runs(talk: &mut Talk) {
    for result in RESULTS {
        talk.section(&format!("a run ends: {result}"));
        talk.items("PowerOn", 0, &power_on(""));
        talk.items("requests", 100_000, &[1, 2, 3].map(|id| request(id, "look", "")).join(","));
        let long = ended("WoundUp", 1, result).replace("18500", "9000000");
        talk.items("the end", 200_000, &long);
        talk.items("the same end once more", 210_000, &long);
        talk.items("an end without a duration", 220_000, &about("WoundUp", 2));
    }
}

fn calls(talk: &mut Talk, class: &str) {
    talk.section(&format!("calls of class {class}"));
    talk.items("PowerOn", 0, &power_on(""));
    for (id, result) in (1..).zip(RESULTS) {
        let clock = 100_000 * id;
        talk.items(&format!("{result}: a request"), clock, &request(id, class, ""));
        talk.items("it needs a call", clock + 10_000, &about("Awaiting", id));
        talk.items("the call ends", clock + 20_000, &ended("CallEnded", id, result));
        talk.items("the timer", clock + 90_000, ALARM);
        talk.items("a call ends once more", clock + 92_000, &ended("CallEnded", id, result));
        talk.items("the run ends", clock + 95_000, &ended("WoundUp", id, "completed"));
    }
    talk.items("a request", 1_500_000, &request(50, class, ""));
    talk.items("it needs a call", 1_510_000, &about("Awaiting", 50));
    talk.items("the call ends without a result and a duration", 1_520_000, &about("CallEnded", 50));
    talk.items("a call of a request that is not known", 2_000_000, &about("Awaiting", 99));
    talk.items("an end of a call that is not known", 2_000_000, &ended("CallEnded", 99, "completed"));
}

/// Calls that took longer than there is time for another.
fn long_calls(talk: &mut Talk) {
    for result in RESULTS {
        talk.section(&format!("a long call ends: {result}"));
        talk.items("PowerOn", 0, &power_on(""));
        talk.items("a request", 100_000, &request(1, "look", ""));
        talk.items("it needs a call", 110_000, &about("Awaiting", 1));
        talk.items("the end", 120_000, &ended("CallEnded", 1, result).replace("18500", "9000000"));
        talk.items("the timer", 190_000, ALARM);
    }
}

fn repeats(talk: &mut Talk) {
    talk.section("repeats, and callers that are gone");
    talk.items("PowerOn", 0, &power_on(""));
    let repeat = |id: u64, class: &str, of: u64| request(id, class, &format!(r#","dup_of":{of}"#));
    talk.items("a request is started", 100_000, &request(1, "pay", ""));
    talk.items("its repeat joins", 110_000, &repeat(2, "pay", 1));
    talk.items("a repeat of one not known", 110_000, &repeat(3, "pay", 77));
    talk.items("a repeat of 0 is none", 110_000, &repeat(4, "pay", 0));
    talk.items(
        "a read repeats one",
        110_000,
        &format!("{},{}", request(5, "look", ""), repeat(6, "look", 5)),
    );
    talk.items("the first ends", 120_000, &ended("WoundUp", 1, "completed"));
    talk.items("the repeat ends", 120_000, &ended("WoundUp", 2, "completed"));
    let many: Vec<String> = (20..40).map(|id| request(id, "pay", "")).collect();
    talk.items("more than can run", 200_000, &many.join(","));
    talk.items("a repeat takes the place of one held", 210_000, &repeat(40, "pay", 39));
    talk.items("nobody waits for one held", 210_000, &about("ClientGone", 38));
    talk.items("nobody waits for one running", 210_000, &about("ClientGone", 20));
    talk.items("nobody waits for a read", 210_000, &about("ClientGone", 5));
    talk.items("nobody waits for one not known", 210_000, &about("ClientGone", 1_000));
    talk.items("the timer, much later", 2_950_000, ALARM);
    talk.items("the timer, at the deadline", 3_250_000, ALARM);
}

fn timers(talk: &mut Talk) {
    for advert in ["threshold", "share_of", "window", "none", "unheard-of"] {
        talk.section(&format!("timers with advert {advert}"));
        talk.items("PowerOn", 0, &power_on(&format!(r#","advert":"{advert}""#)));
        talk.items("the timer", 30_000, ALARM);
        talk.items("requests", 40_000, &[1, 2, 3, 4].map(|id| request(id, "look", r#","by":1"#)).join(","));
        talk.items("the timer again", 5_000_000, ALARM);
        talk.items("a timer without gauges", 5_030_000, r#"{"t":"Alarm"}"#);
        talk.items("gauges of other kinds", 5_060_000, r#"{"t":"Alarm","pressure":["x",null,7,-1]}"#);
        talk.items("a request long unread", 5_070_000, &request(5, "look", r#","lay":900000000"#));
        talk.items("the timer after it", 5_090_000, ALARM);
    }
}

fn lives(talk: &mut Talk) {
    talk.section("ends and starts");
    talk.items("PowerOn", 0, &power_on(""));
    talk.items("a request is started", 100_000, &request(1, "look", ""));
    talk.items("WindDown", 200_000, r#"{"t":"WindDown","drop_dead":2200000}"#);
    talk.items("a request within the grace", 900_000, &request(2, "look", ""));
    talk.items("a request after the grace", 1_500_000, &request(3, "look", ""));
    talk.items("the timer near the stop", 2_190_000, ALARM);
    talk.items("Kill", 2_200_000, r#"{"t":"Kill"}"#);
    talk.items("an event after it", 2_200_000, ALARM);
    talk.items("Kill and PowerOn in one batch", 2_300_000, &format!(r#"{{"t":"Kill"}},{}"#, power_on("")));
    talk.items("the id of the life before", 2_300_000, &request(1, "look", ""));
    talk.items("PowerOn without Kill", 2_400_000, &power_on(r#","cold":true"#));
    talk.items("WindDown without a time", 2_500_000, r#"{"t":"WindDown"}"#);
    talk.items("events without a name or with another", 2_500_000, r#"{},{"t":7},{"t":"Sunrise"},5,null"#);
    let two =
        format!(r#"{{"i":9,"items":[{0}]}},{{"i":1,"items":[]}},{{"i":5,"items":[{0}]}}"#, power_on(""));
    talk.line("two instances and one without events", &format!(r#"{{"ts":2600000,"groups":[{two}]}}"#));
    let more = format!(r#"{{"i":5,"items":[{}]}},{{"i":9,"items":[{ALARM}]}}"#, request(1, "look", ""));
    talk.line("in the order that they come", &format!(r#"{{"ts":2700000,"more":1,"groups":[{more}]}}"#));
    let early = format!(r#"{{"i":5,"items":[{}]}}"#, request(2, "look", ""));
    talk.line("a clock before the start", &format!(r#"{{"ts":1,"groups":[{early}]}}"#));
}

pub fn text() -> String {
    let mut talk = Talk::default();
    requests(&mut talk);
    repeats(&mut talk);
    timers(&mut talk);
    lives(&mut talk);
    talk.text
}

/// Ends of runs, and of calls that took long.
pub fn ends_text() -> String {
    let mut talk = Talk::default();
    runs(&mut talk);
    long_calls(&mut talk);
    talk.text
}

/// Calls made for requests of one class.
pub fn calls_text(class: &str) -> String {
    let mut talk = Talk::default();
    calls(&mut talk, class);
    talk.text
}
