//! The buffer of bytes to be written to a socket.

use aldercrank_server::payload::{OutputBuffer, Payload};
use std::collections::VecDeque;

/// Accepts at each write at most as many bytes as the next of `limits`. Would block at 0 or without a limit.
struct LimitedWriter {
    limits: VecDeque<usize>,
    written: Vec<u8>,
}

impl std::io::Write for &mut LimitedWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let limit = self.limits.pop_front().filter(|n| *n > 0).ok_or(std::io::ErrorKind::WouldBlock)?;
        let n = limit.min(bytes.len());
        self.written.extend(&bytes[..n]);
        Ok(n)
    }
    fn write_vectored(&mut self, all: &[std::io::IoSlice]) -> std::io::Result<usize> {
        let joined: Vec<u8> = all.iter().flat_map(|slice| slice.iter().copied()).collect();
        self.write(&joined)
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn bytes_are_written_once_and_in_order_however_few_each_write_accepts() {
    for seed in 0..200u64 {
        let mut state = seed.wrapping_mul(2).wrapping_add(1);
        let mut random = |n: u64| {
            state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            (state >> 33) % n
        };
        let (mut output, mut expected) = (OutputBuffer::default(), Vec::<u8>::new());
        let mut writer = LimitedWriter { limits: VecDeque::new(), written: Vec::new() };
        for step in 0..400u64 {
            let max_length = if random(9) == 0 { 9000 } else { 90 };
            let bytes = vec![step as u8; random(max_length) as usize];
            match random(5) {
                0 => output.append_framing(|framing| framing.extend(&bytes)),
                1 => output.append_body(&bytes.as_slice().into()),
                2 => output.append_result(&Payload::Transient(&bytes)),
                3 => output.append_result(&Payload::Shared(&bytes.clone().into())),
                _ => {
                    writer.limits.extend([random(5) as usize * 700, random(40) as usize]);
                    while let Ok(n) = output.write_to(&mut writer) {
                        if n == 0 {
                            break;
                        }
                    }
                    continue;
                }
            }
            expected.extend(&bytes);
            assert_eq!(output.end_offset(), expected.len() as u64);
        }
        assert_eq!(output.written_bytes(), writer.written.len() as u64);
        assert_eq!(output.pending_bytes(), expected.len() - writer.written.len());
        writer.limits = std::iter::repeat_n(1_000_000, 1000).collect();
        while output.pending_bytes() > 0 {
            output.write_to(&mut writer).unwrap();
        }
        assert!(writer.written == expected, "seed {seed}");
    }
}
