//! Batches with every kind of event, from the start of an instance to its end, and the reply to each.

use aldercrank_simulator_adapter::SimulatorAdapter;
use std::fmt::Write;

/// Records the batches sent to a simulator adapter, and its replies.
#[derive(Default)]
pub struct Transcript {
    adapter: SimulatorAdapter,
    pub text: String,
}

impl Transcript {
    /// Starts a section with a new adapter.
    pub fn section(&mut self, title: &str) {
        let _ = writeln!(self.text, "== {title}\n");
        self.adapter = SimulatorAdapter::default();
    }

    /// Sends one line, and records it with the reply or the error.
    pub fn line(&mut self, title: &str, line: &str) {
        let reply = match self.adapter.handle_batch(line) {
            Ok(reply) => format!("reply: {reply}"),
            Err(error) => format!("error: {error}"),
        };
        let _ = writeln!(self.text, "# {title}\nbatch: {line}\n{reply}\n");
    }

    /// Sends a batch of events for instance 3.
    pub fn items(&mut self, title: &str, clock_micros: u64, items: &str) {
        self.line(title, &format!(r#"{{"ts":{clock_micros},"groups":[{{"i":3,"items":[{items}]}}]}}"#));
    }
}

/// The start of an instance with settings under which every kind of action occurs. `extra` is added to `family_info`.
pub fn power_on(extra: &str) -> String {
    let profiles = r#"[{"name":"look","effect":"retryable","goal_time":1000000,"give_up":3000000,"points":1.0,"late_worth":0.2,"window":5000000},{"name":"pay","effect":"dedup","goal_time":1000000,"give_up":3000000,"points":2.0,"late_worth":0.0,"window":5000000},{"name":"send","effect":"fragile","goal_time":1000000,"give_up":3000000,"points":1.0,"late_worth":0.0,"window":5000000}]"#;
    let info = format!(
        r#"{{"cores":2,"memory_kb":90000.0,"run_factor":4.0,"key_kb":1.0,"halt":"abort","idle":30000000,"upstreams":4,"calls_out":8.0,"calls_over":5000000,"linger":200000,"fresh_for":400000,"class_calls":[true,true,true],"worth_without":[0.5,0.0,0.0],"meters":["cpu_busy","runnable"]{extra}}}"#
    );
    let rules =
        r#"{"answer_slack":60000,"fall_multiple":5.0,"stop_sending_within":1000000,"warm_after":18000000}"#;
    let limits = r#"{"retry_after":true,"max_retry_after":1000000}"#;
    format!(
        r#"{{"t":"PowerOn","salt":5,"env":{{"family_info":{info},"rules":{rules},"limits":{limits},"tick":2000,"profiles":{profiles}}}}}"#
    )
}

/// A request with this id and class. `extra` is added to its fields.
fn request(id: u64, class: &str, extra: &str) -> String {
    format!(
        r#"{{"t":"NewRequest","request_id":{id},"cls":"{class}","footprint":9.0,"precedence":0.5{extra}}}"#
    )
}

/// The end of a request's run or call, with this result.
fn ended(event: &str, id: u64, result: &str) -> String {
    format!(r#"{{"t":"{event}","request_id":{id},"result":"{result}","duration":18500}}"#)
}

/// An event about a request, without further fields.
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

fn requests(transcript: &mut Transcript) {
    transcript.section("requests");
    transcript.line("an empty batch", r#"{"ts":5,"groups":[]}"#);
    transcript.items("an event before PowerOn", 5, &about("ClientGone", 1));
    transcript.items("PowerOn", 1_000_000, &power_on(""));
    let full = r#","user_group":"t","name_key":"s-1","drop_dead":3600000,"estimate":12000,"bitmap":7,"by":17,"lay":1850,"unheard":[1]"#;
    transcript.items("a request with all fields", 1_100_000, &request(1, "look", full));
    transcript.items(
        "a request with few fields",
        1_100_000,
        r#"{"t":"NewRequest","request_id":2,"cls":"look"}"#,
    );
    transcript.items("the highest id", 1_100_000, &request(4_294_967_295, "send", ""));
    transcript.items("an id out of range", 1_100_000, &request(4_294_967_296, "look", ""));
    transcript.items("an id that came before", 1_100_000, &request(1, "look", ""));
    transcript.items("a class that is not listed", 1_100_000, &request(3, "dance", ""));
    transcript.items("a request without a class", 1_100_000, r#"{"t":"NewRequest","request_id":4}"#);
    transcript.items("a deadline of 0 is none", 1_100_000, &request(5, "look", r#","drop_dead":0"#));
    transcript.items("a deadline that is past", 1_100_000, &request(6, "look", r#","drop_dead":1000001"#));
    transcript.items("a deadline before the start", 1_100_000, &request(7, "look", r#","drop_dead":1"#));
    transcript.items("a long time unread", 1_100_000, &request(8, "look", r#","lay":4000000"#));
    transcript.items(
        "fields of other kinds",
        1_100_000,
        &request(9, "look", r#","lay":"x","drop_dead":-1,"by":1.5"#),
    );
    transcript.items("a run ends that is not known", 1_300_000, &ended("WoundUp", 99, "completed"));
    transcript.items("a run ends without a result", 1_300_000, &about("WoundUp", 1));
}

/// Ends of runs with a duration of 9 s. A completed one is logged as far too slow.
fn run_ends(transcript: &mut Transcript) {
    for result in RESULTS {
        transcript.section(&format!("a run ends: {result}"));
        transcript.items("PowerOn", 0, &power_on(""));
        transcript.items("requests", 100_000, &[1, 2, 3].map(|id| request(id, "look", "")).join(","));
        let long = ended("WoundUp", 1, result).replace("18500", "9000000");
        transcript.items("the end", 200_000, &long);
        transcript.items("the same end once more", 210_000, &long);
        transcript.items("an end without a duration", 220_000, &about("WoundUp", 2));
    }
}

fn calls(transcript: &mut Transcript, class: &str) {
    transcript.section(&format!("calls of class {class}"));
    transcript.items("PowerOn", 0, &power_on(""));
    for (id, result) in (1..).zip(RESULTS) {
        let clock = 100_000 * id;
        transcript.items(&format!("{result}: a request"), clock, &request(id, class, ""));
        transcript.items("it needs a call", clock + 10_000, &about("Awaiting", id));
        transcript.items("the call ends", clock + 20_000, &ended("CallEnded", id, result));
        transcript.items("the timer", clock + 90_000, ALARM);
        transcript.items("a call ends once more", clock + 92_000, &ended("CallEnded", id, result));
        transcript.items("the run ends", clock + 95_000, &ended("WoundUp", id, "completed"));
    }
    transcript.items("a request", 1_500_000, &request(50, class, ""));
    transcript.items("it needs a call", 1_510_000, &about("Awaiting", 50));
    transcript.items("the call ends without a result and a duration", 1_520_000, &about("CallEnded", 50));
    transcript.items("a call of a request that is not known", 2_000_000, &about("Awaiting", 99));
    transcript.items("an end of a call that is not known", 2_000_000, &ended("CallEnded", 99, "completed"));
}

/// Ends of calls after 9 s, which leaves no time for another call.
fn long_call_ends(transcript: &mut Transcript) {
    for result in RESULTS {
        transcript.section(&format!("a long call ends: {result}"));
        transcript.items("PowerOn", 0, &power_on(""));
        transcript.items("a request", 100_000, &request(1, "look", ""));
        transcript.items("it needs a call", 110_000, &about("Awaiting", 1));
        transcript.items("the end", 120_000, &ended("CallEnded", 1, result).replace("18500", "9000000"));
        transcript.items("the timer", 190_000, ALARM);
    }
}

fn repeats(transcript: &mut Transcript) {
    transcript.section("repeats, and callers that are gone");
    transcript.items("PowerOn", 0, &power_on(""));
    let repeat = |id: u64, class: &str, of: u64| request(id, class, &format!(r#","dup_of":{of}"#));
    transcript.items("a request is started", 100_000, &request(1, "pay", ""));
    transcript.items("its repeat joins", 110_000, &repeat(2, "pay", 1));
    transcript.items("a repeat of one not known", 110_000, &repeat(3, "pay", 77));
    transcript.items("a repeat of 0 is none", 110_000, &repeat(4, "pay", 0));
    transcript.items(
        "a read repeats one",
        110_000,
        &format!("{},{}", request(5, "look", ""), repeat(6, "look", 5)),
    );
    transcript.items("the first ends", 120_000, &ended("WoundUp", 1, "completed"));
    transcript.items("the repeat ends", 120_000, &ended("WoundUp", 2, "completed"));
    let overload: Vec<String> = (20..40).map(|id| request(id, "pay", "")).collect();
    transcript.items("more than can run", 200_000, &overload.join(","));
    transcript.items("a repeat takes the place of one held", 210_000, &repeat(40, "pay", 39));
    transcript.items("nobody waits for one held", 210_000, &about("ClientGone", 38));
    transcript.items("nobody waits for one running", 210_000, &about("ClientGone", 20));
    transcript.items("nobody waits for a read", 210_000, &about("ClientGone", 5));
    transcript.items("nobody waits for one not known", 210_000, &about("ClientGone", 1_000));
    transcript.items("the timer, much later", 2_950_000, ALARM);
    transcript.items("the timer, at the deadline", 3_250_000, ALARM);
}

fn timers(transcript: &mut Transcript) {
    for advert in ["threshold", "share_of", "window", "none", "unheard-of"] {
        transcript.section(&format!("timers with advert {advert}"));
        transcript.items("PowerOn", 0, &power_on(&format!(r#","advert":"{advert}""#)));
        transcript.items("the timer", 30_000, ALARM);
        transcript.items(
            "requests",
            40_000,
            &[1, 2, 3, 4].map(|id| request(id, "look", r#","by":1"#)).join(","),
        );
        transcript.items("the timer again", 5_000_000, ALARM);
        transcript.items("a timer without gauges", 5_030_000, r#"{"t":"Alarm"}"#);
        transcript.items("gauges of other kinds", 5_060_000, r#"{"t":"Alarm","pressure":["x",null,7,-1]}"#);
        transcript.items("a request long unread", 5_070_000, &request(5, "look", r#","lay":900000000"#));
        transcript.items("the timer after it", 5_090_000, ALARM);
    }
}

fn starts_and_ends(transcript: &mut Transcript) {
    transcript.section("ends and starts");
    transcript.items("PowerOn", 0, &power_on(""));
    transcript.items("a request is started", 100_000, &request(1, "look", ""));
    transcript.items("WindDown", 200_000, r#"{"t":"WindDown","drop_dead":2200000}"#);
    transcript.items("a request within the grace", 900_000, &request(2, "look", ""));
    transcript.items("a request after the grace", 1_500_000, &request(3, "look", ""));
    transcript.items("the timer near the stop", 2_190_000, ALARM);
    transcript.items("Kill", 2_200_000, r#"{"t":"Kill"}"#);
    transcript.items("an event after it", 2_200_000, ALARM);
    transcript.items(
        "Kill and PowerOn in one batch",
        2_300_000,
        &format!(r#"{{"t":"Kill"}},{}"#, power_on("")),
    );
    transcript.items("the id of the life before", 2_300_000, &request(1, "look", ""));
    transcript.items("PowerOn without Kill", 2_400_000, &power_on(r#","cold":true"#));
    transcript.items("WindDown without a time", 2_500_000, r#"{"t":"WindDown"}"#);
    transcript.items(
        "events without a name or with another",
        2_500_000,
        r#"{},{"t":7},{"t":"Sunrise"},5,null"#,
    );
    let two_starts =
        format!(r#"{{"i":9,"items":[{0}]}},{{"i":1,"items":[]}},{{"i":5,"items":[{0}]}}"#, power_on(""));
    transcript.line(
        "two instances and one without events",
        &format!(r#"{{"ts":2600000,"groups":[{two_starts}]}}"#),
    );
    let extra = format!(r#"{{"i":5,"items":[{}]}},{{"i":9,"items":[{ALARM}]}}"#, request(1, "look", ""));
    transcript
        .line("in the order that they come", &format!(r#"{{"ts":2700000,"more":1,"groups":[{extra}]}}"#));
    let early = format!(r#"{{"i":5,"items":[{}]}}"#, request(2, "look", ""));
    transcript.line("a clock before the start", &format!(r#"{{"ts":1,"groups":[{early}]}}"#));
}

pub fn text() -> String {
    let mut transcript = Transcript::default();
    requests(&mut transcript);
    repeats(&mut transcript);
    timers(&mut transcript);
    starts_and_ends(&mut transcript);
    transcript.text
}

/// The ends of runs and of long calls.
pub fn ends_text() -> String {
    let mut transcript = Transcript::default();
    run_ends(&mut transcript);
    long_call_ends(&mut transcript);
    transcript.text
}

/// Dependency calls for requests of one class.
pub fn calls_text(class: &str) -> String {
    let mut transcript = Transcript::default();
    calls(&mut transcript, class);
    transcript.text
}
