//! The stub index and the stub membership service.

use crate::ms;
use aldercrank_test_cluster::ids::{ConnNo, ServerNo};
use aldercrank_test_cluster::index_stub::{IndexAnswer, IndexSettings, IndexState, IndexStub};
use aldercrank_test_cluster::membership_stub::{MembershipState, MembershipStub, ReportAnswer};

#[test]
fn the_index_slows_down_under_load_and_rejects_calls_beyond_it() {
    let settings =
        IndexSettings { slots: 4.0, limit: 8.0, call_duration: ms(10), cold_slowdown: 1.0, calls_to_warm: 1 };
    let mut index = IndexStub::new(settings);
    for n in 0..16 {
        assert_eq!(index.call_received(ms(0), ConnNo(n)), None);
    }
    assert_eq!(index.call_received(ms(0), ConnNo(16)), Some(IndexAnswer::Rejected));
    assert_eq!(index.take_ended_calls(ms(10)).len(), 4, "calls within the slots are not slowed down");
    assert_eq!(index.take_ended_calls(ms(79)).len() + index.take_ended_calls(ms(81)).len(), 12);
    index.state = IndexState::Hung;
    index.call_received(ms(100), ConnNo(20));
    assert_eq!(index.next_end(), None);
    assert_eq!(index.drop_open_calls(ms(200)), [ConnNo(20)]);
    assert!((index.open_call_seconds(ms(200)) - 1.09).abs() < 0.02, "{}", index.open_call_seconds(ms(200)));
}

#[test]
fn a_membership_entry_expires_but_not_during_an_outage() {
    let (mut membership, n1) = (MembershipStub::new(10.0), ServerNo(0));
    assert_eq!(membership.report_received(ms(0), ConnNo(1), n1, true), ReportAnswer::AcceptedAt(ms(100)));
    assert!(membership.is_listed(n1, ms(2999)) && !membership.is_listed(n1, ms(3001)));
    membership.set_state(ms(1000), MembershipState::Down);
    assert_eq!(membership.report_received(ms(1500), ConnNo(2), n1, true), ReportAnswer::None);
    membership.set_state(ms(5000), MembershipState::Up);
    assert!(membership.is_listed(n1, ms(6999)) && !membership.is_listed(n1, ms(7001)));
    assert_eq!(membership.listed_servers(ms(1)), [n1], "the past membership stays visible");
    let refused = (0..20)
        .filter(|n| membership.report_received(ms(8000), ConnNo(10 + n), n1, true) == ReportAnswer::Rejected);
    assert_eq!(
        refused.count(),
        14,
        "at ten a second, one report is in progress and five fill the queue of half a second"
    );
    membership.forget_entries();
    assert!(!membership.is_listed(n1, ms(8000)));
}
