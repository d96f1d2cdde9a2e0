//! What is stored and what controllers say to each other, byte by byte: old and new
//! programs run side by side, so that a renamed type or field must not change any of it.

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

/// Each stored record is written as it always was, and what was written is read.
fn stored<T: Serialize + DeserializeOwned>(value: &T, text: &str) {
    let written = serde_json::to_string(value).expect("written");
    assert_eq!(written, text);
    let read: T = serde_json::from_str(text).expect("read");
    assert_eq!(serde_json::to_string(&read).expect("written again"), text);
}

#[test]
fn stored_records_keep_their_form() {
    stored(&AliveRecord { incarnation: 7 }, r#"{"boot":7}"#);
    stored(&TermCounter { term: 4096 }, r#"{"term":4096}"#);
    let prior = FormerLeader {
        host: "berth-1".into(),
        incarnation: 5,
        until_ms: 1700,
    };
    let share = ShardRecord {
        leader: "berth-0".into(),
        incarnation: 7,
        term: 1,
        teams: vec!["vision".into()],
        former_leaders: vec![prior],
        bounded_staleness: true,
    };
    stored(
        &share,
        r#"{"owner":"berth-0","boot":7,"term":1,"teams":["vision"],"prior":[{"host":"berth-1","boot":5,"until_ms":1700}],"bounded":true}"#,
    );
    let machines = MachineChunk {
        machines: vec![machine("m-000001", "a", true)],
    };
    stored(
        &machines,
        r#"{"machines":[{"id":"m-000001","addr":"127.0.0.1:1","kind":"small","zone":"a","spot":true}]}"#,
    );
    let mut job: LiveJob = live(spec("run-000001", "vision", Urgency::High, 3, 2.5), 1.5);
    job.done = "0-1".into();
    stored(
        &job,
        r#"{"spec":{"name_id":"run-000001","queue":"class","owner":"vision","shape":"sweep","urgency":"high","shards":3,"cpus":2.5,"cards":0.0,"memory_gb":1.0,"bundle":"img","image_gb":1.0,"together":false,"scatter":false,"standby":true,"expected_s":20.0,"save_every_s":0.0,"save_cost_s":0.0},"at_ms":1500,"done":"0-1"}"#,
    );
    stored(
        &CompletedTasksChunk { done: "0-1".into() },
        r#"{"done":"0-1"}"#,
    );
    let last = |state| TerminalRecord {
        state,
        tasks: 3,
        done: 2,
    };
    stored(
        &last(JobState::Done),
        r#"{"state":"done","tasks":3,"done":2}"#,
    );
    stored(
        &last(JobState::Cancelled),
        r#"{"state":"withdrawn","tasks":3,"done":2}"#,
    );
}

/// Where they are stored.
#[test]
fn keys_keep_their_names() {
    for (key, name) in [
        (records::live_key("run-1"), "fx/live/run-1"),
        (records::terminal_key("run-1"), "fx/fin/run-1"),
        (records::completed_key("run-1", 3), "fx/mark/run-1/000003"),
        (records::alive_key("berth-0"), "fx/a/alive/berth-0"),
        (records::machine_chunk_key(2), "fx/mach/0/0002"),
        (records::SHARD_KEY.to_string(), "fx/a/share/0"),
        (records::TERM_KEY.to_string(), "fx/a/term"),
    ] {
        assert_eq!(key, name);
    }
}

/// The order of the messages and of their fields is their form.
#[test]
fn messages_between_controllers_keep_their_bytes() {
    let id = || "r".to_string();
    let asks = [
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
    let bytes: [&[u8]; 10] = [
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
    for (ask, bytes) in asks.iter().zip(bytes) {
        assert_eq!(encode(ask), bytes, "{ask:?}");
        assert_eq!(decode::<PeerRequest>(bytes).as_ref(), Some(ask));
    }
    let answers = [
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
    let bytes: [&[u8]; 8] = [
        &[0, 1, 2],
        &[1, 1, 114],
        &[2],
        &[3, 9],
        &[4, 251, 44, 1, 1, 114],
        &[5],
        &[6, 9],
        &[7, 1, 1, 114],
    ];
    for (answer, bytes) in answers.iter().zip(bytes) {
        assert_eq!(encode(answer), bytes, "{answer:?}");
        assert_eq!(decode::<PeerResponse>(bytes).as_ref(), Some(answer));
    }
}
