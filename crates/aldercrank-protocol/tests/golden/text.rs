//! How bytes and their meaning are written into a golden file.

use std::fmt::Write;

/// The text of one golden file: a heading a section, a block a case.
#[derive(Default)]
pub struct Cases(pub String);

impl Cases {
    pub fn section(&mut self, title: &str) {
        let _ = writeln!(self.0, "== {title}\n");
    }

    /// One case: its title, the bytes, and lines that say what is read in them.
    pub fn case(&mut self, title: &str, bytes: &str, meaning: &[String]) {
        let _ = writeln!(self.0, "# {title}\n{bytes}");
        for line in meaning {
            let _ = writeln!(self.0, "  {line}");
        }
        self.0.push('\n');
    }
}

/// Bytes shown in full up to this many; beyond it the ends, the length and a checksum.
const SHOWN: usize = 400;

/// A checksum of all bytes (FNV-1a, 64 bits).
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// The form that `show` gives, shortened in the middle where there is too much.
fn shortened(bytes: &[u8], show: impl Fn(&[u8]) -> String) -> String {
    if bytes.len() <= SHOWN {
        return show(bytes);
    }
    let (first, last) = (show(&bytes[..48]), show(&bytes[bytes.len() - 16..]));
    format!("{first} ... {last} ({} bytes, checksum {:016x})", bytes.len(), checksum(bytes))
}

/// Bytes as escaped text.
pub fn escaped(bytes: &[u8]) -> String {
    shortened(bytes, |b| b.escape_ascii().to_string())
}

/// Bytes as hex, and as escaped text beside it.
pub fn hex(bytes: &[u8]) -> String {
    let hex = |b: &[u8]| b.iter().map(|b| format!("{b:02x}")).collect::<Vec<_>>().join(" ");
    format!("{}\n{}", shortened(bytes, hex), escaped(bytes))
}

/// Bytes of one letter, so many of them.
pub fn filler(length: usize) -> Vec<u8> {
    vec![b'x'; length]
}
