//! What a leader asks the other controllers, when, and what follows from their answers:
//! extensions of its lease, promises after a takeover, and the cancellations that they
//! confirmed to users. Also what this controller may answer when it is asked.

use crate::coordination::leadership::queries::{CancellationQuery, PeerAnswer, PromiseQuery};
use crate::coordination::leadership::state::Leadership;

/// Queries are repeated so many times within a controller's lease.
const QUERIES_PER_LEASE: f64 = 8.0;

impl Leadership {
    /// The term to ask lease extensions for, if it is time: without contact for half of our
    /// lease, several times within the span that an extension counts.
    pub fn extension_due(&mut self, now: f64) -> Option<u64> {
        let acting = self.leader_term?;
        let unconfirmed = now - self.confirmed_at > self.unconfirmed_before_query_s();
        if !unconfirmed || now - self.queried_at.lease_extension < self.query_interval_s() {
            return None;
        }
        self.queried_at.lease_extension = now;
        self.extensions.restart_for(acting.term);
        Some(acting.term)
    }

    /// A peer extended our lease.
    pub fn extension_acknowledged(&mut self, answer: PeerAnswer) {
        self.extensions.acknowledge(answer);
    }

    /// The promises to ask for, if any is missing and it is time.
    pub fn promise_due(&mut self, now: f64) -> Option<PromiseQuery> {
        let acting = self.leader_term?;
        let peers = self.config.peers.iter();
        let missing_peers: Vec<String> = peers
            .filter(|peer| !self.promises.has_acknowledged(peer))
            .cloned()
            .collect();
        if missing_peers.is_empty() || now - self.queried_at.promise < self.query_interval_s() {
            return None;
        }
        self.queried_at.promise = now;
        Some(PromiseQuery {
            term: acting.base_term,
            missing_peers,
        })
    }

    /// A peer promised.
    pub fn promise_received(&mut self, answer: PeerAnswer) {
        self.promises.acknowledge(answer);
    }

    /// Promises never to extend the lease of a leader before this term, nor to be one.
    pub fn promise(&mut self, term: u64) {
        self.promised_term = self.promised_term.max(term);
    }

    /// The watch of live jobs reported all changes until after `asked_at`.
    pub fn job_watch_answered(&mut self, asked_at: f64) {
        if self.leader_term.is_some() {
            self.horizon.watch_answered(asked_at);
        }
    }

    /// The query for confirmed cancellations, if it is time: as for lease extensions.
    pub fn cancellation_query_due(&mut self, now: f64) -> Option<CancellationQuery> {
        let acting = self.leader_term?;
        let stale = now - self.cancellations_known_until() > self.unconfirmed_before_query_s();
        if !stale || now - self.queried_at.cancellations < self.query_interval_s() {
            return None;
        }
        let lookback_s = self.horizon.lookback_s(self.confirmed_at, now)?;
        self.queried_at.cancellations = now;
        Some(CancellationQuery {
            term: acting.term,
            lookback_s,
        })
    }

    /// A peer reported all cancellations that it confirmed to users.
    pub fn cancellations_reported(&mut self, answer: PeerAnswer) {
        // What was asked before another takeover of ours counts from a listing of then.
        if self
            .leader_term
            .is_some_and(|acting| acting.base_term <= answer.term)
        {
            self.horizon.peer_reported(answer);
        }
    }

    /// Whether to report confirmed cancellations to the leader under this term: that keeps
    /// it answering workers, so not after a takeover attempt of ours that may count on its
    /// silence.
    pub fn may_report_cancellations_to(&self, term: u64) -> bool {
        self.knows_no_later_leader(term)
            && self
                .attempted_version
                .is_none_or(|version| self.view.shard_version() > version)
    }

    /// As of when we know all confirmed cancellations.
    pub(super) fn cancellations_known_until(&self) -> f64 {
        self.horizon
            .known_until(self.confirmed_at, &self.config.peers)
    }

    fn unconfirmed_before_query_s(&self) -> f64 {
        self.config.lease_ttl_s / 2.0
    }

    fn query_interval_s(&self) -> f64 {
        self.config.lease_ttl_s / QUERIES_PER_LEASE
    }
}
