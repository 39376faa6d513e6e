//! The comparison of limit policies on a short run.

use yuccalatch::replay::evaluate::limits::evaluate;

/// Guards against tokens over the limit in any scenario, and against an
/// evaluation whose figures depend on more than the seed.
#[test]
fn repeats_without_excess() {
    let measurements = evaluate(1, 8_000_000);
    assert_eq!(measurements, evaluate(1, 8_000_000));
    let shares = measurements
        .iter()
        .filter(|found| found.policy == "conserved_shares" && found.measure == "over_limit_tokens");
    assert_eq!(shares.clone().count(), 5);
    for found in shares {
        assert!(found.is_met(), "{found:?}");
    }
}
