//! Reports this controller as not ready when it alone gets no answers from the state service,
//! so that users go to another controller.

use super::peer_calls::ask_all;
use super::sleep;
use crate::coordination::node::Node;
use crate::coordination::readiness::PeerContacts;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use crate::storage::records;
use crate::transport::clients::Priority;
use std::rc::Rc;

/// Runs the check periodically until the process ends.
pub(super) async fn run(node: Rc<Node>) {
    let timeout_s = node.contact_timeout_s();
    loop {
        sleep(timeout_s / 4.0).await;
        check(&node, timeout_s).await;
    }
}

async fn check(node: &Node, timeout_s: f64) {
    if node.now() - node.last_contact_at() > timeout_s / 2.0 {
        // Renews the contact: perhaps no other part of the controller sent a request recently.
        let _ = node.state.get(records::SHARD_KEY, Priority::Control).await;
    }
    let contact_lost = node.now() - node.last_contact_at() > timeout_s;
    let peers = if contact_lost {
        Some(peer_contacts(node).await)
    } else {
        None
    };
    let (now, contact_at) = (node.now(), node.last_contact_at());
    let change = node
        .readiness
        .borrow_mut()
        .update(now, contact_at, timeout_s, peers);
    if let Some(not_ready) = change {
        tracing::warn!(
            not_ready,
            ?peers,
            "contact to the state service lost or regained; readiness changed"
        );
    }
}

/// Asks the peers about their contact to the state service, and counts the peers with and without
/// contact.
async fn peer_contacts(node: &Node) -> PeerContacts {
    let responses = ask_all(node, &PeerRequest::Contact).await;
    let mut contacts = PeerContacts {
        peers: responses.len(),
        ..PeerContacts::default()
    };
    for response in responses {
        match response {
            // A peer that regained its contact only recently does not prove that the fault is
            // ours alone.
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
