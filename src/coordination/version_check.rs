//! Fresh answers for many polls at once. An answer to a user rests on a read of the
//! state service that began after the question came; with a read for each of them a
//! thousand small jobs take all of its requests, and polls, submissions and marks of
//! everyone fail together. But a transaction without changes compares many versions
//! at once: that a record which we have read is still the one that stands is all that
//! most polls need to know.

use super::node::Node;
use crate::protocol::state::Txn;
use crate::storage::records::{self, LiveJob};
use crate::transport::clients::{Failure, Lane};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Most records remembered: some hundred bytes each.
const MOST: usize = 2048;
/// Checks follow each other by this much at least: a twentieth of what a user waits
/// for an answer, and ten requests a second at most.
const APART_S: f64 = 0.1;

/// A live job as it was last read.
#[derive(Debug)]
struct Known {
    record: Rc<LiveJob>,
    version: u64,
    /// It was another one the time before: marks come in, and comparing is in vain.
    changing: bool,
}

/// Someone who waits to hear whether the record stands under this version.
#[derive(Debug)]
struct Question {
    id: String,
    version: u64,
    answer: oneshot::Sender<Result<bool, Failure>>,
}

/// What was read, and who asks.
#[derive(Debug, Default)]
pub struct Reads {
    known: HashMap<String, Known>,
    order: VecDeque<String>,
    asked: Vec<Question>,
    checking: bool,
    checked_at: f64,
}

impl Reads {
    /// The job's record was read, or written.
    pub fn learnt(&mut self, record: &Rc<LiveJob>, version: u64) {
        let id = &record.spec.id;
        let before = self.known.get(id).map(|k| k.version);
        if before.is_none() {
            self.order.push_back(id.clone());
            if self.order.len() > MOST {
                if let Some(old) = self.order.pop_front() {
                    self.known.remove(&old);
                }
            }
        }
        let known = Known {
            record: record.clone(),
            version,
            changing: before.is_some_and(|v| v != version),
        };
        self.known.insert(id.clone(), known);
    }

    /// The record to check, if that is likely to spare a read.
    fn worth_checking(&self, id: &str) -> Option<(Rc<LiveJob>, u64)> {
        let known = self.known.get(id).filter(|k| !k.changing)?;
        Some((known.record.clone(), known.version))
    }

    /// Questions for the next check: each job once, as many as go.
    fn batch(&mut self, most: usize) -> Vec<Question> {
        let mut jobs: Vec<(&str, u64)> = Vec::new();
        let mut taken = 0;
        for question in &self.asked {
            let (id, version) = (question.id.as_str(), question.version);
            if !jobs.contains(&(id, version)) {
                // One job asked for under two versions waits for the next check.
                if jobs.len() >= most || jobs.iter().any(|j| j.0 == id) {
                    break;
                }
                jobs.push((id, version));
            }
            taken += 1;
        }
        self.asked.drain(..taken).collect()
    }
}

/// The live job, if what was read of it before still stands: `None` if it must be read.
pub async fn still(node: &Rc<Node>, id: &str) -> Result<Option<(Rc<LiveJob>, u64)>, Failure> {
    let Some((record, version)) = node.reads.borrow().worth_checking(id) else {
        return Ok(None);
    };
    let (answer, told) = oneshot::channel();
    let start = {
        let mut reads = node.reads.borrow_mut();
        reads.asked.push(Question {
            id: id.to_string(),
            version,
            answer,
        });
        !std::mem::replace(&mut reads.checking, true)
    };
    if start {
        actix_rt::spawn(check(node.clone()));
    }
    let stands = told.await.unwrap_or(Err(Failure::Refused))?;
    Ok(stands.then_some((record, version)))
}

/// Checks until nobody asks any more.
async fn check(node: Rc<Node>) {
    let most = 4 * node.settings.cluster.state.txn_ops;
    loop {
        let pause_s = node.reads.borrow().checked_at + APART_S - node.now();
        if pause_s > 0.0 {
            actix_rt::time::sleep(Duration::from_secs_f64(pause_s)).await;
        }
        let batch = {
            let mut reads = node.reads.borrow_mut();
            reads.checked_at = node.now();
            let batch = reads.batch(most);
            reads.checking = !batch.is_empty();
            batch
        };
        if batch.is_empty() {
            return;
        }
        let mut txn = Txn::default();
        let mut last = None;
        let mut keys: Vec<(&str, u64)> = batch.iter().map(|q| (&*q.id, q.version)).collect();
        keys.sort_unstable();
        for (id, version) in keys {
            if last != Some(id) {
                txn = txn.when(&records::live(id), version);
                last = Some(id);
            }
        }
        let result = node.state.txn(&txn, Lane::Data).await;
        let mut reads = node.reads.borrow_mut();
        for question in batch {
            let found = match &result {
                Ok(_) => Ok(true),
                Err(Failure::Conflict(keys)) => {
                    let key = records::live(&question.id);
                    if !keys.contains(&key) {
                        // Nothing says that all that differ are named: once more.
                        reads.asked.push(question);
                        continue;
                    }
                    Ok(false)
                }
                Err(error) => Err(error.clone()),
            };
            // Who asked may be gone.
            let _ = question.answer.send(found);
        }
    }
}
