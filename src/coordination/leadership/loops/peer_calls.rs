//! Calls to the other controllers: queries whose answers all are awaited, and the leader's
//! periodic queries, which run beside its loop.

use crate::coordination::agents::dispatcher;
use crate::coordination::leadership::queries::PeerAnswer;
use crate::coordination::leadership::state::Leadership;
use crate::coordination::node::Node;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use crate::protocol::settings::Peer;
use futures_util::future::join_all;
use std::rc::Rc;

/// A peer's response and when it was asked, by our clock.
struct Response<'a> {
    peer: &'a str,
    asked_at: f64,
    body: PeerResponse,
}

impl<'a> Response<'a> {
    /// The answer as of now, to a query under this term.
    fn answer(&self, term: u64, node: &Node) -> PeerAnswer<'a> {
        PeerAnswer {
            term,
            peer: self.peer,
            asked_at: self.asked_at,
            received_at: node.now(),
        }
    }
}

/// Asks all peers and waits for their responses, in the order of the settings; `None` for a
/// peer that did not answer.
pub(super) async fn ask_all(node: &Node, request: &PeerRequest) -> Vec<Option<PeerResponse>> {
    let peers = node.settings.peers.iter();
    let calls = peers.map(|peer| node.mesh.ask(peer.addr, request));
    join_all(calls).await
}

/// Without contact to the state service asks the peers to extend our lease.
pub(super) fn query_lease_extensions(node: &Rc<Node>) {
    let due = node.leadership.borrow_mut().extension_due(node.now());
    if let Some(term) = due {
        let request = PeerRequest::ExtendLease(term);
        ask_each(
            node,
            &request,
            |_| true,
            move |node, response| {
                handle_agreement(node, term, &response, Leadership::extension_acknowledged);
            },
        );
    }
}

/// After a takeover asks the peers never to extend an earlier leader's lease.
pub(super) fn query_promises(node: &Rc<Node>) {
    let unfenced = node
        .scheduler
        .borrow()
        .as_ref()
        .is_some_and(|scheduler| scheduler.fence.former_leaders_silent_since.is_none());
    if !unfenced {
        return;
    }
    let due = node.leadership.borrow_mut().promise_due(node.now());
    if let Some(query) = due {
        let (term, request) = (query.term, PeerRequest::Promise(query.term));
        let missing = |peer: &Peer| query.missing_peers.contains(&peer.name);
        ask_each(node, &request, missing, move |node, response| {
            handle_agreement(node, term, &response, Leadership::promise_received);
        });
    }
}

/// While we hear nothing of cancellations asks the peers which ones they confirmed to users.
pub(super) fn query_cancellations(node: &Rc<Node>) {
    let due = node
        .leadership
        .borrow_mut()
        .cancellation_query_due(node.now());
    if let Some(query) = due {
        let lookback_ms = (query.lookback_s * 1000.0).ceil() as u64;
        let request = PeerRequest::ConfirmedCancellations(query.term, lookback_ms);
        ask_each(
            node,
            &request,
            |_| true,
            move |node, response| {
                handle_cancellations(node, query.term, &response);
            },
        );
    }
}

/// Asks the peers that `wanted` lets pass, each in a task of its own, and hands their
/// responses on as they come.
fn ask_each(
    node: &Rc<Node>,
    request: &PeerRequest,
    wanted: impl Fn(&Peer) -> bool,
    handle: impl Fn(&Rc<Node>, Response) + Clone + 'static,
) {
    for peer in node.settings.peers.iter().filter(|peer| wanted(peer)) {
        let (node, request, handle) = (node.clone(), request.clone(), handle.clone());
        let (name, addr) = (peer.name.clone(), peer.addr);
        actix_rt::spawn(async move {
            let asked_at = node.now();
            if let Some(body) = node.mesh.ask(addr, &request).await {
                let response = Response {
                    peer: &name,
                    asked_at,
                    body,
                };
                handle(&node, response);
            }
        });
    }
}

fn handle_agreement(
    node: &Node,
    term: u64,
    response: &Response,
    note: fn(&mut Leadership, PeerAnswer),
) {
    if response.body == PeerResponse::Agreed {
        let answer = response.answer(term, node);
        note(&mut node.leadership.borrow_mut(), answer);
    }
}

fn handle_cancellations(node: &Rc<Node>, term: u64, response: &Response) {
    let PeerResponse::ConfirmedCancellations(jobs) = &response.body else {
        return;
    };
    // First what was reported, then what rests on knowing it.
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        jobs.iter().for_each(|id| scheduler.finish_job(id));
    }
    let answer = response.answer(term, node);
    node.leadership.borrow_mut().cancellations_reported(answer);
    dispatcher::send_due_calls(node);
}
