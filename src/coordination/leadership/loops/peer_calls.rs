//! Calls to the other controllers: calls that wait for all responses, and the leader's
//! periodic queries, which run concurrently with its loop.

use crate::coordination::agents::dispatcher;
use crate::coordination::leadership::queries::PeerAnswer;
use crate::coordination::leadership::state::Leadership;
use crate::coordination::node::Node;
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use crate::protocol::settings::Peer;
use futures_util::future::join_all;
use std::rc::Rc;

/// A peer's response, and the time at which its request was sent, in seconds by our clock.
struct Response<'a> {
    peer: &'a str,
    asked_at: f64,
    body: PeerResponse,
}

impl<'a> Response<'a> {
    /// Returns this response as a peer's answer to a query that was sent under `term`. The time of
    /// receipt is the current time.
    fn answer(&self, term: u64, node: &Node) -> PeerAnswer<'a> {
        PeerAnswer {
            term,
            peer: self.peer,
            asked_at: self.asked_at,
            received_at: node.now(),
        }
    }
}

/// Sends a request to all peers and waits for their responses. Returns the responses in the
/// order of the peers in the settings, with `None` for a peer that did not answer.
pub(super) async fn ask_all(node: &Node, request: &PeerRequest) -> Vec<Option<PeerResponse>> {
    let peers = node.settings.peers.iter();
    let calls = peers.map(|peer| node.mesh.ask(peer.addr, request));
    join_all(calls).await
}

/// Asks the peers to extend our lease if our leadership was not confirmed for half of our lease.
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

/// Asks the peers, after a takeover, to promise never to extend an earlier leader's lease.
pub(super) fn query_promises(node: &Rc<Node>) {
    let unfenced = node
        .scheduler
        .borrow()
        .as_ref()
        .is_some_and(|scheduler| scheduler.fence.former_leaders_stopped_since.is_none());
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

/// Asks the peers which cancellations they confirmed to users, while our own knowledge of
/// cancellations is out of date.
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

/// Sends a request to each peer that `is_addressee` selects, in a task of its own, and passes
/// each response to `handle` when it arrives.
fn ask_each(
    node: &Rc<Node>,
    request: &PeerRequest,
    is_addressee: impl Fn(&Peer) -> bool,
    handle: impl Fn(&Rc<Node>, Response) + Clone + 'static,
) {
    for peer in node.settings.peers.iter().filter(|peer| is_addressee(peer)) {
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
    acknowledge: fn(&mut Leadership, PeerAnswer),
) {
    if response.body == PeerResponse::Agreed {
        let answer = response.answer(term, node);
        acknowledge(&mut node.leadership.borrow_mut(), answer);
    }
}

fn handle_cancellations(node: &Rc<Node>, term: u64, response: &Response) {
    let PeerResponse::ConfirmedCancellations(jobs) = &response.body else {
        return;
    };
    // The scheduler must know the reported cancellations before the leadership relies on that
    // knowledge.
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        jobs.iter().for_each(|id| scheduler.finish_job(id));
    }
    let answer = response.answer(term, node);
    node.leadership.borrow_mut().cancellations_reported(answer);
    dispatcher::send_due_calls(node);
}
