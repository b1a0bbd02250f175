//! The worker pool's lines, apart from sockets: one method of `EventHandler` for each thing that it says.

use aldercrank::Outcome;
use std::io::Write;
use std::time::Duration;

/// The longest line, and the longest bytes after one, that are taken.
const LINE: usize = 16 * 1024;
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;
/// Words of a line that are looked at.
const WORDS: usize = 16;

/// A txn's id as the edge and the worker pool write it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId([u8; 16]);

impl AttemptId {
    pub fn new(text: &str) -> Option<AttemptId> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes.iter().all(u8::is_ascii_hexdigit).then_some(AttemptId(bytes))
    }
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(std::str::from_utf8(&self.0).unwrap_or_default())
    }
}

impl std::fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

/// The number of something that the pool has told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NoticeNumber(pub u64);

pub trait EventHandler {
    fn bound(&mut self, cold: bool, age: Duration);
    /// Notices count up; each of these three carries its number.
    fn run_finished(
        &mut self,
        notice: NoticeNumber,
        attempt: AttemptId,
        how: Outcome,
        took: Duration,
        result: &[u8],
    );
    fn run_blocked(&mut self, notice: NoticeNumber, attempt: AttemptId, body: &[u8]);
    fn other_notice(&mut self, notice: NoticeNumber);
    fn metrics_reported(&mut self, tag: u64, gauges: &[f64]);
    fn unknown_attempt(&mut self, command: &str, id: &str);
    fn malformed_line(&mut self, line: &str);
}

/// Reads what comes, however it is cut.
pub struct EventReader {
    /// In a line that is too long to be kept.
    skipping: bool,
    /// The longest bytes after a line.
    most: usize,
}

impl Default for EventReader {
    fn default() -> Self {
        EventReader::at_most(MAX_PAYLOAD_BYTES)
    }
}

/// A line's words, without its end.
fn words<'a>(line: &'a str, into: &mut [&'a str; WORDS]) -> usize {
    let all = line.split(' ').filter(|w| !w.is_empty());
    into.iter_mut().zip(all).map(|(to, word)| *to = word).count()
}

/// The length that a line says of the bytes behind it.
fn length(line: &str) -> Option<usize> {
    let mut words = line.split(' ').filter(|w| !w.is_empty());
    let carries = matches!(words.next(), Some("finished" | "blocked"));
    words.next_back().filter(|_| carries).and_then(|w| w.parse().ok())
}

impl EventReader {
    pub fn at_most(most: usize) -> EventReader {
        EventReader { skipping: false, most }
    }

    /// How long the message at the front will be once it is whole, where that is known.
    pub fn wants(&self, buf: &[u8]) -> Option<usize> {
        let end = memchr::memmem::find(buf, b"\r\n").filter(|end| !self.skipping && *end <= LINE)?;
        length(std::str::from_utf8(&buf[..end]).ok()?).filter(|n| *n <= self.most).map(|n| end + n + 4)
    }

    /// Reads one message off the front. Gives its length, or nothing while it is not whole.
    pub fn read(&mut self, buf: &[u8], pool: &mut impl EventHandler) -> Option<usize> {
        let Some(end) = memchr::memmem::find(buf, b"\r\n") else {
            if buf.len() <= LINE {
                return None;
            }
            // All but the last byte, which may be half of the line's end.
            self.skipping = true;
            return Some(buf.len() - 1);
        };
        if std::mem::take(&mut self.skipping) || end > LINE {
            pool.malformed_line("a line over the limit");
            return Some(end + 2);
        }
        let line = String::from_utf8_lossy(&buf[..end]);
        let mut all = [""; WORDS];
        let n = words(&line, &mut all);
        let words = &all[..n];
        let length = length(&line).filter(|n| *n <= self.most);
        let after = match length {
            Some(n) if buf.len() < end + 2 + n + 2 => return None,
            Some(n) => &buf[end + 2..end + 2 + n],
            None => &[],
        };
        if say(words, length.map(|_| after), pool).is_none() {
            pool.malformed_line(&line.chars().take(80).collect::<String>());
        }
        Some(end + 2 + length.map_or(0, |n| n + 2))
    }
}

fn say(words: &[&str], after: Option<&[u8]>, pool: &mut impl EventHandler) -> Option<()> {
    match words {
        ["bound", state, age, ..] => {
            pool.bound(*state == "cold", span(age)?);
        }
        ["finished", n, id, end, took, _] => {
            let how = match *end {
                "ok" => Outcome::Completed,
                "halted" => Outcome::Cancelled,
                "void" => Outcome::NeverStarted,
                _ => Outcome::Failed,
            };
            pool.run_finished(notice(n)?, AttemptId::new(id)?, how, span(took)?, after?);
        }
        ["blocked", n, id, _] => pool.run_blocked(notice(n)?, AttemptId::new(id)?, after?),
        ["polled", tag, gauges @ ..] => {
            let mut values = [0.0; WORDS];
            values.iter_mut().zip(gauges.iter()).for_each(|(to, g)| *to = g.parse().unwrap_or_default());
            pool.metrics_reported(tag.parse().ok()?, &values[..gauges.len()]);
        }
        ["unknown", command, id, ..] => pool.unknown_attempt(command, id),
        ["unknown", command] => pool.unknown_attempt(command, ""),
        ["chatter", n, ..] => pool.other_notice(notice(n)?),
        _ => return None,
    }
    Some(())
}

