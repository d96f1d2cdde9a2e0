//! Guards against parsers that accept malformed values or reject valid ones. The parsed data are
//! submissions, settings, the policy, workers' reports, stored texts, and messages between
//! controllers. One test checks the token bucket.

mod common;

use common::SETTINGS;
use foxspur::protocol::job::{parse_submission, peek_id, valid_id};
use foxspur::protocol::mesh::{decode, encode, PeerRequest};
use foxspur::protocol::policy::Policy;
use foxspur::protocol::settings::Settings;
use foxspur::protocol::worker::{Cause, Command, Phase, Report};
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::transport::token_bucket::{Priority, TokenBucket};
use serde_json::{json, Value};

/// A valid submission.
fn valid_submission() -> Value {
    json!({"name_id":"run-000412","queue":"train","owner":"vision","shape":"sweep","urgency":"high",
        "shards":16,"cpus":8.0,"cards":1.0,"memory_gb":64.0,"bundle":"img-07","image_gb":6.2,
        "flavors":["g8"],"site":null,"together":true,"scatter":false,"standby":true,
        "expected_s":240.0,"save_every_s":30.0,"save_cost_s":4.0,"due_s":900.0})
}

#[test]
fn only_valid_submissions_are_accepted() {
    // The field that is changed in a valid submission, its new value, and whether the result is
    // valid.
    let cases: Vec<(&str, Value, bool)> = vec![
        ("site", json!("a"), true),
        ("flavors", Value::Null, true),
        ("due_s", Value::Null, true),
        ("shape", json!("service"), true),
        ("shape", json!("group"), false),
        ("shape", json!("array"), false),
        ("urgency", json!("normal"), false),
        ("name_id", json!("job-1"), false),
        ("name_id", json!("run-"), false),
        ("name_id", json!("run-12a"), false),
        ("name_id", json!(412), false),
        ("shards", json!(0), false),
        ("shards", json!(100_000), true),
        ("shards", json!(100_001), false),
        ("shards", json!(1.5), false),
        ("shards", json!("3"), false),
        ("cpus", json!(-1.0), false),
        ("cpus", json!("8"), false),
        ("cpus", json!(8), true),
        ("memory_gb", Value::Null, false),
        ("together", json!("yes"), false),
        ("owner", json!(""), false),
        ("flavors", json!("g8"), false),
        ("unknown_field", json!({"a": 1}), true),
    ];
    for (field, value, valid) in cases {
        let mut body = valid_submission();
        body[field] = value.clone();
        let parsed = parse_submission(body.to_string().as_bytes());
        assert_eq!(parsed.is_ok(), valid, "{field} = {value}: {parsed:?}");
    }
    for field in [
        "name_id",
        "queue",
        "owner",
        "shape",
        "cpus",
        "standby",
        "expected_s",
    ] {
        let mut body = valid_submission();
        body.as_object_mut().unwrap().remove(field);
        let parsed = parse_submission(body.to_string().as_bytes());
        assert!(parsed.is_err(), "without {field}");
    }
    for body in ["", "nonsense", "[]", "3", "null", "\"run-000412\""] {
        assert!(parse_submission(body.as_bytes()).is_err(), "{body}");
    }
    // The id can be read from a submission that is otherwise malformed, so that a repeated
    // submission of a known job is recognised.
    let mut body = valid_submission();
    body["cpus"] = json!("many");
    assert_eq!(
        peek_id(body.to_string().as_bytes()).as_deref(),
        Some("run-000412")
    );
    assert!(valid_id("run-7") && !valid_id("run-7/3") && !valid_id("run--7"));
}

#[test]
fn settings_errors_name_the_wrong_field() {
    assert!(Settings::parse(SETTINGS).is_ok());
    let cases = [
        ("host_name = \"berth-0\"\n", "", "host_name"),
        ("front = \"10.0.0.1:8080\"", "front = \"here\"", "front"),
        (
            "front = \"10.0.0.1:8080\"",
            "front = \"10.0.0.1:8081\"",
            "mesh_addr",
        ),
        ("lease_s = 10.0", "lease_s = 0.5", "lease_s"),
        ("lease_s = 10.0", "lease_s = -1.0", "lease_s"),
        ("report_s = 1.0\n", "", "report_s"),
        (
            "cancel_s = 40.0",
            "cancel_s = 11.5",
            "cancel_s: must be at least",
        ),
        ("nodes = 2", "nodes = 3", "nodes"),
        (
            "host_name = \"berth-1\"",
            "host_name = \"berth-0\"",
            "peers.host_name",
        ),
        ("cpus = 8.0", "cpus = 17.0", "cluster.teams.cpus"),
        ("txn_ops = 32", "txn_ops = 1", "txn_ops"),
        ("rps = 250.0", "rps = \"many\"", "rps"),
        ("value_kb = 16.0", "value_kb = nan", "value_kb"),
        ("site = \"a\"", "site = \"c\"", "site"),
        ("site = \"b\"", "site = \"c\"", "peers.site"),
        ("zones = [\"a\", \"b\"]", "zones = []", "cluster.zones"),
        (
            "zones = [\"a\", \"b\"]",
            "zones = [\"a\", \"b\", \"a\"]",
            "cluster.zones",
        ),
        (
            "addr = \"10.0.0.2:8081\"",
            "addr = \"10.0.0.1:8081\"",
            "peers.addr",
        ),
        (
            "[cluster.workers]",
            "[[cluster.objectives]]\nkind = \"wait\"\nshare = 1.5\n[cluster.workers]",
            "cluster.objectives.share",
        ),
    ];
    for (from, to, field) in cases {
        let text = SETTINGS.replacen(from, to, 1);
        assert_ne!(text, SETTINGS, "{from}");
        let error = Settings::parse(&text).expect_err(to).to_string();
        assert!(error.contains(field), "{to}: {error}");
    }
}

