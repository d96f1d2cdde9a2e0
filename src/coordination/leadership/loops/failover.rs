//! Failover: takes the shard over in one conditional transaction under a new term, then
//! loads the shard's records into a new scheduler.

use super::sleep;
use super::step_down::step_down;
use crate::coordination::agents::dispatcher;
use crate::coordination::jobs::{completed_task_chunks, live_job_watch};
use crate::coordination::leadership::takeover::TakeoverAttempt;
use crate::coordination::node::Node;
use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::state::{Scheduler, SchedulerConfig};
use crate::storage::machine_record::MachineRecord;
use crate::storage::records::{self, LiveJob, ShardRecord};
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Wait before records that could not be loaded are loaded again, in seconds.
const LOAD_RETRY_S: f64 = 0.2;

/// Wait after a takeover with an unknown outcome, before the shard record is read again, in
/// seconds.
const UNKNOWN_OUTCOME_WAIT_S: f64 = 0.1;

/// A new scheduler with the records that it was built from.
struct LoadedShard {
    scheduler: Scheduler,
    machine_record: MachineRecord,
    /// When the listing of live jobs was requested.
    listed_at: f64,
}

/// Takes the shard over and loads its records.
pub(super) async fn take_over(node: &Rc<Node>, attempt: TakeoverAttempt) {
    match node.state.txn(&attempt.txn, Priority::Control).await {
        Ok(version) => {
            let term = attempt.shard.term;
            let holds =
                node.leadership
                    .borrow_mut()
                    .takeover_written(&attempt, version, node.now());
            if !holds {
                tracing::warn!(
                    term,
                    "another controller took the shard over before our takeover was confirmed"
                );
                return;
            }
            tracing::info!(term, "shard taken over");
            load_until_done(node, &attempt.shard).await;
        }
        Err(ServiceError::Conflict(_)) => reread_shard(node).await,
        Err(error) => {
            tracing::info!(%error, "takeover not confirmed; reading the shard record again");
            sleep(UNKNOWN_OUTCOME_WAIT_S).await;
            reread_shard(node).await;
        }
    }
}

/// Loads the shard's records; repeats a failed attempt as long as the shard is ours.
async fn load_until_done(node: &Rc<Node>, shard: &ShardRecord) {
    while let Err(error) = load(node, shard).await {
        tracing::warn!(%error, "shard records could not be loaded");
        sleep(LOAD_RETRY_S).await;
        if !node.leadership.borrow().holds_term(shard.term) {
            return;
        }
    }
    dispatcher::send_due_calls(node);
}

/// Reads the shard record, the term counter and the leader's alive key again; steps down if
/// the shard is not ours any more.
pub async fn reread_shard(node: &Rc<Node>) {
    for key in [records::SHARD_KEY, records::TERM_KEY] {
        if let Ok(Some(entry)) = node.state.get(key, Priority::Control).await {
            node.leadership.borrow_mut().view.apply_entry(&entry);
        }
    }
    reread_leader_alive_key(node).await;
    if node.leadership.borrow().is_deposed() {
        step_down(node);
    }
}

/// Reads the alive key of the leader if another controller leads, since the watch may be
/// behind.
async fn reread_leader_alive_key(node: &Rc<Node>) {
    let (leader, shard_version) = {
        let leadership = node.leadership.borrow();
        let shard = leadership.view.shard.as_ref();
        let leader = shard.map(|(shard, _)| shard.leader.clone());
        (leader, leadership.view.shard_version())
    };
    let Some(leader) = leader.filter(|leader| *leader != node.settings.host_name) else {
        return;
    };
    let key = records::alive_key(&leader);
    let response = node.state.get(&key, Priority::Control).await;
    let view = &mut node.leadership.borrow_mut().view;
    match response {
        Ok(Some(entry)) => view.apply_entry(&entry),
        Ok(None) => view.leader_not_alive(&leader, shard_version),
        Err(_) => {}
    }
}

/// Builds the scheduler from the records of the shard and begins the term with this scheduler,
/// unless the shard was lost while the records were read.
async fn load(node: &Rc<Node>, shard: &ShardRecord) -> Result<(), ServiceError> {
    let mut scheduler = empty_scheduler(node, shard);
    load_drains(node, &mut scheduler).await?;
    let machine_record = load_machines(node, &mut scheduler).await?;
    let listed_at = node.now();
    load_jobs(node, &mut scheduler).await?;
    finish_cancelled_jobs(node, &mut scheduler, listed_at);
    let loaded = LoadedShard {
        scheduler,
        machine_record,
        listed_at,
    };
    begin_term(node, shard.term, loaded);
    Ok(())
}