fn notice(text: &str) -> Option<NoticeNumber> {
    text.parse().ok().map(NoticeNumber)
}

/// Milliseconds, with or without a fraction.
fn span(text: &str) -> Option<Duration> {
    let ms: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(ms / 1e3).ok()
}

pub fn write_bind(into: &mut Vec<u8>, last: NoticeNumber) {
    let _ = write!(into, "bind {}\r\n", last.0);
}

/// The line of a spawn; its body follows, and then `after`.
pub fn write_start_run(into: &mut Vec<u8>, attempt: AttemptId, class: &str, length: usize) {
    let _ = write!(into, "spawn {attempt} {class} {length}\r\n");
}

/// What stands behind bytes.
pub fn write_payload_end(into: &mut Vec<u8>) {
    into.extend_from_slice(b"\r\n");
}

pub fn write_stop_run(into: &mut Vec<u8>, attempt: AttemptId) {
    let _ = write!(into, "suspend {attempt}\r\n");
}

pub fn write_call_result(into: &mut Vec<u8>, attempt: AttemptId, reply: &[u8]) {
    let _ = write!(into, "supply {attempt} {}\r\n", reply.len());
    into.extend(reply);
    into.extend(b"\r\n");
}

pub fn write_skip_call(into: &mut Vec<u8>, attempt: AttemptId, notice: NoticeNumber) {
    let _ = write!(into, "pass {attempt} {}\r\n", notice.0);
}

pub fn write_metrics_request(into: &mut Vec<u8>, tag: u64) {
    let _ = write!(into, "poll {tag}\r\n");
}

/// The other end: the worker pool is told what to do, one method for each command.
pub trait CommandHandler {
    /// The last notice that was read; all that came after it follow.
    fn bind(&mut self, last: NoticeNumber);
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]);
    fn stop_run(&mut self, attempt: AttemptId);
    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]);
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber);
    fn report_metrics(&mut self, tag: &str);
}

/// Reads one command off the front. Gives its length, or nothing while it is not whole; what is no command is
/// an error, at which the pool closes the link.
pub fn read_command(buf: &[u8], backend: &mut impl CommandHandler) -> Result<Option<usize>, &'static str> {
    let Some(end) = memchr::memmem::find(buf, b"\r\n") else {
        return if buf.len() <= LINE { Ok(None) } else { Err("a line over the limit") };
    };
    let line = std::str::from_utf8(&buf[..end]).map_err(|_| "a line that is no text")?;
    let mut all = [""; WORDS];
    let n = words(line, &mut all);
    let words = &all[..n];
    let length = match words {
        ["spawn", _, _, length] | ["supply", _, length] => Some(
            length
                .parse::<usize>()
                .ok()
                .filter(|n| *n <= MAX_PAYLOAD_BYTES)
                .ok_or("a length that makes no sense")?,
        ),
        _ => None,
    };
    let whole = end + 2 + length.map_or(0, |n| n + 2);
    if buf.len() < whole {
        return Ok(None);
    }
    let bytes = length.map_or(&[][..], |n| &buf[end + 2..end + 2 + n]);
    let id = |text: &str| AttemptId::new(text).ok_or("an id that is none");
    match words {
        ["bind", last] => backend.bind(notice(last).ok_or("a notice without a number")?),
        ["spawn", attempt, class, _] => backend.start_run(id(attempt)?, class, bytes),
        ["suspend", attempt] => backend.stop_run(id(attempt)?),
        ["supply", attempt, _] => backend.deliver_call_result(id(attempt)?, bytes),
        ["pass", attempt, at] => {
            backend.skip_call(id(attempt)?, notice(at).ok_or("a notice without a number")?)
        }
        ["poll", tag] => backend.report_metrics(tag),
        _ => return Err("a word that is no command"),
    }
    Ok(Some(whole))
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

pub fn write_bound(into: &mut Vec<u8>, cold: bool, age: Duration) {
    let _ = write!(into, "bound {} {:.3}\r\n", if cold { "cold" } else { "warm" }, ms(age));
}

/// A run's end as the pool writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunEnd {
    Ok,
    Failed,
    Halted,
    /// Nothing was started.
    Void,
}

pub fn write_run_finished(
    into: &mut Vec<u8>,
    at: NoticeNumber,
    attempt: AttemptId,
    end: RunEnd,
    took: Duration,
    result: &[u8],
) {
    let word = match end {
        RunEnd::Ok => "ok",
        RunEnd::Failed => "failed",
        RunEnd::Halted => "halted",
        RunEnd::Void => "void",
    };
    let _ = write!(into, "finished {} {attempt} {word} {:.3} {}\r\n", at.0, ms(took), result.len());
    into.extend(result);
    write_payload_end(into);
}

pub fn write_run_blocked(into: &mut Vec<u8>, at: NoticeNumber, attempt: AttemptId, body: &[u8]) {
    let _ = write!(into, "blocked {} {attempt} {}\r\n", at.0, body.len());
    into.extend(body);
    write_payload_end(into);
}

pub fn write_metrics(into: &mut Vec<u8>, tag: &str, gauges: &[f64]) {
    let _ = write!(into, "polled {tag}");
    for gauge in gauges {
        let _ = write!(into, " {gauge:.4}");
    }
    write_payload_end(into);
}

pub fn write_unknown_attempt(into: &mut Vec<u8>, command: &str, attempt: AttemptId) {
    let _ = write!(into, "unknown {command} {attempt}\r\n");
}
