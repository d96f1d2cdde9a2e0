//! Views of the scheduler for operators: jobs, teams, machines and waiting times. Each view
//! is computed from the current state when it is requested.

use crate::coordination::scheduler::active_drain::ActiveDrain;
use crate::coordination::scheduler::job::Job;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::run_time_predictor::{ClassHistograms, ALL_CLASSES};
use crate::coordination::scheduler::state::Scheduler;
use crate::coordination::scheduler::team_usage::TeamUsage;
use crate::protocol::admin::{
    JobHealth, JobRow, Jobs, MachineRow, MachineState, Quantiles, TeamRow, Waits,
};
use crate::protocol::settings::Team;
use hdrhistogram::Histogram;

/// A job with waiting but no running tasks is reported as stuck once it is older than the
/// duration of a worker's lease times this number.
const STUCK_AGE_LEASES: f64 = 3.0;

/// Summarizes a histogram of durations in milliseconds as quantiles in seconds.
pub fn quantiles(name: &str, histogram_ms: &Histogram<u32>) -> Quantiles {
    let quantile_s = |quantile| histogram_ms.value_at_quantile(quantile) as f64 / 1000.0;
    Quantiles {
        name: name.into(),
        count: histogram_ms.len(),
        p50_s: quantile_s(0.5),
        p90_s: quantile_s(0.9),
        p99_s: quantile_s(0.99),
        max_s: histogram_ms.max() as f64 / 1000.0,
    }
}

fn class_quantiles(histograms_ms: &ClassHistograms) -> Vec<Quantiles> {
    let classes = histograms_ms.classes().into_iter();
    classes
        .filter(|(name, _)| *name != ALL_CLASSES)
        .map(|(name, histogram)| quantiles(name, histogram))
        .collect()
}

/// A job with its standing, for the sorted list that operators see.
struct RankedJob<'a> {
    standing: JobHealth,
    id: &'a str,
    job: &'a Job,
}

impl Scheduler {
    /// The reason why no further task of the job starts at present.
    fn reason(&self, job: &Job, usage: &TeamUsage, now: f64) -> String {
        if !self.fence.placement_allowed {
            return "waits until all machines are accounted for after a takeover".into();
        }
        if job.is_suspect() {
            let (failures, machines) = (job.failures, job.failed_on.len());
            return format!(
                "fails on every machine it was tried on ({failures} failures on {machines} machines): look at the job"
            );
        }
        if job.refused_at.is_some() {
            let bytes = job.record_bytes;
            return format!("the state service refuses its record of {bytes} bytes and more");
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
        let used = usage.of(job.team);
        if !used.admits(self.team(job.team), &job.spec, 1.0) {
            return "its team is at its limit".into();
        }
        self.retry_reason(job, now)
            .unwrap_or_else(|| self.capacity_reason(job).into())
    }

    /// The reason why a job waits although machines have room: its tasks failed on them recently.
    /// `None` if no such machine has room.
    fn retry_reason(&self, job: &Job, now: f64) -> Option<String> {
        if job.failed_machines.is_empty(now) {
            return None;
        }
        let need = Resources::of_task(&job.spec);
        let machines = self.machines.values();
        let with_room = machines.filter(|machine| {
            self.is_usable(machine, now)
                && self.may_use(&job.spec, machine)
                && machine.free_capacity.fits(&need)
        });
        let retries = with_room.filter_map(|m| m.pauses_until(&job.failed_machines, now));
        let (machines, next_at) = retries.fold((0, f64::MAX), |(machines, next_at), at| {
            (machines + 1, next_at.min(at))
        });
        (machines > 0).then(|| {
            format!(
                "failed on {machines} machines with room; tries one again in {:.0} s",
                next_at - now
            )
        })
    }

    /// The reason why a job whose tasks wait only for capacity finds none: no machine that it
    /// may use has enough free capacity, or none is usable.
    fn capacity_reason(&self, job: &Job) -> &'static str {
        let pools = self
            .capacity_index
            .pools_for(&job.spec, &self.types, |_| true);
        if !pools.is_empty() {
            return "waits for room";
        }
        let mut machines = self.machines.values();
        if machines.any(|machine| machine.cordoned && self.may_use(&job.spec, machine)) {
            "every machine that it may use is drained"
        } else {
            "no machine that it may use is up"
        }
    }

