//! Lists the control prefix of the state service and follows its changes.

use super::shard_changes::react_to_shard_changes;
use super::sleep;
use crate::coordination::leadership::cluster_view::ClusterView;
use crate::coordination::node::Node;
use crate::protocol::state::WatchedChange;
use crate::storage::records;
use crate::transport::clients::{Priority, ServiceError};
use std::rc::Rc;

/// How long a watch request waits for changes, in seconds.
const WATCH_WAIT_S: f64 = 20.0;

/// Wait before a failed listing is repeated, in seconds.
const LISTING_RETRY_S: f64 = 0.2;

/// Wait before a failed watch request is repeated, in seconds.
const WATCH_RETRY_S: f64 = 0.25;

/// Keeps the cluster view up to date until the process ends.
pub(super) async fn watch_control_prefix(node: Rc<Node>) {
    loop {
        match list(&node).await {
            Some(revision) => follow_changes(&node, revision).await,
            None => sleep(LISTING_RETRY_S).await,
        }
    }
}

/// Lists the prefix. Returns the revision of the listing; `None` if the request failed.
async fn list(node: &Rc<Node>) -> Option<u64> {
    let listed = node
        .state
        .list(records::CONTROL_PREFIX, Priority::Control)
        .await;
    let (entries, revision) = listed.ok()?;
    node.leadership
        .borrow_mut()
        .view
        .apply_listing(&entries, revision);
    react_to_shard_changes(node);
    Some(revision)
}

/// Follows the changes after `revision`. Returns when the state service has compacted some of
/// these changes away, so that the prefix must be listed again.
async fn follow_changes(node: &Rc<Node>, mut revision: u64) {
    loop {
        let changes = node
            .state
            .watch(records::CONTROL_PREFIX, revision, WATCH_WAIT_S)
            .await;
        match changes {
            Ok(changes) => {
                revision = changes.revision;
                let view = &mut node.leadership.borrow_mut().view;
                for event in changes.events {
                    apply(view, event.change());
                }
                view.advance_to(revision);
            }
            Err(ServiceError::Compacted) => return,
            // The state service keeps a history: the next request returns the changes that were
            // missed while it was unavailable.
            Err(_) => {
                sleep(WATCH_RETRY_S).await;
                continue;
            }
        }
        react_to_shard_changes(node);
    }
}

fn apply(view: &mut ClusterView, change: Option<WatchedChange>) {
    match change {
        Some(WatchedChange::Put(entry)) => view.apply_entry(&entry),
        Some(WatchedChange::Deleted { key, version }) => view.apply_deletion(&key, version),
        None => {}
    }
}
