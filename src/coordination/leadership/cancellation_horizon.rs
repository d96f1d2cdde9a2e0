//! The cancellation horizon: as of when a leader knows every cancellation that was
//! confirmed to a user. It is pure, with time passed in.
//!
//! The controller that confirms a cancellation writes it; the leader learns of it from its
//! watch of live jobs. While that watch is not answered (the state service is away, refuses
//! the leader, or a partition lies between) users of other controllers may be told
//! `withdrawn`, and a leader that goes on renewing its workers' leases keeps their tasks
//! running. So it answers workers only while its horizon is less than a bounded time ago:
//! no answer later than that bound after a confirmation renews a lease without the stop in
//! it, and a worker's lease later the task is gone.
//!
//! What moves the horizon, each to when it was asked for:
//!
//! - a response of the watch, but not past the last check of the leadership: after that
//!   another leader may have begun its own term;
//! - the reports of *all* other controllers, each of the cancellations that it confirmed
//!   since the watch was last answered. A controller that started since cannot speak for
//!   its former process, one that attempted a takeover does not answer, and one out of
//!   reach may be confirming cancellations: then nothing is proven.

use crate::coordination::leadership::queries::PeerAnswer;
use crate::coordination::scheduler::config::lease_with_margin_s;
use std::collections::HashMap;

/// How old a leader's knowledge of cancellations may be while it answers workers, in
/// seconds: a worker's lease later all cancelled tasks must be gone. A fortieth of
/// `cancel_s` covers clock drift, late timers, and the way of the last answer.
pub fn staleness_bound_s(cancel_s: f64, lease_s: f64) -> f64 {
    cancel_s * 39.0 / 40.0 - lease_with_margin_s(lease_s)
}

/// How much longer than the gap peers look back, in seconds: half for the way of an answer
/// (later ones do not count), half for the drift of clocks over the gap.
const LOOKBACK_MARGIN_S: f64 = 1.0;

/// As of when a leader knows all cancellations.
#[derive(Debug, Default)]
pub struct CancellationHorizon {
    /// When the last answered request of the watch was sent.
    watched_until: Option<f64>,
    /// When the last answered query to each peer was sent.
    reported_until: HashMap<String, f64>,
}

impl CancellationHorizon {
    /// The watch, or a listing, reported all changes until after `asked_at`.
    pub fn watch_answered(&mut self, asked_at: f64) {
        let known = self.watched_until.map_or(asked_at, |at| at.max(asked_at));
        self.watched_until = Some(known);
    }

    /// For how long a peer that is asked now must look back to fill the gap.
    pub fn lookback_s(&self, confirmed_at: f64, now: f64) -> Option<f64> {
        Some(now - self.observed_until(confirmed_at)? + LOOKBACK_MARGIN_S)
    }

    /// A peer reported the cancellations that it confirmed over the gap.
    pub fn peer_reported(&mut self, answer: PeerAnswer) {
        if answer.received_at - answer.asked_at < LOOKBACK_MARGIN_S / 2.0 {
            let reported_until = self
                .reported_until
                .entry(answer.peer.to_string())
                .or_insert(answer.asked_at);
            *reported_until = reported_until.max(answer.asked_at);
        }
    }

    /// As of when all cancellations are known, if `peers` are all the other controllers.
    pub fn known_until(&self, confirmed_at: f64, peers: &[String]) -> f64 {
        let observed = self
            .observed_until(confirmed_at)
            .unwrap_or(f64::NEG_INFINITY);
        let reported = |peer: &String| {
            let reported_until = self.reported_until.get(peer).copied();
            reported_until.unwrap_or(f64::NEG_INFINITY)
        };
        let all_reported = peers.iter().map(reported).fold(f64::INFINITY, f64::min);
        // Infinite without peers: nobody else confirms anything, but our own former process
        // may have done so.
        if all_reported.is_finite() {
            observed.max(all_reported)
        } else {
            observed
        }
    }

    fn observed_until(&self, confirmed_at: f64) -> Option<f64> {
        self.watched_until.map(|at| at.min(confirmed_at))
    }
}
