//! Chunks of completed tasks. The completed tasks of a job whose live record has no room for all of
//! them are stored in chunks, which are separate from that record (see `storage::record_limits`).

use crate::coordination::node::Node;
use crate::coordination::scheduler::job::Name;
use crate::protocol::state::Txn;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob};
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Reads the completed tasks that are stored in a job's chunks. Returns an empty set for a job
/// that has no chunks because its completed tasks stand in its live record. A chunk that cannot be
/// parsed is skipped, so its tasks run again.
///
/// # Errors
/// The state service could not be read.
pub async fn read(
    node: &Node,
    record: &LiveJob,
    priority: Priority,
) -> Result<CompletedTasks, ServiceError> {
    let mut completed = CompletedTasks::default();
    if node.record_limits().chunk_count(&record.spec) == 0 {
        return Ok(completed);
    }
    let prefix = records::completed_prefix(&record.spec.id);
    for entry in node.state.list(&prefix, priority).await?.0 {
        if let Ok(chunk) = entry.read::<CompletedTasksChunk>() {
            completed.merge(&CompletedTasks::from_text(&chunk.done, record.spec.tasks));
        }
    }
    Ok(completed)
}

/// Deletes this many chunks of a finished job in the background. If a deletion fails, the remaining
/// chunks are never deleted; they only take up space.
pub fn delete(node: Rc<Node>, id: Name, chunks: u32) {
    actix_rt::spawn(async move {
        for chunk in 0..chunks {
            let txn = Txn::default().delete(&records::completed_key(&id, chunk));
            if node.state.txn(&txn, Priority::Data).await.is_err() {
                return;
            }
        }
    });
}
