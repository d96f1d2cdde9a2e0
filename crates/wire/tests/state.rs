//! The state service's interface, both ways.

use foxspur_wire::state::Txn;

/// Guards against a transaction that only one side can read.
#[test]
fn transactions_travel_both_ways() {
    for (text, changes) in [
        (
            r#"{"when":[{"k":"a","stamp":0}],"apply":[{"set":"a","v":{"b":[1, 2]},"tenancy":7}]}"#,
            Some(1),
        ),
        (r#"{"apply":[{"delete":"a"},{"set":"b","v":0}]}"#, Some(2)),
        (r#"{"when":[]}"#, Some(0)),
        (r#"{"apply":[{"set":"a","delete":"b","v":1}]}"#, None),
        (r#"{"apply":[{"set":"a"}]}"#, None),
    ] {
        let read = serde_json::from_str::<Txn>(text).ok();
        assert_eq!(read.as_ref().map(|t| t.changes.len()), changes, "{text}");
        let Some(txn) = read else {
            continue;
        };
        let again = serde_json::to_string(&txn).unwrap();
        let same = serde_json::from_str::<Txn>(&again).unwrap();
        assert_eq!(serde_json::to_string(&same).unwrap(), again);
    }
}
