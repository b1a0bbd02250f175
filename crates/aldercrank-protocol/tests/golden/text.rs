//! Formats messages and what is read in them as the text of a golden file.

use std::fmt::Write;

/// The text of one golden file: sections with a heading, which consist of cases.
#[derive(Default)]
pub struct Cases(pub String);

impl Cases {
    pub fn section(&mut self, title: &str) {
        let _ = writeln!(self.0, "== {title}\n");
    }

    /// Adds a case: its title, the message, and lines that say what is read in it.
    pub fn case(&mut self, title: &str, bytes: &str, meaning: &[String]) {
        let _ = writeln!(self.0, "# {title}\n{bytes}");
        for line in meaning {
            let _ = writeln!(self.0, "  {line}");
        }
        self.0.push('\n');
    }
}

/// Up to this length a message is shown in full; of a longer one, both ends, the length and a checksum are shown.
const MAX_SHOWN_BYTES: usize = 400;

/// The 64-bit FNV-1a checksum of the bytes.
fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, b| (sum ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// Formats the bytes with `show`, without the middle part if there are more than [`MAX_SHOWN_BYTES`].
fn shortened(bytes: &[u8], show: impl Fn(&[u8]) -> String) -> String {
    if bytes.len() <= MAX_SHOWN_BYTES {
        return show(bytes);
    }
    let (first, last) = (show(&bytes[..48]), show(&bytes[bytes.len() - 16..]));
    format!("{first} ... {last} ({} bytes, checksum {:016x})", bytes.len(), checksum(bytes))
}

/// Bytes as escaped text.
pub fn escaped(bytes: &[u8]) -> String {
    shortened(bytes, |b| b.escape_ascii().to_string())
}

/// Bytes in hex, and as escaped text on a second line.
pub fn hex(bytes: &[u8]) -> String {
    let hex = |b: &[u8]| b.iter().map(|b| format!("{b:02x}")).collect::<Vec<_>>().join(" ");
    format!("{}\n{}", shortened(bytes, hex), escaped(bytes))
}

/// Padding of this length.
pub fn filler(length: usize) -> Vec<u8> {
    vec![b'x'; length]
}
