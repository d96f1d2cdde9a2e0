//! A takeover: the share in one conditional transaction under a fresh term,
//! then what belongs to it is read.

use crate::coordination::jobs::completion_writer;
use crate::coordination::leadership::takeover::TakeoverAttempt;
use crate::coordination::node::Node;
use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::state::{Scheduler, SchedulerConfig};
use crate::storage::chunks::MachineRecord;
use crate::storage::records::{self, LiveJob, ShardRecord};
use crate::transport::clients::{Failure, Lane};
use std::rc::Rc;

/// Takes the share and reads what belongs to it.
pub async fn carry_out(node: &Rc<Node>, claim: TakeoverAttempt) {
    match node.state.txn(&claim.txn, Lane::Control).await {
        Ok(version) => {
            let share = &claim.shard;
            let (now, term) = (node.now(), share.term);
            if !node
                .leadership
                .borrow_mut()
                .takeover_written(&claim, version, now)
            {
                tracing::warn!(term, "share taken and lost again");
                return;
            }
            tracing::info!(term, "share taken");
            while let Err(error) = load(node, share).await {
                tracing::warn!(%error, "share not read yet");
                crate::coordination::leadership::sleep(0.2).await;
                if !node.leadership.borrow().holds_term(term) {
                    return;
                }
            }
            crate::coordination::agents::dispatcher::drain(node);
        }
        Err(Failure::Conflict(_)) => reread(node).await,
        Err(error) => {
            tracing::info!(%error, "share not taken");
            crate::coordination::leadership::sleep(0.1).await;
            reread(node).await;
        }
    }
}

/// Reads share and term afresh.
pub async fn reread(node: &Rc<Node>) {
    for key in [records::SHARD_KEY, records::TERM_KEY] {
        if let Ok(Some(entry)) = node.state.get(key, Lane::Control).await {
            node.leadership.borrow_mut().view.apply_entry(&entry);
        }
    }
    let me = &node.settings.host_name;
    let (owner, seen) = {
        let tenure = node.leadership.borrow();
        let owner = tenure.view.shard.as_ref().map(|(s, _)| s.leader.clone());
        (owner, tenure.view.shard_version())
    };
    // The owner's alive key too: a watch may be behind.
    if let Some(owner) = owner.filter(|o| o != me) {
        let key = records::alive_key(&owner);
        match node.state.get(&key, Lane::Control).await {
            Ok(Some(entry)) => node.leadership.borrow_mut().view.apply_entry(&entry),
            Ok(None) => node
                .leadership
                .borrow_mut()
                .view
                .leader_not_alive(&owner, seen),
            Err(_) => {}
        }
    }
    if node.leadership.borrow().is_deposed() {
        crate::coordination::leadership::step_down(node);
    }
}

/// Builds the scheduler from the records of the share.
async fn load(node: &Rc<Node>, share: &ShardRecord) -> Result<(), Failure> {
    let quiet_since = share.former_leaders.is_empty().then(|| node.now());
    let fence = Fence::new(share.term, quiet_since);
    let params = SchedulerConfig::new(&node.settings, &node.policy);
    let mut scheduler = Scheduler::new(params, share.term, fence, share.incarnation ^ share.term);
    scheduler.wall_clock_offset_s = node.wall_ms() as f64 / 1000.0 - node.now();
    // Read after the share was taken, so that no drain ordered under the owner
    // before us is missed: its machines must get nothing new.
    let (drains, seen) = node
        .state
        .list(records::DRAINS_PREFIX, Lane::Control)
        .await?;
    node.leadership
        .borrow_mut()
        .view
        .apply_drain_listing(&drains, seen);
    scheduler.set_drains(&node.leadership.borrow().view.drains);
    let (listed, _) = node
        .state
        .list(records::MACHINES_PREFIX, Lane::Control)
        .await?;
    let now = node.now();
    let written = MachineRecord::read(&listed);
    for info in written.machines() {
        scheduler.add_recorded_machine(info.clone(), now);
    }
    let listed_at = node.now();
    let (jobs, revision) = node.state.list(records::LIVE_PREFIX, Lane::Control).await?;
    for entry in jobs {
        let Ok(record) = entry.read::<LiveJob>() else {
            tracing::error!(key = %entry.key, "unreadable job record");
            continue;
        };
        let extra = completion_writer::marks_apart(node, &record, Lane::Control).await?;
        scheduler.add_job(record, entry.version, extra);
    }
    scheduler.watched_revision = revision;
    // Cancellations written meanwhile: of those that users were told of here nobody else
    // could tell, and of others' the watch will tell, which is later.
    let now = node.now();
    for cancellations in [&node.confirmed_cancellations, &node.relayed_cancellations] {
        let since = cancellations.borrow().within(now - listed_at, now);
        since
            .iter()
            .flatten()
            .for_each(|id| scheduler.finish_job(id));
    }
    // Much may have happened while all this was read, or while we stood still.
    if !node
        .leadership
        .borrow_mut()
        .begin_term(share.term, listed_at)
    {
        tracing::warn!(term = share.term, "share lost while it was read");
        return Ok(());
    }
    tracing::info!(
        term = share.term,
        machines = scheduler.machines.len(),
        jobs = scheduler.jobs.len(),
        "share read"
    );
    // After the last wait: types that became known while the records were read
    // would else be missed until the cloud is asked again, half a minute in which
    // nothing is placed (see `fleet::keep_types`).
    if let Some(types) = &node.leadership.borrow().view.types {
        scheduler.set_types(types);
    }
    *node.machine_record.borrow_mut() = written;
    *node.scheduler.borrow_mut() = Some(scheduler);
    completion_writer::follow(node.clone(), share.term, revision);
    Ok(())
}
