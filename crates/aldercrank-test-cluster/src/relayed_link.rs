//! One way of a connection between two processes, and what is done to it. No I/O, no clock: bytes go in with
//! their time and come out when they may, in their order, as a stream's do.

use crate::random::RandomStream;
use std::collections::VecDeque;
use std::time::Duration;

/// What one way may hold; beyond that its near end is not read any further, as a full socket is not.
pub const MOST: usize = 1 << 20;
/// In how small pieces a trickle comes.
const PIECES: u64 = 20;

/// What is done to what passes. The default does nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Corruption {
    pub delay: Duration,
    /// How much longer some pieces take, as a share of the delay.
    pub jitter: f64,
    /// Nothing passes while this lasts; what was said meanwhile comes after, as what a network sends again does.
    pub dead: bool,
    /// The connection is reset once so many bytes have passed under this.
    pub reset_after: Option<u64>,
    /// Nothing more passes on this connection once so many bytes have.
    pub silent_after: Option<u64>,
    /// Bytes a second.
    pub trickle: Option<u64>,
    /// The share of pieces in which one byte is changed.
    pub garble: f64,
    /// What is said is not read off the socket.
    pub unread: bool,
}

impl Corruption {
    pub fn none(&self) -> bool {
        *self == Corruption::default()
    }
}

/// The connection is to be reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reset;

#[derive(Default)]
pub struct RelayedLink {
    held: VecDeque<(Duration, Vec<u8>)>,
    size: usize,
    /// Bytes that have passed while something was done to them.
    spoiled: u64,
    silent: bool,
    /// Nothing that came later may overtake what came before.
    last: Duration,
}

impl RelayedLink {
    /// Whether the near end is to be left unread for now.
    pub fn full(&self) -> bool {
        self.size >= MOST
    }

    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Whether bytes pass as they come: nothing is done, nothing is held.
    pub fn clear(&self, corruption: &Corruption) -> bool {
        self.held.is_empty() && !self.silent && corruption.none()
    }

    /// Something is said at the near end.
    pub fn enter(
        &mut self,
        now: Duration,
        mut bytes: Vec<u8>,
        corruption: &Corruption,
        draw: &mut RandomStream,
    ) {
        if self.silent || bytes.is_empty() {
            return;
        }
        if corruption.garble > 0.0 && draw.chance(corruption.garble) {
            let at = draw.below(bytes.len());
            bytes[at] ^= 1 << draw.below(8);
        }
        let late = corruption.delay.mul_f64(1.0 + corruption.jitter * draw.unit());
        self.last = self.last.max(now + late);
        self.size += bytes.len();
        match corruption.trickle {
            Some(rate) => self.trickle(bytes, rate.max(1)),
            None => self.held.push_back((self.last, bytes)),
        }
    }

    fn trickle(&mut self, bytes: Vec<u8>, rate: u64) {
        let piece = (rate / PIECES).max(1) as usize;
        for part in bytes.chunks(piece) {
            self.held.push_back((self.last, part.to_vec()));
            self.last += Duration::from_secs_f64(part.len() as f64 / rate as f64);
        }
    }

    /// When the next piece may come out, where it is not held for as long as something lasts.
    pub fn next(&self, corruption: &Corruption) -> Option<Duration> {
        self.held.front().filter(|_| !corruption.dead && !self.silent).map(|(at, _)| *at)
    }

    /// What may come out by now.
    pub fn leave(&mut self, now: Duration, corruption: &Corruption, out: &mut Vec<u8>) -> Result<(), Reset> {
        while let Some(at) = self.next(corruption) {
            if at > now {
                break;
            }
            let Some((_, mut bytes)) = self.held.pop_front() else { break };
            self.size -= bytes.len();
            if !corruption.none() {
                self.cut(&mut bytes, corruption, out)?;
            }
            out.append(&mut bytes);
        }
        Ok(())
    }

    /// Counts what passes and ends it where it is to end: by a reset, or by silence for good.
    fn cut(&mut self, bytes: &mut Vec<u8>, corruption: &Corruption, out: &mut Vec<u8>) -> Result<(), Reset> {
        let before = self.spoiled;
        self.spoiled += bytes.len() as u64;
        if let Some(most) = corruption.silent_after.filter(|most| self.spoiled >= *most) {
            bytes.truncate(most.saturating_sub(before) as usize);
            self.silent = true;
            self.held.clear();
            self.size = 0;
        }
        if let Some(most) = corruption.reset_after.filter(|most| self.spoiled >= *most) {
            bytes.truncate(most.saturating_sub(before) as usize);
            out.append(bytes);
            return Err(Reset);
        }
        Ok(())
    }
}
