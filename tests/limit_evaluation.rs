//! Short run of the comparison of rate limit policies.

use yuccalatch::replay::evaluate::limits::evaluate;

/// Guards against tokens over the limit in any scenario with conserved shares,
/// and against an evaluation whose figures depend on more than the seed.
#[test]
fn figures_repeat_and_no_tokens_exceed_the_limit() {
    let measurements = evaluate(1, 8_000_000);
    assert_eq!(measurements, evaluate(1, 8_000_000));
    let over_limit = measurements.iter().filter(|measurement| {
        measurement.policy == "conserved_shares" && measurement.measure == "over_limit_tokens"
    });
    assert_eq!(over_limit.clone().count(), 5);
    for measurement in over_limit {
        assert!(measurement.is_met(), "{measurement:?}");
    }
}
