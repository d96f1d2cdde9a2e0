//! A seeded simulation: owners that come and go without knowing of each other,
//! workers as the protocol describes them, a store, and a network that delays,
//! drops and holds back messages. After every step the rules are checked.

#[path = "../common/mod.rs"]
mod common;
mod leader;
mod met;
mod network;
mod trouble;
mod worker;

use common::digest::HistoryDigest;
use common::*;
use foxspur::coordination::agents::direct_calls::CallResult;
use foxspur::coordination::agents::heartbeat::HeartbeatReply;
use foxspur::coordination::scheduler::fence::Fence;
use foxspur::coordination::scheduler::job::Name;
use foxspur::coordination::scheduler::machine::{Attempt, MachineStatus};
use foxspur::coordination::scheduler::state::Scheduler;
use foxspur::protocol::admin::{Drain, Rest};
use foxspur::protocol::job::{JobSpec, Urgency};
use foxspur::protocol::worker::{Cause, Command, Direct, Phase, Reply, Report, Shown};
use foxspur::storage::marks::CompletedTasks;
use foxspur::storage::records::{LiveJob, MachineInfo, TOKENS_PER_TERM};
use met::{Meeting, Met, MEETINGS};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use worker::{CutZone, Task, Worker};

const STEP_S: f64 = 0.1;
/// Send time of copies, and the owner that copies go to: whoever it is then.
const COPY: f64 = -1.0;
const LATEST: u64 = u64::MAX;
/// For how long a former owner without contact goes on; it may stand still for
/// a part of it, and go on where it was.
const LINGER_S: f64 = 25.0;
const TEAMS: [&str; 2] = ["t", "u"];
const ZONES: [&str; 2] = ["a", "b"];
/// How long a machine counts as new.
const NEW_S: f64 = 6.0;
/// What is long to go for a task, which runs for fifteen seconds at most.
const LONG_S: f64 = 5.0;
/// How far back reports are kept to arrive once more.
const KEPT_S: f64 = 4.0 * LEASE_S;

/// The job of a task.
fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Where the job's tasks may run: some in one given zone, some together, some scattered.
fn placed(mut spec: JobSpec) -> JobSpec {
    match spec.id.bytes().last() {
        Some(b'1') => spec.zone = Some(ZONES[0].into()),
        Some(b'5') => spec.one_zone = true,
        Some(b'7' | b'8') => spec.spread = true,
        _ => {}
    }
    spec
}

/// The place of a job's team.
fn team_of(job: &str) -> usize {
    usize::from(job.ends_with(['3', '6', '9']))
}

struct Simulation {
    now: f64,
    rng: StdRng,
    workers: Vec<Worker>,
    /// The store: live jobs with marks, final jobs, machine record, term.
    live: BTreeMap<String, (LiveJob, CompletedTasks, u64)>,
    over: BTreeMap<String, (f64, bool)>,
    /// What every job asked for.
    specs: BTreeMap<String, JobSpec>,
    record: Vec<MachineInfo>,
    term: u64,
    version: u64,
    /// Owners: the last is the real one, others may linger.
    owners: Vec<(Scheduler, f64)>,
    /// Messages: when, what.
    wire: Vec<(f64, Message)>,
    started: usize,
    /// The teams' limits.
    limits: [f64; 2],
    late_marks: Vec<LateMarks>,
    /// Jobs whose marks nobody writes until then: what is on its way is not overtaken.
    unwritten_until: BTreeMap<String, f64>,
    /// Until then hardly a write of the machine record is carried out.
    record_lags_until: f64,
    /// When the owner ends because a new machine came.
    ends_soon: f64,
    /// All owners are away until then.
    away_until: f64,
    /// Reports of the last few leases, oldest first: machine, when, report.
    sent_reports: VecDeque<(usize, f64, Report)>,
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
    digest: HistoryDigest,
}

/// Done marks on their way to the store, carried out late.
struct LateMarks {
    at: f64,
    job: String,
    over_version: u64,
    marks: CompletedTasks,
    complete: bool,
}

/// What becomes of a write.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    /// Not carried out.
    Refused,
    Answered,
    /// Carried out at once, and the answer is lost.
    AnswerLost,
    /// Carried out later, if its condition still holds then.
    Late,
}

