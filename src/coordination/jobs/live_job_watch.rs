//! The leader's watch of live jobs: how its scheduler learns of submissions and
//! cancellations that other controllers recorded.
//!
//! Invariant: a watch acts for the scheduler of one term, and ends with it. Each step that
//! follows a wait checks again that this scheduler is still there.

use crate::coordination::agents::dispatcher;
use crate::coordination::leadership::cancellation_horizon::staleness_bound_s;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::settings::Workers;
use crate::protocol::state::{Entry, News, Seen};
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, LiveJob};
use crate::transport::clients::{Priority, ServiceError};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

/// Pause after a watch that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Follows the live jobs from `revision` on, as long as the scheduler of `term` lasts.
pub fn follow(node: Rc<Node>, term: u64, revision: u64) {
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

/// How long one watch waits for changes, in seconds. The leader may answer workers only
/// while it knows of cancellations (see `leadership::cancellation_horizon`): eight watches
/// in that time, so that a few may be lost, or wait on a connection that a cut left behind.
fn watch_wait_s(workers: &Workers) -> f64 {
    (staleness_bound_s(workers.cancel_s, workers.lease_s) / 8.0).clamp(0.5, 20.0)
}

struct LiveJobWatch {
    node: Rc<Node>,
    /// The term of the scheduler that this watch acts for.
    term: u64,
    /// Changes up to this revision were applied.
    revision: u64,
    wait_s: f64,
}

impl LiveJobWatch {
    /// Waits for changes once, and applies them.
    async fn poll(&mut self) {
        let asked_at = self.node.now();
        let watch = self
            .node
            .state
            .watch(records::LIVE_PREFIX, self.revision, self.wait_s);
        match watch.await {
            Ok(news) => self.apply(news, asked_at),
            Err(ServiceError::Compacted) => self.list_anew(asked_at).await,
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }

    fn apply(&mut self, news: News, asked_at: f64) {
        self.revision = news.revision;
        for event in news.events {
            match event.seen() {
                Some(Seen::Put(entry)) => self.take_entry(entry),
                Some(Seen::Deleted { key, .. }) => self.job_deleted(&key),
                None => {}
            }
        }
        self.caught_up(asked_at);
    }

    /// The watch fell too far behind: reads all live jobs, and drops those that are gone.
    async fn list_anew(&mut self, asked_at: f64) {
        let listing = self
            .node
            .state
            .list(records::LIVE_PREFIX, Priority::Control);
        let Ok((entries, revision)) = listing.await else {
            return;
        };
        self.revision = revision;
        self.node.with_scheduler(self.term, |scheduler| {
            let live: HashSet<&str> = entries.iter().filter_map(|e| job_of(&e.key)).collect();
            scheduler.reconcile_live_jobs(&live, revision);
        });
        for entry in entries {
            self.take_entry(entry);
        }
        self.caught_up(asked_at);
    }

    /// A live job was recorded, or its record has changed.
    fn take_entry(&self, entry: Entry) {
        // Most changes are completions that this controller wrote itself: they need not be
        // read.
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

    fn is_known(&self, entry: &Entry) -> bool {
        let id = job_of(&entry.key).unwrap_or_default();
        let known = |scheduler: &Scheduler| {
            let job = scheduler.jobs.get(id);
            job.is_some_and(|job| job.version >= entry.version)
        };
        self.node.scheduler.borrow().as_ref().is_some_and(known)
    }

    /// A job is over: done or cancelled.
    fn job_deleted(&self, key: &str) {
        let Some(id) = job_of(key) else {
            return;
        };
        self.node
            .with_scheduler(self.term, |scheduler| scheduler.finish_job(id));
    }

    /// All changes up to the watch's revision are applied, and so are all that were made
    /// before `asked_at`.
    fn caught_up(&self, asked_at: f64) {
        self.node.with_scheduler(self.term, |scheduler| {
            scheduler.watched_revision = self.revision;
            let mut leadership = self.node.leadership.borrow_mut();
            leadership.job_watch_answered(asked_at);
        });
        dispatcher::send_due_calls(&self.node);
    }
}

/// The job whose live record has this key.
fn job_of(key: &str) -> Option<&str> {
    key.strip_prefix(records::LIVE_PREFIX)
}
