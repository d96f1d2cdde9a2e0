//! Serialization of the state service's interface.

use foxspur_wire::state::Txn;

/// Guards against a transaction that one side writes and the other cannot parse, and against a
/// change that is accepted although it is neither a put nor a deletion.
#[test]
fn transactions_survive_a_round_trip() {
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
        let parsed = serde_json::from_str::<Txn>(text).ok();
        assert_eq!(
            parsed.as_ref().map(|txn| txn.changes.len()),
            changes,
            "{text}"
        );
        let Some(txn) = parsed else {
            continue;
        };
        let serialized = serde_json::to_string(&txn).unwrap();
        let reparsed = serde_json::from_str::<Txn>(&serialized).unwrap();
        assert_eq!(serde_json::to_string(&reparsed).unwrap(), serialized);
    }
}
