//! Draws the random events of a run: submissions, cancellations, drains, new machines, and
//! faults of leaders, machines and zones. Counts the coincidences of these events.

use super::*;

impl Simulation {
    /// Draws the faults of this step and the requests of users and operators. In the
    /// `fault_free` second half no new faults or requests begin.
    pub(crate) fn draw_events(&mut self, setup: &Setup, fault_free: bool) {
        if !fault_free {
            self.draw_jobs(setup);
            self.draw_leader_and_zone_faults(setup);
        }
        if self.leaders_paused_until <= self.now {
            self.replace_paused_leaders();
        }
        if self.leader_crashes_at <= self.now {
            self.leader_crashes_at = f64::MAX;
            self.take_over(true);
        }
        if fault_free {
            self.undrain_all();
        } else {
            self.draw_leader_pause();
            self.draw_machine_fault(setup);
            if setup.counters.calls_are_late() {
                self.draw_rack_restart();
            }
            self.draw_drain_order(setup);
        }
    }

    /// Draws submissions and cancellations of jobs.
    fn draw_jobs(&mut self, setup: &Setup) {
        if self.rng.random_bool(0.005 * setup.workers.min(20) as f64) {
            self.submit_job(setup.workers);
        }
        if self.rng.random_bool(0.006) {
            self.cancel(false);
        }
        if self.rng.random_bool(0.01) {
            self.cancel(true);
        }
    }

    /// Submits a job. Each leader is notified after a random delay, so that a stale leader may
    /// know of the job first.
    fn submit_job(&mut self, workers: usize) {
        let now = self.now;
        let id = format!("run-{}", self.specs.len() + 1);
        let cpus = self.cpus_of(&format!("{id}/0"));
        let task_limit = (2 * workers).min(8 + workers / 4) as u32;
        let tasks = self.rng.random_range(1..task_limit);
        let team = TEAMS[team_index_of(&id)];
        let spec = with_zone_constraint(spec(&id, team, Urgency::Standard, tasks, cpus));
        self.specs.insert(id.clone(), spec.clone());
        let record = live(spec, now);
        self.version += 1;
        let version = self.version;
        let stored = StoredJob {
            record: record.clone(),
            completed: CompletedTasks::default(),
            version,
        };
        self.live_jobs.insert(id, stored);
        for leader in &self.leaders {
            self.pending_announcements.push(JobAnnouncement {
                arrives_at: now + self.rng.random_range(0.0..3.0),
                leader: leader.base_term(),
                record: record.clone(),
                version,
            });
        }
    }

    fn draw_leader_and_zone_faults(&mut self, setup: &Setup) {
        if self.rng.random_bool(0.003) {
            let crash = self.rng.random_bool(0.5);
            self.take_over(crash);
        }
        if self.rng.random_bool(0.05) {
            self.cancel_at_limits();
        }
        if self.workers.len() < 2 * setup.workers && self.rng.random_bool(0.003) {
            self.add_machine();
        }
        if self.leaders_paused_until == f64::MAX && self.rng.random_bool(0.0008) {
            self.pause_all_leaders();
        }
        if self.rng.random_bool(0.0008) {
            self.partition_leader_zone();
        }
    }

    /// Pauses a random leader with some probability, often just as another leader takes over.
    fn draw_leader_pause(&mut self) {
        if !self.rng.random_bool(0.004) {
            return;
        }
        let index = self.rng.random_range(0..self.leaders.len());
        let leader = self.leaders[index].base_term();
        let until = self.now + self.rng.random_range(0.5..3.0 * LEASE_S);
        self.paused_until.insert(leader, until);
        if self.rng.random_bool(0.3) {
            self.take_over(false);
        }
    }

    /// With some probability, makes a random machine hang, partitions the machine in one or both
    /// directions, or, with `Counters::Lost`, restarts the machine. The current leader sometimes
    /// crashes just as the heartbeats of a machine begin to be lost.
    fn draw_machine_fault(&mut self, setup: &Setup) {
        let now = self.now;
        let probability = (0.001 * setup.workers as f64).clamp(0.005, 0.1);
        if !self.rng.random_bool(probability) {
            return;
        }
        let index = self.rng.random_range(0..self.workers.len());
        let until = now + self.rng.random_range(1.0..20.0);
        match self.rng.random_range(0..6) {
            5 => {
                self.workers[index].heartbeats_lost_until = now + 2.0 * (until - now);
                if self.rng.random_bool(0.3) {
                    self.take_over(true);
                }
            }
            0 | 1 => self.workers[index].hung_until = until,
            2 | 3 => self.workers[index].partitioned_until = until,
            _ if self.rng.random_bool(0.5) => {
                self.workers[index].unreachable_until = now + 4.0 * (until - now);
            }
            _ if setup.counters != Counters::Kept => self.restart(index),
            _ => {}
        }
    }

