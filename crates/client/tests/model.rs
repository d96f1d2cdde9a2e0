//! Property test of the client against a model. Random sequences of submissions, cancellations,
//! waits and crashes run over a network with random failures. They must never give a key two jobs,
//! a job two final statuses, or a reported state that goes back.

mod support;

use foxspur_client::{Cancelled, Client, NotQueued, Outbox, Outcome, Submitted, Told};
use proptest::prelude::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::disk::FaultyDisk;
use support::*;

#[derive(Debug, Clone)]
enum Operation {
    /// Key, one of two bodies, and how many seconds to wait for the result.
    Submit(usize, u32, u64),
    /// Key, and how many seconds to wait for the result.
    Cancel(usize, u64),
    /// The caller's process ends, and a new one opens the outbox with only the synced content.
    Crash,
    /// The number of seconds until the next operation.
    Wait(u64),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..4usize, 0..2u32, 0..8u64)
            .prop_map(|(key, body, wait_s)| Operation::Submit(key, body, wait_s)),
        1 => (0..4usize, 0..8u64).prop_map(|(key, wait_s)| Operation::Cancel(key, wait_s)),
        2 => Just(Operation::Crash),
        3 => (0..40u64).prop_map(Operation::Wait),
    ]
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        4 => Just(Delivery::Normal),
        1 => Just(Delivery::Lost),
        2 => Just(Delivery::AnswerLost),
        1 => (1..30_000u64).prop_map(Delivery::Delayed),
        1 => Just(Delivery::Hangs),
        1 => Just(Delivery::Rejected(503, Some(3))),
        1 => Just(Delivery::Stale),
        1 => (1..8_000u64).prop_map(Delivery::Slow),
    ]
}

/// What was reported about each key and must not change any more.
#[derive(Default)]
struct Model {
    /// The body with which the key was first submitted.
    bodies: HashMap<usize, u32>,
    /// The final status of the key's job.
    outcomes: HashMap<usize, Outcome>,
    /// The keys whose job was reported as accepted.
    accepted: HashMap<usize, bool>,
}

impl Model {
    /// Records a reported final status, which must not differ from an earlier one.
    fn record_outcome(&mut self, key: usize, outcome: Outcome) {
        let known = self.outcomes.entry(key).or_insert(outcome);
        assert_eq!(*known, outcome, "key {key} has two final statuses");
    }
}

fn work_item(key: usize, body: u32) -> foxspur_client::Work {
    let mut work = work(&format!("batch/{key}"), "t");
    work.spec.tasks = 1 + body;
    work
}

async fn check_sequence(operations: Vec<Operation>, deliveries: Vec<Delivery>) {
    let count = Arc::new(AtomicUsize::new(0));
    let cluster = Cluster::new(move |_, _, _| {
        let n = count.fetch_add(1, Ordering::Relaxed);
        // After the given deliveries the network works, so that every job reaches its final status.
        deliveries.get(n).copied().unwrap_or(Delivery::Normal)
    });
    let mut disk = FaultyDisk::default();
    let open = |disk: &FaultyDisk| {
        let outbox = Outbox::with_backend(disk.clone(), true).unwrap();
        client(&cluster, 2, outbox)
    };
    let mut current: Client = open(&disk);
    let mut model = Model::default();
    for operation in operations {
        match operation {
            Operation::Wait(seconds) => tokio::time::sleep(secs(seconds)).await,
            Operation::Crash => {
                let disk_after_crash = disk.after_crash(0);
                drop(current);
                disk = disk_after_crash;
                current = open(&disk);
            }
            Operation::Submit(key, body, within_s) => {
                let batch = vec![work_item(key, body)];
                let results = current.submit(batch, secs(within_s)).await;
                let known = *model.bodies.entry(key).or_insert(body);
                match results.unwrap().pop().unwrap() {
                    Err(NotQueued::KeyTaken(_)) => assert_ne!(known, body),
                    Err(other) => panic!("{other}"),
                    Ok(submitted) => {
                        assert_eq!(known, body, "accepted another body for the same key");
                        match submitted {
                            Submitted::Accepted(_) | Submitted::KnownAlready(_) => {
                                model.accepted.insert(key, true);
                            }
                            Submitted::NotKnownYet(_) => {
                                assert!(
                                    !model.accepted.contains_key(&key),
                                    "reported state went back"
                                );
                            }
                            Submitted::Refused(..) => panic!("the cluster refuses no job"),
                        }
                    }
                }
            }
            Operation::Cancel(key, within_s) => {
                let Some(id) = current.id_of(&work_item(key, 0).key).unwrap() else {
                    continue;
                };
                match current.cancel(id, secs(within_s)).await.unwrap() {
                    Cancelled::Withdrawn => model.record_outcome(key, Outcome::Withdrawn),
                    Cancelled::DoneAlready => model.record_outcome(key, Outcome::Done),
                    Cancelled::NotKnownYet => assert!(!model.outcomes.contains_key(&key)),
                    Cancelled::NeverWas(_) => panic!("the cluster refuses no job"),
                }
            }
        }
    }
    // Every queued job reaches one final status, the same as in the cluster.
    for key in model.bodies.clone().into_keys() {
        let id = current.id_of(&work_item(key, 0).key).unwrap();
        let Some(id) = id else {
            panic!("key {key} is lost");
        };
        let reported = current.outcome(id, secs(3600)).await.unwrap();
        let Told::Final(outcome) = reported else {
            panic!("key {key}: {reported:?}");
        };
        model.record_outcome(key, outcome);
        let job = cluster
            .job(&id.to_string())
            .expect("job exists in the cluster");
        let state = match outcome {
            Outcome::Done => "done",
            Outcome::Withdrawn => "withdrawn",
        };
        assert_eq!(job.state, state);
    }
    let job_count = cluster.state.lock().unwrap().jobs.len();
    assert_eq!(job_count, model.bodies.len(), "each key has one job");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]
    #[test]
    fn each_key_has_one_job_and_one_outcome(
        operations in proptest::collection::vec(operation(), 1..24),
        deliveries in proptest::collection::vec(delivery(), 0..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(check_sequence(operations, deliveries));
    }
}
