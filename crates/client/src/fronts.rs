//! Which front to ask: passive health checks, ejection with backoff, and a slow start after it.
//! Pure; times are seconds that are passed in.

use crate::pace::Ended;
use rand::Rng;

#[derive(Debug, Clone)]
struct Front {
    /// In a row.
    failures: u32,
    /// Since it was healthy for long.
    ejections: u32,
    ejected_until: f64,
    back_at: f64,
    in_flight: usize,
}

/// Failures in a row after which a front is ejected.
const MAX_FAILURES: u32 = 3;
/// The first ejection, doubled with each further one: as long as a load balancer leaves out a
/// controller that fails its health checks.
const MIN_EJECTION_S: f64 = 3.0;
const MAX_EJECTION_S: f64 = 60.0;
/// A front that is back gets its full load over this time, and at least `MIN_LOAD` of it.
const SLOW_START_S: f64 = 10.0;
const MIN_LOAD: f64 = 0.05;

/// The fronts of a deployment.
#[derive(Debug, Clone)]
pub struct Fronts {
    all: Vec<Front>,
}

impl Fronts {
    /// So many fronts, all healthy.
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

    /// Power of two choices: of two healthy fronts drawn at random the one with fewer requests
    /// in flight; if all are ejected, the one whose ejection ends first, for somebody has to
    /// find out. `but` is avoided where there is another.
    pub fn choose(&mut self, but: Option<usize>, now: f64, rng: &mut impl Rng) -> Option<usize> {
        let mut open: Vec<usize> = Vec::new();
        for (n, front) in self.all.iter().enumerate() {
            if now < front.ejected_until || Some(n) == but {
                continue;
            }
            let load = (now - front.back_at) / SLOW_START_S;
            if load >= 1.0 || rng.random_bool(load.clamp(MIN_LOAD, 1.0)) {
                open.push(n);
            }
        }
        let chosen = match open.len() {
            0 => (0..self.all.len())
                .filter(|n| Some(*n) != but)
                .min_by(|a, b| {
                    self.all[*a]
                        .ejected_until
                        .total_cmp(&self.all[*b].ejected_until)
                })
                .or(but),
            n => {
                let (a, b) = (rng.random_range(0..n), rng.random_range(0..n));
                let fewer = self.all[open[b]].in_flight < self.all[open[a]].in_flight;
                Some(if fewer { open[b] } else { open[a] })
            }
        }?;
        self.all.get_mut(chosen)?.in_flight += 1;
        Some(chosen)
    }

    /// A request to this front was not sent after all.
    pub fn cancel(&mut self, front: usize) {
        if let Some(front) = self.all.get_mut(front) {
            front.in_flight = front.in_flight.saturating_sub(1);
        }
    }

    /// A request to this front ended.
    pub fn end(&mut self, front: usize, ended: Ended, now: f64) {
        let Some(front) = self.all.get_mut(front) else {
            return;
        };
        front.in_flight = front.in_flight.saturating_sub(1);
        match ended {
            Ended::Answered(_) => {
                front.failures = 0;
                // Healthy for as long as the longest ejection: earlier ones do not count.
                if now - front.back_at > MAX_EJECTION_S {
                    front.ejections = 0;
                }
            }
            Ended::Overloaded | Ended::Broken => {
                front.failures += 1;
                if front.failures >= MAX_FAILURES && now >= front.ejected_until {
                    let ejection_s = MIN_EJECTION_S * 2f64.powi(front.ejections.min(5) as i32);
                    front.ejected_until = now + ejection_s.min(MAX_EJECTION_S);
                    front.back_at = front.ejected_until;
                    front.ejections += 1;
                    // One failure after its return is enough to go again.
                    front.failures = MAX_FAILURES - 1;
                }
            }
        }
    }

    /// How many are ejected now.
    pub fn out(&self, now: f64) -> usize {
        self.all.iter().filter(|f| now < f.ejected_until).count()
    }
}
