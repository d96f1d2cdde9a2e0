//! The latest cancellations that this process confirmed to users, or that peers reported to
//! it. A leader that cannot reach the state service learns of cancellations from this list. A
//! query for a period of time returns all cancellations of that period, or `None` if some are
//! missing.

use std::collections::VecDeque;

/// Maximum number of cancellations kept, equal to the maximum number of terminal job states
/// kept.
const MAX_CANCELLATIONS: usize = 16_384;

#[derive(Debug)]
struct Cancellation {
    confirmed_at: f64,
    job: String,
}

/// The latest cancellations that this process confirmed to users or learnt from peers.
#[derive(Debug, Default)]
pub struct ConfirmedCancellations {
    /// In the order in which they were recorded.
    latest: VecDeque<Cancellation>,
    /// No cancellation at or after this time is missing.
    complete_from: f64,
}

impl ConfirmedCancellations {
    /// An empty list, complete from `started_at` by the process's clock.
    pub fn starting_at(started_at: f64) -> ConfirmedCancellations {
        ConfirmedCancellations {
            complete_from: started_at,
            ..ConfirmedCancellations::default()
        }
    }

    /// Records that the cancellation of the job `id` is about to be confirmed to a user.
    pub fn record(&mut self, id: &str, now: f64) {
        self.latest.push_back(Cancellation {
            confirmed_at: now,
            job: id.to_string(),
        });
        if self.latest.len() > MAX_CANCELLATIONS {
            if let Some(dropped) = self.latest.pop_front() {
                self.complete_from = dropped.confirmed_at;
            }
        }
    }

    /// The jobs whose cancellation was confirmed within the last `period_s` seconds, the latest
    /// first; `None` if some of them may be missing.
    pub fn within(&self, period_s: f64, now: f64) -> Option<Vec<String>> {
        let from = now - period_s;
        if from < self.complete_from || !period_s.is_finite() {
            return None;
        }
        let newest_first = self.latest.iter().rev();
        let recent = newest_first.take_while(|cancellation| cancellation.confirmed_at >= from);
        Some(
            recent
                .map(|cancellation| cancellation.job.clone())
                .collect(),
        )
    }
}
