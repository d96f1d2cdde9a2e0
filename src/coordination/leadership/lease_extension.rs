//! How long a leader without contact to the state service goes on answering its workers,
//! and when a new leader knows that a former leader has stopped.
//!
//! A leader without contact cannot distinguish two cases. In an outage of the state service
//! for all controllers, no other controller can take over, and the workers' leases should be
//! renewed. If the state service refuses this leader alone, another controller may take over.
//! So the leader goes on answering workers for a little longer than its lease in the state
//! service. After that time it goes on only while a majority of the controllers extends its
//! lease: each of them answers that it knows of no later leader.
//!
//! A controller that takes over asks the others to promise that they will never again extend
//! an earlier leader's lease, as a Paxos proposer does with a higher ballot. Once a majority
//! has promised, no majority can extend an earlier lease, since any two majorities intersect.

use crate::coordination::leadership::queries::PeerAnswer;
use std::collections::HashMap;

/// How long a leader goes on without extensions after its last confirmation, as a multiple of
/// its lease. No other controller can take over during the first lease; the additional half
/// lease covers a slow renewal.
const UNCONFIRMED_LEASES: f64 = 1.5;

/// How long an extension is valid, as a multiple of the leader's lease.
const EXTENSION_LEASES: f64 = 0.5;

/// Assumed upper bound of 0.002 on the relative drift between two clocks, four times the drift
/// of 0.0005 that the protocol states.
const MAX_CLOCK_DRIFT: f64 = 0.002;

/// Assumed maximum delay of a timer, in seconds.
const MAX_TIMER_DELAY_S: f64 = 0.1;

/// The durations, in seconds, that limit how long a leader without contact answers workers.
#[derive(Debug, Clone, Copy)]
pub struct LeaseDurations {
    /// How long a leader goes on without extensions after its last confirmation.
    pub unconfirmed_s: f64,
    /// How long an extension is valid after its request was sent.
    pub extension_s: f64,
    /// The maximum time for which a leader goes on after its last confirmation, however many peers
    /// extend its lease.
    pub max_without_contact_s: f64,
}

impl LeaseDurations {
    /// The durations for a controller's lease of `lease_ttl_s`, with `max_without_contact_s` as
    /// the limit after the last confirmation.
    pub fn new(lease_ttl_s: f64, max_without_contact_s: f64) -> LeaseDurations {
        LeaseDurations {
            unconfirmed_s: (UNCONFIRMED_LEASES * lease_ttl_s).min(max_without_contact_s),
            extension_s: lease_ttl_s * EXTENSION_LEASES,
            max_without_contact_s,
        }
    }

    /// Whether a leader whose leadership was last confirmed at `confirmed_at` may answer its
    /// workers, given the extensions of its lease.
    pub fn may_answer(&self, extensions: &QuorumRound, confirmed_at: f64, now: f64) -> bool {
        let unconfirmed_s = now - confirmed_at;
        if unconfirmed_s < self.unconfirmed_s {
            return true;
        }
        unconfirmed_s < self.max_without_contact_s
            && extensions.majority_asked_within(self.extension_s, now)
    }

    /// The time after which no former leader answers workers any more; `None` until a majority
    /// has promised. `taken_over_at` is the time at which the new leader learnt that its takeover
    /// was carried out.
    pub fn former_leaders_stopped_after(
        &self,
        promises: &QuorumRound,
        taken_over_at: f64,
    ) -> Option<f64> {
        let last_extension_ends = promises.majority_at? + self.extension_s;
        let margin_s =
            MAX_CLOCK_DRIFT * (self.unconfirmed_s + self.extension_s) + MAX_TIMER_DELAY_S;
        Some(last_extension_ends.max(taken_over_at + self.unconfirmed_s) + margin_s)
    }
}

/// The peers that agreed to a query for one term, and the time at which each was asked.
#[derive(Debug)]
pub struct QuorumRound {
    /// The number of controllers, including this one.
    controllers: usize,
    term: u64,
    /// For each peer that agreed, the time at which the query that the peer agreed to was sent.
    asked_at: HashMap<String, f64>,
    /// When the answer arrived that completed the first majority; `None` before that.
    majority_at: Option<f64>,
}

impl QuorumRound {
    /// A round among this many controllers, including this one.
    pub fn new(controllers: usize) -> QuorumRound {
        QuorumRound {
            controllers,
            term: 0,
            asked_at: HashMap::new(),
            majority_at: None,
        }
    }

    /// Starts a new round without answers, unless the present round is already for this term.
    pub fn restart_for(&mut self, term: u64) {
        if self.term != term {
            *self = QuorumRound {
                term,
                ..QuorumRound::new(self.controllers)
            };
        }
    }

    /// Records that a peer agreed. An answer for a term other than the round's is ignored.
    pub fn acknowledge(&mut self, answer: PeerAnswer) {
        if answer.term != self.term {
            return;
        }
        self.asked_at
            .insert(answer.peer.to_string(), answer.asked_at);
        if self.majority_at.is_none() && self.is_majority(self.asked_at.len()) {
            self.majority_at = Some(answer.received_at);
        }
    }

    /// Whether the peer has agreed.
    pub fn has_acknowledged(&self, peer: &str) -> bool {
        self.asked_at.contains_key(peer)
    }

    /// Whether a majority agreed to queries that were sent within the last `window_s` seconds.
    fn majority_asked_within(&self, window_s: f64, now: f64) -> bool {
        let recent = |asked_at: &&f64| now - **asked_at < window_s;
        self.is_majority(self.asked_at.values().filter(recent).count())
    }

    /// Whether this controller and this many peers together are more than half of all controllers.
    fn is_majority(&self, peers: usize) -> bool {
        2 * (peers + 1) > self.controllers
    }
}
