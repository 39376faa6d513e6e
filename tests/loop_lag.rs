//! Time for which requests may have waited before they were read.

use yuccalatch::direct::loop_lag::{
    LoopLag,
    TICK_INTERVAL_US, //
};

/// Guards against requests that count as fresh right after a late turn of the thread, when
/// what has arrived meanwhile is read.
#[test]
fn requests_after_a_late_tick_may_have_waited() {
    let mut lag = LoopLag::default();
    lag.tick(1_000_000);
    assert_eq!(lag.tick(2_000_000), 1_000_000 - TICK_INTERVAL_US);
    assert_eq!(lag.waited_us(2_010_000), 1_010_000);
    lag.tick(2_000_000 + TICK_INTERVAL_US);
    assert_eq!(lag.waited_us(2_010_000 + TICK_INTERVAL_US), 0);
}

/// Guards against time limits that shrink with each turn of a busy thread: a request waits
/// for one of them.
#[test]
fn late_turns_do_not_add_up() {
    let mut lag = LoopLag::default();
    for turn in 1..=20 {
        lag.tick(turn * 4 * TICK_INTERVAL_US);
    }
    let now_us = 20 * 4 * TICK_INTERVAL_US;
    assert_eq!(lag.waited_us(now_us), 4 * TICK_INTERVAL_US);
}
