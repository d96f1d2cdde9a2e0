//! Which front to ask: health by outcome, ejection and a slow return. Pure, in
//! seconds passed in.

use crate::pace::Ended;
use rand::Rng;

#[derive(Debug, Clone)]
struct Front {
    failures: u32,
    ejections: u32,
    out_until: f64,
    back_at: f64,
    under_way: usize,
}

/// Failures in a row after which a front is left alone for a while.
const FAILURES: u32 = 3;
/// First pause, doubled with each further one up to a minute: as long as a load
/// balancer leaves out a controller that fails its probes.
const PAUSE_S: f64 = 3.0;
const MOST_PAUSE_S: f64 = 60.0;
/// One that is back gets its full share over this time.
const RETURN_S: f64 = 10.0;

/// The fronts of a deployment.
#[derive(Debug, Clone)]
pub struct Fronts {
    all: Vec<Front>,
}

impl Fronts {
    pub fn new(count: usize) -> Fronts {
        let front = Front {
            failures: 0,
            ejections: 0,
            out_until: f64::NEG_INFINITY,
            back_at: f64::NEG_INFINITY,
            under_way: 0,
        };
        Fronts {
            all: vec![front; count],
        }
    }

    /// Draws two that take requests and gives the one with fewer under way; if
    /// all are left alone, the one whose pause ends first, for somebody has to
    /// find out. `but` is avoided where there is another.
    pub fn choose(&mut self, but: Option<usize>, now: f64, rng: &mut impl Rng) -> Option<usize> {
        let mut open: Vec<usize> = Vec::new();
        for (n, front) in self.all.iter().enumerate() {
            if now < front.out_until || Some(n) == but {
                continue;
            }
            let share = (now - front.back_at) / RETURN_S;
            if share >= 1.0 || rng.random_bool(share.clamp(0.05, 1.0)) {
                open.push(n);
            }
        }
        let chosen = match open.len() {
            0 => (0..self.all.len())
                .filter(|n| Some(*n) != but)
                .min_by(|a, b| self.all[*a].out_until.total_cmp(&self.all[*b].out_until))
                .or(but),
            n => {
                let (a, b) = (rng.random_range(0..n), rng.random_range(0..n));
                let fewer = self.all[open[b]].under_way < self.all[open[a]].under_way;
                Some(if fewer { open[b] } else { open[a] })
            }
        }?;
        self.all.get_mut(chosen)?.under_way += 1;
        Some(chosen)
    }

    /// A request to this front was not sent after all.
    pub fn cancel(&mut self, front: usize) {
        if let Some(front) = self.all.get_mut(front) {
            front.under_way = front.under_way.saturating_sub(1);
        }
    }

    /// A request to this front ended.
    pub fn end(&mut self, front: usize, ended: Ended, now: f64) {
        let Some(front) = self.all.get_mut(front) else {
            return;
        };
        front.under_way = front.under_way.saturating_sub(1);
        match ended {
            Ended::Answered(_) => {
                front.failures = 0;
                // It held for as long as its last pause: forgiven.
                if now - front.back_at > MOST_PAUSE_S {
                    front.ejections = 0;
                }
            }
            Ended::Overloaded | Ended::Broken => {
                front.failures += 1;
                if front.failures >= FAILURES && now >= front.out_until {
                    let pause = PAUSE_S * 2f64.powi(front.ejections.min(5) as i32);
                    front.out_until = now + pause.min(MOST_PAUSE_S);
                    front.back_at = front.out_until;
                    front.ejections += 1;
                    // One failure after its return is enough to go again.
                    front.failures = FAILURES - 1;
                }
            }
        }
    }

    /// How many are left alone now.
    pub fn out(&self, now: f64) -> usize {
        self.all.iter().filter(|f| now < f.out_until).count()
    }
}
