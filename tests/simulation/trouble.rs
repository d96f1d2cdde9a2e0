//! Submissions, cancellations, machines that come, leaders that go away, and what they meet.

use super::*;

impl Simulation {
    /// Draws what goes wrong in this step, and what users and operators do. Nothing begins
    /// to go wrong in the `calm` second half.
    pub(crate) fn draw_troubles(&mut self, setup: &Setup, calm: bool) {
        if !calm {
            self.draw_jobs(setup);
            self.draw_leader_and_zone_troubles(setup);
        }
        if self.away_until <= self.now {
            self.one_returns();
        }
        if self.leader_ends_at <= self.now {
            self.leader_ends_at = f64::MAX;
            self.take_over(true);
        }
        if calm {
            self.undrain_all();
        } else {
            self.draw_pause();
            self.draw_machine_trouble(setup);
            self.draw_drain(setup);
        }
    }

    /// Jobs are submitted and cancelled.
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

    /// Each leader hears of a new job in its own time, a former one perhaps first.
    fn submit_job(&mut self, workers: usize) {
        let now = self.now;
        let id = format!("run-{}", self.specs.len() + 1);
        let cpus = self.cpus(&format!("{id}/0"));
        let most = (2 * workers).min(8 + workers / 4) as u32;
        let tasks = self.rng.random_range(1..most);
        let team = TEAMS[team_of(&id)];
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
        self.live.insert(id, stored);
        for leader in &self.leaders {
            self.unheard.push(JobNews {
                at: now + self.rng.random_range(0.0..3.0),
                leader: leader.base_term(),
                record: record.clone(),
                version,
            });
        }
    }

    fn draw_leader_and_zone_troubles(&mut self, setup: &Setup) {
        if self.rng.random_bool(0.003) {
            let crash = self.rng.random_bool(0.5);
            self.take_over(crash);
        }
        if self.rng.random_bool(0.05) {
            self.cancel_at_limits();
        }
        if self.workers.len() < 2 * setup.workers && self.rng.random_bool(0.003) {
            self.new_machine();
        }
        if self.away_until == f64::MAX && self.rng.random_bool(0.0008) {
            self.all_go_away();
        }
        if self.rng.random_bool(0.0008) {
            self.partition_zone();
        }
    }

    /// Any leader stands still, often just when another takes over.
    fn draw_pause(&mut self) {
        if !self.rng.random_bool(0.004) {
            return;
        }
        let place = self.rng.random_range(0..self.leaders.len());
        let leader = self.leaders[place].base_term();
        let until = self.now + self.rng.random_range(0.5..3.0 * LEASE_S);
        self.paused.insert(leader, until);
        if self.rng.random_bool(0.3) {
            self.take_over(false);
        }
    }

    /// A machine hangs, is cut off in one direction or both, or is back at once.
    fn draw_machine_trouble(&mut self, setup: &Setup) {
        let now = self.now;
        let chance = (0.001 * setup.workers as f64).clamp(0.005, 0.1);
        if !self.rng.random_bool(chance) {
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
            _ if setup.counters == Counters::Lost => self.restart(index),
            _ => {}
        }
    }

    fn draw_drain(&mut self, setup: &Setup) {
        let chance = (0.002 * setup.workers as f64).clamp(0.01, 0.1);
        if self.rng.random_bool(chance) {
            self.drain_or_undrain(setup.workers);
        }
    }

    fn undrain_all(&mut self) {
        if !self.drains.is_empty() {
            self.drains.clear();
            self.drains_heard_at = self.now;
        }
    }

    pub(crate) fn cpus(&self, task: &str) -> f64 {
        if job_of(task).ends_with(['0', '2', '4', '6', '8']) {
            1.0
        } else {
            2.0
        }
    }

    /// CPUs of the team's tasks on machines.
    pub(crate) fn used(&self, team: usize) -> f64 {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let on = tasks.filter(|((t, _), s)| s.phase != Phase::Exited && team_of(job_of(t)) == team);
        on.map(|((t, _), _)| self.cpus(t)).sum()
    }

    /// Whether no team may start another task of two CPUs.
    pub(crate) fn all_at_limits(&self) -> bool {
        (0..TEAMS.len()).all(|team| self.used(team) + 2.0 > self.limits[team] + 1e-6)
    }

    /// Whether the leader changed and does not know of all machines yet, or stands still.
    pub(crate) fn leader_changes(&self) -> bool {
        let leader = self.leaders.last();
        let fresh = leader.is_some_and(|l| l.scheduler.machines_blocking_placement() != Some(0));
        fresh || !self.paused.is_empty()
    }

    /// Whether tasks of the job are on machines, and all of them have ended.
    pub(crate) fn has_ended(&self, id: &str) -> bool {
        let tasks = self.workers.iter().flat_map(|w| &w.tasks);
        let own = tasks.filter(|((t, _), _)| job_of(t) == id);
        let mut own = own.peekable();
        own.peek().is_some() && own.all(|(_, t)| t.phase == Phase::Exited)
    }

    /// A user cancels a job: any, or one whose tasks have all just ended.
    pub(crate) fn cancel(&mut self, at_end: bool) {
        let mut jobs = self.live.keys().filter(|id| !at_end || self.has_ended(id));
        if let Some(id) = jobs.next().cloned() {
            self.cancel_job(&id);
        }
    }

