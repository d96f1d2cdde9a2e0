//! The leader's watch of live jobs, through which its scheduler learns of submissions and
//! cancellations that other controllers recorded.
//!
//! Invariant: a watch serves the scheduler of one term and ends when that scheduler ends. After
//! each wait, the watch checks that the scheduler of its term still exists.

use crate::coordination::agents::dispatcher;
use crate::coordination::leadership::cancellation_horizon::staleness_bound_s;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::settings::Workers;
use crate::protocol::state::{Entry, WatchReply, WatchedChange};
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, LiveJob};
use crate::transport::clients::{Priority, ServiceError};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// Pause after a failed watch request.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Starts a watch that applies the changes of live jobs after `revision` to the scheduler of
/// `term`, for as long as that scheduler exists.
pub fn watch_live_jobs(node: Rc<Node>, term: u64, revision: u64) {
    let mut watch = LiveJobWatch {
        wait_s: watch_wait_s(&node.settings.cluster.workers),
        node,
        term,
        revision,
    };
    actix_rt::spawn(async move {
        while watch.node.leads_under(watch.term) {
            watch.poll().await;
        }
    });
}

/// How long one watch request waits for changes, in seconds. The leader may answer workers
/// only while its knowledge of cancellations is younger than the staleness bound (see
/// `leadership::cancellation_horizon`). With an eighth of that
/// bound, a few requests may be lost, or may hang on a connection that a network partition left
/// half open, before the leader must stop answering.
fn watch_wait_s(workers: &Workers) -> f64 {
    (staleness_bound_s(workers.cancel_s, workers.lease_s) / 8.0).clamp(0.5, 20.0)
}

struct LiveJobWatch {
    node: Rc<Node>,
    /// The term of the scheduler that this watch serves.
    term: u64,
    /// The revision of the state service up to which all changes were applied.
    revision: u64,
    /// How long one watch request waits for changes, in seconds.
    wait_s: f64,
}

impl LiveJobWatch {
    /// Sends one watch request and applies the changes in its response.
    async fn poll(&mut self) {
        let requested_at = self.node.now();
        let request = self
            .node
            .state
            .watch(records::LIVE_PREFIX, self.revision, self.wait_s);
        match request.await {
            Ok(changes) => self.apply(changes, requested_at),
            Err(ServiceError::Compacted) => self.relist(requested_at).await,
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }

    /// Applies the changes in the response to a request that was sent at `requested_at`.
    fn apply(&mut self, changes: WatchReply, requested_at: f64) {
        self.revision = changes.revision;
        for event in changes.events {
            match event.change() {
                Some(WatchedChange::Put(entry)) => self.apply_put(entry),
                Some(WatchedChange::Deleted { key, .. }) => self.apply_deletion(&key),
                None => {}
            }
        }
        self.mark_caught_up(requested_at);
    }

    /// Applies a listing of all live jobs, because the state service no longer holds the changes
    /// after the watch's revision. Jobs that are not listed are finished.
    async fn relist(&mut self, requested_at: f64) {
        let listing = self
            .node
            .state
            .list(records::LIVE_PREFIX, Priority::Control);
        let Ok((entries, revision)) = listing.await else {
            return;
        };
        self.revision = revision;
        self.node.with_scheduler(self.term, |scheduler| {
            let live_ids: HashSet<&str> = entries
                .iter()
                .filter_map(|entry| job_id(&entry.key))
                .collect();
            scheduler.reconcile_live_jobs(&live_ids, revision);
        });
        for entry in entries {
            self.apply_put(entry);
        }
        self.mark_caught_up(requested_at);
    }

    /// Applies a new or changed live record.
    fn apply_put(&self, entry: Entry) {
        // Most changes are completions that this controller wrote itself. The scheduler already
        // has them, so the records need not be parsed.
        if self.is_known(&entry) {
            return;
        }
        let Ok(record) = entry.read::<LiveJob>() else {
            return;
        };
        let now = self.node.now();
        self.node.with_scheduler(self.term, |scheduler| {
            scheduler.add_job(record, entry.version, CompletedTasks::default());
            if scheduler.placement_due {
                scheduler.place_changed(now);
            }
        });
    }

    /// Whether the scheduler already has this version of the record or a later one.
    fn is_known(&self, entry: &Entry) -> bool {
        let id = job_id(&entry.key).unwrap_or_default();
        let has_version = |scheduler: &Scheduler| {
            let job = scheduler.jobs.get(id);
            job.is_some_and(|job| job.version >= entry.version)
        };
        self.node
            .scheduler
            .borrow()
            .as_ref()
            .is_some_and(has_version)
    }

    /// Finishes the job whose live record was deleted. The record is deleted only when the job is
    /// done or cancelled.
    fn apply_deletion(&self, key: &str) {
        let Some(id) = job_id(key) else {
            return;
        };
        self.node
            .with_scheduler(self.term, |scheduler| scheduler.finish_job(id));
    }

    /// Records that all changes up to the watch's revision are applied, and so all changes made
    /// before the watch request was sent at `requested_at`.
    fn mark_caught_up(&self, requested_at: f64) {
        self.node.with_scheduler(self.term, |scheduler| {
            scheduler.watched_revision = self.revision;
            let mut leadership = self.node.leadership.borrow_mut();
            leadership.job_watch_answered(requested_at);
        });
        dispatcher::send_due_calls(&self.node);
    }
}

/// The id of the job whose live record has this key; `None` if the key is not one of a live
/// record.
fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix(records::LIVE_PREFIX)
}
