//! One direction of a relayed connection between two processes, with the impairment that a scenario applies to it.
//! No I/O and no clock: bytes are queued with their arrival time and released in order once their delay is over.

use crate::random::RandomStream;
use std::collections::VecDeque;
use std::time::Duration;

/// Once this many bytes are queued, the sender's socket is not read any further, so that backpressure reaches it.
pub const MAX_QUEUED_BYTES: usize = 1 << 20;
/// A rate limit releases bytes in this many pieces a second.
const RATE_LIMIT_PIECES_PER_SECOND: u64 = 20;

/// What is done to the bytes of one direction. The default passes them unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Impairment {
    /// Added latency.
    pub delay: Duration,
    /// The largest additional delay of a piece, as a share of `delay`.
    pub jitter: f64,
    /// Nothing passes while this is set; queued bytes follow afterwards, like segments that TCP retransmits.
    pub blocked: bool,
    /// The connection is reset once this many bytes have passed under impairment.
    pub reset_after_bytes: Option<u64>,
    /// Nothing more passes on this connection once this many bytes have passed under impairment.
    pub silent_after_bytes: Option<u64>,
    /// Rate limit.
    pub bytes_per_second: Option<u64>,
    /// The share of pieces in which one bit is flipped.
    pub bit_flip_probability: f64,
    /// The sender's socket is not read.
    pub unread: bool,
}

impl Impairment {
    /// Whether bytes pass unchanged and at once.
    pub fn is_none(&self) -> bool {
        *self == Impairment::default()
    }
}

/// The impairment's byte limit is reached: the connection must be reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection reached its byte limit and is to be reset")]
pub struct ResetDue;

struct QueuedPiece {
    release_at: Duration,
    bytes: Vec<u8>,
}

/// The queue of one direction of a connection.
#[derive(Default)]
pub struct RelayedLink {
    queue: VecDeque<QueuedPiece>,
    queued_bytes: usize,
    /// Bytes that have passed under impairment.
    impaired_bytes: u64,
    silent: bool,
    /// The release time of the newest piece. Later pieces are released no earlier, so that order is kept.
    last_release: Duration,
}

impl RelayedLink {
    /// Whether the sender's socket must not be read for now.
    pub fn is_full(&self) -> bool {
        self.queued_bytes >= MAX_QUEUED_BYTES
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether bytes may bypass the queue: nothing is queued and the impairment does nothing.
    pub fn is_transparent(&self, impairment: &Impairment) -> bool {
        self.queue.is_empty() && !self.silent && impairment.is_none()
    }

    /// Queues bytes that arrived at `now`.
    pub fn push(
        &mut self,
        now: Duration,
        mut bytes: Vec<u8>,
        impairment: &Impairment,
        random: &mut RandomStream,
    ) {
        if self.silent || bytes.is_empty() {
            return;
        }
        if impairment.bit_flip_probability > 0.0 && random.chance(impairment.bit_flip_probability) {
            let position = random.below(bytes.len());
            bytes[position] ^= 1 << random.below(8);
        }
        let delay = impairment.delay.mul_f64(1.0 + impairment.jitter * random.unit());
        self.last_release = self.last_release.max(now + delay);
        self.queued_bytes += bytes.len();
        match impairment.bytes_per_second {
            Some(rate) => self.push_rate_limited(&bytes, rate.max(1)),
            None => self.queue.push_back(QueuedPiece { release_at: self.last_release, bytes }),
        }
    }

    fn push_rate_limited(&mut self, bytes: &[u8], bytes_per_second: u64) {
        let piece_length = (bytes_per_second / RATE_LIMIT_PIECES_PER_SECOND).max(1) as usize;
        for piece in bytes.chunks(piece_length) {
            self.queue.push_back(QueuedPiece { release_at: self.last_release, bytes: piece.to_vec() });
            self.last_release += Duration::from_secs_f64(piece.len() as f64 / bytes_per_second as f64);
        }
    }

    /// When the next piece is due; `None` while nothing is queued or the link is blocked or silent.
    pub fn next_release(&self, impairment: &Impairment) -> Option<Duration> {
        let front = self.queue.front().filter(|_| !impairment.blocked && !self.silent);
        front.map(|piece| piece.release_at)
    }

    /// Appends the bytes that are due at `now` to `out`.
    ///
    /// # Errors
    /// `ResetDue` if the impairment's byte limit is reached; `out` then holds the bytes up to the limit.
    pub fn release(
        &mut self,
        now: Duration,
        impairment: &Impairment,
        out: &mut Vec<u8>,
    ) -> Result<(), ResetDue> {
        while let Some(release_at) = self.next_release(impairment) {
            if release_at > now {
                break;
            }
            let Some(QueuedPiece { mut bytes, .. }) = self.queue.pop_front() else { break };
            self.queued_bytes -= bytes.len();
            if !impairment.is_none() {
                self.apply_byte_limits(&mut bytes, impairment, out)?;
            }
            out.append(&mut bytes);
        }
        Ok(())
    }

    /// Counts impaired bytes and ends the stream at its limit, by silence or by a reset.
    fn apply_byte_limits(
        &mut self,
        bytes: &mut Vec<u8>,
        impairment: &Impairment,
        out: &mut Vec<u8>,
    ) -> Result<(), ResetDue> {
        let before = self.impaired_bytes;
        self.impaired_bytes += bytes.len() as u64;
        if let Some(limit) = impairment.silent_after_bytes.filter(|limit| self.impaired_bytes >= *limit) {
            bytes.truncate(limit.saturating_sub(before) as usize);
            self.silent = true;
            self.queue.clear();
            self.queued_bytes = 0;
        }
        if let Some(limit) = impairment.reset_after_bytes.filter(|limit| self.impaired_bytes >= *limit) {
            bytes.truncate(limit.saturating_sub(before) as usize);
            out.append(bytes);
            return Err(ResetDue);
        }
        Ok(())
    }
}
