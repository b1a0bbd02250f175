//! The worker pool's protocol: text lines, some of which are followed by a payload whose length the line states.
//!
//! The server sends commands, and the pool sends events. Events about runs are notices, which carry ascending numbers.
//! On a new connection the server names the last notice that it has handled, and the pool repeats those after it.

use aldercrank::Outcome;
use std::fmt;
use std::io::Write;
use std::time::Duration;

/// Maximum length of a line without its end, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Maximum length of a payload, in bytes, unless an [`EventReader`] has another limit.
pub const MAX_PAYLOAD_BYTES: usize = 256 * 1024;
/// Number of words that are read of a line; the others are ignored.
const MAX_WORDS: usize = 16;
/// Number of characters of a malformed line that are passed on to [`EventHandler::malformed_line`].
const MAX_REPORTED_CHARS: usize = 80;
const LINE_END: &[u8] = b"\r\n";
/// The name of the command that starts a run.
pub const START_RUN_COMMAND: &str = "spawn";

/// The id of an attempt at a request, in its form on the wire: 16 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId([u8; 16]);

impl AttemptId {
    /// Parses an id; `None` if the text is not 16 hexadecimal digits.
    pub fn new(text: &str) -> Option<AttemptId> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes.iter().all(u8::is_ascii_hexdigit).then_some(AttemptId(bytes))
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(std::str::from_utf8(&self.0).unwrap_or_default())
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// The number of a notice. Later notices have higher numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct NoticeNumber(pub u64);

/// Receives the pool's events, on the side of the server.
pub trait EventHandler {
    /// The pool has accepted [`write_bind`]. `cold` is set if it has just started; `age` is the time since its start.
    fn bound(&mut self, cold: bool, age: Duration);
    /// Notice: a run has ended after `run_time`.
    fn run_finished(
        &mut self,
        notice: NoticeNumber,
        attempt: AttemptId,
        outcome: Outcome,
        run_time: Duration,
        result: &[u8],
    );
    /// Notice: a run waits for the result of a dependency call with this body.
    fn run_blocked(&mut self, notice: NoticeNumber, attempt: AttemptId, body: &[u8]);
    /// A notice that a server need not act on.
    fn other_notice(&mut self, notice: NoticeNumber);
    /// The load metrics that [`write_metrics_request`] asked for with this tag.
    fn metrics_reported(&mut self, tag: u64, load_metrics: &[f64]);
    /// The pool does not know the attempt that a command named. `id` is empty if the pool did not repeat it.
    fn unknown_attempt(&mut self, command: &str, id: &str);
    /// A line could not be read. `line` holds its first characters, or a note that it exceeded the length limit.
    fn malformed_line(&mut self, line: &str);
}

/// Incremental reader of the pool's events, which may arrive in any number of pieces.
pub struct EventReader {
    /// Whether the rest of a line over the length limit is being discarded.
    skipping_line: bool,
    max_payload_bytes: usize,
}

impl Default for EventReader {
    fn default() -> Self {
        EventReader::with_limit(MAX_PAYLOAD_BYTES)
    }
}

/// Splits a line, without its end, into words. Returns how many were stored, at most [`MAX_WORDS`].
fn split_words<'a>(line: &'a str, words: &mut [&'a str; MAX_WORDS]) -> usize {
    let all = line.split(' ').filter(|word| !word.is_empty());
    words.iter_mut().zip(all).map(|(slot, word)| *slot = word).count()
}

/// The stated length of the payload that follows an event's line; `None` if the event has no payload.
fn payload_length(line: &str) -> Option<usize> {
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let has_payload = matches!(words.next(), Some("finished" | "blocked"));
    words.next_back().filter(|_| has_payload).and_then(|word| word.parse().ok())
}

impl EventReader {
    /// A reader that accepts payloads of at most this length, in bytes.
    pub fn with_limit(max_payload_bytes: usize) -> EventReader {
        EventReader { skipping_line: false, max_payload_bytes }
    }

    /// The length that the message at the front of `input` will have, payload included. `None` while its line is
    /// incomplete, and if the line does not state a payload length within the limit.
    pub fn message_length(&self, input: &[u8]) -> Option<usize> {
        let line_end = memchr::memmem::find(input, LINE_END)
            .filter(|line_end| !self.skipping_line && *line_end <= MAX_LINE_BYTES)?;
        payload_length(std::str::from_utf8(&input[..line_end]).ok()?)
            .filter(|length| *length <= self.max_payload_bytes)
            .map(|length| line_end + length + 2 * LINE_END.len())
    }

