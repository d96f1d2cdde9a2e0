//! The cancellation horizon: the time up to which a leader knows every cancellation that
//! was confirmed to a user. The code is pure, with time passed in.
//!
//! The controller that confirms a cancellation writes it to the state service, and the leader
//! learns of the cancellation from its watch of live jobs. The watch may go unanswered: the state
//! service is down, refuses the leader, or is partitioned from the leader. Meanwhile users of
//! other controllers may be told `withdrawn`, while a leader that goes on renewing its workers'
//! leases keeps the cancelled tasks running. So a leader answers workers only while its horizon
//! is less than a bounded time ago. Once that time has passed since a confirmation, every answer
//! that renews a worker's lease also carries the stop of the cancelled task. A task whose worker
//! gets no such answer ends with the worker's lease.
//!
//! Two kinds of responses advance the horizon, each to the time at which its request was sent:
//!
//! - A response of the watch, but not past the last confirmation of the leadership, because
//!   another leader may have begun its own term after that.
//! - The reports of *all* other controllers, each with the cancellations that it confirmed
//!   since the watch was last answered. Nothing is proven if one of them is missing: a
//!   controller that restarted since then does not know what its former process confirmed,
//!   one that attempted a takeover does not answer, and one that cannot be reached may be
//!   confirming cancellations.

use crate::coordination::leadership::queries::PeerAnswer;
use crate::coordination::scheduler::config::lease_with_margin_s;
use std::collections::HashMap;

/// The maximum age of a leader's knowledge of cancellations while it answers workers, in seconds.
/// All cancelled tasks must have ended one worker's lease after this age is reached. A fortieth
/// of `cancel_s` covers clock drift, late timers, and the delay of the last answer.
pub fn staleness_bound_s(cancel_s: f64, lease_s: f64) -> f64 {
    cancel_s * 39.0 / 40.0 - lease_with_margin_s(lease_s)
}

/// By how much the period that peers report on exceeds the time since the watch was last
/// answered, in seconds. One half covers the delay of a report (slower reports are ignored),
/// the other half the clock drift over that time.
const LOOKBACK_MARGIN_S: f64 = 1.0;

/// The time up to which a leader knows all confirmed cancellations.
#[derive(Debug, Default)]
pub struct CancellationHorizon {
    /// The send time of the latest watch request that was answered; `None` before the first
    /// listing.
    watched_until: Option<f64>,
    /// For each peer, the send time of the latest query that the peer answered.
    reported_until: HashMap<String, f64>,
}

impl CancellationHorizon {
    /// Records that the watch or a listing, requested at `asked_at`, has reported all changes up to
    /// at least that time.
    pub fn watch_answered(&mut self, asked_at: f64) {
        let watched_until = self.watched_until.map_or(asked_at, |at| at.max(asked_at));
        self.watched_until = Some(watched_until);
    }

    /// The period that a peer's report must cover if the peer is asked now, in seconds back from
    /// now; `None` before the first listing.
    pub fn lookback_s(&self, confirmed_at: f64, now: f64) -> Option<f64> {
        Some(now - self.observed_until(confirmed_at)? + LOOKBACK_MARGIN_S)
    }

    /// Records that a peer reported the cancellations that it confirmed within the lookback
    /// period. Reports that took too long are ignored.
    pub fn peer_reported(&mut self, answer: PeerAnswer) {
        if answer.received_at - answer.asked_at < LOOKBACK_MARGIN_S / 2.0 {
            let reported_until = self
                .reported_until
                .entry(answer.peer.to_string())
                .or_insert(answer.asked_at);
            *reported_until = reported_until.max(answer.asked_at);
        }
    }

    /// The time up to which all confirmed cancellations are known; `peers` must contain all other
    /// controllers.
    pub fn known_until(&self, confirmed_at: f64, peers: &[String]) -> f64 {
        let observed = self
            .observed_until(confirmed_at)
            .unwrap_or(f64::NEG_INFINITY);
        let reported = |peer: &String| {
            let reported_until = self.reported_until.get(peer).copied();
            reported_until.unwrap_or(f64::NEG_INFINITY)
        };
        let all_reported = peers.iter().map(reported).fold(f64::INFINITY, f64::min);
        // `all_reported` is infinite if there are no peers. Then no other controller confirms
        // cancellations, but an earlier process of this controller may have confirmed some, so only
        // the watch counts.
        if all_reported.is_finite() {
            observed.max(all_reported)
        } else {
            observed
        }
    }

    /// The time up to which the watch has reported all cancellations; `None` before the first
    /// listing.
    fn observed_until(&self, confirmed_at: f64) -> Option<f64> {
        self.watched_until.map(|at| at.min(confirmed_at))
    }
}