    /// Whether and why the job needs an operator's attention: it is suspected to be faulty; tasks
    /// wait and none runs although the job is older than several leases; or the job can no
    /// longer meet any of its objectives.
    fn standing(&self, job: &Job, now: f64) -> JobHealth {
        let only_waits = job.running == 0 && job.unplaced_tasks() > 0;
        let stuck_age_s = STUCK_AGE_LEASES * self.config.lease_s;
        if job.is_suspect() {
            JobHealth::Failing
        } else if only_waits && now - job.accepted_at > stuck_age_s {
            JobHealth::Stuck
        } else if !self.has_reachable_objective(job, now) {
            JobHealth::Late
        } else {
            JobHealth::Ok
        }
    }

    /// Numbers of live jobs by standing, and the rows of the first `limit` live jobs. Jobs are
    /// sorted by standing (those that need attention come first), then by age, oldest first.
    pub fn job_rows(&self, now: f64, limit: usize) -> Jobs {
        let usage = self.count_usage();
        let ranked = self.ranked_jobs(now);
        let count = |standing: JobHealth| {
            let of_standing = ranked.iter().filter(|ranked| ranked.standing == standing);
            of_standing.count()
        };
        Jobs {
            live: ranked.len(),
            stuck: count(JobHealth::Stuck),
            failing: count(JobHealth::Failing),
            late: count(JobHealth::Late),
            rows: ranked
                .iter()
                .take(limit)
                .map(|ranked| self.job_row(ranked, &usage, now))
                .collect(),
        }
    }