    /// Reads one message from the front of `input`. Returns the number of bytes to discard, or `None` until the message
    /// is complete. A line over the length limit may be discarded in several steps.
    pub fn read(&mut self, input: &[u8], handler: &mut impl EventHandler) -> Option<usize> {
        let Some(line_end) = memchr::memmem::find(input, LINE_END) else {
            if input.len() <= MAX_LINE_BYTES {
                return None;
            }
            // The last byte is kept: it may be the first half of the line end.
            self.skipping_line = true;
            return Some(input.len() - 1);
        };
        let line_length = line_end + LINE_END.len();
        if std::mem::take(&mut self.skipping_line) || line_end > MAX_LINE_BYTES {
            handler.malformed_line("(line exceeds the length limit)");
            return Some(line_length);
        }
        let line = String::from_utf8_lossy(&input[..line_end]);
        let mut words = [""; MAX_WORDS];
        let count = split_words(&line, &mut words);
        let length = payload_length(&line).filter(|length| *length <= self.max_payload_bytes);
        let message_length = line_length + length.map_or(0, |length| length + LINE_END.len());
        if input.len() < message_length {
            return None;
        }
        let payload = length.map(|length| &input[line_length..line_length + length]);
        if handle_event(&words[..count], payload, handler).is_none() {
            handler.malformed_line(&line.chars().take(MAX_REPORTED_CHARS).collect::<String>());
        }
        Some(message_length)
    }
}

fn handle_event(words: &[&str], payload: Option<&[u8]>, handler: &mut impl EventHandler) -> Option<()> {
    match words {
        ["bound", state, age, ..] => {
            handler.bound(*state == "cold", parse_milliseconds(age)?);
        }
        ["finished", number, id, end, run_time, _] => {
            let outcome = match *end {
                "ok" => Outcome::Completed,
                "halted" => Outcome::Cancelled,
                "void" => Outcome::NeverStarted,
                _ => Outcome::Failed,
            };
            let (number, attempt) = (parse_notice(number)?, AttemptId::new(id)?);
            handler.run_finished(number, attempt, outcome, parse_milliseconds(run_time)?, payload?);
        }
        ["blocked", number, id, _] => {
            handler.run_blocked(parse_notice(number)?, AttemptId::new(id)?, payload?);
        }
        ["polled", tag, metrics @ ..] => {
            let mut values = [0.0; MAX_WORDS];
            for (value, text) in values.iter_mut().zip(metrics) {
                *value = text.parse().unwrap_or_default();
            }
            handler.metrics_reported(tag.parse().ok()?, &values[..metrics.len()]);
        }
        ["unknown", command, id, ..] => handler.unknown_attempt(command, id),
        ["unknown", command] => handler.unknown_attempt(command, ""),
        ["chatter", number, ..] => handler.other_notice(parse_notice(number)?),
        _ => return None,
    }
    Some(())
}

fn parse_notice(text: &str) -> Option<NoticeNumber> {
    text.parse().ok().map(NoticeNumber)
}

/// Parses a number of milliseconds, with or without a fraction.
fn parse_milliseconds(text: &str) -> Option<Duration> {
    let ms: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(ms / 1e3).ok()
}

/// Writes the first command on a connection: the pool repeats the notices after `last`, the last one handled.
pub fn write_bind(output: &mut Vec<u8>, last: NoticeNumber) {
    let _ = write!(output, "bind {}\r\n", last.0);
}

/// Writes the line of the command that starts a run. The body of this length has to follow, and then
/// [`write_payload_end`].
pub fn write_start_run(output: &mut Vec<u8>, attempt: AttemptId, class: &str, length: usize) {
    let _ = write!(output, "{START_RUN_COMMAND} {attempt} {class} {length}\r\n");
}

/// Writes the line end that follows a payload.
pub fn write_payload_end(output: &mut Vec<u8>) {
    output.extend_from_slice(LINE_END);
}

/// Writes the command that stops a run.
pub fn write_stop_run(output: &mut Vec<u8>, attempt: AttemptId) {
    let _ = write!(output, "suspend {attempt}\r\n");
}

/// Writes the command that delivers the result of a dependency call to the run that waits for it.
pub fn write_call_result(output: &mut Vec<u8>, attempt: AttemptId, result: &[u8]) {
    let _ = write!(output, "supply {attempt} {}\r\n", result.len());
    output.extend(result);
    output.extend(LINE_END);
}

/// Writes the command that lets a run continue without the dependency call that it asked for in this notice.
pub fn write_skip_call(output: &mut Vec<u8>, attempt: AttemptId, notice: NoticeNumber) {
    let _ = write!(output, "pass {attempt} {}\r\n", notice.0);
}

/// Writes the request for load metrics. The pool repeats `tag` in its response.
pub fn write_metrics_request(output: &mut Vec<u8>, tag: u64) {
    let _ = write!(output, "poll {tag}\r\n");
}

/// Receives a server's commands, on the side of the worker pool.
pub trait CommandHandler {
    /// The first command on a connection: repeats the notices after `last`.
    fn bind(&mut self, last: NoticeNumber);
    /// Starts a run.
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &[u8]);
    /// Stops a run.
    fn stop_run(&mut self, attempt: AttemptId);
    /// Delivers the result of a dependency call to the run that waits for it.
    fn deliver_call_result(&mut self, attempt: AttemptId, result: &[u8]);
    /// Lets a run continue without the dependency call that it asked for in this notice.
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber);
    /// Reports load metrics, with this tag.
    fn report_metrics(&mut self, tag: &str);
}

