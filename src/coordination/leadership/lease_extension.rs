//! How long a leader without contact to the state service goes on answering its workers,
//! and how soon a new leader knows that it has stopped.
//!
//! Without contact a leader cannot tell an outage for all, during which nobody can take
//! over and its workers' leases should live, from a refusal of itself alone. So it goes on
//! for a little more than its lease in the state service, and after that only while a
//! majority of the controllers extends its lease: each answers that it knows of no later
//! leader. A controller that takes over asks for promises never to extend an earlier
//! leader's lease again, as a Paxos proposer does with a higher ballot: with promises of a
//! majority, no majority of extensions can arise any more, since any two majorities
//! intersect.

use crate::coordination::leadership::queries::PeerAnswer;
use std::collections::HashMap;

/// A leader goes on alone for so many of its leases: before the first ends nobody can have
/// taken over, and half a lease more covers a slow renewal.
const UNCONFIRMED_LEASES: f64 = 1.5;

/// An extension counts for this part of a lease.
const EXTENSION_LEASES: f64 = 0.5;

/// Clocks drift by half a thousandth against each other; this is ample.
const CLOCK_DRIFT: f64 = 0.002;

/// By how much timers may come late, in seconds.
const TIMER_DELAY_S: f64 = 0.1;

/// The spans of time involved, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct LeaseSpans {
    /// A leader goes on alone for this long after its last check.
    pub unconfirmed_s: f64,
    /// An extension counts for this long from when it was asked for.
    pub extension_s: f64,
    /// However many peers extend the lease, not longer than this.
    pub longest_s: f64,
}

impl LeaseSpans {
    /// The spans for a controller's lease of `lease_ttl_s`, and `longest_s` as the bound of
    /// all.
    pub fn new(lease_ttl_s: f64, longest_s: f64) -> LeaseSpans {
        LeaseSpans {
            unconfirmed_s: (UNCONFIRMED_LEASES * lease_ttl_s).min(longest_s),
            extension_s: lease_ttl_s * EXTENSION_LEASES,
            longest_s,
        }
    }

    /// Whether a leader may answer its workers, given the last check of its leadership and
    /// the extensions of its lease.
    pub fn may_answer(&self, extensions: &QuorumRound, confirmed_at: f64, now: f64) -> bool {
        let unconfirmed_s = now - confirmed_at;
        if unconfirmed_s < self.unconfirmed_s {
            return true;
        }
        unconfirmed_s < self.longest_s && extensions.majority_asked_within(self.extension_s, now)
    }

    /// From when on no earlier leader answers, once enough peers have promised;
    /// `taken_over_at` is when the takeover was known to be done.
    pub fn former_leaders_silent_from(
        &self,
        promises: &QuorumRound,
        taken_over_at: f64,
    ) -> Option<f64> {
        let last_extension_ends = promises.complete_at? + self.extension_s;
        let margin_s = CLOCK_DRIFT * (self.unconfirmed_s + self.extension_s) + TIMER_DELAY_S;
        Some(last_extension_ends.max(taken_over_at + self.unconfirmed_s) + margin_s)
    }
}

/// The peers that agreed for one term, and when each was asked.
#[derive(Debug)]
pub struct QuorumRound {
    /// How many controllers there are, this one included.
    controllers: usize,
    term: u64,
    acknowledged_at: HashMap<String, f64>,
    /// When a majority was there for the first time.
    complete_at: Option<f64>,
}

impl QuorumRound {
    /// A round among so many controllers, this one included.
    pub fn new(controllers: usize) -> QuorumRound {
        QuorumRound {
            controllers,
            term: 0,
            acknowledged_at: HashMap::new(),
            complete_at: None,
        }
    }

    /// Starts anew if the round is about another term.
    pub fn restart_for(&mut self, term: u64) {
        if self.term != term {
            *self = QuorumRound {
                term,
                ..QuorumRound::new(self.controllers)
            };
        }
    }

    /// A peer agreed; one that was asked for another term counts for nothing.
    pub fn acknowledge(&mut self, answer: PeerAnswer) {
        if answer.term != self.term {
            return;
        }
        self.acknowledged_at
            .insert(answer.peer.to_string(), answer.asked_at);
        if self.complete_at.is_none() && self.is_majority(self.acknowledged_at.len()) {
            self.complete_at = Some(answer.received_at);
        }
    }

    /// Whether the peer has agreed.
    pub fn has_acknowledged(&self, peer: &str) -> bool {
        self.acknowledged_at.contains_key(peer)
    }

    /// Whether a majority agreed when it was asked within the last `span_s`.
    fn majority_asked_within(&self, span_s: f64, now: f64) -> bool {
        let recent = |asked_at: &&f64| now - **asked_at < span_s;
        self.is_majority(self.acknowledged_at.values().filter(recent).count())
    }

    /// Whether so many peers and we are more than half of all controllers.
    fn is_majority(&self, peers: usize) -> bool {
        2 * (peers + 1) > self.controllers
    }
}
