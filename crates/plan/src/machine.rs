//! A stand-in machine: runs what it is told to, as the protocol describes it,
//! and reports whenever something changed.

use foxspur::protocol::job::{JobSpec, Shape};
use foxspur::protocol::worker::{Cause, Command, Phase, Report, Shown};
use foxspur::storage::records::MachineInfo;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use crate::draw::Draws;

/// A task on it.
#[derive(Debug, Clone)]
pub struct Task {
    pub phase: Phase,
    pub cause: Option<Cause>,
    /// When it came into this phase, and when that ends by itself.
    pub since: f64,
    pub until: f64,
    /// How much of it was done before it came here.
    pub before_s: f64,
}

/// What a machine needs to know of a job.
pub struct JobFacts {
    pub spec: Rc<JobSpec>,
    pub predicted_s: f64,
}

/// What all machines of a run share.
pub struct Book {
    pub jobs: HashMap<String, JobFacts>,
    /// How much of a stopped task was kept, by job and number.
    pub kept: HashMap<(String, u32), f64>,
    pub draws: Draws,
    /// CPU seconds lost by stopping.
    pub lost: HashMap<String, f64>,
    /// Starts, in the order in which they came: machine, job, number.
    pub starts: Vec<(f64, String, String, u32)>,
    /// Attempts of each task that are on machines, CPUs of each team, its limit.
    pub on: HashMap<(String, u32), u32>,
    pub used: HashMap<String, f64>,
    pub limits: HashMap<String, f64>,
    /// Starts that the rules forbid: none, or the plan is worth nothing.
    pub broken: Vec<String>,
}

impl Book {
    /// An attempt comes onto a machine.
    fn comes(&mut self, key: &(String, u32, u64), machine: &MachineInfo) {
        let spec = self.jobs[&key.0].spec.clone();
        let on = self.on.entry((key.0.clone(), key.1)).or_default();
        *on += 1;
        if *on > 1 {
            self.broken
                .push(format!("{}/{} is on {on} machines", key.0, key.1));
        }
        let used = self.used.entry(spec.team.clone()).or_default();
        *used += spec.cpus;
        let limit = self.limits.get(&spec.team).copied().unwrap_or(0.0);
        if limit > 0.0 && *used > limit + 1e-6 {
            self.broken
                .push(format!("{} uses {used} of {limit} CPUs", spec.team));
        }
        let kind = spec
            .types
            .as_ref()
            .is_none_or(|t| t.contains(&machine.kind));
        let zone = spec.zone.as_ref().is_none_or(|z| *z == machine.zone);
        if !kind || !zone || machine.spot && !spec.spot {
            self.broken
                .push(format!("{} may not start on {}", key.0, machine.id));
        }
    }

    /// It is gone from there.
    fn goes(&mut self, key: &(String, u32, u64)) {
        let spec = self.jobs[&key.0].spec.clone();
        if let Some(on) = self.on.get_mut(&(key.0.clone(), key.1)) {
            *on = on.saturating_sub(1);
        }
        *self.used.entry(spec.team.clone()).or_default() -= spec.cpus;
    }
}

/// The machine.
pub struct Machine {
    pub info: MachineInfo,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub fetch_gb_per_s: f64,
    pub images: HashSet<String>,
    pub tasks: BTreeMap<(String, u32, u64), Task>,
    pub dead: bool,
    /// What ran here, for the timeline: from, to, job, whether it ended done.
    pub past: Vec<(f64, f64, String, bool)>,
}

fn parse(task: &str) -> Option<(String, u32)> {
    let (job, index) = task.rsplit_once('/')?;
    Some((job.into(), index.parse().ok()?))
}

impl Machine {
    /// Its report now.
    pub fn report(&mut self) -> Report {
        self.seq += 1;
        let shown = self.tasks.iter().map(|((job, index, attempt), t)| Shown {
            task: format!("{job}/{index}"),
            attempt: *attempt,
            phase: t.phase,
            cause: t.cause,
            saved: None,
        });
        Report {
            machine: self.info.id.clone(),
            addr: self.info.addr.clone(),
            kind: self.info.kind.clone(),
            zone: self.info.zone.clone(),
            spot: self.info.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: shown.collect(),
        }
    }

    /// Whether it shows tasks that have ended.
    pub fn ended(&self) -> bool {
        self.tasks.values().any(|t| t.phase == Phase::Exited)
    }

    /// When something next happens by itself.
    pub fn next(&self) -> f64 {
        let open = self.tasks.values().filter(|t| t.phase != Phase::Exited);
        open.map(|t| t.until).fold(f64::INFINITY, f64::min)
    }

    /// The time from which on the task runs, until it ends by itself.
    fn run(&self, key: &(String, u32, u64), from: f64, before_s: f64, book: &Book) -> Task {
        let facts = &book.jobs[&key.0];
        let spec = &facts.spec;
        let until = if spec.shape == Shape::Service {
            f64::INFINITY
        } else {
            let all = book
                .draws
                .run_s(&spec.class, &key.0, key.1, facts.predicted_s, before_s);
            from + all - before_s
        };
        Task {
            phase: Phase::Running,
            cause: None,
            since: from,
            until,
            before_s,
        }
    }

