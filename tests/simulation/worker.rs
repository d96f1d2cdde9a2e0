//! Workers as the protocol describes them, and the rules checked at each start.

use super::*;

#[derive(Clone)]
pub(crate) struct Task {
    pub(crate) attempt: u64,
    pub(crate) phase: Phase,
    pub(crate) cause: Option<Cause>,
    pub(crate) until: f64,
}

/// A zone that is partitioned with a controller in it: its workers reach that one alone.
#[derive(Clone, Copy)]
pub(crate) struct ZonePartition {
    /// The base term of the only leader inside.
    pub(crate) leader: u64,
    pub(crate) since: f64,
    pub(crate) until: f64,
}

/// A heartbeat whose answer is awaited.
#[derive(Clone, Copy)]
pub(crate) struct AwaitedAnswer {
    pub(crate) sent_at: f64,
    pub(crate) give_up_at: f64,
}

/// A heartbeat as it was sent.
pub(crate) struct SentHeartbeat {
    pub(crate) worker: usize,
    pub(crate) at: f64,
    pub(crate) report: Report,
}

/// A worker by the protocol.
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) zone: &'static str,
    pub(crate) session: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    pub(crate) tasks: BTreeMap<(String, u64), Task>,
    /// When the heartbeat was sent whose answer renewed its lease last.
    pub(crate) lease_renewed_at: f64,
    pub(crate) awaited: Option<AwaitedAnswer>,
    pub(crate) next_heartbeat_at: f64,
    pub(crate) hung_until: f64,
    pub(crate) partitioned_until: f64,
    /// Its heartbeats arrive, answers and commands do not.
    pub(crate) unreachable_until: f64,
    /// It reaches no leader, while direct calls reach it.
    pub(crate) heartbeats_lost_until: f64,
    pub(crate) zone_partition: Option<ZonePartition>,
    pub(crate) up_since: f64,
    pub(crate) session_since: f64,
}

impl Worker {
    pub(crate) fn new(n: usize, now: f64) -> Worker {
        Worker {
            id: format!("m-{n}"),
            zone: ZONES[n % ZONES.len()],
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            lease_renewed_at: now,
            awaited: None,
            next_heartbeat_at: now,
            hung_until: 0.0,
            partitioned_until: 0.0,
            unreachable_until: 0.0,
            heartbeats_lost_until: 0.0,
            zone_partition: None,
            up_since: now,
            session_since: now,
        }
    }

    /// The only leader that it reaches, if its zone is partitioned now.
    pub(crate) fn reaches_only(&self, now: f64) -> Option<u64> {
        let partition = self.zone_partition.filter(|p| p.until > now)?;
        Some(partition.leader)
    }

    /// It does not do what it is told, or nobody can know.
    pub(crate) fn is_lost(&self, now: f64) -> bool {
        self.hung_until > now || self.heartbeats_lost_until > now || self.partitioned_until > now
    }
}

impl Simulation {
    /// A report of the worker, with the next sequence number.
    pub(crate) fn report(&mut self, index: usize) -> Report {
        let worker = &mut self.workers[index];
        worker.seq += 1;
        let tasks: Vec<_> = worker
            .tasks
            .iter()
            .map(|((task, _), t)| (task.as_str(), t.attempt, t.phase, t.cause))
            .collect();
        let zone = worker.zone.to_string();
        Report {
            zone,
            ..report(&worker.id, worker.session, worker.seq, worker.token, &tasks)
        }
    }

