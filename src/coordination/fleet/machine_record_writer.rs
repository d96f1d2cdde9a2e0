//! Writes the share's machine record, conditional on the share being ours and
//! on each value being the one we know.

use crate::coordination::leadership::failover::reread;
use crate::coordination::node::Node;
use crate::storage::chunks;
use crate::storage::records;
use crate::transport::clients::{Failure, Lane};
use std::rc::Rc;

/// Writes what changed of the machine list; true if there is more.
pub async fn write_machines(node: &Rc<Node>) -> bool {
    let limits = &node.settings.cluster.state;
    // A tenth of a value, a quarter of a transaction stay free for framing.
    let value_bytes = (limits.value_kb * 1024.0 * 0.9) as usize;
    let txn_bytes = records::MAX_TXN_BYTES * 3 / 4;
    let (txn, term, changes, more) = {
        let mut scheduler = node.scheduler.borrow_mut();
        // By the record of another owner we would write into its list.
        let own = node.leadership.borrow().own_shard_version();
        let (Some(scheduler), Some(version)) =
            (scheduler.as_mut().filter(|c| c.machine_record_dirty), own)
        else {
            return false;
        };
        let written = node.machine_record.borrow();
        let mut changes = chunks::plan(&written, &scheduler.wanted_machine_record(), value_bytes);
        let fitting = chunks::fitting(&changes, limits.txn_ops, txn_bytes);
        scheduler.machine_record_dirty = changes.len() > fitting;
        changes.truncate(fitting);
        let txn = chunks::txn(&written, &changes, version);
        (
            txn,
            scheduler.fence.base_term,
            changes,
            scheduler.machine_record_dirty,
        )
    };
    if changes.is_empty() {
        // All that is wanted stands there already: a machine whose session ended
        // and began again before that was written, say.
        let stands: Vec<_> = node.machine_record.borrow().machines().cloned().collect();
        if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
            scheduler.machine_record_written(&stands);
        }
        return false;
    }
    let result = node.state.txn(&txn, Lane::Control).await;
    let ours =
        |c: &&mut crate::coordination::scheduler::state::Scheduler| c.fence.base_term == term;
    match result {
        Ok(version) => {
            let mut scheduler = node.scheduler.borrow_mut();
            let Some(scheduler) = scheduler.as_mut().filter(ours) else {
                return false;
            };
            let mut written = node.machine_record.borrow_mut();
            for (at, machines) in changes {
                scheduler.machine_record_written(&machines);
                written.set(at, machines, version);
            }
            more
        }
        Err(error) => {
            tracing::debug!(%error, "machine record not written");
            if let Some(scheduler) = node.scheduler.borrow_mut().as_mut().filter(ours) {
                scheduler.machine_record_dirty = true;
            }
            if !matches!(error, Failure::Conflict(_)) {
                let mut written = node.machine_record.borrow_mut();
                changes.iter().for_each(|(at, _)| written.unsure(*at));
            }
            if let Failure::Conflict(keys) = error {
                reread(node).await;
                // One that we gave up was carried out after all.
                if keys.iter().any(|k| records::chunk_number(k).is_some()) {
                    reread_record(node, term).await;
                }
            }
            false
        }
    }
}

/// Learns what the record holds now. Nothing but what it holds counts, so what
/// an unanswered write of ours added is used only once it is seen to stand.
async fn reread_record(node: &Rc<Node>, term: u64) {
    let Ok((listed, _)) = node
        .state
        .list(records::MACHINES_PREFIX, Lane::Control)
        .await
    else {
        return;
    };
    let ours = |c: &crate::coordination::scheduler::state::Scheduler| c.fence.base_term == term;
    if node.scheduler.borrow().as_ref().is_some_and(ours) {
        node.machine_record.borrow_mut().reread(&listed);
    }
}
