//! Bytes that only pass through: bodies and results. They are copied where that is cheap and go by reference
//! where it is not; every copy in this package goes through here, so that the copies can be counted.

use bytes::Bytes;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

/// From this size on a result goes on by reference: the buffer that it came in is kept until it is written.
/// Below, a copy costs less than keeping a whole buffer for it.
pub const LARGE: usize = 4 * 1024;
/// Stretches that one write takes.
const SLICES: usize = 96;
/// An empty buffer keeps this much room at most.
const KEPT: usize = 4 * 1024;

/// Where two servers share a process, of both.
static COPIED: AtomicU64 = AtomicU64::new(0);

/// Payload bytes that have been copied so far.
pub fn copied() -> u64 {
    COPIED.load(Ordering::Relaxed)
}

pub fn count(bytes: usize) {
    COPIED.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// A result on its way through: in a buffer that is used again, or in one that can be kept.
#[derive(Clone, Copy, Debug)]
pub enum Payload<'a> {
    Passing(&'a [u8]),
    Shared(&'a Bytes),
}

impl Payload<'_> {
    pub fn bytes(&self) -> &[u8] {
        match self {
            Payload::Passing(bytes) => bytes,
            Payload::Shared(bytes) => bytes,
        }
    }

    /// Where it goes on by reference. A small part of a large buffer does not, so as not to keep all of that.
    fn by_reference(&self) -> Option<Bytes> {
        match self {
            Payload::Shared(bytes) if bytes.len() >= LARGE => Some((*bytes).clone()),
            _ => None,
        }
    }

    /// To be remembered.
    pub fn keep(&self) -> Bytes {
        self.by_reference().unwrap_or_else(|| {
            count(self.bytes().len());
            Bytes::copy_from_slice(self.bytes())
        })
    }
}

/// A body, copied once from where it was read.
pub fn body(bytes: &[u8]) -> Rc<[u8]> {
    count(bytes.len());
    bytes.into()
}

#[derive(Debug)]
enum Blob {
    Body(Rc<[u8]>),
    Result(Bytes),
}

impl Blob {
    fn bytes(&self) -> &[u8] {
        match self {
            Blob::Body(bytes) => bytes,
            Blob::Result(bytes) => bytes,
        }
    }
}

/// What is to be written: words, and between them payloads by reference.
#[derive(Debug, Default)]
pub struct OutputBuffer {
    words: Vec<u8>,
    /// Payloads by where among the words each stands.
    blobs: VecDeque<(usize, Blob)>,
    /// How far the words, and the first payload, have been written.
    sent: usize,
    of_blob: usize,
    waiting: usize,
    /// All that was ever written.
    written: u64,
}

impl OutputBuffer {
    /// Lets `write` add words.
    pub fn words(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        let before = self.words.len();
        write(&mut self.words);
        self.waiting += self.words.len() - before;
    }

    pub fn body(&mut self, body: &Rc<[u8]>) {
        self.blob(Blob::Body(body.clone()));
    }

    pub fn result(&mut self, result: &Payload) {
        match result.by_reference() {
            Some(bytes) => self.blob(Blob::Result(bytes)),
            None => {
                count(result.bytes().len());
                self.words(|words| words.extend_from_slice(result.bytes()));
            }
        }
    }

    fn blob(&mut self, blob: Blob) {
        if !blob.bytes().is_empty() {
            self.waiting += blob.bytes().len();
            self.blobs.push_back((self.words.len(), blob));
        }
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Where in all that goes out the next byte to be added will stand; and how far it has been written.
    pub fn end(&self) -> u64 {
        self.written + self.waiting as u64
    }

    pub fn written(&self) -> u64 {
        self.written
    }

    /// Writes once. Gives the bytes that were taken; none is an error of the writer's.
    pub fn write_to(&mut self, mut to: impl Write) -> io::Result<usize> {
        let mut slices = [IoSlice::new(&[]); SLICES];
        let (mut used, mut at, mut skip) = (0, self.sent, self.of_blob);
        let stretches = self.blobs.iter().flat_map(|(place, blob)| {
            let words = &self.words[at..*place];
            let bytes = &blob.bytes()[skip..];
            (at, skip) = (*place, 0);
            [words, bytes]
        });
        let last = self.blobs.back().map_or(self.sent, |(place, _)| *place);
        let all = stretches.chain([&self.words[last..]]).filter(|bytes| !bytes.is_empty());
        for (slice, bytes) in slices.iter_mut().zip(all) {
            *slice = IoSlice::new(bytes);
            used += 1;
        }
        let wrote = match used {
            0 => return Ok(0),
            1 => to.write(&slices[0])?,
            _ => to.write_vectored(&slices[..used])?,
        };
        self.advance(wrote);
        Ok(wrote)
    }

    fn advance(&mut self, mut by: usize) {
        self.waiting -= by;
        self.written += by as u64;
        while by > 0 {
            let until = self.blobs.front().map_or(self.words.len(), |(place, _)| *place);
            let words = by.min(until - self.sent);
            (self.sent, by) = (self.sent + words, by - words);
            if by == 0 {
                break;
            }
            let Some((_, blob)) = self.blobs.front() else { break };
            let bytes = by.min(blob.bytes().len() - self.of_blob);
            (self.of_blob, by) = (self.of_blob + bytes, by - bytes);
            if self.of_blob == blob.bytes().len() {
                self.blobs.pop_front();
                self.of_blob = 0;
            }
        }
        self.tidy();
    }

    /// Gives back the room of what is gone: at once when all is, else once that is more than what is left.
    fn tidy(&mut self) {
        if self.waiting == 0 {
            self.words.clear();
            self.sent = 0;
            self.words.shrink_to(KEPT);
        } else if self.sent > KEPT && self.sent > self.words.len() / 2 {
            self.words.drain(..self.sent);
            self.blobs.iter_mut().for_each(|(place, _)| *place -= self.sent);
            self.sent = 0;
        }
    }
}
