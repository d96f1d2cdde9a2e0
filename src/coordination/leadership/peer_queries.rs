//! The queries that a leader sends to its peers: for extensions of its lease, for promises
//! after a takeover, and for the cancellations that they confirmed to users. This file
//! decides when each query is sent, what follows from the answers, and what this controller
//! may answer to the queries of a leader.

use crate::coordination::leadership::queries::{CancellationQuery, PeerAnswer, PromiseQuery};
use crate::coordination::leadership::state::Leadership;

/// How many times a query is sent within the duration of a controller's lease.
const QUERIES_PER_LEASE: f64 = 8.0;

impl Leadership {
    /// The term for which to request lease extensions now; `None` if no request is due. Requests
    /// are due when leadership was not confirmed for half of our lease, and are then repeated
    /// several times while an extension is valid.
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

    /// Records that a peer extended our lease.
    pub fn extension_acknowledged(&mut self, answer: PeerAnswer) {
        self.extensions.acknowledge(answer);
    }

    /// The query for promises; `None` if all peers have promised or no query is due.
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

    /// Records that a peer gave the promise that we asked for.
    pub fn promise_received(&mut self, answer: PeerAnswer) {
        self.promises.acknowledge(answer);
    }

    /// Records our promise never to extend the lease of a leader under a term earlier than `term`,
    /// and never to lead under such a term.
    pub fn promise(&mut self, term: u64) {
        self.promised_term = self.promised_term.max(term);
    }

    /// Records that the watch of live jobs, requested at `asked_at`, has reported all changes up to
    /// at least that time.
    pub fn job_watch_answered(&mut self, asked_at: f64) {
        if self.leader_term.is_some() {
            self.horizon.watch_answered(asked_at);
        }
    }

    /// The query for confirmed cancellations; `None` if no query is due. Queries are due when our
    /// knowledge of cancellations is older than half of our lease, as often as the query for lease
    /// extensions.
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

    /// Records that a peer reported all cancellations that it confirmed to users within the
    /// lookback period.
    pub fn cancellations_reported(&mut self, answer: PeerAnswer) {
        // An answer to a query of an earlier takeover of ours is ignored: its lookback period
        // starts from the listing of that takeover.
        if self
            .leader_term
            .is_some_and(|acting| acting.base_term <= answer.term)
        {
            self.horizon.peer_reported(answer);
        }
    }

    /// Whether to report confirmed cancellations to the leader under this term. A report lets
    /// the leader go on answering workers. So no report is sent while a takeover that we attempted
    /// may still be carried out, because the takeover assumes that the leader stops answering
    /// workers.
    pub fn may_report_cancellations_to(&self, term: u64) -> bool {
        self.knows_no_higher_term(term)
            && self
                .attempted_version
                .is_none_or(|version| self.view.shard_version() > version)
    }

    /// The time up to which we know all confirmed cancellations.
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
