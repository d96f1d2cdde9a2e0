//! Workers as the protocol describes them, and the rules checked at each start.

use super::*;

#[derive(Clone)]
pub(crate) struct Task {
    pub(crate) attempt: u64,
    pub(crate) phase: Phase,
    pub(crate) cause: Option<Cause>,
    pub(crate) until: f64,
}

/// A zone that is cut off with a controller in it: its workers reach that one alone.
#[derive(Clone, Copy)]
pub(crate) struct CutZone {
    pub(crate) owner: u64,
    pub(crate) since: f64,
    pub(crate) until: f64,
}

/// A worker by the protocol.
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) zone: &'static str,
    pub(crate) session: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    pub(crate) tasks: BTreeMap<(String, u64), Task>,
    pub(crate) renewed: f64,
    /// Send time of the report under way, and when its answer is given up.
    pub(crate) asked: Option<(f64, f64)>,
    pub(crate) next: f64,
    pub(crate) hung_until: f64,
    pub(crate) cut_until: f64,
    /// Its reports arrive, answers and commands do not.
    pub(crate) deaf_until: f64,
    /// It reaches no owner, while direct commands reach it.
    pub(crate) mute_until: f64,
    pub(crate) zone_cut: Option<CutZone>,
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
            renewed: now,
            asked: None,
            next: now,
            hung_until: 0.0,
            cut_until: 0.0,
            deaf_until: 0.0,
            mute_until: 0.0,
            zone_cut: None,
            up_since: now,
            session_since: now,
        }
    }

    /// The only owner that it reaches, if its zone is cut off now.
    pub(crate) fn reaches_only(&self, now: f64) -> Option<u64> {
        let cut = self.zone_cut.filter(|cut| cut.until > now)?;
        Some(cut.owner)
    }

    /// It does not do what it is told, or nobody can know.
    pub(crate) fn is_lost(&self, now: f64) -> bool {
        self.hung_until > now || self.mute_until > now || self.cut_until > now
    }
}

