//! Writes the shard's machine record: the durable list of machines on which tasks may start.
//!
//! Each write succeeds only if this controller still owns the shard and each value that it
//! replaces is the one last known here. So a write that this controller gave up, and that the
//! state service carries out late, changes nothing.

use crate::coordination::leadership::failover::reread_shard;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::state::Txn;
use crate::storage::machine_record::{self, Change};
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Fraction of the size limit of a value that is used; the rest is left for framing.
const VALUE_FILL: f64 = 0.9;
/// Most bytes of changes in one transaction; a quarter of its size is left for framing.
const MAX_CHANGE_BYTES: usize = records::MAX_TXN_BYTES * 3 / 4;

/// One transaction that writes a part of the record.
struct RecordWrite {
    txn: Txn,
    /// Base term of the scheduler whose machines are written.
    base_term: u64,
    changes: Vec<Change>,
    /// Whether further changes remain to be written afterwards.
    more: bool,
}

/// Writes one transaction with changes of the machine record; returns true if further changes
/// remain.
pub async fn write_machine_record(node: &Rc<Node>) -> bool {
    let Some(write) = plan_write(node) else {
        return false;
    };
    if write.changes.is_empty() {
        confirm_current_record(node);
        return false;
    }
    match node.state.txn(&write.txn, Priority::Control).await {
        Ok(version) => apply_written_changes(node, write, version),
        Err(error) => {
            handle_write_error(node, &write, error).await;
            false
        }
    }
}

/// The next transaction to write; `None` if nothing has changed or this controller does not own
/// the shard.
fn plan_write(node: &Node) -> Option<RecordWrite> {
    let limits = &node.settings.cluster.state;
    let value_bytes = (limits.value_kb * 1024.0 * VALUE_FILL) as usize;
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut().filter(|s| s.machine_record_dirty)?;
    // With the shard version of another leader, the write would change the list of that leader.
    let shard_version = node.leadership.borrow().own_shard_version()?;
    let written = node.machine_record.borrow();
    let mut changes =
        machine_record::plan(&written, &scheduler.wanted_machine_record(), value_bytes);
    let fitting_count =
        machine_record::changes_that_fit(&changes, limits.txn_ops, MAX_CHANGE_BYTES);
    let more = changes.len() > fitting_count;
    scheduler.machine_record_dirty = more;
    changes.truncate(fitting_count);
    Some(RecordWrite {
        txn: machine_record::txn(&written, &changes, shard_version),
        base_term: scheduler.fence.base_term,
        changes,
        more,
    })
}

/// Tells the scheduler that the record already holds all machines that it should. This happens,
/// for example, if a machine ends its session and begins a new one before the end was written.
fn confirm_current_record(node: &Node) {
    let recorded: Vec<_> = node.machine_record.borrow().machines().cloned().collect();
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        scheduler.machine_record_written(&recorded);
    }
}

/// Applies the written changes to the scheduler and to the known record; returns true if further
/// changes remain.
fn apply_written_changes(node: &Node, write: RecordWrite, version: u64) -> bool {
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut();
    let Some(scheduler) = scheduler.filter(|s| s.fence.base_term == write.base_term) else {
        return false;
    };
    let mut written = node.machine_record.borrow_mut();
    for (chunk, machines) in write.changes {
        scheduler.machine_record_written(&machines);
        written.set(chunk, machines, version);
    }
    write.more
}

/// Marks the record as still to be written. After a conflict, reads the shard record again, and
/// also the machine record if that had changed. After any other error it is not known whether the
/// write is carried out, so its chunks are marked as uncertain.
async fn handle_write_error(node: &Rc<Node>, write: &RecordWrite, error: ServiceError) {
    tracing::debug!(%error, "failed to write the machine record");
    let same_term = |s: &&mut Scheduler| s.fence.base_term == write.base_term;
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut().filter(same_term) {
        scheduler.machine_record_dirty = true;
    }
    let ServiceError::Conflict(keys) = error else {
        let mut written = node.machine_record.borrow_mut();
        for (chunk, _) in &write.changes {
            written.mark_uncertain(*chunk);
        }
        return;
    };
    reread_shard(node).await;
    // A conflict on a chunk means that an earlier write was carried out although it had no answer.
    if keys.iter().any(|k| records::chunk_number(k).is_some()) {
        reread_record(node, write.base_term).await;
    }
}

/// Reads the machine record again. Only its contents count, so a machine that an unanswered write
/// added is used only after it was read back from the record.
async fn reread_record(node: &Rc<Node>, base_term: u64) {
    let Ok((listed, _)) = node
        .state
        .list(records::MACHINES_PREFIX, Priority::Control)
        .await
    else {
        return;
    };
    let same_term = |s: &Scheduler| s.fence.base_term == base_term;
    if node.scheduler.borrow().as_ref().is_some_and(same_term) {
        node.machine_record.borrow_mut().reload(&listed);
    }
}
