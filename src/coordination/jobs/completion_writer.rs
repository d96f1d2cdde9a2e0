//! The job ledger: follows live jobs while we own the share, and writes done
//! marks and final states in batches.

use crate::coordination::jobs::completion_batch::{self, CompletionBatch, JobCompletion};
use crate::coordination::leadership::cancellation_horizon::blind_s;
use crate::coordination::node::Node;
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::state::{Entry, Seen, Txn};
use crate::storage::marks::CompletedTasks;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob};
use crate::transport::budget::Budget;
use crate::transport::clients::{Failure, Lane};
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Writes what is due.
pub struct CompletionWriter {
    pub node: Rc<Node>,
}

impl Actor for CompletionWriter {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let node = self.node.clone();
        // Batches of a quarter of a report interval: a user expects `done`
        // within 3 s, and the state service counts every put.
        let report_s = node.settings.cluster.workers.report_s;
        let every = Duration::from_secs_f64((report_s / 4.0).clamp(0.05, 0.25));
        // A quarter of the writes a second at most for jobs that go on: each is
        // written more rarely the more there are, and workers repeat finished
        // tasks until then. The rest is left to submissions and final states.
        let rate = node.settings.cluster.state.write_rps / 4.0;
        let mut partial = Budget::new(rate, rate.max(1.0), 0.0);
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(every).await;
                while flush(&node, &mut partial).await {}
            }
        });
    }
}

/// Writes one batch; true if there may be more.
async fn flush(node: &Rc<Node>, partial: &mut Budget) -> bool {
    let (batch, term) = {
        let scheduler = node.scheduler.borrow();
        let Some(scheduler) = scheduler.as_ref() else {
            return false;
        };
        let txn_ops = node.settings.cluster.state.txn_ops;
        let chunk_tasks = node.tasks_per_record();
        let Some(batch) =
            completion_batch::plan(scheduler, txn_ops, chunk_tasks, partial, node.now())
        else {
            return false;
        };
        (batch, scheduler.fence.base_term)
    };
    let CompletionBatch { txn, jobs: parts } = batch;
    let result = node.state.txn(&txn, Lane::Data).await;
    match result {
        Ok(version) => {
            written(node, parts, version, term);
            true
        }
        Err(Failure::Conflict(keys)) => {
            for key in keys {
                if let Some(id) = key.strip_prefix(records::LIVE_PREFIX) {
                    reread(node, id, term).await;
                }
            }
            true
        }
        // Not executed, or perhaps later: the versions tell next time.
        Err(_) => false,
    }
}

fn written(node: &Rc<Node>, parts: Vec<JobCompletion>, version: u64, term: u64) {
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut().filter(|c| c.fence.base_term == term);
    let mut over = Vec::new();
    if let Some(scheduler) = scheduler {
        for part in &parts {
            scheduler.completions_written(&part.job, &part.completed, version);
            if part.terminal.is_some() {
                let told = scheduler.jobs.get(&*part.job);
                let (starts, passed_s) = told.map_or((0, 0.0), |j| (j.starts, j.longest_wait_s));
                tracing::info!(job = %part.job, starts, passed_s, "done");
                scheduler.finish_job(&part.job);
            }
        }
    }
    for part in parts {
        if let Some(last) = part.terminal {
            node.terminal_states.borrow_mut().put(&part.job, last);
            if part.chunked {
                over.push((part.job, last.tasks));
            }
        }
    }
    for (id, tasks) in over {
        sweep_marks(node.clone(), id, tasks);
    }
}

/// Done marks that the job keeps apart from its record: none, unless it has too
/// many tasks for one.
pub async fn marks_apart(
    node: &Node,
    record: &LiveJob,
    lane: Lane,
) -> Result<CompletedTasks, Failure> {
    let mut marks = CompletedTasks::default();
    if record.spec.tasks > node.tasks_per_record() {
        let prefix = records::completed_prefix(&record.spec.id);
        for entry in node.state.list(&prefix, lane).await?.0 {
            if let Ok(chunk) = entry.read::<CompletedTasksChunk>() {
                marks.merge(&CompletedTasks::from_text(&chunk.done, record.spec.tasks));
            }
        }
    }
    Ok(marks)
}

