//! As of when an owner knows every cancellation that a user was told of: pure,
//! time passed in.
//!
//! Whoever answers a cancellation writes it; the owner learns of it from its watch
//! of live jobs. While that tells nothing (the state service is away, refuses the
//! owner, or a cut lies between) users elsewhere may be told `withdrawn`, and an
//! owner that goes on renewing its workers' leases keeps their tasks running. So it
//! answers workers only while it knows all that was told until a bounded time ago:
//! no answer after `told + blind_s` renews a lease without the stop in it, and a
//! worker's lease later the task is gone.
//!
//! What proves knowledge, each as of when it was asked for:
//!
//! - an answer of the watch, as far as a check of the ownership is as new: after
//!   that another owner may have begun its own count;
//! - the word of *all* other controllers, each of which says what it told users
//!   since the watch last answered. One that began since cannot speak for its former
//!   self, one that made a claim of its own does not answer, and one out of reach may
//!   be telling users: then there is no proof.

use crate::coordination::scheduler::state::with_margin;
use std::collections::{HashMap, VecDeque};

/// For how long an owner may answer workers on what it knew of cancellations: a
/// worker's lease later all must be gone. A fortieth of `cancel_s` covers drift, late
/// timers, and the way of the last answer.
pub fn blind_s(cancel_s: f64, lease_s: f64) -> f64 {
    cancel_s * 39.0 / 40.0 - with_margin(lease_s)
}

/// How much longer than the gap peers look back: half for the way of an answer (later
/// ones do not count), half for the drift of clocks over the gap.
pub const SLACK_S: f64 = 1.0;

/// As of when an owner knows all cancellations.
#[derive(Debug, Default)]
pub struct CancellationHorizon {
    /// When the last answer of the watch was asked for.
    watched_until: Option<f64>,
    /// When the last word of each peer was asked for.
    reported_until: HashMap<String, f64>,
}

impl CancellationHorizon {
    /// The watch, or a listing, told all until after `asked_at`.
    pub fn watched(&mut self, asked_at: f64) {
        self.watched_until = Some(self.watched_until.map_or(asked_at, |t| t.max(asked_at)));
    }

    /// For how long a peer that is asked now must look back to fill the gap.
    pub fn lookback_s(&self, confirmed: f64, now: f64) -> Option<f64> {
        Some(now - self.observed_until(confirmed)? + SLACK_S)
    }

    /// The peer told what it told users over the gap, when asked at `asked_at`.
    pub fn reported(&mut self, peer: &str, asked_at: f64, now: f64) {
        if now - asked_at < SLACK_S / 2.0 {
            let at = self
                .reported_until
                .entry(peer.to_string())
                .or_insert(asked_at);
            *at = at.max(asked_at);
        }
    }

    fn observed_until(&self, confirmed: f64) -> Option<f64> {
        self.watched_until.map(|t| t.min(confirmed))
    }

    /// As of when all is known, if these are all the other controllers.
    pub fn known_until(&self, confirmed: f64, peers: &[String]) -> f64 {
        let seen = self.observed_until(confirmed).unwrap_or(f64::NEG_INFINITY);
        let words = peers.iter().map(|p| self.reported_until.get(p).copied());
        let words = words.map(|w| w.unwrap_or(f64::NEG_INFINITY));
        // Without peers nobody else tells anyone anything, but it may have been told
        // by a former life of ours.
        let least = words.fold(f64::INFINITY, f64::min);
        if least.is_finite() {
            seen.max(least)
        } else {
            seen
        }
    }
}

/// Cancellations that this process told users of, the latest ones.
#[derive(Debug, Default)]
pub struct ConfirmedCancellations {
    latest: VecDeque<(f64, String)>,
    /// It is complete from here on; the process began at 0.
    complete_from: f64,
}

/// Most cancellations kept: as many as terminal states.
const MOST: usize = 16_384;

impl ConfirmedCancellations {
    /// Of a process that began at this time by its clock.
    pub fn since(from: f64) -> ConfirmedCancellations {
        ConfirmedCancellations {
            complete_from: from,
            ..ConfirmedCancellations::default()
        }
    }

    /// A user is about to be told.
    pub fn record(&mut self, id: &str, now: f64) {
        self.latest.push_back((now, id.to_string()));
        if self.latest.len() > MOST {
            if let Some((at, _)) = self.latest.pop_front() {
                self.complete_from = at;
            }
        }
    }

    /// What was told over the last `for_s`, if that is known.
    pub fn within(&self, for_s: f64, now: f64) -> Option<Vec<String>> {
        let from = now - for_s;
        let late = self.latest.iter().rev().take_while(|(at, _)| *at >= from);
        (from >= self.complete_from && for_s.is_finite())
            .then(|| late.map(|(_, id)| id.clone()).collect())
    }
}
