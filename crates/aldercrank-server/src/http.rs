//! Answers in HTTP/1.1, apart from sockets.

use std::ops::Range;

const HEAD: usize = 8 * 1024;
const BODY: usize = 256 * 1024;

#[derive(Debug, PartialEq, Eq)]
pub struct Reply {
    pub status: u16,
    /// Marked as turned away unexamined.
    pub shed: bool,
    /// The connection may be used again.
    pub keep: bool,
    pub body: Range<usize>,
}

/// Reads one answer off the front: nothing while it is not whole, an error where it can't be read.
pub fn reply(buf: &[u8]) -> Result<Option<Reply>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut answer = httparse::Response::new(&mut headers);
    let head = match answer.parse(buf) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) if buf.len() <= HEAD => return Ok(None),
        Ok(httparse::Status::Partial) => return Err("a head over the limit"),
        Err(_) => return Err("not HTTP"),
    };
    let status = answer.code.unwrap_or_default();
    let field = |name: &str| {
        let found = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.map(|h| String::from_utf8_lossy(h.value).trim().to_string())
    };
    if status / 100 == 1 {
        // A word in between; the answer follows.
        let shift = |r: Reply| Reply { body: r.body.start + head..r.body.end + head, ..r };
        return Ok(reply(&buf[head..])?.map(shift));
    }
    if field("transfer-encoding").is_some() {
        return Err("a body in chunks");
    }
    let length = match field("content-length").map(|n| n.parse::<usize>()) {
        Some(Ok(n)) if n <= BODY => n,
        Some(_) => return Err("a length that makes no sense"),
        None if status == 204 || status == 304 => 0,
        None => return Err("a body of no length"),
    };
    if buf.len() < head + length {
        return Ok(None);
    }
    let keep = answer.version == Some(1)
        && !field("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))
        && buf.len() == head + length;
    let shed = field("x-shed").as_deref() == Some("1");
    Ok(Some(Reply { status, shed, keep, body: head..head + length }))
}