impl Simulation {
    pub(crate) fn report(&mut self, w: usize) -> Report {
        let worker = &mut self.workers[w];
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
    fn check_place(&mut self, w: usize, job: &str) {
        let Some(spec) = self.specs.get(job) else {
            return;
        };
        let zone = self.workers[w].zone;
        let on = |worker: &Worker| {
            let tasks = worker.tasks.iter();
            let own = tasks.filter(|((t, _), s)| job_of(t) == job && s.phase != Phase::Exited);
            own.count()
        };
        let in_zone = |z: &str| -> usize {
            let inside = self.workers.iter().filter(|w| w.zone == z);
            inside.map(on).sum()
        };
        let here = in_zone(zone) + 1;
        let elsewhere: usize = self.workers.iter().map(on).sum::<usize>() + 1 - here;
        let wanted = spec.zone.as_deref();
        let most = spec.tasks.div_ceil(2) as usize;
        let right = wanted.is_none_or(|z| z == zone)
            && !(spec.one_zone && elsewhere > 0)
            && !(spec.spread && here > most);
        assert!(
            right,
            "wrong_place: {job} in {zone}, {here} there, {elsewhere} elsewhere"
        );
        let bound = wanted.is_some() || spec.one_zone || spec.spread;
        self.met.add(Meeting::BoundStart, usize::from(bound));
    }

    /// A machine's session is over, and what ran there is lost.
    pub(crate) fn session_over(&mut self, w: usize) {
        let now = self.now;
        let worker = &mut self.workers[w];
        let runs = worker
            .tasks
            .iter()
            .filter(|(_, s)| s.phase != Phase::Exited);
        let specs = runs.filter_map(|((t, _), _)| self.specs.get(job_of(t)));
        let bound = specs.filter(|s| s.zone.is_some() || s.one_zone || s.spread);
        let bound = bound.count();
        self.met.add(Meeting::BoundJobLosesMachine, bound);
        worker.tasks.clear();
        worker.session += 1;
        worker.session_since = now;
        worker.renewed = now;
        worker.asked = None;
    }

    pub(crate) fn execute(&mut self, w: usize, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    if self.workers[w].tasks.contains_key(&key) {
                        continue;
                    }
                    let wish = self.drains.get(&self.workers[w].id);
                    let aside = wish.and_then(|d| d.0.drained.as_ref());
                    assert!(aside.is_none(), "{task} starts on a drained machine");
                    // The rules, at each start.
                    for other in &self.workers {
                        for ((t, a), state) in &other.tasks {
                            let on = state.phase != Phase::Exited;
                            assert!(
                                !(on && t == task),
                                "ran_twice: {task} attempt {attempt} on {}, {a} on {} at {:.1}",
                                self.workers[w].id,
                                other.id,
                                self.now
                            );
                        }
                    }
                    let job = job_of(task);
                    if let Some((at, cancelled)) = self.over.get(job) {
                        let late = *cancelled && self.now - at > CANCEL_S;
                        assert!(!late, "ran_cancelled: {task} at {:.1}", self.now);
                    }
                    let team = team_of(job);
                    let (used, more) = (self.used(team), self.cpus(task));
                    assert!(
                        used + more <= self.limits[team] + 1e-6,
                        "quota: {used} + {more} of {}",
                        TEAMS[team]
                    );
                    self.check_place(w, job);
                    let id = &self.workers[w].id;
                    assert!(
                        self.record.iter().any(|m| m.id == *id),
                        "{task} starts on {id}, which no record names"
                    );
                    let until = self.now + self.rng.random_range(1.0..15.0);
                    self.started += 1;
                    let mute = self.workers[w].mute_until > self.now;
                    let new = self.now - self.workers[w].up_since < NEW_S && self.now > NEW_S;
                    self.met.add(Meeting::MuteStart, usize::from(mute));
                    self.met.add(Meeting::StartOnNewMachine, usize::from(new));
                    self.workers[w].tasks.insert(
                        key,
                        Task {
                            attempt: *attempt,
                            phase: Phase::Running,
                            cause: None,
                            until,
                        },
                    );
                }
                Command::Stop { task, attempt, .. } => {
                    let key = (task.clone(), *attempt);
                    if let Some(t) = self.workers[w].tasks.get_mut(&key) {
                        if t.phase != Phase::Exited {
                            t.phase = Phase::Exited;
                            t.cause = Some(Cause::Stopped);
                        }
                    }
                }
                Command::Forget { task, attempt } => {
                    let key = (task.clone(), *attempt);
                    let worker = &mut self.workers[w];
                    let exited = worker
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.phase == Phase::Exited);
                    if exited {
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    pub(crate) fn workers_step(&mut self) {
        for w in 0..self.workers.len() {
            let now = self.now;
            // What a hanging machine had is over with its lease: it goes on
            // within it or not at all.
            if now - self.workers[w].renewed > LEASE_S {
                self.session_over(w);
            }
            if self.workers[w].hung_until > now {
                continue;
            }
            let bad = self.rng.random_bool(0.1);
            for t in self.workers[w].tasks.values_mut() {
                if t.phase == Phase::Running && t.until <= now {
                    t.phase = Phase::Exited;
                    t.cause = Some(if bad { Cause::Error } else { Cause::Done });
                }
            }
            if self.workers[w]
                .asked
                .is_some_and(|(_, give_up)| now > give_up)
            {
                self.workers[w].asked = None;
            }
            if self.workers[w].mute_until > now {
                // No connection: the next owner is tried a second later.
                self.workers[w].next = self.workers[w].next.max(now + 1.0);
                continue;
            }
            if self.workers[w].asked.is_none() && now >= self.workers[w].next {
                self.workers[w].next = now + self.rng.random_range(0.75..1.25);
                self.workers[w].asked = Some((now, now + 4.0));
                let report = self.report(w);
                self.sent_reports.push_back((w, now, report.clone()));
                // Mostly to the real owner, sometimes to one that lingers.
                let n = self.owners.len();
                let o = if self.rng.random_bool(0.8) {
                    n - 1
                } else {
                    self.rng.random_range(0..n)
                };
                let owner = self.owners[o].0.fence.base_term;
                let owner = self.workers[w].reaches_only(now).unwrap_or(owner);
                if self.rng.random_bool(0.03) {
                    // A copy follows, from seconds to several leases later, to
                    // whoever listens then. Nobody reads the answer.
                    let late = now + self.rng.random_range(1.0..4.0 * LEASE_S);
                    let copy = Message::Hello(w, LATEST, report.clone(), COPY);
                    self.wire.push((late, copy));
                }
                self.send(Message::Hello(w, owner, report, now));
            }
        }
    }

    /// The machine is back at once, with nothing on it and counters that begin anew.
    /// Its old connections are gone with what was on its way in them. The protocol has it
    /// keep the highest term; one that forgets it too obeys former owners again, against
    /// which nobody can do anything while there are any.
    pub(crate) fn restart(&mut self, w: usize) {
        let now = self.now;
        let worker = &mut self.workers[w];
        worker.tasks.clear();
        (worker.session, worker.seq) = (1, 0);
        if self.owners.len() == 1 {
            worker.token = 0;
        }
        (worker.renewed, worker.asked, worker.next) = (now, None, now);
        for (at, message) in &mut self.wire {
            match message {
                Message::Direct(to, base, call, known) if *to == w => {
                    let lost = std::mem::replace(known, true);
                    let result = Message::Called(w, *base, call.clone(), CallResult::Unknown);
                    // Who was told already that it has no answer is not told again.
                    (*at, *message) = if lost {
                        (f64::MAX, result)
                    } else {
                        (now, result)
                    };
                }
                _ => {}
            }
        }
        self.wire.retain(|(at, _)| *at < f64::MAX);
    }
}
