//! The results of runs in the stub worker pool. Each contains the id of the attempt that was run, so that the checker
//! can tell which run a response comes from.

use aldercrank_protocol::worker_pool::AttemptId;

/// What a result begins with, before the attempt id.
const PREFIX: &[u8] = b"made by ";
const ATTEMPT_ID_LENGTH: usize = 16;
/// What a result ends with if the run continued without its call.
const CALL_SKIPPED: &[u8] = b"without its call";

/// The outcome of a run's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome<'a> {
    /// The run makes no call.
    NotNeeded,
    /// The call's result.
    Answered(&'a [u8]),
    /// The run continued without its call, which gives a degraded result.
    Skipped,
}

/// The result of a run.
pub fn run_result(attempt: AttemptId, call: CallOutcome) -> Vec<u8> {
    let mut bytes = format!("made by {attempt} ").into_bytes();
    match call {
        CallOutcome::NotNeeded => bytes.extend(b"alone"),
        CallOutcome::Answered(reply) => bytes.extend(reply),
        CallOutcome::Skipped => bytes.extend(CALL_SKIPPED),
    }
    bytes
}

/// Whether a result is degraded, since the run continued without its call.
pub fn is_degraded(result: &[u8]) -> bool {
    result.ends_with(CALL_SKIPPED)
}

/// The attempt whose run made this result; `None` if the bytes are not a result of a run.
pub fn made_by(result: &[u8]) -> Option<AttemptId> {
    let rest = result.strip_prefix(PREFIX)?;
    AttemptId::new(std::str::from_utf8(rest.get(..ATTEMPT_ID_LENGTH)?).ok()?)
}

/// The byte range of the attempt id in the first result within `bytes`.
pub fn attempt_id_range(bytes: &[u8]) -> Option<std::ops::Range<usize>> {
    let start = bytes.windows(PREFIX.len()).position(|window| window == PREFIX)? + PREFIX.len();
    Some(start..start + ATTEMPT_ID_LENGTH)
}