#[allow(clippy::large_enum_variant)]
enum Message {
    Hello(usize, u64, Report, f64),
    Answer(usize, u64, f64, Reply),
    Direct(usize, u64, Direct, bool),
    Called(usize, u64, Direct, CallResult),
}

/// What is kept up with every change must equal a count from the beginning:
/// limits hang on the one, the fence on the other.
fn kept_counts_are_right(scheduler: &Scheduler) {
    assert!((scheduler.usage().cpus() - scheduler.count_usage().cpus()).abs() < 1e-6);
    if let Some(awaited) = scheduler.unfenced_count() {
        let all = scheduler
            .machines
            .values()
            .filter(|m| m.blocks_placement())
            .count();
        assert_eq!(awaited, all, "term {}", scheduler.term);
    }
    let runs = |a: &&Attempt| a.running_since.is_some() && !a.has_exited();
    let active = scheduler.machines.values().flat_map(|m| &m.attempts);
    let running = active.filter(|(id, a)| {
        runs(a) && (scheduler.jobs.get(&id.task.job)).is_some_and(|j| id.task.index < j.spec.tasks)
    });
    let kept: u32 = scheduler.jobs.values().map(|j| j.running).sum();
    let strangers = scheduler.machines.values().any(|m| m.unknown_attempts > 0);
    assert!(strangers || running.count() == kept as usize);
}

