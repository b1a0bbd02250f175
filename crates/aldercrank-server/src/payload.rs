//! Payloads, which the server forwards without reading them: request bodies and results.
//!
//! Small results are copied, large ones are passed by reference. This module counts the bytes of every payload copy in
//! this package.

use bytes::Bytes;
use std::collections::VecDeque;
use std::io::{self, IoSlice, Write};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Results of at least this many bytes are passed by reference: the buffer that one was read into is kept until it is
/// written. For a smaller one, a copy costs less than keeping a whole buffer.
pub const BY_REFERENCE_BYTES: usize = 4 * 1024;
/// The maximum number of slices in one vectored write.
const MAX_SLICES: usize = 96;
/// The maximum capacity in bytes that an empty buffer keeps.
const MAX_IDLE_CAPACITY: usize = 4 * 1024;

/// Counted for the whole process, even if several servers run in it.
static COPIED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of payload bytes that this process has copied.
pub fn copied_bytes() -> u64 {
    COPIED_BYTES.load(Ordering::Relaxed)
}

/// Counts payload bytes that another module has copied.
pub fn count_copied(bytes: usize) {
    COPIED_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// A result to be forwarded.
#[derive(Clone, Copy, Debug)]
pub enum Payload<'a> {
    /// In a buffer that is reused after the call.
    Transient(&'a [u8]),
    /// In a buffer that can be kept.
    Shared(&'a Bytes),
}

impl Payload<'_> {
    /// Returns the result's bytes.
    pub fn bytes(&self) -> &[u8] {
        match self {
            Payload::Transient(bytes) => bytes,
            Payload::Shared(bytes) => bytes,
        }
    }

    /// Returns the result by reference if it is large enough. A reference to a small part of a large buffer would keep
    /// the whole buffer.
    fn by_reference(&self) -> Option<Bytes> {
        match self {
            Payload::Shared(bytes) if bytes.len() >= BY_REFERENCE_BYTES => Some((*bytes).clone()),
            _ => None,
        }
    }

    /// Returns the result in a form that can be kept: by reference if it is large, otherwise as a copy.
    pub fn keep(&self) -> Bytes {
        self.by_reference().unwrap_or_else(|| {
            count_copied(self.bytes().len());
            Bytes::copy_from_slice(self.bytes())
        })
    }
}

/// Copies a request's body from the buffer it was read into.
pub fn copy_body(bytes: &[u8]) -> Rc<[u8]> {
    count_copied(bytes.len());
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

/// A payload that is to be written by reference.
#[derive(Debug)]
struct PlacedBlob {
    /// The number of framing bytes that precede it.
    position: usize,
    blob: Blob,
}

/// Bytes to be written to a socket: framing, interleaved with payloads by reference.
#[derive(Debug, Default)]
pub struct OutputBuffer {
    framing: Vec<u8>,
    /// In the order in which they are to be written.
    blobs: VecDeque<PlacedBlob>,
    /// The number of framing bytes that have been written.
    framing_written: usize,
    /// The number of bytes of the first blob that have been written.
    blob_written: usize,
    /// The number of bytes still to be written.
    pending: usize,
    /// The number of bytes written since the buffer was created.
    written: u64,
}

impl OutputBuffer {
    /// Lets `write` append framing.
    pub fn append_framing(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        let before = self.framing.len();
        write(&mut self.framing);
        self.pending += self.framing.len() - before;
    }

    /// Appends a request's body by reference.
    pub fn append_body(&mut self, body: &Rc<[u8]>) {
        self.push_blob(Blob::Body(body.clone()));
    }

    /// Appends a result, by reference if it is large.
    pub fn append_result(&mut self, result: &Payload) {
        match result.by_reference() {
            Some(bytes) => self.push_blob(Blob::Result(bytes)),
            None => {
                count_copied(result.bytes().len());
                self.append_framing(|framing| framing.extend_from_slice(result.bytes()));
            }
        }
    }

    fn push_blob(&mut self, blob: Blob) {
        if !blob.bytes().is_empty() {
            self.pending += blob.bytes().len();
            self.blobs.push_back(PlacedBlob { position: self.framing.len(), blob });
        }
    }

    /// Returns the number of bytes still to be written.
    pub fn pending_bytes(&self) -> usize {
        self.pending
    }

    /// Returns the offset, in the whole output stream, of the next byte to be appended.
    pub fn end_offset(&self) -> u64 {
        self.written + self.pending as u64
    }

    /// Returns the number of bytes written since the buffer was created.
    pub fn written_bytes(&self) -> u64 {
        self.written
    }

    /// Writes once. Returns the number of bytes that the writer accepted, 0 if nothing is pending. Errors are the
    /// writer's.
    pub fn write_to(&mut self, mut writer: impl Write) -> io::Result<usize> {
        let mut slices = [IoSlice::new(&[]); MAX_SLICES];
        let mut slice_count = 0;
        let (mut framing_start, mut blob_start) = (self.framing_written, self.blob_written);
        let until_last_blob = self.blobs.iter().flat_map(|PlacedBlob { position, blob }| {
            let framing = &self.framing[framing_start..*position];
            let payload = &blob.bytes()[blob_start..];
            (framing_start, blob_start) = (*position, 0);
            [framing, payload]
        });
        let last = self.blobs.back().map_or(self.framing_written, |last| last.position);
        let all = until_last_blob.chain([&self.framing[last..]]).filter(|bytes| !bytes.is_empty());
        for (slice, bytes) in slices.iter_mut().zip(all) {
            *slice = IoSlice::new(bytes);
            slice_count += 1;
        }
        let written = match slice_count {
            0 => return Ok(0),
            1 => writer.write(&slices[0])?,
            _ => writer.write_vectored(&slices[..slice_count])?,
        };
        self.advance(written);
        Ok(written)
    }

    fn advance(&mut self, mut bytes: usize) {
        self.pending -= bytes;
        self.written += bytes as u64;
        while bytes > 0 {
            let framing_end = self.blobs.front().map_or(self.framing.len(), |first| first.position);
            let from_framing = bytes.min(framing_end - self.framing_written);
            self.framing_written += from_framing;
            bytes -= from_framing;
            if bytes == 0 {
                break;
            }
            let Some(first) = self.blobs.front() else { break };
            let from_blob = bytes.min(first.blob.bytes().len() - self.blob_written);
            self.blob_written += from_blob;
            bytes -= from_blob;
            if self.blob_written == first.blob.bytes().len() {
                self.blobs.pop_front();
                self.blob_written = 0;
            }
        }
        self.release_written();
    }

    /// Discards written framing: at once if nothing is pending, otherwise once it exceeds `MAX_IDLE_CAPACITY` and the
    /// framing that is left.
    fn release_written(&mut self) {
        if self.pending == 0 {
            self.framing.clear();
            self.framing_written = 0;
            self.framing.shrink_to(MAX_IDLE_CAPACITY);
        } else if self.framing_written > MAX_IDLE_CAPACITY && self.framing_written > self.framing.len() / 2 {
            self.framing.drain(..self.framing_written);
            self.blobs.iter_mut().for_each(|blob| blob.position -= self.framing_written);
            self.framing_written = 0;
        }
    }
}