    /// A task that the snapshot shows here.
    pub fn show(&mut self, key: (String, u32, u64), ran_s: Option<f64>, book: &mut Book) {
        book.comes(&key, &self.info);
        let image = book.jobs[&key.0].spec.image.clone();
        let task = match ran_s {
            Some(ran_s) => {
                let running = self.run(&key, 0.0, ran_s, book);
                self.images.insert(image);
                running
            }
            None => self.fetch(&key, 0.0, book),
        };
        self.tasks.insert(key, task);
    }

    fn fetch(&self, key: &(String, u32, u64), now: f64, book: &Book) -> Task {
        let spec = &book.jobs[&key.0].spec;
        let fetch_s = if self.images.contains(&spec.image) {
            0.0
        } else {
            spec.image_gb / self.fetch_gb_per_s.max(1e-3)
        };
        let kept = book.kept.get(&(key.0.clone(), key.1));
        Task {
            phase: Phase::Fetching,
            cause: None,
            since: now,
            until: now + fetch_s,
            before_s: kept.copied().unwrap_or(0.0),
        }
    }

    /// Carries out commands.
    pub fn execute(&mut self, commands: &[Command], now: f64, book: &mut Book) {
        for command in commands {
            let (Command::Start { task, attempt }
            | Command::Stop { task, attempt, .. }
            | Command::Forget { task, attempt }) = command;
            let Some((job, index)) = parse(task) else {
                continue;
            };
            let key = (job, index, *attempt);
            match command {
                Command::Start { .. } => {
                    if !self.tasks.contains_key(&key) && book.jobs.contains_key(&key.0) {
                        let start = (now, self.info.id.clone(), key.0.clone(), key.1);
                        book.starts.push(start);
                        book.comes(&key, &self.info);
                        let task = self.fetch(&key, now, book);
                        self.tasks.insert(key, task);
                    }
                }
                Command::Stop { grace_s, .. } => self.stop(&key, *grace_s, now, book),
                Command::Forget { .. } => {
                    if self
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.phase == Phase::Exited)
                    {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn stop(&mut self, key: &(String, u32, u64), grace_s: f64, now: f64, book: &mut Book) {
        let Some(task) = self.tasks.get_mut(key) else {
            return;
        };
        let spec = book.jobs[&key.0].spec.clone();
        let running = task.phase == Phase::Running;
        let ran_s = task.before_s + now - task.since;
        if running {
            self.past.push((task.since, now, key.0.clone(), false));
        }
        let saves = running && spec.checkpoint_s > 0.0 && grace_s >= spec.save_s;
        if saves {
            book.kept.insert((key.0.clone(), key.1), ran_s);
            *book.lost.entry(key.0.clone()).or_default() += spec.save_s * spec.cpus;
            task.phase = Phase::Saving;
            task.since = now;
            task.until = now + spec.save_s;
            return;
        }
        if running {
            let kept = if spec.checkpoint_s > 0.0 {
                ran_s - ran_s % spec.checkpoint_s
            } else {
                0.0
            };
            book.kept.insert((key.0.clone(), key.1), kept);
            *book.lost.entry(key.0.clone()).or_default() += (ran_s - kept) * spec.cpus;
        }
        if task.phase != Phase::Exited {
            task.phase = Phase::Exited;
            task.cause = Some(Cause::Stopped);
            book.goes(key);
        }
    }

    /// It fails for good; what was on it is gone.
    pub fn die(&mut self, book: &mut Book) {
        self.dead = true;
        let open = self.tasks.iter().filter(|(_, t)| t.phase != Phase::Exited);
        open.for_each(|(key, _)| book.goes(key));
        self.tasks.clear();
    }

    /// What ends by itself until now; whether anything did.
    pub fn pass(&mut self, now: f64, book: &mut Book) -> bool {
        let due: Vec<(String, u32, u64)> = self
            .tasks
            .iter()
            .filter(|(_, t)| t.phase != Phase::Exited && t.until <= now)
            .map(|(k, _)| k.clone())
            .collect();
        for key in &due {
            let task = self.tasks[key].clone();
            let next = match task.phase {
                Phase::Running => {
                    self.past
                        .push((task.since, task.until, key.0.clone(), true));
                    Task {
                        phase: Phase::Exited,
                        cause: Some(Cause::Done),
                        ..task
                    }
                }
                Phase::Saving => Task {
                    phase: Phase::Exited,
                    cause: Some(Cause::Stopped),
                    ..task
                },
                _ => {
                    self.images.insert(book.jobs[&key.0].spec.image.clone());
                    self.run(key, task.until, task.before_s, book)
                }
            };
            if next.phase == Phase::Exited {
                book.goes(key);
            }
            self.tasks.insert(key.clone(), next);
        }
        !due.is_empty()
    }
}
