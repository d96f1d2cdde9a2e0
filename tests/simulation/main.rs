//! A seeded simulation: owners that come and go without knowing of each other,
//! workers as the protocol describes them, a store, and a network that delays,
//! drops and holds back messages. After every step the rules are checked.

#[path = "../common/mod.rs"]
mod common;
mod leader;
mod network;
mod worker;

use common::*;
use foxspur::coordination::calls::CallResult;
use foxspur::coordination::core::Core;
use foxspur::coordination::fence::Fence;
use foxspur::coordination::machine::{Active, Standing};
use foxspur::coordination::sessions::Answer;
use foxspur::protocol::admin::{Drain, Rest};
use foxspur::protocol::job::Urgency;
use foxspur::protocol::worker::{Cause, Command, Direct, Phase, Reply, Report};
use foxspur::storage::marks::Marks;
use foxspur::storage::records::{LiveJob, MachineInfo, TOKENS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const STEP_S: f64 = 0.1;
/// Send time of copies, and the owner that copies go to: whoever it is then.
const COPY: f64 = -1.0;
const LATEST: u64 = u64::MAX;
/// For how long a former owner without contact goes on; it may stand still for
/// a part of it, and go on where it was.
const LINGER_S: f64 = 25.0;

#[derive(Clone)]
struct Task {
    attempt: u64,
    phase: Phase,
    cause: Option<Cause>,
    until: f64,
}

/// A worker by the protocol.
struct Worker {
    id: String,
    session: u64,
    seq: u64,
    token: u64,
    tasks: BTreeMap<(String, u64), Task>,
    renewed: f64,
    /// Send time of the report under way, and when its answer is given up.
    asked: Option<(f64, f64)>,
    next: f64,
    hung_until: f64,
    cut_until: f64,
    /// Its reports arrive, answers and commands do not.
    deaf_until: f64,
    /// It reaches no owner, while direct commands reach it.
    mute_until: f64,
}

struct World {
    now: f64,
    rng: StdRng,
    workers: Vec<Worker>,
    /// The store: live jobs with marks, final jobs, machine record, term.
    live: BTreeMap<String, (LiveJob, Marks, u64)>,
    over: BTreeMap<String, (f64, bool)>,
    record: Vec<MachineInfo>,
    term: u64,
    version: u64,
    /// Owners: the last is the real one, others may linger.
    owners: Vec<(Core, f64)>,
    /// Messages: when, what.
    wire: Vec<(f64, Message)>,
    started: usize,
    /// The team's limit.
    limit: f64,
    /// Owners that stand still while their clocks run on, until when.
    paused: BTreeMap<u64, f64>,
    /// Jobs that an owner does not know of yet: when it will, its term.
    unheard: Vec<(f64, u64, LiveJob, u64)>,
    /// Machines set aside, as recorded, and when the owner hears of it. (A former
    /// owner never hears: it would learn first that the share is not its own.)
    drains: HashMap<String, (Drain, u64)>,
    hears_at: f64,
    drained: usize,
    met: Met,
}

/// How often troubles really met: a draw that never does shows nothing.
#[derive(Default, Debug)]
struct Met {
    /// Starts on a machine that reaches no owner, and those of them after a takeover
    /// since it fell mute.
    mute_starts: usize,
    /// Cancellations of jobs whose last task had ended and was not written yet.
    ends: usize,
    /// Cancellations while the owner stood still or within a lease of a takeover.
    takeover_cancels: usize,
    /// Cancelled tasks that were on a machine that hung, or was mute.
    hung_cancels: usize,
    /// For each cancelled job that had tasks on machines, how long after the answer the
    /// last of them was gone.
    gone_s: BTreeMap<String, f64>,
}

#[allow(clippy::large_enum_variant)]
enum Message {
    Hello(usize, u64, Report, f64),
    Answer(usize, u64, f64, Reply),
    Direct(usize, u64, Direct, bool),
    Called(usize, u64, Direct, CallResult),
}

impl World {
    fn cpus(&self, task: &str) -> f64 {
        let job = task.split('/').next().unwrap_or_default();
        if job.ends_with(['0', '2', '4', '6', '8']) {
            1.0
        } else {
            2.0
        }
    }

    /// A user cancels a job: any, or one whose tasks have all just ended.
    fn cancel(&mut self, at_end: bool) {
        let ended = |id: &str| {
            let tasks = self.workers.iter().flat_map(|w| &w.tasks);
            let mut own = tasks
                .filter(|((t, _), _)| t.split('/').next() == Some(id))
                .peekable();
            own.peek().is_some() && own.all(|(_, t)| t.phase == Phase::Exited)
        };
        let mut jobs = self.live.keys().filter(|id| !at_end || ended(id));
        let Some(id) = jobs.next().cloned() else {
            return;
        };
        let now = self.now;
        self.met.ends += usize::from(ended(&id));
        let fresh = self
            .owners
            .last()
            .is_some_and(|(c, _)| c.unaccounted() != Some(0));
        self.met.takeover_cancels += usize::from(fresh || !self.paused.is_empty());
        for worker in &self.workers {
            let away = worker.hung_until > now || worker.mute_until > now;
            let on = |((t, _), s): (&(String, u64), &Task)| {
                t.split('/').next() == Some(&id) && s.phase != Phase::Exited
            };
            self.met.hung_cancels += usize::from(away && worker.tasks.iter().any(on));
        }
        self.live.remove(&id);
        self.over.insert(id.clone(), (now, true));
        if let Some((core, _)) = self.owners.last_mut() {
            core.job_over(&id);
        }
    }
}

/// What is kept up with every change must equal a count from the beginning:
/// limits hang on the one, the fence on the other.
fn kept_counts_are_right(core: &Core) {
    assert!((core.used().cpus() - core.usage().cpus()).abs() < 1e-6);
    if let Some(awaited) = core.unaccounted() {
        let all = core.machines.values().filter(|m| m.holds_up()).count();
        assert_eq!(awaited, all, "term {}", core.term);
    }
    let runs = |a: &&Active| a.running.is_some() && !a.exited();
    let active = core.machines.values().flat_map(|m| &m.active);
    let running = active.filter(|((task, _), a)| {
        runs(a) && (core.jobs.get(&task.job)).is_some_and(|j| task.index < j.spec.tasks)
    });
    let kept: u32 = core.jobs.values().map(|j| j.running).sum();
    let strangers = core.machines.values().any(|m| m.strangers > 0);
    assert!(strangers || running.count() == kept as usize);
}

/// `anew`: whether machines may come back counting from one, which the protocol rules out.
fn play(seed: u64, workers: usize, until: f64, anew: bool) -> (usize, usize, usize, Met) {
    let mut world = World {
        now: 0.0,
        rng: StdRng::seed_from_u64(seed),
        workers: Vec::new(),
        live: BTreeMap::new(),
        over: BTreeMap::new(),
        record: Vec::new(),
        term: 0,
        version: 0,
        owners: Vec::new(),
        wire: Vec::new(),
        started: 0,
        limit: 5.0 * workers as f64,
        paused: BTreeMap::new(),
        unheard: Vec::new(),
        drains: HashMap::new(),
        hears_at: 0.0,
        drained: 0,
        met: Met::default(),
    };
    for i in 0..workers {
        world.workers.push(Worker {
            id: format!("m-{i}"),
            session: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            renewed: 0.0,
            asked: None,
            next: 0.0,
            hung_until: 0.0,
            cut_until: 0.0,
            deaf_until: 0.0,
            mute_until: 0.0,
        });
    }
    world.take_over(true);
    let mut jobs = 0;
    let mut ids = BTreeSet::new();
    while world.now < until {
        world.now += STEP_S;
        let now = world.now;
        // The second half is left for what piled up, and for what comes late.
        let calm = now > until / 2.0;
        if !calm && world.rng.random_bool(0.005 * workers.min(20) as f64) {
            jobs += 1;
            let id = format!("run-{jobs}");
            let cpus = world.cpus(&format!("{id}/0"));
            let most = (2 * workers).min(8 + workers / 4) as u32;
            let tasks = world.rng.random_range(1..most);
            let record = live(spec(&id, "t", Urgency::Standard, tasks, cpus), now);
            world.version += 1;
            let version = world.version;
            world
                .live
                .insert(id.clone(), (record.clone(), Marks::default(), version));
            // Each owner hears of it in its own time, a former one perhaps first.
            for (core, _) in &world.owners {
                let at = now + world.rng.random_range(0.0..3.0);
                let base = core.fence.base_term;
                world.unheard.push((at, base, record.clone(), version));
            }
            ids.insert(id);
        }
        if !calm && world.rng.random_bool(0.006) {
            world.cancel(false);
        }
        if !calm && world.rng.random_bool(0.01) {
            world.cancel(true);
        }
        if !calm && world.rng.random_bool(0.003) {
            let crash = world.rng.random_bool(0.5);
            world.take_over(crash);
        }
        if !calm && world.rng.random_bool(0.004) {
            // Any owner, often just when another takes over.
            let o = world.rng.random_range(0..world.owners.len());
            let base = world.owners[o].0.fence.base_term;
            let until = now + world.rng.random_range(0.5..3.0 * LEASE_S);
            world.paused.insert(base, until);
            if world.rng.random_bool(0.3) {
                world.take_over(false);
            }
        }
        if !calm
            && world
                .rng
                .random_bool((0.001 * workers as f64).clamp(0.005, 0.1))
        {
            let w = world.rng.random_range(0..workers);
            let until = now + world.rng.random_range(1.0..20.0);
            match world.rng.random_range(0..6) {
                5 => {
                    world.workers[w].mute_until = now + 2.0 * (until - now);
                    if world.rng.random_bool(0.3) {
                        world.take_over(true);
                    }
                }
                0 | 1 => world.workers[w].hung_until = until,
                2 | 3 => world.workers[w].cut_until = until,
                _ if world.rng.random_bool(0.5) => {
                    world.workers[w].deaf_until = now + 4.0 * (until - now);
                }
                _ if anew => world.restart(w),
                _ => {}
            }
        }
        if !calm
            && world
                .rng
                .random_bool((0.002 * workers as f64).clamp(0.01, 0.1))
        {
            world.drain_or_undrain(workers);
        }
        if calm && !world.drains.is_empty() {
            world.drains.clear();
            world.hears_at = now;
        }
        world.hear();
        world.deliver();
        world.workers_step();
        for (core, _) in &world.owners {
            kept_counts_are_right(core);
        }
        world.owners_step();
        for worker in &world.workers {
            for ((task, _), state) in &worker.tasks {
                let job = task.split('/').next().unwrap_or_default();
                if let Some((at, true)) = world.over.get(job) {
                    let on = state.phase != Phase::Exited && worker.hung_until <= now;
                    if on {
                        world.met.gone_s.insert(job.into(), now - at);
                    }
                    assert!(
                        !(on && now - at > CANCEL_S),
                        "ran_cancelled: {task} on {} at {now:.1}",
                        worker.id
                    );
                }
            }
        }
    }
    let left: Vec<_> = world.live.keys().collect();
    let expired = world.owners.last().map(|(c, _)| {
        c.machines
            .values()
            .filter(|m| m.standing == Standing::Expired)
            .count()
    });
    assert!(
        left.is_empty(),
        "seed {seed}: not done: {left:?}, expired {expired:?}"
    );
    (world.started, ids.len(), world.drained, world.met)
}

fn rules_hold(anew: bool) {
    let (mut started, mut drained, mut all) = (0, 0, Met::default());
    let mut gone_s: Vec<f64> = Vec::new();
    for seed in seeds(40) {
        println!("seed {seed}");
        let (n, jobs, aside, met) = play(seed, 4, 600.0, anew);
        assert!(jobs > 0);
        all.mute_starts += met.mute_starts;
        all.ends += met.ends;
        all.takeover_cancels += met.takeover_cancels;
        all.hung_cancels += met.hung_cancels;
        gone_s.extend(met.gone_s.into_values());
        started += n;
        drained += aside;
    }
    assert!(
        own_seeds() || started > 1000 && drained > 40,
        "only {started} starts, {drained} drained: the check is too weak"
    );
    gone_s.sort_by(f64::total_cmp);
    let part = |share: f64| gone_s.get((share * gone_s.len() as f64) as usize).copied();
    println!(
        "gone after the answer: {} jobs, p50 {:?}, p99 {:?}, most {:?} s of {CANCEL_S}",
        gone_s.len(),
        part(0.5),
        part(0.99),
        gone_s.last()
    );
    let least = [
        all.mute_starts,
        all.ends,
        all.takeover_cancels,
        all.hung_cancels,
    ];
    assert!(
        own_seeds() || least.iter().all(|n| *n > 20),
        "troubles did not meet: {all:?}"
    );
}

#[test]
fn rules_hold_while_owners_and_messages_come_late() {
    rules_hold(false);
}

/// The same with machines that are back at once and count anew, which the protocol rules
/// out. Held as far as it shows: see docs/notes/meetings.md for what does not.
#[test]
fn rules_hold_though_machines_count_anew() {
    rules_hold(true);
}

#[test]
fn rules_hold_on_a_fleet_of_hundreds() {
    let (started, jobs, drained, _) = play(1, 300, 300.0, true);
    assert!(
        jobs > 20 && started > 1000 && drained > 5,
        "only {started} starts of {jobs} jobs, {drained} drained: the check is too weak"
    );
}
