//! Sends users elsewhere where the state service does not answer this controller alone.

use super::peer_calls::ask_all;
use super::sleep;
use crate::coordination::node::Node;
use crate::coordination::readiness::PeerContacts;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use crate::storage::records;
use crate::transport::clients::Priority;
use std::rc::Rc;

/// Checks until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let timeout_s = node.contact_timeout_s();
    loop {
        sleep(timeout_s / 4.0).await;
        check(&node, timeout_s).await;
    }
}

async fn check(node: &Node, timeout_s: f64) {
    if node.now() - node.last_contact_at() > timeout_s / 2.0 {
        // It may be that nothing else sends requests at all.
        let _ = node.state.get(records::SHARD_KEY, Priority::Control).await;
    }
    let lost = node.now() - node.last_contact_at() > timeout_s;
    let peers = if lost {
        Some(peer_contacts(node).await)
    } else {
        None
    };
    let (now, contact_at) = (node.now(), node.last_contact_at());
    let change = node
        .readiness
        .borrow_mut()
        .update(now, contact_at, timeout_s, peers);
    if let Some(away) = change {
        tracing::warn!(
            away,
            ?peers,
            "readiness changed with the contact to the state service"
        );
    }
}

/// What the peers say of their contact to the state service.
async fn peer_contacts(node: &Node) -> PeerContacts {
    let responses = ask_all(node, &PeerRequest::Contact).await;
    let mut contacts = PeerContacts {
        all: responses.len(),
        ..PeerContacts::default()
    };
    for response in responses {
        match response {
            // A peer that has just got its contact back proves nothing of our own way.
            Some(PeerResponse::Contact(steady_ms))
                if steady_ms as f64 > node.contact_timeout_s() * 1000.0 =>
            {
                contacts.with_contact += 1;
            }
            Some(PeerResponse::Contact(_)) => contacts.without_contact += 1,
            _ => {}
        }
    }
    contacts
}
