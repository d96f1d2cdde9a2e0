//! Chooses the front for each request. Health is judged passively, from the results of requests: a
//! front that fails repeatedly is ejected for a time that doubles with each ejection, and gets its
//! load back gradually.
//!
//! A front is one of the base URLs in the settings. The module does no I/O and reads no clock:
//! callers pass times in seconds.

use crate::pace::AttemptEnd;
use rand::Rng;

#[derive(Debug, Clone)]
struct Front {
    /// Failures in a row.
    failures: u32,
    /// Ejections since it was last healthy for `MAX_EJECTION_S`.
    ejections: u32,
    ejected_until: f64,
    /// When its last ejection ended or will end.
    back_at: f64,
    in_flight: usize,
}

/// The number of failures in a row at which a front is ejected.
const MAX_FAILURES: u32 = 3;
/// Duration of the first ejection, doubled with each further one. It equals the time for which a
/// load balancer takes a controller out of service when its health checks fail.
const MIN_EJECTION_S: f64 = 3.0;
const MAX_EJECTION_S: f64 = 60.0;
/// Keeps the power of two small. `MAX_EJECTION_S` limits the ejection at this bound already.
const MAX_DOUBLINGS: u32 = 5;
/// After an ejection, the proportion of the full load that a front gets grows from `MIN_LOAD` to 1
/// over this time.
const SLOW_START_S: f64 = 10.0;
const MIN_LOAD: f64 = 0.05;

/// The fronts of a deployment.
#[derive(Debug, Clone)]
pub struct Fronts {
    all: Vec<Front>,
}

impl Fronts {
    /// Creates `count` fronts, all healthy.
    pub fn new(count: usize) -> Fronts {
        let front = Front {
            failures: 0,
            ejections: 0,
            ejected_until: f64::NEG_INFINITY,
            back_at: f64::NEG_INFINITY,
            in_flight: 0,
        };
        Fronts {
            all: vec![front; count],
        }
    }

    /// Chooses the front for a request, and counts the request as in flight there.
    ///
    /// Of two healthy fronts drawn at random it takes the one with fewer requests in flight (power
    /// of two choices). If all are ejected it takes the one whose ejection ends first, so that a
    /// request finds out whether that front has recovered. It avoids `excluded` unless there is no
    /// other front.
    pub fn choose(
        &mut self,
        excluded: Option<usize>,
        now: f64,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let mut candidates: Vec<usize> = Vec::new();
        for (n, front) in self.all.iter().enumerate() {
            if now < front.ejected_until || Some(n) == excluded {
                continue;
            }
            let load = (now - front.back_at) / SLOW_START_S;
            if load >= 1.0 || rng.random_bool(load.clamp(MIN_LOAD, 1.0)) {
                candidates.push(n);
            }
        }
        let chosen = match candidates.len() {
            0 => (0..self.all.len())
                .filter(|n| Some(*n) != excluded)
                .min_by(|a, b| {
                    self.all[*a]
                        .ejected_until
                        .total_cmp(&self.all[*b].ejected_until)
                })
                .or(excluded),
            count => {
                let first = candidates[rng.random_range(0..count)];
                let second = candidates[rng.random_range(0..count)];
                let second_has_fewer = self.all[second].in_flight < self.all[first].in_flight;
                Some(if second_has_fewer { second } else { first })
            }
        }?;
        self.all.get_mut(chosen)?.in_flight += 1;
        Some(chosen)
    }

    /// Records that a request for which this front was chosen was not sent.
    pub fn cancel(&mut self, front: usize) {
        if let Some(front) = self.all.get_mut(front) {
            front.in_flight = front.in_flight.saturating_sub(1);
        }
    }

    /// Records the end of a request to this front.
    pub fn end(&mut self, front: usize, ended: AttemptEnd, now: f64) {
        let Some(front) = self.all.get_mut(front) else {
            return;
        };
        front.in_flight = front.in_flight.saturating_sub(1);
        match ended {
            AttemptEnd::Answered(_) => {
                front.failures = 0;
                // A front that has been healthy for as long as the longest ejection starts again
                // with the shortest one.
                if now - front.back_at > MAX_EJECTION_S {
                    front.ejections = 0;
                }
            }
            AttemptEnd::Overloaded | AttemptEnd::Broken => {
                front.failures += 1;
                if front.failures >= MAX_FAILURES && now >= front.ejected_until {
                    let ejection_s =
                        MIN_EJECTION_S * 2f64.powi(front.ejections.min(MAX_DOUBLINGS) as i32);
                    front.ejected_until = now + ejection_s.min(MAX_EJECTION_S);
                    front.back_at = front.ejected_until;
                    front.ejections += 1;
                    // After its return a single failure ejects it again.
                    front.failures = MAX_FAILURES - 1;
                }
            }
        }
    }

    /// The number of fronts that are ejected now.
    pub fn ejected_count(&self, now: f64) -> usize {
        self.all.iter().filter(|f| now < f.ejected_until).count()
    }
}
