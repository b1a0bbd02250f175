//! The phases of the program.

use aldercrank_server::phase::Phase;

#[test]
fn phases_follow_one_another_and_shutdown_may_start_in_any_of_them() {
    let mut phase = Phase::Starting;
    assert!(phase.linked() && !phase.linked() && phase.bound() && !phase.bound() && phase.serving());
    assert!(!phase.done() && phase.told_to_leave() && !phase.told_to_leave());
    assert!(!phase.bound() && !phase.linked() && phase.done() && phase.stopped());
    let mut early = Phase::Starting;
    assert!(early.told_to_leave() && !early.bound() && early.draining());
}
