//! Chunks of completed tasks. A job with too many tasks for one record stores its completed
//! tasks in chunks, apart from its live record.

use crate::coordination::node::Node;
use crate::coordination::scheduler::job::Name;
use crate::protocol::state::Txn;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, CompletedTasksChunk, LiveJob};
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// Reads the completed tasks that a job stores in chunks. Returns none if all tasks of the job
/// fit into its live record.
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

/// Deletes the chunks of a finished job in the background. If a deletion fails, the remaining
/// chunks stay, which only costs space.
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

/// Number of chunks of a job with this many tasks: 0 if its tasks fit into its live record.
fn chunk_count(tasks: u32, tasks_per_record: u32) -> u32 {
    if tasks > tasks_per_record {
        tasks.div_ceil(tasks_per_record)
    } else {
        0
    }
}
