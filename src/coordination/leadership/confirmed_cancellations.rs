//! The latest cancellations that this process confirmed to users, or heard of, for a leader
//! that has no other way to learn them. It answers for a span of time completely or not at
//! all.

use std::collections::VecDeque;

/// Most cancellations kept: as many as terminal states of jobs.
const MAX_CANCELLATIONS: usize = 16_384;

#[derive(Debug)]
struct Cancellation {
    confirmed_at: f64,
    job: String,
}

/// Cancellations that this process confirmed to users, the latest ones.
#[derive(Debug, Default)]
pub struct ConfirmedCancellations {
    /// The earliest first.
    latest: VecDeque<Cancellation>,
    /// No cancellation from here on is missing; the process started at 0.
    complete_from: f64,
}

impl ConfirmedCancellations {
    /// Those of a process that started at this time by its clock.
    pub fn since(started_at: f64) -> ConfirmedCancellations {
        ConfirmedCancellations {
            complete_from: started_at,
            ..ConfirmedCancellations::default()
        }
    }

    /// The cancellation of the job `id` is about to be confirmed to a user.
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

    /// The jobs whose cancellation was confirmed over the last `for_s`, the latest first;
    /// `None` if not all of them are known.
    pub fn within(&self, for_s: f64, now: f64) -> Option<Vec<String>> {
        let from = now - for_s;
        if from < self.complete_from || !for_s.is_finite() {
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
