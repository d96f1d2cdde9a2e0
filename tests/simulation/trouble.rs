//! Cancellations, machines that come, owners that go away, and what they meet.

use super::*;

impl Simulation {
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

    /// Whether the owner changed and does not know of all machines yet, or stands still.
    pub(crate) fn owner_changes(&self) -> bool {
        let owner = self.owners.last();
        let fresh = owner.is_some_and(|(c, _)| c.unfenced_count() != Some(0));
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
        let changes = self.owner_changes();
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
        self.over.insert(id.to_string(), (now, true));
        if let Some((scheduler, _)) = self.owners.last_mut() {
            scheduler.finish_job(id);
        }
    }

    /// Every team is at its limit: a machine with tasks is lost, the owner changes, and
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
            1 => self.workers[w].cut_until = until,
            _ => self.workers[w].mute_until = until,
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

    /// A zone is cut off with the owner in it; another one takes over outside.
    pub(crate) fn cut_zone(&mut self) {
        let owner = self.owners.last().map(|(c, _)| c.fence.base_term);
        let since = self.now;
        let until = since + self.rng.random_range(1.2..2.5) * LEASE_S;
        let half = self.rng.random_range(0..2);
        for (n, worker) in self.workers.iter_mut().enumerate() {
            let inside = n % 2 == half;
            worker.zone_cut = owner.filter(|_| inside).map(|owner| CutZone {
                owner,
                since,
                until,
            });
        }
        self.take_over(false);
    }

    /// All owners stand still for longer than a lease.
    pub(crate) fn all_go_away(&mut self) {
        self.away_until = self.now + self.rng.random_range(1.2..2.5) * LEASE_S;
        for (scheduler, _) in &self.owners {
            self.paused
                .insert(scheduler.fence.base_term, self.away_until);
        }
    }

    /// One owner is there again; the others ended meanwhile.
    pub(crate) fn one_returns(&mut self) {
        let silent_s = LEASE_S;
        self.away_until = f64::MAX;
        let expired = |w: &&Worker| w.tasks.is_empty() && self.now - w.session_since < silent_s;
        let expired = self.workers.iter().filter(expired).count();
        self.met.add(Meeting::NobodyForALease, expired);
        self.owners.clear();
        self.take_over(true);
    }

    /// Counts what a change of owner meets.
    pub(crate) fn note_takeover(&mut self) {
        let now = self.now;
        let new = |w: &&Worker| now - w.up_since < NEW_S && now > NEW_S;
        let recorded = |w: &Worker| self.record.iter().any(|m| m.id == w.id);
        let workers = self.workers.iter();
        let unrecorded = workers.filter(new).filter(|w| !recorded(w)).count();
        let lost = |w: &&Worker| w.is_lost(now) || w.deaf_until > now;
        let long = |t: &&Task| t.phase == Phase::Running && t.until - now > LONG_S;
        let tasks = self
            .workers
            .iter()
            .filter(lost)
            .flat_map(|w| w.tasks.values());
        let lost_tasks = tasks.filter(long).count();
        let far_apart = |(id, (record, marks, _)): &(&String, &(LiveJob, CompletedTasks, u64))| {
            let runs = |w: &Worker| w.tasks.keys().any(|(t, _)| job_of(t) == id.as_str());
            let few = (2..=3).contains(&record.spec.tasks);
            few && !marks.is_empty() && self.workers.iter().any(runs)
        };
        let far_apart = self.live.iter().filter(far_apart).count();
        self.met.add(Meeting::OwnerEndsBeforeRecord, unrecorded);
        self.met.add(Meeting::OwnerEndsWithLostTasks, lost_tasks);
        self.met.add(Meeting::EndsFarApart, far_apart);
    }

    /// A machine comes up and may get work within a second, while its record is late and
    /// the owner ends.
    pub(crate) fn new_machine(&mut self) {
        let worker = Worker::new(self.workers.len(), self.now);
        self.workers.push(worker);
        if self.rng.random_bool(0.6) {
            self.record_lags_until = self.now + self.rng.random_range(0.5..5.0);
        }
        if self.rng.random_bool(0.6) {
            self.ends_soon = self.now + self.rng.random_range(0.3..3.0);
        }
    }
}