    /// `wrong_place`: the zone that the job allows, given its other tasks at this moment.
    fn check_zone_constraint(&mut self, index: usize, job: &str) {
        let Some(spec) = self.specs.get(job) else {
            return;
        };
        let zone = self.workers[index].zone;
        let tasks_on = |worker: &Worker| {
            let tasks = worker.tasks.iter();
            let own = tasks.filter(|((t, _), s)| job_of(t) == job && s.phase != Phase::Exited);
            own.count()
        };
        let tasks_in = |zone: &str| -> usize {
            let inside = self.workers.iter().filter(|w| w.zone == zone);
            inside.map(tasks_on).sum()
        };
        let here = tasks_in(zone) + 1;
        let elsewhere: usize = self.workers.iter().map(tasks_on).sum::<usize>() + 1 - here;
        let wanted = spec.zone.as_deref();
        let most = spec.tasks.div_ceil(2) as usize;
        let allowed = wanted.is_none_or(|z| z == zone)
            && !(spec.one_zone && elsewhere > 0)
            && !(spec.spread && here > most);
        assert!(
            allowed,
            "wrong_place: {job} in {zone}, {here} there, {elsewhere} elsewhere"
        );
        let bound = has_zone_constraint(spec);
        self.met.add(Meeting::BoundStart, usize::from(bound));
    }

    /// A machine's session is over, and what ran there is lost.
    pub(crate) fn session_over(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let live = worker
            .tasks
            .iter()
            .filter(|(_, s)| s.phase != Phase::Exited);
        let specs = live.filter_map(|((t, _), _)| self.specs.get(job_of(t)));
        let bound = specs.filter(|spec| has_zone_constraint(spec)).count();
        self.met.add(Meeting::BoundJobLosesMachine, bound);
        worker.tasks.clear();
        worker.session += 1;
        worker.session_since = now;
        worker.lease_renewed_at = now;
        worker.awaited = None;
    }

