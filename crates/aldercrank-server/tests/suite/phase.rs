//! The phases of the program.

use aldercrank_server::phase::Phase;

#[test]
fn phases_follow_one_another_and_shutdown_may_start_in_any_of_them() {
    let mut phase = Phase::Starting;
    assert!(
        phase.pool_linked()
            && !phase.pool_linked()
            && phase.pool_up()
            && !phase.pool_up()
            && phase.is_serving()
    );
    assert!(!phase.stop() && phase.start_draining() && !phase.start_draining());
    assert!(!phase.pool_up() && !phase.pool_linked() && phase.stop() && phase.is_stopped());
    let mut early = Phase::Starting;
    assert!(early.start_draining() && !early.pool_up() && early.is_draining());
}