/// Why a command could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line is too long.
    #[error("line exceeds {} bytes", MAX_LINE_BYTES)]
    LineTooLong,
    /// The line is not UTF-8.
    #[error("line is not UTF-8")]
    NotUtf8,
    /// The payload's length is not a number, or too large.
    #[error("payload length is not a number, or exceeds {} bytes", MAX_PAYLOAD_BYTES)]
    InvalidLength,
    /// The attempt's id is invalid.
    #[error("attempt id is not 16 hexadecimal digits")]
    InvalidId,
    /// The number of a notice is invalid.
    #[error("notice number is not an unsigned integer")]
    InvalidNotice,
    /// There is no such command, or it has another number of parameters.
    #[error("unknown command, or wrong number of parameters")]
    UnknownCommand,
}

/// Reads one command from the front of `input`. Returns its length, or `None` until it is complete.
///
/// # Errors
///
/// If the input is not a valid command; the pool then closes the connection.
pub fn read_command(input: &[u8], handler: &mut impl CommandHandler) -> Result<Option<usize>, CommandError> {
    let Some(line_end) = memchr::memmem::find(input, LINE_END) else {
        return if input.len() <= MAX_LINE_BYTES { Ok(None) } else { Err(CommandError::LineTooLong) };
    };
    let line = std::str::from_utf8(&input[..line_end]).map_err(|_| CommandError::NotUtf8)?;
    let mut words = [""; MAX_WORDS];
    let count = split_words(line, &mut words);
    let words = &words[..count];
    let length = match words {
        [START_RUN_COMMAND, _, _, length] | ["supply", _, length] => Some(parse_command_length(length)?),
        _ => None,
    };
    let line_length = line_end + LINE_END.len();
    let message_length = line_length + length.map_or(0, |length| length + LINE_END.len());
    if input.len() < message_length {
        return Ok(None);
    }
    let payload = length.map_or(&[][..], |length| &input[line_length..line_length + length]);
    let attempt_id = |text: &str| AttemptId::new(text).ok_or(CommandError::InvalidId);
    let notice_number = |text: &str| parse_notice(text).ok_or(CommandError::InvalidNotice);
    match words {
        ["bind", last] => handler.bind(notice_number(last)?),
        [START_RUN_COMMAND, attempt, class, _] => handler.start_run(attempt_id(attempt)?, class, payload),
        ["suspend", attempt] => handler.stop_run(attempt_id(attempt)?),
        ["supply", attempt, _] => handler.deliver_call_result(attempt_id(attempt)?, payload),
        ["pass", attempt, notice] => handler.skip_call(attempt_id(attempt)?, notice_number(notice)?),
        ["poll", tag] => handler.report_metrics(tag),
        _ => return Err(CommandError::UnknownCommand),
    }
    Ok(Some(message_length))
}

fn parse_command_length(text: &str) -> Result<usize, CommandError> {
    let length = text.parse::<usize>().ok().filter(|length| *length <= MAX_PAYLOAD_BYTES);
    length.ok_or(CommandError::InvalidLength)
}

fn as_milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// Writes the event that answers [`write_bind`]. `cold` says that the pool has just started; `age` is the time since
/// its start.
pub fn write_bound(output: &mut Vec<u8>, cold: bool, age: Duration) {
    let state = if cold { "cold" } else { "warm" };
    let _ = write!(output, "bound {state} {:.3}\r\n", as_milliseconds(age));
}

/// How a run ended, as the pool reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunOutcome {
    /// It completed.
    Completed,
    /// It failed.
    Failed,
    /// It was stopped.
    Cancelled,
    /// It was never started.
    NeverStarted,
}

/// Writes the notice that a run has ended.
pub fn write_run_finished(
    output: &mut Vec<u8>,
    notice: NoticeNumber,
    attempt: AttemptId,
    end: RunOutcome,
    run_time: Duration,
    result: &[u8],
) {
    let end = match end {
        RunOutcome::Completed => "ok",
        RunOutcome::Failed => "failed",
        RunOutcome::Cancelled => "halted",
        RunOutcome::NeverStarted => "void",
    };
    let run_time = as_milliseconds(run_time);
    let _ = write!(output, "finished {} {attempt} {end} {run_time:.3} {}\r\n", notice.0, result.len());
    output.extend(result);
    write_payload_end(output);
}

/// Writes the notice that a run waits for the result of a dependency call with this body.
pub fn write_run_blocked(output: &mut Vec<u8>, notice: NoticeNumber, attempt: AttemptId, body: &[u8]) {
    let _ = write!(output, "blocked {} {attempt} {}\r\n", notice.0, body.len());
    output.extend(body);
    write_payload_end(output);
}

/// Writes the event that reports the load metrics requested with this tag.
pub fn write_metrics(output: &mut Vec<u8>, tag: &str, load_metrics: &[f64]) {
    let _ = write!(output, "polled {tag}");
    for metric in load_metrics {
        let _ = write!(output, " {metric:.4}");
    }
    write_payload_end(output);
}

/// Writes the event that a command named an attempt that the pool does not know.
pub fn write_unknown_attempt(output: &mut Vec<u8>, command: &str, attempt: AttemptId) {
    let _ = write!(output, "unknown {command} {attempt}\r\n");
}
