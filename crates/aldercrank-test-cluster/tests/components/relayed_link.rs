//! One direction of a relayed connection under impairment.

use crate::ms;
use aldercrank_test_cluster::random::RandomStream;
use aldercrank_test_cluster::relayed_link::{Impairment, RelayedLink};
use std::time::Duration;

fn released(link: &mut RelayedLink, now: Duration, impairment: &Impairment) -> Vec<u8> {
    let mut out = Vec::new();
    let _ = link.release(now, impairment, &mut out);
    out
}

#[test]
fn delayed_bytes_keep_their_order_and_none_is_lost() {
    let (mut link, mut random) = (RelayedLink::default(), RandomStream::of(1, "test"));
    let impairment = Impairment { delay: ms(20), jitter: 3.0, ..Impairment::default() };
    let sent: Vec<Vec<u8>> = (0..100u8).map(|n| vec![n; 3]).collect();
    let mut received = Vec::new();
    for (n, bytes) in sent.iter().enumerate() {
        let now = ms(n as u64);
        link.push(now, bytes.clone(), &impairment, &mut random);
        received.extend(released(&mut link, now, &impairment));
        assert!(n >= 20 || received.is_empty(), "bytes were released before their delay was over");
    }
    received.extend(released(&mut link, ms(1000), &impairment));
    assert_eq!(received, sent.concat());
}

#[test]
fn a_blocked_link_queues_bytes_and_a_silent_one_drops_them() {
    let (mut link, mut random) = (RelayedLink::default(), RandomStream::of(1, "test"));
    let blocked = Impairment { blocked: true, ..Impairment::default() };
    link.push(ms(0), b"held".to_vec(), &blocked, &mut random);
    assert_eq!(released(&mut link, ms(900), &blocked), b"");
    assert_eq!(released(&mut link, ms(901), &Impairment::default()), b"held");
    let silent = Impairment { silent_after_bytes: Some(3), ..Impairment::default() };
    link.push(ms(902), b"abcdef".to_vec(), &silent, &mut random);
    assert_eq!(released(&mut link, ms(902), &silent), b"abc");
    link.push(ms(903), b"more".to_vec(), &Impairment::default(), &mut random);
    assert_eq!(
        released(&mut link, ms(999), &Impairment::default()),
        b"",
        "a link that has gone silent releases nothing any more"
    );
}

#[test]
fn a_link_is_reset_at_its_byte_limit_and_keeps_its_rate_limit() {
    let (mut link, mut random) = (RelayedLink::default(), RandomStream::of(1, "test"));
    let reset = Impairment { reset_after_bytes: Some(2), ..Impairment::default() };
    link.push(ms(0), b"abcdef".to_vec(), &reset, &mut random);
    let mut out = Vec::new();
    assert!(link.release(ms(0), &reset, &mut out).is_err());
    assert_eq!(out, b"ab");
    let (mut link, slow) =
        (RelayedLink::default(), Impairment { bytes_per_second: Some(100), ..Impairment::default() });
    link.push(ms(0), vec![7; 100], &slow, &mut random);
    let half = released(&mut link, ms(500), &slow).len();
    assert!((45..=60).contains(&half), "{half} of 100 bytes released in half a second at 100 bytes/s");
    assert_eq!(released(&mut link, ms(1000), &slow).len(), 100 - half);
}
