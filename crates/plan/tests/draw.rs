//! Tests of the random run times of tasks.

use foxspur_plan::draw::Draws;
use std::collections::HashMap;

/// Guards against plans in which a running task ends at once because it has already run longer
/// than its estimate. The drawn run time must exceed the elapsed run time.
#[test]
fn drawn_run_time_exceeds_elapsed_run_time() {
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
            let total_s = draws(seed).run_s(class, "run-1", 3, 10.0, ran_s);
            assert!(total_s > ran_s, "{class} {ran_s}: {total_s}");
            let max_s = if ran_s > 30.0 {
                3.0 * ran_s + 1.0
            } else {
                60.0
            };
            assert!(total_s <= max_s, "{class} {ran_s}: {total_s}");
        }
        let total_s = draws(seed).run_s("c", "run-1", 3, 10.0, 0.0);
        assert_eq!(total_s, draws(seed).run_s("c", "run-1", 3, 10.0, 0.0));
    }
}