/// `anew`: whether machines may come back counting from one, which the protocol rules out.
fn play(seed: u64, workers: usize, until: f64, anew: bool) -> (usize, usize, usize, Met) {
    let mut simulation = Simulation {
        now: 0.0,
        rng: StdRng::seed_from_u64(seed),
        workers: Vec::new(),
        live: BTreeMap::new(),
        over: BTreeMap::new(),
        specs: BTreeMap::new(),
        record: Vec::new(),
        term: 0,
        version: 0,
        owners: Vec::new(),
        wire: Vec::new(),
        started: 0,
        limits: [3.0 * workers as f64, 2.0 * workers as f64],
        late_marks: Vec::new(),
        unwritten_until: BTreeMap::new(),
        record_lags_until: 0.0,
        ends_soon: f64::MAX,
        away_until: f64::MAX,
        sent_reports: VecDeque::new(),
        paused: BTreeMap::new(),
        unheard: Vec::new(),
        drains: HashMap::new(),
        hears_at: 0.0,
        drained: 0,
        met: Met::default(),
        digest: HistoryDigest::default(),
    };
    for n in 0..workers {
        simulation.workers.push(Worker::new(n, 0.0));
    }
    simulation.take_over(true);
    let mut jobs = 0;
    let mut ids = BTreeSet::new();
    while simulation.now < until {
        simulation.now += STEP_S;
        let now = simulation.now;
        // The second half is left for what piled up, and for what comes late.
        let calm = now > until / 2.0;
        if !calm && simulation.rng.random_bool(0.005 * workers.min(20) as f64) {
            jobs += 1;
            let id = format!("run-{jobs}");
            let cpus = simulation.cpus(&format!("{id}/0"));
            let most = (2 * workers).min(8 + workers / 4) as u32;
            let tasks = simulation.rng.random_range(1..most);
            let team = TEAMS[team_of(&id)];
            let spec = placed(spec(&id, team, Urgency::Standard, tasks, cpus));
            simulation.specs.insert(id.clone(), spec.clone());
            let record = live(spec, now);
            simulation.version += 1;
            let version = simulation.version;
            simulation.live.insert(
                id.clone(),
                (record.clone(), CompletedTasks::default(), version),
            );
            // Each owner hears of it in its own time, a former one perhaps first.
            for (scheduler, _) in &simulation.owners {
                let at = now + simulation.rng.random_range(0.0..3.0);
                let base = scheduler.fence.base_term;
                simulation.unheard.push((at, base, record.clone(), version));
            }
            ids.insert(id);
        }
        if !calm && simulation.rng.random_bool(0.006) {
            simulation.cancel(false);
        }
        if !calm && simulation.rng.random_bool(0.01) {
            simulation.cancel(true);
        }
        if !calm && simulation.rng.random_bool(0.003) {
            let crash = simulation.rng.random_bool(0.5);
            simulation.take_over(crash);
        }
        if !calm && simulation.rng.random_bool(0.05) {
            simulation.cancel_at_limits();
        }
        if !calm && simulation.workers.len() < 2 * workers && simulation.rng.random_bool(0.003) {
            simulation.new_machine();
        }
        if !calm && simulation.away_until == f64::MAX && simulation.rng.random_bool(0.0008) {
            simulation.all_go_away();
        }
        if !calm && simulation.rng.random_bool(0.0008) {
            simulation.cut_zone();
        }
        if simulation.away_until <= now {
            simulation.one_returns();
        }
        if simulation.ends_soon <= now {
            simulation.ends_soon = f64::MAX;
            simulation.take_over(true);
        }
        if !calm && simulation.rng.random_bool(0.004) {
            // Any owner, often just when another takes over.
            let o = simulation.rng.random_range(0..simulation.owners.len());
            let base = simulation.owners[o].0.fence.base_term;
            let until = now + simulation.rng.random_range(0.5..3.0 * LEASE_S);
            simulation.paused.insert(base, until);
            if simulation.rng.random_bool(0.3) {
                simulation.take_over(false);
            }
        }
        if !calm
            && simulation
                .rng
                .random_bool((0.001 * workers as f64).clamp(0.005, 0.1))
        {
            let w = simulation.rng.random_range(0..simulation.workers.len());
            let until = now + simulation.rng.random_range(1.0..20.0);
            match simulation.rng.random_range(0..6) {
                5 => {
                    simulation.workers[w].mute_until = now + 2.0 * (until - now);
                    if simulation.rng.random_bool(0.3) {
                        simulation.take_over(true);
                    }
                }
                0 | 1 => simulation.workers[w].hung_until = until,
                2 | 3 => simulation.workers[w].cut_until = until,
                _ if simulation.rng.random_bool(0.5) => {
                    simulation.workers[w].deaf_until = now + 4.0 * (until - now);
                }
                _ if anew => simulation.restart(w),
                _ => {}
            }
        }
        if !calm
            && simulation
                .rng
                .random_bool((0.002 * workers as f64).clamp(0.01, 0.1))
        {
            simulation.drain_or_undrain(workers);
        }
        if calm && !simulation.drains.is_empty() {
            simulation.drains.clear();
            simulation.hears_at = now;
        }
        simulation.hear();
        simulation.late_marks_arrive();
        simulation.deliver();
        simulation.workers_step();
        for (scheduler, _) in &simulation.owners {
            kept_counts_are_right(scheduler);
        }
        simulation.owners_step();
        for worker in &simulation.workers {
            for ((task, _), state) in &worker.tasks {
                let job = job_of(task);
                if let Some((at, true)) = simulation.over.get(job) {
                    let on = state.phase != Phase::Exited && worker.hung_until <= now;
                    if on {
                        simulation.met.gone_s.insert(job.into(), now - at);
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
    let name = match (anew, workers) {
        (_, 300) => "fleet",
        (true, _) => "recounting",
        (false, _) => "simulation",
    };
    simulation.digest.print(name, seed);
    let left: Vec<_> = simulation.live.keys().collect();
    let expired = simulation.owners.last().map(|(c, _)| {
        c.machines
            .values()
            .filter(|m| m.status == MachineStatus::Expired)
            .count()
    });
    assert!(
        left.is_empty(),
        "seed {seed}: not done: {left:?}, expired {expired:?}"
    );
    (
        simulation.started,
        ids.len(),
        simulation.drained,
        simulation.met,
    )
}

fn rules_hold(anew: bool) {
    let (mut started, mut drained, mut all) = (0, 0, Met::default());
    let mut gone_s: Vec<f64> = Vec::new();
    for seed in seeds(40) {
        println!("seed {seed}");
        let (n, jobs, aside, met) = play(seed, 4, 600.0, anew);
        assert!(jobs > 0);
        for (meeting, times) in met.counts {
            all.add(meeting, times);
        }
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
    println!("{:?}", all.counts);
    let met = |m: &Meeting| all.counts.get(m).is_some_and(|n| *n > 20);
    assert!(
        own_seeds() || MEETINGS.iter().all(met),
        "troubles did not meet: {:?}",
        all.counts
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
