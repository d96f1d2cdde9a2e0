//! Keeps the cloud's machine types: in the view that all decisions use, and in the state
//! service, where a controller that restarts in an outage of the cloud finds them.

use crate::coordination::node::Node;
use crate::protocol::cloud::{MachineType, TypeList};
use crate::protocol::state::Txn;
use crate::storage::records;
use crate::transport::clients::Priority;
use std::rc::Rc;
use std::time::Duration;

/// Between two looks at the types once they are known, and until then.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Whether the lists differ in what decides whether a job fits; prices change all the time.
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

/// Keeps the machine types up to date, for ever.
pub(super) async fn keep_machine_types(node: Rc<Node>) {
    loop {
        let known = node.leadership.borrow().view.types.is_some();
        let leading = node.scheduler.borrow().is_some();
        if !known || leading {
            refresh(&node).await;
        }
        hand_to_scheduler(&node);
        let known = node.leadership.borrow().view.types.is_some();
        let pause = if known {
            REFRESH_INTERVAL
        } else {
            RETRY_INTERVAL
        };
        actix_rt::time::sleep(pause).await;
    }
}

/// Asks the cloud for the types, and writes them if they changed. Types that could not be
/// written are dropped, so that the next round tries again.
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

/// Gives the types to a scheduler that has none yet.
fn hand_to_scheduler(node: &Node) {
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        if scheduler.types.is_empty() {
            if let Some(types) = &node.leadership.borrow().view.types {
                scheduler.set_types(types);
            }
        }
    }
}