#[test]
fn policy_errors_name_the_wrong_field() {
    let policy = Policy::parse("((sample . 3) (headroom . 0.5))").unwrap();
    assert_eq!((policy.sample, policy.headroom), (3, 0.5));
    assert_eq!(policy.queue_depth, Policy::default().queue_depth);
    assert_eq!(Policy::parse("()").unwrap(), Policy::default());
    for (text, field) in [
        ("((sample . 0))", "sample"),
        ("((samples . 2))", "samples"),
        ("((age-reports . -1.0))", "age-reports"),
        ("((headroom . 99.0))", "headroom"),
        ("((sample", ""),
    ] {
        let error = Policy::parse(text).expect_err(text).to_string();
        assert!(error.contains(field), "{text}: {error}");
    }
}

/// Guards against a controller that starts although its settings and its policy, each of them
/// valid, contradict each other. In the last case the request rate is low but sufficient.
#[test]
fn contradictions_of_settings_and_policy_name_the_field() {
    for (from, to, policy, field) in [
        ("", "", "()", None),
        ("", "", "((quiet-leases . 0.3))", Some("quiet-leases")),
        ("", "", "((member-leases . 1.5))", Some("member-leases")),
        (
            "rps = 250.0",
            "rps = 4.0",
            "((member-leases . 0.2))",
            Some("state.rps"),
        ),
        ("rps = 250.0", "rps = 9.0", "()", None),
    ] {
        let settings = Settings::parse(&SETTINGS.replacen(from, to, 1)).unwrap();
        let policy = Policy::parse(policy).unwrap();
        let error = settings
            .check_policy(&policy)
            .err()
            .map(|error| error.to_string());
        let as_expected = match (&error, field) {
            (None, None) => true,
            (Some(error), Some(field)) => error.contains(field),
            _ => false,
        };
        assert!(as_expected, "{to} {policy:?}: {error:?}");
    }
}

#[test]
fn reports_and_commands_use_the_wire_names() {
    let report: Report = serde_json::from_str(
        r#"{"host":"m-1","endpoint":"10.1.0.1:9000","flavor":"g8","site":"a","standby":true,
        "tenure":1,"serial":88,"epoch":41,"warning_s":null,"new":[1],
        "shards":[{"shard":"run-000412/3","try":2,"status":"running"},
        {"shard":"run-000398/0","try":1,"status":"exited","cause":"done"},
        {"shard":"run-000398/1","try":1,"status":"exited","cause":"some new cause"}]}"#,
    )
    .unwrap();
    assert_eq!((report.session, report.seq, report.token), (1, 88, 41));
    assert_eq!(report.tasks[0].phase, Phase::Running);
    assert_eq!(report.tasks[1].cause, Some(Cause::Done));
    assert_eq!(report.tasks[2].cause, Some(Cause::Other));
    let stop = Command::Stop {
        task: "run-1/0".into(),
        attempt: 3,
        grace_s: 10.0,
    };
    assert_eq!(
        serde_json::to_value(stop).unwrap(),
        json!({"verb":"kill","shard":"run-1/0","try":3,"wind_down_s":10.0})
    );
}

#[test]
fn completed_tasks_are_restored_from_their_text() {
    let cases: [(&[u32], &str); 4] = [
        (&[], ""),
        (&[4], "4"),
        (&[0, 1, 2, 3, 7], "0-3,7"),
        (&[9, 8, 1], "1,8-9"),
    ];
    for (tasks, text) in cases {
        let mut completed = CompletedTasks::default();
        for task in tasks {
            completed.insert(*task);
        }
        assert_eq!(completed.to_text(), text);
        assert_eq!(CompletedTasks::from_text(text, 10), completed);
    }
    // From a damaged text, the readable tasks must be restored, and no tasks that the job does not
    // have.
    assert_eq!(
        CompletedTasks::from_text("x,2-,5-3,1,8-4000000000", 10).to_text(),
        "1,8-9"
    );
    let completed = CompletedTasks::from_text("0-99", 100);
    assert_eq!(completed.chunk(1, 30).to_text(), "30-59");
    assert_eq!(completed.chunk(3, 30).to_text(), "90-99");
}

#[test]
fn mesh_messages_are_restored_from_their_encoding() {
    let request = PeerRequest::Progress("run-000412".into());
    assert_eq!(decode::<PeerRequest>(&encode(&request)), Some(request));
    assert_eq!(decode::<PeerRequest>(&[250, 1, 2]), None);
}

#[test]
fn a_token_bucket_keeps_a_reserve_for_control_traffic() {
    let mut bucket = TokenBucket::new(10.0, 10.0, 2.0);
    let taken = (0..20)
        .filter(|_| bucket.take(1.0, Priority::Data, 0.0).is_ok())
        .count();
    assert_eq!(taken, 8, "data traffic must leave the reserve");
    assert!(
        bucket.take(1.0, Priority::Control, 0.0).is_ok(),
        "control traffic may use the reserve"
    );
    assert!(
        bucket.take(1.0, Priority::Data, 1.0).is_ok(),
        "the bucket must refill"
    );
}
