//! Any course of submitting, cancelling, waiting and crashing, over any network,
//! against a model: a key is one job, a job has one final answer, and no answer
//! goes back.

mod support;

use foxspur_client::{Cancelled, Client, NotQueued, Outbox, Outcome, Submitted, Told};
use proptest::prelude::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::disk::Power;
use support::*;

#[derive(Debug, Clone)]
enum Op {
    /// A key and one of two bodies, and how long to wait for the answer.
    Submit(usize, u32, u64),
    Cancel(usize, u64),
    /// The caller's process ends; the next one finds what was synced.
    Crash,
    Wait(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..4usize, 0..2u32, 0..8u64).prop_map(|(k, b, s)| Op::Submit(k, b, s)),
        1 => (0..4usize, 0..8u64).prop_map(|(k, s)| Op::Cancel(k, s)),
        2 => Just(Op::Crash),
        3 => (0..40u64).prop_map(Op::Wait),
    ]
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Arrives),
        1 => Just(Fate::Lost),
        2 => Just(Fate::AnswerLost),
        1 => (1..30_000u64).prop_map(Fate::Late),
        1 => Just(Fate::Hangs),
        1 => Just(Fate::Refused(503, Some(3))),
        1 => Just(Fate::Behind),
        1 => (1..8_000u64).prop_map(Fate::Slow),
    ]
}

/// What a caller was told for good about a key.
#[derive(Default)]
struct Model {
    bodies: HashMap<usize, u32>,
    finals: HashMap<usize, Outcome>,
    accepted: HashMap<usize, bool>,
}

impl Model {
    fn last(&mut self, key: usize, outcome: Outcome) {
        let known = self.finals.entry(key).or_insert(outcome);
        assert_eq!(*known, outcome, "key {key} has two final answers");
    }
}

fn item(key: usize, body: u32) -> foxspur_client::Work {
    let mut work = work(&format!("batch/{key}"), "t");
    work.spec.tasks = 1 + body;
    work
}

async fn play(ops: Vec<Op>, fates: Vec<Fate>) {
    let count = Arc::new(AtomicUsize::new(0));
    let cluster = Cluster::new(move |_, _, _| {
        let n = count.fetch_add(1, Ordering::Relaxed);
        // In the end the network is whole, so that all can be known.
        fates.get(n).copied().unwrap_or(Fate::Arrives)
    });
    let mut disk = Power::default();
    let open = |disk: &Power| {
        let outbox = Outbox::with_backend(disk.clone(), true).unwrap();
        client(&cluster, 2, outbox)
    };
    let mut running: Client = open(&disk);
    let mut model = Model::default();
    for op in ops {
        match op {
            Op::Wait(s) => tokio::time::sleep(secs(s)).await,
            Op::Crash => {
                let next = disk.after_crash(0);
                drop(running);
                disk = next;
                running = open(&disk);
            }
            Op::Submit(key, body, within) => {
                let told = running.submit(vec![item(key, body)], secs(within)).await;
                let known = *model.bodies.entry(key).or_insert(body);
                match told.unwrap().pop().unwrap() {
                    Err(NotQueued::KeyTaken(_)) => assert_ne!(known, body),
                    Err(other) => panic!("{other}"),
                    Ok(told) => {
                        assert_eq!(known, body, "another body was taken for the same job");
                        match told {
                            Submitted::Accepted(_) | Submitted::KnownAlready(_) => {
                                model.accepted.insert(key, true);
                            }
                            Submitted::NotKnownYet(_) => {
                                assert!(!model.accepted.contains_key(&key), "went back");
                            }
                            Submitted::Refused(..) => panic!("nothing is refused here"),
                        }
                    }
                }
            }
            Op::Cancel(key, within) => {
                let Some(id) = running.id_of(&item(key, 0).key).unwrap() else {
                    continue;
                };
                match running.cancel(id, secs(within)).await.unwrap() {
                    Cancelled::Withdrawn => model.last(key, Outcome::Withdrawn),
                    Cancelled::DoneAlready => model.last(key, Outcome::Done),
                    Cancelled::NotKnownYet => assert!(!model.finals.contains_key(&key)),
                    Cancelled::NeverWas(_) => panic!("nothing is refused here"),
                }
            }
        }
    }
    // All that was ever queued ends, once, as the cluster has it.
    for key in model.bodies.clone().into_keys() {
        let id = running.id_of(&item(key, 0).key).unwrap();
        let Some(id) = id else {
            panic!("key {key} is lost");
        };
        let told = running.outcome(id, secs(3600)).await.unwrap();
        let Told::Final(outcome) = told else {
            panic!("key {key}: {told:?}");
        };
        model.last(key, outcome);
        let job = cluster.job(&id.to_string()).expect("it exists");
        let state = match outcome {
            Outcome::Done => "done",
            Outcome::Withdrawn => "withdrawn",
        };
        assert_eq!(job.state, state);
    }
    let exist = cluster.inner.lock().unwrap().jobs.len();
    assert_eq!(exist, model.bodies.len(), "each key is one job");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]
    #[test]
    fn one_key_one_job_one_answer(
        ops in proptest::collection::vec(op(), 1..24),
        fates in proptest::collection::vec(fate(), 0..60),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(play(ops, fates));
    }
}
