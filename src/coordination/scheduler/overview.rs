//! Live jobs at a glance as plain text: a rendering of `views`, for whoever
//! looks after the night with nothing but a browser at hand.

use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::Standing;
use std::fmt::Write;

/// Most jobs shown.
const MOST: usize = 200;

impl Scheduler {
    /// A table of live jobs, stuck ones first.
    pub fn overview(&self, now: f64) -> String {
        let jobs = self.job_rows(now, MOST);
        let mut text = format!(
            "{} live jobs, {} stuck; term {}; {}\n\n{:<6} {:<22} {:<20} {:<16} {:>7} {:>6} {:>6} {:>6}  why\n",
            jobs.live,
            jobs.stuck + jobs.failing + jobs.late,
            self.term,
            self.summary(),
            "state",
            "job",
            "class",
            "team",
            "age s",
            "done",
            "runs",
            "of"
        );
        for row in &jobs.rows {
            let _ = writeln!(
                text,
                "{:<6} {:<22} {:<20} {:<16} {:>7.0} {:>6} {:>6} {:>6}  {}",
                if row.standing == Standing::Ok {
                    "ok"
                } else {
                    "STUCK"
                },
                row.id,
                row.class,
                row.team,
                row.age_s,
                row.done,
                row.running,
                row.tasks,
                row.why
            );
        }
        text
    }
}
