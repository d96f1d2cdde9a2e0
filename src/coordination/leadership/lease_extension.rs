//! How long an owner without contact to the state service goes on answering
//! its workers, and how soon a new owner knows that it has stopped.
//!
//! Without contact an owner cannot tell an outage for all, during which nothing
//! can be taken over and its workers' leases should live, from a refusal of
//! itself alone. So it goes on for a little more than its lease in the state
//! service, and after that only while a majority of the controllers vouches
//! that it knows of no later owner. Who takes a share over asks for promises
//! never to vouch for an earlier one again: with a majority of them no
//! majority of vouches can arise any more.

use std::collections::HashMap;

/// The spans of time involved, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct LeaseSpans {
    /// An owner goes on alone for this long after its last check.
    pub unconfirmed_s: f64,
    /// A vouch counts for this long from when it was asked for.
    pub extension_s: f64,
    /// However many vouch, not longer than this.
    pub longest_s: f64,
}

impl LeaseSpans {
    /// `life_s` is that of a controller's lease; before it ends nobody can have
    /// taken over, and half of it more covers a slow renewal.
    pub fn new(life_s: f64, most_s: f64) -> LeaseSpans {
        LeaseSpans {
            unconfirmed_s: (1.5 * life_s).min(most_s),
            extension_s: life_s / 2.0,
            longest_s: most_s,
        }
    }
}

/// An answer from each controller and when it was asked for.
#[derive(Debug, Default)]
pub struct QuorumRound {
    /// The term that it is about.
    term: u64,
    acknowledged_at: HashMap<String, f64>,
    /// When a majority was there for the first time.
    complete_at: Option<f64>,
}

impl QuorumRound {
    /// Starts anew if it is about another term.
    pub fn restart_for(&mut self, term: u64) {
        if self.term != term {
            *self = QuorumRound {
                term,
                ..QuorumRound::default()
            };
        }
    }

    /// `peer` agreed for `term` when asked at `asked_at`.
    pub fn acknowledge(&mut self, term: u64, peer: &str, asked_at: f64, now: f64, nodes: usize) {
        if term != self.term {
            return;
        }
        self.acknowledged_at.insert(peer.to_string(), asked_at);
        if self.complete_at.is_none() && majority(self.acknowledged_at.len(), nodes) {
            self.complete_at = Some(now);
        }
    }

    /// Whether the peer has agreed.
    pub fn has_acknowledged(&self, peer: &str) -> bool {
        self.acknowledged_at.contains_key(peer)
    }
}

/// Whether these peers and we are more than half of all controllers.
fn majority(peers: usize, nodes: usize) -> bool {
    2 * (peers + 1) > nodes
}

/// Whether an owner may answer its workers, given its last check of its
/// ownership and the vouches for its term.
pub fn may_answer(
    vouches: &QuorumRound,
    spans: &LeaseSpans,
    nodes: usize,
    confirmed: f64,
    now: f64,
) -> bool {
    let alone_s = now - confirmed;
    if alone_s < spans.unconfirmed_s {
        return true;
    }
    let valid = |at: &&f64| now - **at < spans.extension_s;
    alone_s < spans.longest_s
        && majority(
            vouches.acknowledged_at.values().filter(valid).count(),
            nodes,
        )
}

/// From when on no earlier owner answers, once enough peers have promised;
/// `taken_at` is when the takeover was known to be done.
pub fn quiet_from(promises: &QuorumRound, spans: &LeaseSpans, taken_at: f64) -> Option<f64> {
    let last_vouch = promises.complete_at? + spans.extension_s;
    // Clocks drift by half a thousandth against each other, timers come late.
    let margin = 0.002 * (spans.unconfirmed_s + spans.extension_s) + 0.1;
    Some(last_vouch.max(taken_at + spans.unconfirmed_s) + margin)
}
