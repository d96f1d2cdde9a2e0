//! The completed tasks of a job with too many tasks for one record: they are kept in chunks
//! beside the job's live record.

use crate::coordination::node::Node;
use crate::coordination::scheduler::job::Name;
use crate::protocol::state::Txn;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob};
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Reads the completed tasks that a job keeps apart from its record: none, unless it has
/// too many tasks for one.
///
/// # Errors
/// The state service could not be read.
pub async fn read(
    node: &Node,
    record: &LiveJob,
    priority: Priority,
) -> Result<CompletedTasks, ServiceError> {
    let mut completed = CompletedTasks::default();
    if record.spec.tasks <= node.tasks_per_record() {
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

/// Deletes the chunks of a job that is over, in the background; if that fails they stay,
/// which costs space alone.
pub fn delete(node: Rc<Node>, id: Name, tasks: u32) {
    actix_rt::spawn(async move {
        for chunk in 0..chunk_count(tasks, node.tasks_per_record()) {
            let txn = Txn::default().delete(&records::completed_key(&id, chunk));
            if node.state.txn(&txn, Priority::Data).await.is_err() {
                return;
            }
        }
    });
}

/// Chunks of a job of so many tasks: none if they fit into its record.
fn chunk_count(tasks: u32, tasks_per_record: u32) -> u32 {
    if tasks > tasks_per_record {
        tasks.div_ceil(tasks_per_record)
    } else {
        0
    }
}