fn empty_scheduler(node: &Node, shard: &ShardRecord) -> Scheduler {
    let silent_since = shard.former_leaders.is_empty().then(|| node.now());
    let fence = Fence::new(shard.term, silent_since);
    let config = SchedulerConfig::new(&node.settings, &node.policy);
    let seed = shard.incarnation ^ shard.term;
    let mut scheduler = Scheduler::new(config, shard.term, fence, seed);
    scheduler.wall_clock_offset_s = node.wall_ms() as f64 / 1000.0 - node.now();
    scheduler
}

/// Reads the drains after the takeover, so that no drain that was ordered under the former
/// leader is missed. No new tasks may start on machines that are being drained.
async fn load_drains(node: &Node, scheduler: &mut Scheduler) -> Result<(), ServiceError> {
    let (drains, revision) = node
        .state
        .list(records::DRAINS_PREFIX, Priority::Control)
        .await?;
    let view = &mut node.leadership.borrow_mut().view;
    view.apply_drain_listing(&drains, revision);
    scheduler.set_drains(&view.drains);
    Ok(())
}

async fn load_machines(
    node: &Node,
    scheduler: &mut Scheduler,
) -> Result<MachineRecord, ServiceError> {
    let (listed, _) = node
        .state
        .list(records::MACHINES_PREFIX, Priority::Control)
        .await?;
    let now = node.now();
    let recorded = MachineRecord::read(&listed);
    for info in recorded.machines() {
        scheduler.add_recorded_machine(info.clone(), now);
    }
    Ok(recorded)
}

async fn load_jobs(node: &Rc<Node>, scheduler: &mut Scheduler) -> Result<(), ServiceError> {
    let (jobs, revision) = node
        .state
        .list(records::LIVE_PREFIX, Priority::Control)
        .await?;
    for entry in jobs {
        let Ok(record) = entry.read::<LiveJob>() else {
            tracing::error!(key = %entry.key, "unreadable job record");
            continue;
        };
        let completed = completed_task_chunks::read(node, &record, Priority::Control).await?;
        scheduler.add_job(record, entry.version, completed);
    }
    scheduler.watched_revision = revision;
    Ok(())
}

/// Finishes the jobs whose cancellation this controller confirmed to a user, or learnt from a
/// peer, while the live jobs were read. No peer would report these cancellations again, so the
/// new scheduler would learn of them only later, from its watch of live jobs. The watch reports
/// all other cancellations.
fn finish_cancelled_jobs(node: &Node, scheduler: &mut Scheduler, listed_at: f64) {
    let now = node.now();
    for cancellations in [&node.confirmed_cancellations, &node.relayed_cancellations] {
        let recent = cancellations.borrow().within(now - listed_at, now);
        recent
            .iter()
            .flatten()
            .for_each(|id| scheduler.finish_job(id));
    }
}

/// Starts to lead the shard with the new scheduler, if the shard is still ours: it may have
/// been lost while its records were read, or while this process was paused.
fn begin_term(node: &Rc<Node>, term: u64, loaded: LoadedShard) {
    let LoadedShard {
        mut scheduler,
        machine_record,
        listed_at,
    } = loaded;
    let begun = node.leadership.borrow_mut().begin_term(term, listed_at);
    if !begun {
        tracing::warn!(term, "leadership lost while the shard was loaded");
        return;
    }
    tracing::info!(
        term,
        machines = scheduler.machines.len(),
        jobs = scheduler.jobs.len(),
        "shard loaded"
    );
    // Set after the last await. Otherwise the scheduler would miss types that became known
    // while the records were read. It would place nothing until the cloud is queried again,
    // half a minute later (see `fleet::manager`).
    if let Some(types) = &node.leadership.borrow().view.types {
        scheduler.set_types(types);
    }
    let revision = scheduler.watched_revision;
    *node.machine_record.borrow_mut() = machine_record;
    *node.scheduler.borrow_mut() = Some(scheduler);
    live_job_watch::watch_live_jobs(node.clone(), term, revision);
}
