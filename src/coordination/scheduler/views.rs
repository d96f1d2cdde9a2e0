//! What operators see of a share: jobs, teams, machines, waits. Counted anew for
//! each look, from the owner's view as it is.

use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::quota::{within_limit, TeamUsage};
use crate::coordination::scheduler::run_time_predictor::ClassHistograms;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::{
    JobRow, Jobs, MachineRow, MachineState, Spread, Standing, TeamRow, Waits,
};
use hdrhistogram::Histogram;

/// A distribution in milliseconds as operators see it.
pub fn spread(name: &str, ms: &Histogram<u32>) -> Spread {
    let at = |q| ms.value_at_quantile(q) as f64 / 1000.0;
    Spread {
        name: name.into(),
        count: ms.len(),
        p50_s: at(0.5),
        p90_s: at(0.9),
        p99_s: at(0.99),
        max_s: ms.max() as f64 / 1000.0,
    }
}

fn spreads(ms: &ClassHistograms) -> Vec<Spread> {
    let classes = ms.classes().into_iter().filter(|(n, _)| !n.is_empty());
    classes.map(|(n, h)| spread(n, h)).collect()
}

impl Scheduler {
    /// Why nothing of the job runs or could be added now.
    fn reason(&self, job: &Job, usage: &TeamUsage, now: f64) -> String {
        if !self.fence.open {
            return "waits until all machines are accounted for after a takeover".into();
        }
        if job.is_suspect() {
            let (tries, on) = (job.failures, job.failed_on.len());
            return format!(
                "fails on every machine it was tried on ({tries} failures on {on} machines): look at the job"
            );
        }
        if job.unplaced_tasks() == 0 {
            return "all tasks are on machines".into();
        }
        if job.description_unknown {
            return "workers do not know its description: was it uploaded?".into();
        }
        if job.not_before > now {
            return "waits after a failure or a refused start".into();
        }
        if !within_limit(self.team(job.team), usage.of(job.team), &job.spec, 1.0) {
            return "its team is at its limit".into();
        }
        if !self
            .capacity_index
            .pools_for(&job.spec, &self.types, |_| true)
            .is_empty()
        {
            return "waits for room".into();
        }
        let aside = |m: &Machine| m.cordoned && self.may_use(&job.spec, m);
        if self.machines.values().any(aside) {
            "every machine that it may use is drained".into()
        } else {
            "no machine that it may use is up".into()
        }
    }

    /// How the job stands: nothing of it runs although several leases passed, it
    /// only fails, or every aim is out of reach.
    fn standing(&self, job: &Job, now: f64) -> Standing {
        let age_s = now - job.accepted_at;
        if job.is_suspect() {
            Standing::Failing
        } else if job.running == 0 && job.unplaced_tasks() > 0 && age_s > 3.0 * self.config.lease_s
        {
            Standing::Stuck
        } else if !self.has_reachable_objective(job, now) {
            Standing::Late
        } else {
            Standing::Ok
        }
    }