    /// With some probability, restarts about half of the machines. Some of them reach no leader
    /// for a while afterwards, and some are cut off in both directions.
    fn draw_rack_restart(&mut self) {
        if !self.rng.random_bool(0.003) {
            return;
        }
        for index in 0..self.workers.len() {
            if self.rng.random_bool(0.5) {
                self.restart(index);
                if self.rng.random_bool(0.3) {
                    let lost_s = self.rng.random_range(0.0..2.0 * LEASE_S);
                    self.workers[index].heartbeats_lost_until = self.now + lost_s;
                } else if self.rng.random_bool(0.5) {
                    let cut_off_s = self.rng.random_range(0.0..2.0 * LEASE_S);
                    self.workers[index].partitioned_until = self.now + cut_off_s;
                }
            }
        }
    }

    fn draw_drain_order(&mut self, setup: &Setup) {
        let probability = (0.002 * setup.workers as f64).clamp(0.01, 0.1);
        if self.rng.random_bool(probability) {
            self.drain_or_undrain(setup.workers);
        }
    }

    fn undrain_all(&mut self) {
        if !self.drains.is_empty() {
            self.drains.clear();
            self.drains_announced_at = self.now;
        }
    }

    pub(crate) fn cpus_of(&self, task: &str) -> f64 {
        if job_of(task).ends_with(['0', '2', '4', '6', '8']) {
            1.0
        } else {
            2.0
        }
    }

    /// The CPUs that the team's live tasks occupy on machines.
    pub(crate) fn used_cpus(&self, team: usize) -> f64 {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let live = tasks
            .filter(|((t, _), s)| s.phase != Phase::Exited && team_index_of(job_of(t)) == team);
        live.map(|((t, _), _)| self.cpus_of(t)).sum()
    }

    /// Whether no team may start another task of two CPUs.
    pub(crate) fn all_at_limits(&self) -> bool {
        (0..TEAMS.len()).all(|team| self.used_cpus(team) + 2.0 > self.team_limits[team] + 1e-6)
    }

    /// Checks whether a leader is paused, or `machines_blocking_placement` of the current leader is
    /// anything but `Some(0)`. The second condition holds while machines block placement after a
    /// takeover, and also whenever placement is allowed, because the value is `None` then.
    pub(crate) fn is_leader_changing(&self) -> bool {
        let leader = self.leaders.last();
        let is_new = leader.is_some_and(|l| l.scheduler.machines_blocking_placement() != Some(0));
        is_new || !self.paused_until.is_empty()
    }

    /// Whether tasks of the job are on machines and all these tasks have exited.
    pub(crate) fn all_tasks_exited(&self, id: &str) -> bool {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let own = tasks.filter(|((t, _), _)| job_of(t) == id);
        let mut own = own.peekable();
        own.peek().is_some() && own.all(|(_, t)| t.phase == Phase::Exited)
    }

    /// Lets a user cancel a live job, if there is one. With `at_end` only jobs are considered that
    /// have tasks on machines and whose tasks there have all exited.
    pub(crate) fn cancel(&mut self, at_end: bool) {
        let mut jobs = self
            .live_jobs
            .keys()
            .filter(|id| !at_end || self.all_tasks_exited(id));
        if let Some(id) = jobs.next().cloned() {
            self.cancel_job(&id);
        }
    }

    pub(crate) fn cancel_job(&mut self, id: &str) {
        let now = self.now;
        let leader_changes = self.is_leader_changing();
        let has_job_and_is_unresponsive = |w: &&Worker| {
            let mut tasks = w.tasks.iter();
            w.is_unresponsive(now)
                && tasks.any(|((t, _), s)| job_of(t) == id && s.phase != Phase::Exited)
        };
        let unresponsive = self
            .workers
            .iter()
            .filter(has_job_and_is_unresponsive)
            .count();
        let at_limits = unresponsive > 0 && leader_changes && self.all_at_limits();
        let ended = self.all_tasks_exited(id);
        self.coincidences
            .add(Coincidence::CancelAtJobEnd, usize::from(ended));
        self.coincidences
            .add(Coincidence::CancelAtTakeover, usize::from(leader_changes));
        self.coincidences
            .add(Coincidence::CancelOnUnresponsiveMachine, unresponsive);
        self.coincidences
            .add(Coincidence::CancelAtLimits, usize::from(at_limits));
        self.live_jobs.remove(id);
        let end = JobEnd {
            ended_at: now,
            cancelled: true,
        };
        self.ended_jobs.insert(id.to_string(), end);
        if let Some(leader) = self.leaders.last_mut() {
            leader.scheduler.finish_job(id);
        }
    }

