//! Drawn run times of tasks.

use foxspur_plan::draw::Draws;
use std::collections::HashMap;

/// Guards against a plan in which running tasks are over at once because
/// their estimate is: the draw is among times that are still possible.
#[test]
fn what_has_run_is_taken_into_account() {
    let ratios = vec![0.5, 0.8, 1.0, 1.2, 3.0];
    let draws = |seed| {
        let ratios = HashMap::from([("c".to_string(), ratios.clone())]);
        Draws::from_ratios(seed, ratios)
    };
    for seed in 0..200 {
        for (class, ran_s) in [
            ("c", 0.0),
            ("c", 15.0),
            ("c", 25.0),
            ("c", 500.0),
            ("x", 19.0),
        ] {
            let all = draws(seed).run_s(class, "run-1", 3, 10.0, ran_s);
            assert!(all > ran_s, "{class} {ran_s}: {all}");
            let most = if ran_s > 30.0 {
                3.0 * ran_s + 1.0
            } else {
                60.0
            };
            assert!(all <= most, "{class} {ran_s}: {all}");
        }
        let a = draws(seed).run_s("c", "run-1", 3, 10.0, 0.0);
        assert_eq!(a, draws(seed).run_s("c", "run-1", 3, 10.0, 0.0));
    }
}