    pub(crate) fn cancel_job(&mut self, id: &str) {
        let now = self.now;
        let changes = self.leader_changes();
        let on_lost = |w: &&Worker| {
            let mut tasks = w.tasks.iter();
            w.is_lost(now) && tasks.any(|((t, _), s)| job_of(t) == id && s.phase != Phase::Exited)
        };
        let lost = self.workers.iter().filter(on_lost).count();
        let limits = lost > 0 && changes && self.all_at_limits();
        let ended = self.has_ended(id);
        self.met.add(Meeting::CancelAtEnd, usize::from(ended));
        self.met
            .add(Meeting::CancelAtTakeover, usize::from(changes));
        self.met.add(Meeting::CancelOnLostMachine, lost);
        self.met.add(Meeting::CancelAtLimits, usize::from(limits));
        self.live.remove(id);
        let end = JobEnd {
            at: now,
            cancelled: true,
        };
        self.over.insert(id.to_string(), end);
        if let Some(leader) = self.leaders.last_mut() {
            leader.scheduler.finish_job(id);
        }
    }

    /// Every team is at its limit: a machine with tasks is lost, the leader changes, and
    /// one of the jobs on the machine is cancelled, in any order.
    pub(crate) fn cancel_at_limits(&mut self) {
        if !self.all_at_limits() {
            return;
        }
        let live = |(t, _): &&(String, u64)| self.live.contains_key(job_of(t));
        let job = |w: &Worker| {
            w.tasks
                .keys()
                .find(live)
                .map(|(t, _)| job_of(t).to_string())
        };
        let mut found = self.workers.iter().enumerate();
        let Some((w, id)) = found.find_map(|(n, w)| Some((n, job(w)?))) else {
            return;
        };
        let until = self.now + self.rng.random_range(2.0..20.0);
        match self.rng.random_range(0..3) {
            0 => self.workers[w].hung_until = until,
            1 => self.workers[w].partitioned_until = until,
            _ => self.workers[w].heartbeats_lost_until = until,
        }
        let crash = self.rng.random_bool(0.5);
        let before = self.rng.random_bool(0.3);
        if before {
            self.cancel_job(&id);
        }
        self.take_over(crash);
        if !before {
            self.cancel_job(&id);
        }
    }

    /// A zone is partitioned with the leader in it; another one takes over outside.
    pub(crate) fn partition_zone(&mut self) {
        let leader = self.leaders.last().map(Leader::base_term);
        let since = self.now;
        let until = since + self.rng.random_range(1.2..2.5) * LEASE_S;
        let half = self.rng.random_range(0..2);
        for (n, worker) in self.workers.iter_mut().enumerate() {
            let inside = n % 2 == half;
            worker.zone_partition = leader.filter(|_| inside).map(|leader| ZonePartition {
                leader,
                since,
                until,
            });
        }
        self.take_over(false);
    }

    /// All leaders stand still for longer than a lease.
    pub(crate) fn all_go_away(&mut self) {
        self.away_until = self.now + self.rng.random_range(1.2..2.5) * LEASE_S;
        for leader in &self.leaders {
            self.paused.insert(leader.base_term(), self.away_until);
        }
    }

    /// One leader is there again; the others ended meanwhile.
    pub(crate) fn one_returns(&mut self) {
        let silent_s = LEASE_S;
        self.away_until = f64::MAX;
        let expired = |w: &&Worker| w.tasks.is_empty() && self.now - w.session_since < silent_s;
        let expired = self.workers.iter().filter(expired).count();
        self.met.add(Meeting::NobodyForALease, expired);
        self.leaders.clear();
        self.take_over(true);
    }

    /// Counts what a change of leader meets.
    pub(crate) fn note_takeover(&mut self) {
        let now = self.now;
        let new = |w: &&Worker| now - w.up_since < NEW_S && now > NEW_S;
        let recorded = |w: &Worker| self.record.iter().any(|m| m.id == w.id);
        let workers = self.workers.iter();
        let unrecorded = workers.filter(new).filter(|w| !recorded(w)).count();
        let lost = |w: &&Worker| w.is_lost(now) || w.unreachable_until > now;
        let long = |t: &&Task| t.phase == Phase::Running && t.until - now > LONG_S;
        let tasks = self
            .workers
            .iter()
            .filter(lost)
            .flat_map(|w| w.tasks.values());
        let lost_tasks = tasks.filter(long).count();
        let far_apart = |(id, stored): &(&String, &StoredJob)| {
            let runs = |w: &Worker| w.tasks.keys().any(|(t, _)| job_of(t) == id.as_str());
            let few = (2..=3).contains(&stored.record.spec.tasks);
            few && !stored.completed.is_empty() && self.workers.iter().any(runs)
        };
        let far_apart = self.live.iter().filter(far_apart).count();
        self.met.add(Meeting::LeaderEndsBeforeRecord, unrecorded);
        self.met.add(Meeting::LeaderEndsWithLostTasks, lost_tasks);
        self.met.add(Meeting::EndsFarApart, far_apart);
    }

    /// A machine comes up and may get work within a second, while its record is late and
    /// the leader ends.
    pub(crate) fn new_machine(&mut self) {
        let worker = Worker::new(self.workers.len(), self.now);
        self.workers.push(worker);
        if self.rng.random_bool(0.6) {
            self.record_lags_until = self.now + self.rng.random_range(0.5..5.0);
        }
        if self.rng.random_bool(0.6) {
            self.leader_ends_at = self.now + self.rng.random_range(0.3..3.0);
        }
    }
}
