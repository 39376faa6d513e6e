//! Orders of the holder of a move to the agents.

mod support;

use support::{
    fleet::{
        Fleet,
        Target,
        eventually,
        get, //
    },
    moves::{
        moving_fleet,
        state,
        submit_move, //
    },
};

/// Orders that an agent was sent.
fn orders(target: &Target) -> u64 {
    let metrics = get(target.agent.address("admin_address"), "/metrics").text();
    let mut lines = metrics.lines();
    let count = lines.find_map(|line| line.strip_prefix("yuccalatch_orders_total "));
    count.unwrap().parse().unwrap()
}

fn all_orders(fleet: &Fleet) -> u64 {
    fleet.targets.iter().map(orders).sum()
}

/// Guards against a holder that asks every agent twice a second for as long as a
/// share is held, although their reports tell of changes.
#[test]
fn reports_replace_questions() {
    let fleet = moving_fleet(1);
    submit_move(&fleet);
    let mut first = None;
    let mut last = 0;
    let mut rounds = 0;
    eventually("the move is finishing", || {
        let count = all_orders(&fleet);
        let (now, _) = state(&fleet, 0);
        if now == "shifting" || now == "settling" {
            first.get_or_insert(count);
            last = count;
            rounds += 1;
        }
        now == "finishing" || now == "done"
    });
    let asked = last - first.unwrap();
    println!("{asked} orders to 2 agents while shares were held");
    assert!(rounds > 10);
    // The first share may have been seen before the agents were asked once more.
    assert!(asked <= 4, "{asked}");
}