    /// The worker carries out commands.
    pub(crate) fn execute(&mut self, index: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => self.start(index, task, *attempt),
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    if let Some(t) = self.workers[index].tasks.get_mut(&key) {
                        if t.phase != Phase::Exited {
                            t.phase = Phase::Exited;
                            t.cause = Some(Cause::Stopped);
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let tasks = &mut self.workers[index].tasks;
                    let exited = tasks.get(&key).is_some_and(|t| t.phase == Phase::Exited);
                    if exited {
                        tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// The worker starts an attempt that it does not have; the rules are checked.
    fn start(&mut self, index: usize, task: &str, attempt: u64) {
        let key = (task.to_string(), attempt);
        if self.workers[index].tasks.contains_key(&key) {
            return;
        }
        self.check_start(index, task, attempt);
        let until = self.now + self.rng.random_range(1.0..15.0);
        self.started += 1;
        let worker = &self.workers[index];
        let heartbeats_lost = worker.heartbeats_lost_until > self.now;
        let new = self.now - worker.up_since < NEW_S && self.now > NEW_S;
        self.met.add(
            Meeting::StartWithoutHeartbeats,
            usize::from(heartbeats_lost),
        );
        self.met.add(Meeting::StartOnNewMachine, usize::from(new));
        let running = Task {
            attempt,
            phase: Phase::Running,
            cause: None,
            until,
        };
        self.workers[index].tasks.insert(key, running);
    }

    /// The rules, at each start.
    fn check_start(&mut self, index: usize, task: &str, attempt: u64) {
        let id = &self.workers[index].id;
        let drain = self.drains.get(id);
        let drained = drain.and_then(|d| d.0.drained.as_ref());
        assert!(drained.is_none(), "{task} starts on a drained machine");
        for other in &self.workers {
            for ((t, a), state) in &other.tasks {
                let on = state.phase != Phase::Exited;
                assert!(
                    !(on && t == task),
                    "ran_twice: {task} attempt {attempt} on {id}, {a} on {} at {:.1}",
                    other.id,
                    self.now
                );
            }
        }
        let job = job_of(task);
        if let Some(end) = self.over.get(job) {
            let late = end.cancelled && self.now - end.at > CANCEL_S;
            assert!(!late, "ran_cancelled: {task} at {:.1}", self.now);
        }
        let team = team_of(job);
        let (used, more) = (self.used(team), self.cpus(task));
        assert!(
            used + more <= self.limits[team] + 1e-6,
            "quota: {used} + {more} of {}",
            TEAMS[team]
        );
        self.check_zone_constraint(index, job);
        let id = &self.workers[index].id;
        assert!(
            self.record.iter().any(|m| m.id == *id),
            "{task} starts on {id}, which no record names"
        );
    }

    pub(crate) fn workers_step(&mut self) {
        for index in 0..self.workers.len() {
            let now = self.now;
            // What a hanging machine had is over with its lease: it goes on
            // within it or not at all.
            if now - self.workers[index].lease_renewed_at > LEASE_S {
                self.session_over(index);
            }
            if self.workers[index].hung_until > now {
                continue;
            }
            self.end_tasks(index);
            let worker = &mut self.workers[index];
            if worker.awaited.is_some_and(|a| now > a.give_up_at) {
                worker.awaited = None;
            }
            if worker.heartbeats_lost_until > now {
                // No connection: the next leader is tried a second later.
                worker.next_heartbeat_at = worker.next_heartbeat_at.max(now + 1.0);
                continue;
            }
            if worker.awaited.is_none() && now >= worker.next_heartbeat_at {
                self.send_heartbeat(index);
            }
        }
    }

    /// Tasks end whose time is up, some of them with an error.
    fn end_tasks(&mut self, index: usize) {
        let now = self.now;
        let fails = self.rng.random_bool(0.1);
        for task in self.workers[index].tasks.values_mut() {
            if task.phase == Phase::Running && task.until <= now {
                task.phase = Phase::Exited;
                task.cause = Some(if fails { Cause::Error } else { Cause::Done });
            }
        }
    }

    /// The worker sends a heartbeat, mostly to the real leader, sometimes to one that
    /// lingers.
    fn send_heartbeat(&mut self, index: usize) {
        let now = self.now;
        self.workers[index].next_heartbeat_at = now + self.rng.random_range(0.75..1.25);
        self.workers[index].awaited = Some(AwaitedAnswer {
            sent_at: now,
            give_up_at: now + 4.0,
        });
        let report = self.report(index);
        self.sent_heartbeats.push_back(SentHeartbeat {
            worker: index,
            at: now,
            report: report.clone(),
        });
        let leaders = self.leaders.len();
        let place = if self.rng.random_bool(0.8) {
            leaders - 1
        } else {
            self.rng.random_range(0..leaders)
        };
        let chosen = self.leaders[place].base_term();
        let leader = self.workers[index].reaches_only(now).unwrap_or(chosen);
        if self.rng.random_bool(0.03) {
            // A copy follows, from seconds to several leases later.
            let late = now + self.rng.random_range(1.0..4.0 * LEASE_S);
            let copy = Message::copy_of_heartbeat(index, report.clone());
            self.arrive(late, copy);
        }
        self.send(Message::Heartbeat {
            worker: index,
            leader,
            report,
            sent_at: now,
        });
    }

    /// The machine is back at once, with nothing on it and counters that begin anew.
    /// Its old connections are gone with what was on its way in them. The protocol has it
    /// keep the highest term; one that forgets it too obeys former leaders again, against
    /// which nobody can do anything while there are any.
    pub(crate) fn restart(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        worker.tasks.clear();
        worker.session = 1;
        worker.seq = 0;
        if self.leaders.len() == 1 {
            worker.token = 0;
        }
        worker.lease_renewed_at = now;
        worker.awaited = None;
        worker.next_heartbeat_at = now;
        for in_flight in &mut self.in_flight {
            let Message::Call {
                worker,
                leader,
                call,
                given_up,
            } = &in_flight.message
            else {
                continue;
            };
            if *worker != index {
                continue;
            }
            // Who was told already that it has no answer is not told again.
            in_flight.at = if *given_up { f64::MAX } else { now };
            in_flight.message = Message::no_answer(index, *leader, call.clone());
        }
        self.in_flight.retain(|in_flight| in_flight.at < f64::MAX);
    }
}