    /// If every team is at its limit, makes a machine with tasks unresponsive, replaces the
    /// leader, and cancels a job with a task on that machine, before or after the takeover.
    pub(crate) fn cancel_at_limits(&mut self) {
        if !self.all_at_limits() {
            return;
        }
        let is_live = |(t, _): &&(String, u64)| self.live_jobs.contains_key(job_of(t));
        let live_job = |w: &Worker| {
            w.tasks
                .keys()
                .find(is_live)
                .map(|(t, _)| job_of(t).to_string())
        };
        let mut workers = self.workers.iter().enumerate();
        let Some((index, id)) = workers.find_map(|(n, w)| Some((n, live_job(w)?))) else {
            return;
        };
        let until = self.now + self.rng.random_range(2.0..20.0);
        match self.rng.random_range(0..3) {
            0 => self.workers[index].hung_until = until,
            1 => self.workers[index].partitioned_until = until,
            _ => self.workers[index].heartbeats_lost_until = until,
        }
        let crash = self.rng.random_bool(0.5);
        let cancel_first = self.rng.random_bool(0.3);
        if cancel_first {
            self.cancel_job(&id);
        }
        self.take_over(crash);
        if !cancel_first {
            self.cancel_job(&id);
        }
    }

    /// Partitions a zone together with the current leader; another leader takes over outside.
    pub(crate) fn partition_leader_zone(&mut self) {
        let leader = self.leaders.last().map(Leader::base_term);
        let since = self.now;
        let until = since + self.rng.random_range(1.2..2.5) * LEASE_S;
        let zone = self.rng.random_range(0..2);
        for (n, worker) in self.workers.iter_mut().enumerate() {
            let inside = n % 2 == zone;
            worker.zone_partition = leader.filter(|_| inside).map(|leader| ZonePartition {
                leader,
                since,
                until,
            });
        }
        self.take_over(false);
    }

    /// Pauses all leaders for longer than a lease.
    pub(crate) fn pause_all_leaders(&mut self) {
        self.leaders_paused_until = self.now + self.rng.random_range(1.2..2.5) * LEASE_S;
        for leader in &self.leaders {
            self.paused_until
                .insert(leader.base_term(), self.leaders_paused_until);
        }
    }

    /// Ends the common pause of all leaders. None of the paused processes resumes; a new leader
    /// takes over instead.
    pub(crate) fn replace_paused_leaders(&mut self) {
        self.leaders_paused_until = f64::MAX;
        let expired = |w: &&Worker| w.tasks.is_empty() && self.now - w.session_since < LEASE_S;
        let expired = self.workers.iter().filter(expired).count();
        self.coincidences
            .add(Coincidence::NoLeaderForALease, expired);
        self.leaders.clear();
        self.take_over(true);
    }

    /// Counts the coincidences of a takeover with the state of machines and jobs.
    pub(crate) fn count_takeover_coincidences(&mut self) {
        let now = self.now;
        let is_new = |w: &&Worker| now - w.up_since < NEW_MACHINE_S && now > NEW_MACHINE_S;
        let is_recorded = |w: &Worker| self.machine_record.iter().any(|m| m.id == w.id);
        let workers = self.workers.iter();
        let unrecorded = workers.filter(is_new).filter(|w| !is_recorded(w)).count();
        let is_cut_off = |w: &&Worker| w.is_unresponsive(now) || w.unreachable_until > now;
        let runs_long = |t: &&Task| t.phase == Phase::Running && t.ends_at - now > LONG_REMAINING_S;
        let tasks = self
            .workers
            .iter()
            .filter(is_cut_off)
            .flat_map(|w| w.tasks.values());
        let cut_off_tasks = tasks.filter(runs_long).count();
        let is_partly_completed = |(id, stored): &(&String, &StoredJob)| {
            let has_task = |w: &Worker| w.tasks.keys().any(|(t, _)| job_of(t) == id.as_str());
            let few = (2..=3).contains(&stored.record.spec.tasks);
            few && !stored.completed.is_empty() && self.workers.iter().any(has_task)
        };
        let partly_completed = self.live_jobs.iter().filter(is_partly_completed).count();
        self.coincidences
            .add(Coincidence::LeaderEndsBeforeMachineRecord, unrecorded);
        self.coincidences
            .add(Coincidence::UnresponsiveTasksAtTakeover, cut_off_tasks);
        self.coincidences
            .add(Coincidence::PartlyCompletedJobAtTakeover, partly_completed);
    }

    /// Adds a machine, which may get tasks within a second. The write of the machine record
    /// that lists it may be delayed, and the leader may crash soon after.
    pub(crate) fn add_machine(&mut self) {
        let worker = Worker::new(self.workers.len(), self.now);
        self.workers.push(worker);
        if self.rng.random_bool(0.6) {
            self.machine_record_delayed_until = self.now + self.rng.random_range(0.5..5.0);
        }
        if self.rng.random_bool(0.6) {
            self.leader_crashes_at = self.now + self.rng.random_range(0.3..3.0);
        }
    }
}
