//! Keeps the list of the cloud's machine types up to date in two places: in the cluster view, on
//! which all decisions are based, and in the state service, from which a controller reads the list
//! if it restarts during an outage of the cloud.

use crate::coordination::node::Node;
use crate::protocol::cloud::{MachineType, TypeList};
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::Priority;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two refreshes once the machine types are known.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Pause between two refreshes as long as the machine types are not known.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the lists differ in a field that determines whether a job fits a machine type.
/// Differences in other fields are ignored, because some of them, such as prices, change often.
fn differ_in_fit(old: &[MachineType], new: &[MachineType]) -> bool {
    old.len() != new.len()
        || old.iter().zip(new).any(|(a, b)| {
            a.name != b.name
                || a.cpus != b.cpus
                || a.gpus != b.gpus
                || a.memory_gb != b.memory_gb
                || a.zones != b.zones
        })
}

/// Refreshes the machine types forever.
pub(super) async fn keep_machine_types(node: Rc<Node>) {
    loop {
        let known = node.leadership.borrow().view.types.is_some();
        let leading = node.scheduler.borrow().is_some();
        if !known || leading {
            refresh(&node).await;
        }
        initialize_scheduler_types(&node);
        let known = node.leadership.borrow().view.types.is_some();
        let pause = if known {
            REFRESH_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        actix_rt::time::sleep(pause).await;
    }
}

/// Reads the machine types from the cloud, and writes them to the state service if they have
/// changed. If the write fails, removes the types from the view, so that the next refresh writes
/// them again.
async fn refresh(node: &Node) {
    let Ok(list) = node.cloud.types().await else {
        return;
    };
    let changed = {
        let view = &mut node.leadership.borrow_mut().view;
        let old = view.types.replace(list.types.clone());
        old.is_none_or(|old| differ_in_fit(&old, &list.types))
    };
    if !changed {
        return;
    }
    let value = TypeList { types: list.types };
    let txn = Txn::default().put(records::TYPES_KEY, &value);
    if node.state.txn(&txn, Priority::Control).await.is_err() {
        node.leadership.borrow_mut().view.types = None;
    }
}

/// Gives the scheduler the machine types of the view if it has none yet.
fn initialize_scheduler_types(node: &Node) {
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        if scheduler.types.is_empty() {
            if let Some(types) = &node.leadership.borrow().view.types {
                scheduler.set_types(types);
            }
        }
    }
}