    /// Live jobs, the worst first, and at most so many of them.
    pub fn job_rows(&self, now: f64, most: usize) -> Jobs {
        let usage = self.count_usage();
        let mut ranked: Vec<(Standing, f64, &str, &Job)> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.finished)
            .map(|(id, j)| (self.standing(j, now), j.accepted_at, &**id, j))
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        let count = |s: Standing| ranked.iter().filter(|r| r.0 == s).count();
        let row = |&(standing, at, id, job): &(Standing, f64, &str, &Job)| JobRow {
            id: id.into(),
            class: job.spec.class.clone(),
            team: job.spec.team.clone(),
            urgency: job.spec.urgency,
            standing,
            why: self.reason(job, &usage, now),
            age_s: now - at,
            slack_s: self.slack_s(job, now),
            tasks: job.spec.tasks,
            done: job.saved.len() as u32,
            running: job.running,
            waiting: job.unplaced_tasks(),
        };
        Jobs {
            live: ranked.len(),
            stuck: count(Standing::Stuck),
            failing: count(Standing::Failing),
            late: count(Standing::Late),
            rows: ranked.iter().take(most).map(row).collect(),
        }
    }

    /// Teams against their guarantees and limits.
    pub fn team_rows(&self) -> Vec<TeamRow> {
        let usage = self.count_usage();
        let teams = self.config.teams.iter().enumerate();
        teams
            .map(|(at, team)| {
                let used = usage.of(Some(at));
                let mut row = TeamRow {
                    name: team.name.clone(),
                    cpus: used.0,
                    cpus_guaranteed: team.cpus,
                    cpus_max: team.cpus_max,
                    gpus: used.1,
                    gpus_guaranteed: team.gpus,
                    gpus_max: team.gpus_max,
                    jobs: 0,
                    waiting_tasks: 0,
                    waiting_cpus: 0.0,
                };
                let own = |j: &&Job| j.team == Some(at) && !j.finished;
                for job in self.jobs.values().filter(own) {
                    row.jobs += 1;
                    row.waiting_tasks += job.unplaced_tasks();
                    row.waiting_cpus += f64::from(job.unplaced_tasks()) * job.spec.cpus;
                }
                row
            })
            .collect()
    }

    /// A machine's state, and what that rests on.
    fn machine_state(&self, m: &Machine, now: f64) -> (MachineState, String) {
        let silent_s = self.silent_for(m.heard_at, now);
        let wish = self.drains.get(&*m.info.id);
        let aside = |w: &crate::coordination::fleet::drains::DrainTarget| {
            format!("by {}: {}", w.drain.by, w.drain.why)
        };
        match (m.status, wish) {
            (_, Some(w)) if w.drain.drained.is_some() => (MachineState::Drained, aside(w)),
            (_, Some(w)) => (MachineState::Draining, aside(w)),
            (MachineStatus::Draining, _) => {
                let why = format!(
                    "taken out of use; {} failures in a row",
                    m.recent_failures.len()
                );
                (MachineState::Returning, why)
            }
            (MachineStatus::Expired, _) => {
                let why = "silent for a lease that nobody can have renewed";
                (MachineState::Expired, why.into())
            }
            _ if !m.recorded => {
                let why = "not in our written record yet";
                (MachineState::Unproven, why.into())
            }
            _ if !m.fenced => {
                let why = format!("no report under term {} yet", self.term);
                (MachineState::Unproven, why)
            }
            _ if m.unknown_attempts > 0 => {
                let why = format!(
                    "runs {} tasks of jobs that we do not know",
                    m.unknown_attempts
                );
                (MachineState::Unproven, why)
            }
            _ if m.notice_at.is_some() => {
                let left = m.notice_at.map_or(0.0, |t| t - now);
                (
                    MachineState::Noticed,
                    format!("the cloud takes it in {left:.0} s"),
                )
            }
            _ if silent_s >= self.config.silent_s() => {
                (MachineState::Silent, format!("silent for {silent_s:.0} s"))
            }
            _ => (MachineState::Usable, String::new()),
        }
    }

    /// Machines, those first that are of least use.
    pub fn machine_rows(&self, now: f64) -> Vec<MachineRow> {
        let mut rows: Vec<MachineRow> = self
            .machines
            .values()
            .map(|m| {
                let (state, why) = self.machine_state(m, now);
                MachineRow {
                    id: m.info.id.clone(),
                    kind: m.info.kind.clone(),
                    zone: m.info.zone.clone(),
                    spot: m.info.spot,
                    state,
                    why,
                    silent_s: self.silent_for(m.heard_at, now).max(0.0),
                    tasks: m.live_attempts().count() as u32,
                    bound: m.queue.len() as u32,
                    free_cpus: m.free_capacity.cpus,
                }
            })
            .collect();
        rows.sort_by(|a, b| b.state.cmp(&a.state).then_with(|| a.id.cmp(&b.id)));
        rows
    }

    /// How many machines are in each state.
    pub fn machine_counts(&self, now: f64) -> Vec<(MachineState, usize)> {
        let mut counts: Vec<(MachineState, usize)> = Vec::new();
        for m in self.machines.values() {
            let state = self.machine_state(m, now).0;
            match counts.iter_mut().find(|c| c.0 == state) {
                Some(c) => c.1 += 1,
                None => counts.push((state, 1)),
            }
        }
        counts.sort();
        counts
    }

    /// Waits of jobs for their first task.
    pub fn waits(&self) -> Waits {
        Waits {
            first_start: spreads(&self.predictor.wait_ms),
            acceptance: None,
        }
    }
}
