//! Tests that stored records and messages between controllers keep their format, byte by byte. Old
//! and new versions of the program run side by side during an upgrade, so renaming a type or a
//! field must not change the format of a record or a message.

mod common;

use common::*;
use foxspur::protocol::job::{JobState, Urgency};
use foxspur::protocol::mesh::{decode, encode, PeerRequest, PeerResponse, Topic};
use foxspur::storage::records::{
    self, AliveRecord, CompletedTasksChunk, FormerLeader, LiveJob, MachineChunk, ShardRecord,
    TermCounter, TerminalRecord,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Asserts that a record serializes to exactly this JSON, and that the JSON can be parsed to a
/// record that serializes to the same JSON.
fn assert_stored_as<T: Serialize + DeserializeOwned>(record: &T, json: &str) {
    let written = serde_json::to_string(record).expect("the record serializes");
    assert_eq!(written, json);
    let parsed: T = serde_json::from_str(json).expect("the stored JSON parses");
    let written_again = serde_json::to_string(&parsed).expect("the parsed record serializes");
    assert_eq!(written_again, json);
}

/// Guards against a renamed or reordered field that changes the stored JSON of a record.
#[test]
fn stored_records_keep_their_json() {
    assert_stored_as(&AliveRecord { incarnation: 7 }, r#"{"boot":7}"#);
    assert_stored_as(&TermCounter { term: 4096 }, r#"{"term":4096}"#);
    let former_leader = FormerLeader {
        host: "berth-1".into(),
        incarnation: 5,
        until_ms: 1700,
    };
    let shard = ShardRecord {
        leader: "berth-0".into(),
        incarnation: 7,
        term: 1,
        teams: vec!["vision".into()],
        former_leaders: vec![former_leader],
        bounded_staleness: true,
    };
    assert_stored_as(
        &shard,
        r#"{"owner":"berth-0","boot":7,"term":1,"teams":["vision"],"prior":[{"host":"berth-1","boot":5,"until_ms":1700}],"bounded":true}"#,
    );
    let machines = MachineChunk {
        machines: vec![machine("m-000001", "a", true)],
    };
    assert_stored_as(
        &machines,
        r#"{"machines":[{"id":"m-000001","addr":"127.0.0.1:1","kind":"small","zone":"a","spot":true}]}"#,
    );
    let mut job: LiveJob = live(spec("run-000001", "vision", Urgency::High, 3, 2.5), 1.5);
    job.done = "0-1".into();
    assert_stored_as(
        &job,
        r#"{"spec":{"name_id":"run-000001","queue":"class","owner":"vision","shape":"sweep","urgency":"high","shards":3,"cpus":2.5,"cards":0.0,"memory_gb":1.0,"bundle":"img","image_gb":1.0,"together":false,"scatter":false,"standby":true,"expected_s":20.0,"save_every_s":0.0,"save_cost_s":0.0},"at_ms":1500,"done":"0-1"}"#,
    );
    assert_stored_as(
        &CompletedTasksChunk { done: "0-1".into() },
        r#"{"done":"0-1"}"#,
    );
    let terminal = |state| TerminalRecord {
        state,
        tasks: 3,
        done: 2,
    };
    assert_stored_as(
        &terminal(JobState::Done),
        r#"{"state":"done","tasks":3,"done":2}"#,
    );
    assert_stored_as(
        &terminal(JobState::Cancelled),
        r#"{"state":"withdrawn","tasks":3,"done":2}"#,
    );
}

/// Guards against a change of the keys under which records are stored.
#[test]
fn storage_keys_do_not_change() {
    for (key, stored_key) in [
        (records::live_key("run-1"), "fx/live/run-1"),
        (records::terminal_key("run-1"), "fx/fin/run-1"),
        (records::completed_key("run-1", 3), "fx/mark/run-1/000003"),
        (records::alive_key("berth-0"), "fx/a/alive/berth-0"),
        (records::machine_chunk_key(2), "fx/mach/0/0002"),
        (records::SHARD_KEY.to_string(), "fx/a/share/0"),
        (records::TERM_KEY.to_string(), "fx/a/term"),
    ] {
        assert_eq!(key, stored_key);
    }
}

/// Guards against reordered variants or fields of messages: the binary encoding of a message
/// depends on the order of both.
#[test]
fn messages_between_controllers_keep_their_bytes() {
    let id = || "r".to_string();
    let requests = [
        PeerRequest::Progress(id()),
        PeerRequest::Overview,
        PeerRequest::ExtendLease(300),
        PeerRequest::Promise(300),
        PeerRequest::RedirectedHeartbeats,
        PeerRequest::View(Topic::Jobs(9)),
        PeerRequest::View(Topic::Snapshot),
        PeerRequest::Contact,
        PeerRequest::JobCancelled(id()),
        PeerRequest::ConfirmedCancellations(300, 9),
    ];
    let request_bytes: [&[u8]; 10] = [
        &[0, 1, 114],
        &[1],
        &[2, 251, 44, 1],
        &[3, 251, 44, 1],
        &[4],
        &[5, 0, 9],
        &[5, 6],
        &[6],
        &[7, 1, 114],
        &[8, 251, 44, 1, 9],
    ];
    for (request, bytes) in requests.iter().zip(request_bytes) {
        assert_eq!(encode(request), bytes, "{request:?}");
        assert_eq!(decode::<PeerRequest>(bytes).as_ref(), Some(request));
    }
    let responses = [
        PeerResponse::Progress {
            done: 1,
            running: 2,
        },
        PeerResponse::Overview(id()),
        PeerResponse::Agreed,
        PeerResponse::RedirectedHeartbeats(9),
        PeerResponse::View(300, id()),
        PeerResponse::NotLeader,
        PeerResponse::Contact(9),
        PeerResponse::ConfirmedCancellations(vec![id()]),
    ];
    let response_bytes: [&[u8]; 8] = [
        &[0, 1, 2],
        &[1, 1, 114],
        &[2],
        &[3, 9],
        &[4, 251, 44, 1, 1, 114],
        &[5],
        &[6, 9],
        &[7, 1, 1, 114],
    ];
    for (response, bytes) in responses.iter().zip(response_bytes) {
        assert_eq!(encode(response), bytes, "{response:?}");
        assert_eq!(decode::<PeerResponse>(bytes).as_ref(), Some(response));
    }
}
