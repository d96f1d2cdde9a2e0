//! The queries that controllers send to each other, and the effects of the answers.

use super::*;
use foxspur::coordination::leadership::queries::{CancellationQuery, PeerAnswer};

/// Delay of a message to another controller, in seconds.
const PEER_DELAY_S: f64 = 0.005;

/// A query to which a peer can agree.
#[derive(Clone, Copy)]
pub(crate) enum AgreementQuery {
    /// Extend the lease of the asking leader, which acts under this term.
    ExtendLease(u64),
    /// Promise not to extend the lease of a leader under a term earlier than this one.
    Promise(u64),
}

/// A call from one controller to another, and its send time by the caller's clock.
#[derive(Clone, Copy)]
pub(crate) struct Call {
    pub(crate) from: usize,
    pub(crate) to: usize,
    pub(crate) asked_at: f64,
}

impl Simulation {
    /// Sends the queries that are due for the controller, if it leads.
    pub(crate) fn query_peers(&mut self, node: usize) {
        let now = self.local_time(node);
        self.query_agreements(node, now);
        self.query_cancellations(node, now);
    }

    fn query_agreements(&mut self, node: usize, now: f64) {
        let controller = &mut self.controllers[node];
        let extension = controller.leadership.extension_due(now);
        let unfenced = controller
            .acting
            .is_some_and(|acting| acting.former_leaders_stopped_since.is_none());
        let promise = match unfenced {
            true => controller.leadership.promise_due(now),
            false => None,
        };
        for peer in 0..self.controllers.len() {
            let extend = extension.map(AgreementQuery::ExtendLease);
            let missing = promise
                .as_ref()
                .filter(|query| query.missing_peers.contains(&host_name(peer)));
            let promise = missing.map(|query| AgreementQuery::Promise(query.term));
            for query in extend.into_iter().chain(promise) {
                let lost = self.is_call_lost(node);
                if peer != node && !lost {
                    let call = Call {
                        from: node,
                        to: peer,
                        asked_at: now,
                    };
                    let asked = Event::AgreementAsked { call, query };
                    self.schedule(self.now + PEER_DELAY_S, asked);
                }
            }
        }
    }

    fn query_cancellations(&mut self, node: usize, now: f64) {
        let leadership = &mut self.controllers[node].leadership;
        let Some(query) = leadership.cancellation_query_due(now) else {
            return;
        };
        for peer in (0..self.controllers.len()).filter(|peer| *peer != node) {
            if !self.is_call_lost(node) {
                let call = Call {
                    from: node,
                    to: peer,
                    asked_at: now,
                };
                let asked = Event::CancellationsAsked { call, query };
                self.schedule(self.now + PEER_DELAY_S, asked);
            }
        }
    }

    fn is_call_lost(&mut self, node: usize) -> bool {
        self.now < self.controllers[node].partitioned_until || self.rng.random_bool(0.1)
    }

    fn is_reachable(&self, call: Call) -> bool {
        let isolated = |node: usize| self.now < self.controllers[node].isolated_until;
        !isolated(call.from) && !isolated(call.to)
    }

    pub(crate) fn agreement_asked(&mut self, call: Call, query: AgreementQuery) {
        if !self.is_reachable(call) {
            return;
        }
        let leadership = &mut self.controllers[call.to].leadership;
        let agrees = match query {
            AgreementQuery::ExtendLease(term) => leadership.knows_no_higher_term(term),
            AgreementQuery::Promise(term) => {
                leadership.promise(term);
                self.react_to_shard_changes(call.to);
                true
            }
        };
        if agrees {
            let partitioned_until = self.controllers[call.to].partitioned_until;
            let arrives_at = (self.now + PEER_DELAY_S).max(partitioned_until);
            self.schedule(arrives_at, Event::Agreed { call, query });
        }
    }

    pub(crate) fn agreed(&mut self, call: Call, query: AgreementQuery) {
        let received_at = self.local_time(call.from);
        // Real calls time out after 0.3 s, but a controller that was paused may process a later
        // answer. So all answers are processed here.
        let leadership = &mut self.controllers[call.from].leadership;
        let peer = host_name(call.to);
        let answer = |term| PeerAnswer {
            term,
            peer: &peer,
            asked_at: call.asked_at,
            received_at,
        };
        match query {
            AgreementQuery::ExtendLease(term) => leadership.extension_acknowledged(answer(term)),
            AgreementQuery::Promise(term) => leadership.promise_received(answer(term)),
        }
    }

    pub(crate) fn cancellations_asked(&mut self, call: Call, query: CancellationQuery) {
        let now = self.local_time(call.to);
        let controller = &self.controllers[call.to];
        let may_report = self.is_reachable(call)
            && controller
                .leadership
                .may_report_cancellations_to(query.term);
        let confirmed = controller
            .confirmed_cancellations
            .within(query.lookback_s, now);
        let Some(jobs) = confirmed.filter(|_| may_report) else {
            return;
        };
        let partitioned_until = controller.partitioned_until;
        let delay_s = match self.rng.random_bool(0.05) {
            true => self.rng.random_range(0.1..20.0),
            false => PEER_DELAY_S,
        };
        let arrives_at = (self.now + delay_s).max(partitioned_until);
        let reported = Event::CancellationsReported {
            call,
            term: query.term,
            jobs,
        };
        self.schedule(arrives_at, reported);
    }

    pub(crate) fn cancellations_reported(&mut self, call: Call, term: u64, jobs: &[String]) {
        let received_at = self.local_time(call.from);
        for job in jobs.iter().filter_map(|id| id.parse::<u64>().ok()) {
            self.learn_cancellation(call.from, job);
        }
        let leadership = &mut self.controllers[call.from].leadership;
        leadership.cancellations_reported(PeerAnswer {
            term,
            peer: &host_name(call.to),
            asked_at: call.asked_at,
            received_at,
        });
    }
}
