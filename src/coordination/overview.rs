//! Live jobs at a glance, for whoever looks after the night: what is stuck
//! comes first, with the reason.

use super::core::Core;
use super::job::Job;
use super::quota::{within_limit, Usage};
use std::fmt::Write;

/// Most jobs shown.
const MOST: usize = 200;

impl Core {
    /// Why nothing of the job runs or could be added now.
    fn reason(&self, job: &Job, usage: &Usage, now: f64) -> &'static str {
        if !self.fence.open {
            return "waits until all machines are accounted for after a takeover";
        }
        if job.suspect() {
            return "fails on every machine it was tried on: look at the job";
        }
        if job.lacking() == 0 {
            return "all tasks are on machines";
        }
        if job.not_before > now {
            return "waits after a failure or a refused start";
        }
        if !within_limit(self.team(job.team), usage.of(job.team), &job.spec, 1.0) {
            return "its team is at its limit";
        }
        let pools = self.index.pools_for(&job.spec, &self.types, |_| true);
        if !pools.is_empty() {
            "waits for room"
        } else {
            "no machine that it may use is up"
        }
    }

    /// A table of live jobs, stuck ones first.
    pub fn overview(&self, now: f64) -> String {
        let usage = self.usage();
        let mut rows: Vec<(bool, f64, String)> = Vec::new();
        for (id, job) in self.jobs.iter().filter(|(_, j)| !j.over) {
            let age_s = now - job.at;
            let (done, running) = self.progress(id).unwrap_or_default();
            // Nothing runs although several leases passed, or it only fails, or
            // every aim is out of reach.
            let idle = running == 0 && age_s > 3.0 * self.params.lease_s;
            let stuck = idle || job.suspect() || !self.pressed(job, now);
            let mut row = String::new();
            let _ = write!(
                row,
                "{:<6} {:<22} {:<20} {:<16} {:>7.0} {:>6} {:>6} {:>6}  {}",
                if stuck { "STUCK" } else { "ok" },
                id,
                job.spec.class,
                job.spec.team,
                age_s,
                done,
                running,
                job.spec.tasks,
                self.reason(job, &usage, now)
            );
            rows.push((!stuck, -age_s, row));
        }
        rows.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let stuck = rows.iter().filter(|r| !r.0).count();
        let mut text = format!(
            "{} live jobs, {stuck} stuck; term {}; {}\n\n{:<6} {:<22} {:<20} {:<16} {:>7} {:>6} {:>6} {:>6}  why\n",
            rows.len(),
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
        for (_, _, row) in rows.into_iter().take(MOST) {
            text.push_str(&row);
            text.push('\n');
        }
        text
    }
}