    fn ranked_jobs(&self, now: f64) -> Vec<RankedJob<'_>> {
        let live = self.jobs.iter().filter(|(_, job)| !job.finished);
        let mut ranked: Vec<RankedJob> = live
            .map(|(id, job)| RankedJob {
                standing: self.standing(job, now),
                id,
                job,
            })
            .collect();
        ranked.sort_by(|a, b| {
            a.standing
                .cmp(&b.standing)
                .then(a.job.accepted_at.total_cmp(&b.job.accepted_at))
                .then(a.id.cmp(b.id))
        });
        ranked
    }

    fn job_row(&self, ranked: &RankedJob, usage: &TeamUsage, now: f64) -> JobRow {
        let RankedJob { standing, id, job } = *ranked;
        JobRow {
            id: id.into(),
            class: job.spec.class.clone(),
            team: job.spec.team.clone(),
            urgency: job.spec.urgency,
            standing,
            why: self.reason(job, usage, now),
            age_s: now - job.accepted_at,
            slack_s: self.slack_s(job, now),
            tasks: job.spec.tasks,
            done: job.saved.len() as u32,
            running: job.running,
            waiting: job.unplaced_tasks(),
        }
    }

    /// Teams with their usage, guarantees and limits.
    pub fn team_rows(&self) -> Vec<TeamRow> {
        let usage = self.count_usage();
        let teams = self.config.teams.iter().enumerate();
        teams
            .map(|(index, team)| self.team_row(index, team, &usage))
            .collect()
    }

    fn team_row(&self, team_index: usize, team: &Team, usage: &TeamUsage) -> TeamRow {
        let used = usage.of(Some(team_index));
        let mut row = TeamRow {
            name: team.name.clone(),
            cpus: used.cpus,
            cpus_guaranteed: team.cpus,
            cpus_max: team.cpus_max,
            gpus: used.gpus,
            gpus_guaranteed: team.gpus,
            gpus_max: team.gpus_max,
            jobs: 0,
            waiting_tasks: 0,
            waiting_cpus: 0.0,
        };
        let is_own = |job: &&Job| job.team == Some(team_index) && !job.finished;
        for job in self.jobs.values().filter(is_own) {
            row.jobs += 1;
            row.waiting_tasks += job.unplaced_tasks();
            row.waiting_cpus += f64::from(job.unplaced_tasks()) * job.spec.cpus;
        }
        row
    }

    /// A machine's state, and the reason for that state.
    fn machine_state(&self, machine: &Machine, now: f64) -> (MachineState, String) {
        if let Some(active_drain) = self.drains.get(&*machine.info.id) {
            return drain_state(active_drain);
        }
        match machine.status {
            MachineStatus::Draining => {
                let failures = machine.recent_failures.len();
                let why = format!("taken out of use; {failures} failures in a row");
                (MachineState::Returning, why)
            }
            MachineStatus::Expired => {
                let mut why = "silent for a lease that nobody can have renewed".to_string();
                let starts = machine.attempts.len();
                if starts > 0 {
                    why = format!("{why}; {starts} starts without an answer may still begin");
                }
                (MachineState::Expired, why)
            }
            MachineStatus::Up => self.up_state(machine, now),
        }
    }

    /// The state of a machine with the status `Up`, and the reason for that state; the reason is
    /// empty if the machine is usable.
    fn up_state(&self, machine: &Machine, now: f64) -> (MachineState, String) {
        if !machine.recorded {
            let why = "not in our written record yet";
            return (MachineState::Unproven, why.into());
        }
        if !machine.fenced {
            let why = format!("no report under term {} yet", self.term);
            return (MachineState::Unproven, why);
        }
        if machine.unknown_attempts > 0 {
            let attempts = machine.unknown_attempts;
            let why = format!("runs {attempts} tasks of jobs that we do not know");
            return (MachineState::Unproven, why);
        }
        if let Some(notice_at) = machine.notice_at {
            let left_s = notice_at - now;
            let why = format!("the cloud takes it in {left_s:.0} s");
            return (MachineState::Noticed, why);
        }
        if machine.incarnation_check.is_some() {
            let why = "may have restarted; waiting for a report that shows its token";
            return (MachineState::Unproven, why.into());
        }
        let silent_s = self.silent_for(machine.heard_at, now);
        if silent_s >= self.config.silent_s() {
            return (MachineState::Silent, format!("silent for {silent_s:.0} s"));
        }
        (MachineState::Usable, String::new())
    }

    /// Rows of all machines, in descending order of state: usable machines come last.
    pub fn machine_rows(&self, now: f64) -> Vec<MachineRow> {
        let machines = self.machines.values();
        let mut rows: Vec<MachineRow> = machines
            .map(|machine| self.machine_row(machine, now))
            .collect();
        rows.sort_by(|a, b| b.state.cmp(&a.state).then_with(|| a.id.cmp(&b.id)));
        rows
    }

    fn machine_row(&self, machine: &Machine, now: f64) -> MachineRow {
        let (state, why) = self.machine_state(machine, now);
        MachineRow {
            id: machine.info.id.clone(),
            kind: machine.info.kind.clone(),
            zone: machine.info.zone.clone(),
            spot: machine.info.spot,
            state,
            why,
            silent_s: self.silent_for(machine.heard_at, now).max(0.0),
            tasks: machine.live_attempts().count() as u32,
            bound: machine.queue.len() as u32,
            free_cpus: machine.free_capacity.cpus,
        }
    }

    /// The number of machines in each state, without states that no machine is in.
    pub fn machine_counts(&self, now: f64) -> Vec<(MachineState, usize)> {
        let mut counts: Vec<(MachineState, usize)> = Vec::new();
        for machine in self.machines.values() {
            let (state, _) = self.machine_state(machine, now);
            match counts.iter_mut().find(|(counted, _)| *counted == state) {
                Some((_, count)) => *count += 1,
                None => counts.push((state, 1)),
            }
        }
        counts.sort();
        counts
    }

    /// How long jobs of each class waited until their first task started.
    pub fn waits(&self) -> Waits {
        Waits {
            first_start: class_quantiles(&self.predictor.wait_ms),
            acceptance: None,
        }
    }
}

/// The state of a machine that an operator drains, and the reason for that state.
fn drain_state(active_drain: &ActiveDrain) -> (MachineState, String) {
    let drain = &active_drain.drain;
    let state = if drain.drained.is_some() {
        MachineState::Drained
    } else {
        MachineState::Draining
    };
    (state, format!("by {}: {}", drain.by, drain.why))
}
