//! Writes the shard's machine record: the durable list of machines on which tasks may start.
//!
//! Each write succeeds only if this controller still leads the shard and if the replaced chunks
//! still have the versions that this controller last read or wrote. A write that got no response
//! therefore changes nothing if the state service executes it after a later write.

use crate::coordination::leadership::failover::reread_shard;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::state::Txn;
use crate::storage::machine_record::{self, Change};
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Fraction of the size limit of a value that a chunk may take up; the rest is left for the JSON
/// syntax.
const VALUE_FILL: f64 = 0.9;
/// Maximum size of the changes in one transaction, in bytes. A quarter of the transaction's size
/// limit is left for the JSON syntax.
const MAX_CHANGE_BYTES: usize = records::MAX_TXN_BYTES * 3 / 4;

/// One transaction that writes a part of the record.
struct RecordWrite {
    txn: Txn,
    /// Base term of the scheduler whose machines are written.
    base_term: u64,
    changes: Vec<Change>,
    /// Whether the record needs further changes after this transaction.
    has_more: bool,
}

/// Writes one transaction with changes of the machine record. Returns true if the transaction was
/// written and further changes remain to be written.
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

/// The next transaction to write; `None` if the list of machines has not changed or this controller
/// does not lead the shard. The transaction has no changes if the record is already correct.
fn plan_write(node: &Node) -> Option<RecordWrite> {
    let limits = &node.settings.cluster.state;
    let value_bytes = (limits.value_kb * 1024.0 * VALUE_FILL) as usize;
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut().filter(|s| s.machine_record_dirty)?;
    // If the transaction were conditional on a shard version that another leader wrote, it would
    // overwrite the list of that leader.
    let shard_version = node.leadership.borrow().own_shard_version()?;
    let written = node.machine_record.borrow();
    let mut changes =
        machine_record::plan(&written, &scheduler.wanted_machine_record(), value_bytes);
    let fitting_count =
        machine_record::changes_that_fit(&changes, limits.txn_ops, MAX_CHANGE_BYTES);
    let has_more = changes.len() > fitting_count;
    scheduler.machine_record_dirty = has_more;
    changes.truncate(fitting_count);
    Some(RecordWrite {
        txn: machine_record::write_txn(&written, &changes, shard_version),
        base_term: scheduler.fence.base_term,
        changes,
        has_more,
    })
}

/// Tells the scheduler that the record already lists exactly the wanted machines. This happens, for
/// example, if a machine's session ends and a new one begins before the machine was removed from
/// the record.
fn confirm_current_record(node: &Node) {
    let recorded: Vec<_> = node.machine_record.borrow().machines().cloned().collect();
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        scheduler.machine_record_written(&recorded);
    }
}

/// Applies the changes that were written at `version` to the scheduler and to this controller's
/// copy of the record. Returns true if further changes remain to be written.
fn apply_written_changes(node: &Node, write: RecordWrite, version: u64) -> bool {
    let mut scheduler = node.scheduler.borrow_mut();
    let scheduler = scheduler.as_mut();
    let Some(scheduler) = scheduler.filter(|s| s.fence.base_term == write.base_term) else {
        return false;
    };
    let mut written = node.machine_record.borrow_mut();
    for (chunk, machines) in write.changes {
        scheduler.machine_record_written(&machines);
        written.record_chunk(chunk, machines, version);
    }
    write.has_more
}

/// Marks the machine record as still to be written. After a conflict, reads the shard record again,
/// and also the machine record if one of its chunks caused the conflict. After any other error, the
/// write may still be executed, so its chunks are marked as uncertain.
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
    // A conflict on a chunk means that an earlier write was executed although it got no response.
    if keys.iter().any(|k| records::chunk_number(k).is_some()) {
        reread_record(node, write.base_term).await;
    }
}

/// Reads the machine record again. A machine that was added by a write without a response is used
/// only after it was read from the record.
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