/// Deletes the separate marks of a job that is over; if that fails they stay,
/// which costs space alone.
pub fn sweep_marks(node: Rc<Node>, id: Name, tasks: u32) {
    actix_rt::spawn(async move {
        // One that fits into its record has none apart.
        let size = node.tasks_per_record();
        let chunks = if tasks > size {
            tasks.div_ceil(size)
        } else {
            0
        };
        for chunk in 0..chunks {
            let txn = Txn::default().delete(&records::completed_key(&id, chunk));
            if node.state.txn(&txn, Lane::Data).await.is_err() {
                return;
            }
        }
    });
}

/// Reads a job's record after a conflict.
async fn reread(node: &Rc<Node>, id: &str, term: u64) {
    let Ok(entry) = node.state.get(&records::live_key(id), Lane::Data).await else {
        return;
    };
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut().filter(|c| c.fence.base_term == term) else {
        return;
    };
    match entry {
        Some(entry) => {
            if let Ok(record) = entry.read::<LiveJob>() {
                let done = CompletedTasks::from_text(&record.done, record.spec.tasks);
                scheduler.reload_job(id, entry.version, &done);
            }
        }
        None => scheduler.finish_job(id),
    }
}

fn take_entry(node: &Node, term: u64, entry: Entry) {
    let now = node.now();
    // Most changes are marks that we wrote ourselves: they need not be read.
    let id = entry
        .key
        .strip_prefix(records::LIVE_PREFIX)
        .unwrap_or_default();
    let known = |c: &Scheduler| c.jobs.get(id).is_some_and(|j| j.version >= entry.version);
    if node.scheduler.borrow().as_ref().is_some_and(known) {
        return;
    }
    if let Ok(record) = entry.read::<LiveJob>() {
        if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
            if scheduler.fence.base_term == term {
                scheduler.add_job(record, entry.version, CompletedTasks::default());
                if scheduler.placement_due {
                    scheduler.place_changed(now);
                }
            }
        }
    }
}

/// All changes up to `revision` are known, and all made before `asked_at`.
fn followed(node: &Node, term: u64, revision: u64, asked_at: f64) {
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        if scheduler.fence.base_term == term {
            scheduler.watched_revision = revision;
            node.leadership.borrow_mut().job_watch_answered(asked_at);
        }
    }
}

fn ours(node: &Node, term: u64) -> bool {
    node.scheduler
        .borrow()
        .as_ref()
        .is_some_and(|c| c.fence.base_term == term)
}

/// Follows the live jobs from `revision` on, as long as this scheduler lasts.
pub fn follow(node: Rc<Node>, term: u64, mut revision: u64) {
    // Whoever owns the share may answer workers only while it knows of cancellations
    // (`leadership::cover`): eight looks in that time, so that a few may be lost, or wait
    // on a connection that a cut left behind.
    let workers = &node.settings.cluster.workers;
    let wait_s = (blind_s(workers.cancel_s, workers.lease_s) / 8.0).clamp(0.5, 20.0);
    actix_rt::spawn(async move {
        while ours(&node, term) {
            let asked_at = node.now();
            match node
                .state
                .watch(records::LIVE_PREFIX, revision, wait_s)
                .await
            {
                Ok(news) => {
                    revision = news.revision;
                    for event in news.events {
                        match event.seen() {
                            Some(Seen::Put(entry)) => take_entry(&node, term, entry),
                            None => {}
                            Some(Seen::Deleted { key, .. }) => {
                                if let Some(id) = key.strip_prefix(records::LIVE_PREFIX) {
                                    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
                                        if scheduler.fence.base_term == term {
                                            scheduler.finish_job(id);
                                        }
                                    }
                                }
                            }
                        }
                    }
                    followed(&node, term, revision, asked_at);
                    crate::coordination::agents::dispatcher::drain(&node);
                }
                Err(Failure::Gone) => {
                    // Too far behind: read all again, and drop what is gone.
                    if let Ok((entries, at)) =
                        node.state.list(records::LIVE_PREFIX, Lane::Control).await
                    {
                        revision = at;
                        if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
                            if scheduler.fence.base_term == term {
                                let keys = entries.iter().map(|e| e.key.as_str());
                                let listed =
                                    keys.filter_map(|k| k.strip_prefix(records::LIVE_PREFIX));
                                scheduler.reconcile_live_jobs(&listed.collect(), at);
                            }
                        }
                        for entry in entries {
                            take_entry(&node, term, entry);
                        }
                        followed(&node, term, revision, asked_at);
                        crate::coordination::agents::dispatcher::drain(&node);
                    }
                }
                Err(_) => actix_rt::time::sleep(Duration::from_millis(250)).await,
            }
        }
    });
}
