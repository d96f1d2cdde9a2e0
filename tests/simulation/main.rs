//! A seeded simulation: leaders that come and go without knowing of each other, workers as
//! the protocol describes them, a store, and a network that delays, drops and holds back
//! messages. After every step the rules are checked.

#[path = "../common/mod.rs"]
mod common;
mod leader;
mod meetings;
mod network;
mod store;
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
use foxspur::storage::completed_tasks::CompletedTasks;
use foxspur::storage::records::{LiveJob, MachineInfo, TOKENS_PER_TERM};
use leader::{JobNews, Leader};
use meetings::{Meeting, MeetingCounts, MEETINGS};
use network::{InFlight, Message};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap, VecDeque};
use store::{JobEnd, LateWrite, StoredJob};
use worker::{SentHeartbeat, Task, Worker, ZonePartition};

const STEP_S: f64 = 0.1;
/// For how long a former leader without contact goes on; it may stand still for
/// a part of it, and go on where it was.
const LINGER_S: f64 = 25.0;
/// A call without an answer is given up after this time.
const CALL_TIMEOUT_S: f64 = 4.0;
const TEAMS: [&str; 2] = ["t", "u"];
const ZONES: [&str; 2] = ["a", "b"];
/// How long a machine counts as new.
const NEW_S: f64 = 6.0;
/// What is long to go for a task, which runs for fifteen seconds at most.
const LONG_S: f64 = 5.0;
/// How far back heartbeats are kept to arrive once more.
const KEPT_S: f64 = 4.0 * LEASE_S;

/// The job of a task.
fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// Where the job's tasks may run: some in one given zone, some together, some scattered.
fn with_zone_constraint(mut spec: JobSpec) -> JobSpec {
    match spec.id.bytes().last() {
        Some(b'1') => spec.zone = Some(ZONES[0].into()),
        Some(b'5') => spec.one_zone = true,
        Some(b'7' | b'8') => spec.spread = true,
        _ => {}
    }
    spec
}

/// Whether the job is bound to a zone, to its fellows or away from them.
fn has_zone_constraint(spec: &JobSpec) -> bool {
    spec.zone.is_some() || spec.one_zone || spec.spread
}

/// The place of a job's team.
fn team_of(job: &str) -> usize {
    usize::from(job.ends_with(['3', '6', '9']))
}

/// What machines that are back at once do with their session and sequence numbers.
#[derive(Clone, Copy, PartialEq)]
enum Counters {
    Kept,
    /// They count from one again, which the protocol rules out.
    Lost,
}

/// What is simulated.
struct Setup {
    seed: u64,
    /// Machines at the beginning.
    workers: usize,
    /// For how long, in seconds.
    until: f64,
    counters: Counters,
}

impl Setup {
    /// The digest's name.
    fn name(&self) -> &'static str {
        match (self.counters, self.workers) {
            (_, 300) => "fleet",
            (Counters::Lost, _) => "recounting",
            (Counters::Kept, _) => "simulation",
        }
    }
}

/// What a run came to.
struct Outcome {
    started: usize,
    jobs: usize,
    drained: usize,
    met: MeetingCounts,
}

struct Simulation {
    now: f64,
    rng: StdRng,
    workers: Vec<Worker>,
    /// The store: live jobs, those that are over, machine record, term.
    live: BTreeMap<String, StoredJob>,
    over: BTreeMap<String, JobEnd>,
    record: Vec<MachineInfo>,
    term: u64,
    version: u64,
    /// What every job asked for.
    specs: BTreeMap<String, JobSpec>,
    /// The last is the real one, others may linger.
    leaders: Vec<Leader>,
    in_flight: Vec<InFlight>,
    started: usize,
    /// The teams' limits.
    limits: [f64; 2],
    late_writes: Vec<LateWrite>,
    /// Jobs whose completions nobody writes until then: what is on its way is not overtaken.
    unwritten_until: BTreeMap<String, f64>,
    /// Until then hardly a write of the machine record is carried out.
    record_lags_until: f64,
    /// When the leader ends because a new machine came.
    leader_ends_at: f64,
    /// All leaders are away until then.
    away_until: f64,
    /// Heartbeats of the last few leases, oldest first.
    sent_heartbeats: VecDeque<SentHeartbeat>,
    /// Leaders, by base term, that stand still while their clocks run on, until when.
    paused: BTreeMap<u64, f64>,
    /// Jobs that a leader does not know of yet.
    unheard: Vec<JobNews>,
    /// Drains as recorded, and when the leader hears of them. (A former leader never
    /// hears: it would learn first that the shard is not its own.)
    drains: HashMap<String, (Drain, u64)>,
    drains_heard_at: f64,
    drained: usize,
    met: MeetingCounts,
    digest: HistoryDigest,
}

/// What is kept up with every change must equal a count from the beginning:
/// limits hang on the one, the fence on the other.
fn check_kept_counts(scheduler: &Scheduler) {
    assert!((scheduler.usage().cpus() - scheduler.count_usage().cpus()).abs() < 1e-6);
    if let Some(awaited) = scheduler.machines_blocking_placement() {
        let all = scheduler
            .machines
            .values()
            .filter(|m| m.blocks_placement())
            .count();
        assert_eq!(awaited, all, "term {}", scheduler.term);
    }
    let runs = |a: &&Attempt| a.running_since.is_some() && !a.has_exited();
    let attempts = scheduler.machines.values().flat_map(|m| &m.attempts);
    let running = attempts.filter(|(id, a)| {
        runs(a) && (scheduler.jobs.get(&id.task.job)).is_some_and(|j| id.task.index < j.spec.tasks)
    });
    let kept: u32 = scheduler.jobs.values().map(|j| j.running).sum();
    let unknown = scheduler.machines.values().any(|m| m.unknown_attempts > 0);
    assert!(unknown || running.count() == kept as usize);
}

impl Simulation {
    fn new(setup: &Setup) -> Simulation {
        let workers = setup.workers;
        let mut simulation = Simulation {
            now: 0.0,
            rng: StdRng::seed_from_u64(setup.seed),
            workers: (0..workers).map(|n| Worker::new(n, 0.0)).collect(),
            live: BTreeMap::new(),
            over: BTreeMap::new(),
            record: Vec::new(),
            term: 0,
            version: 0,
            specs: BTreeMap::new(),
            leaders: Vec::new(),
            in_flight: Vec::new(),
            started: 0,
            limits: [3.0 * workers as f64, 2.0 * workers as f64],
            late_writes: Vec::new(),
            unwritten_until: BTreeMap::new(),
            record_lags_until: 0.0,
            leader_ends_at: f64::MAX,
            away_until: f64::MAX,
            sent_heartbeats: VecDeque::new(),
            paused: BTreeMap::new(),
            unheard: Vec::new(),
            drains: HashMap::new(),
            drains_heard_at: 0.0,
            drained: 0,
            met: MeetingCounts::default(),
            digest: HistoryDigest::default(),
        };
        simulation.take_over(true);
        simulation
    }

    fn run(mut self, setup: &Setup) -> Outcome {
        while self.now < setup.until {
            self.now += STEP_S;
            // The second half is left for what piled up, and for what comes late.
            let calm = self.now > setup.until / 2.0;
            self.draw_troubles(setup, calm);
            self.step();
        }
        self.digest.print(setup.name(), setup.seed);
        self.check_all_completed(setup.seed);
        Outcome {
            started: self.started,
            jobs: self.specs.len(),
            drained: self.drained,
            met: self.met,
        }
    }

    /// Everyone does what is due, and the rules are checked.
    fn step(&mut self) {
        self.hear_of_jobs();
        self.late_writes_arrive();
        self.deliver();
        self.workers_step();
        for leader in &self.leaders {
            check_kept_counts(&leader.scheduler);
        }
        self.leaders_step();
        self.check_cancelled();
    }

    /// `ran_cancelled`: no task runs long after its job was cancelled.
    fn check_cancelled(&mut self) {
        let now = self.now;
        for worker in &self.workers {
            for ((task, _), state) in &worker.tasks {
                let job = job_of(task);
                let Some(end) = self.over.get(job).filter(|end| end.cancelled) else {
                    continue;
                };
                let on = state.phase != Phase::Exited && worker.hung_until <= now;
                if on {
                    self.met.gone_s.insert(job.into(), now - end.at);
                }
                assert!(
                    !(on && now - end.at > CANCEL_S),
                    "ran_cancelled: {task} on {} at {now:.1}",
                    worker.id
                );
            }
        }
    }

    fn check_all_completed(&self, seed: u64) {
        let left: Vec<_> = self.live.keys().collect();
        let expired = self.leaders.last().map(|leader| {
            leader
                .scheduler
                .machines
                .values()
                .filter(|m| m.status == MachineStatus::Expired)
                .count()
        });
        assert!(
            left.is_empty(),
            "seed {seed}: not done: {left:?}, expired {expired:?}"
        );
    }
}

fn play(setup: &Setup) -> Outcome {
    Simulation::new(setup).run(setup)
}

fn check_rules(counters: Counters) {
    let (mut started, mut drained, mut all) = (0, 0, MeetingCounts::default());
    let mut gone_s: Vec<f64> = Vec::new();
    for seed in seeds(40) {
        println!("seed {seed}");
        let outcome = play(&Setup {
            seed,
            workers: 4,
            until: 600.0,
            counters,
        });
        assert!(outcome.jobs > 0);
        for (meeting, times) in outcome.met.counts {
            all.add(meeting, times);
        }
        gone_s.extend(outcome.met.gone_s.into_values());
        started += outcome.started;
        drained += outcome.drained;
    }
    assert!(
        own_seeds() || started > 1000 && drained > 40,
        "only {started} starts, {drained} drained: the check is too weak"
    );
    gone_s.sort_by(f64::total_cmp);
    let quantile = |share: f64| gone_s.get((share * gone_s.len() as f64) as usize).copied();
    println!(
        "gone after the answer: {} jobs, p50 {:?}, p99 {:?}, most {:?} s of {CANCEL_S}",
        gone_s.len(),
        quantile(0.5),
        quantile(0.99),
        gone_s.last()
    );
    println!("{:?}", all.counts);
    let often = |m: &Meeting| all.counts.get(m).is_some_and(|n| *n > 20);
    assert!(
        own_seeds() || MEETINGS.iter().all(often),
        "troubles did not meet: {:?}",
        all.counts
    );
}

#[test]
fn rules_hold_while_leaders_and_messages_come_late() {
    check_rules(Counters::Kept);
}

/// The same with machines that are back at once and count anew, which the protocol rules
/// out. Held as far as it shows: see docs/notes/meetings.md for what does not.
#[test]
fn rules_hold_though_machines_lose_their_counters() {
    check_rules(Counters::Lost);
}

#[test]
fn rules_hold_on_a_fleet_of_hundreds() {
    let Outcome {
        started,
        jobs,
        drained,
        ..
    } = play(&Setup {
        seed: 1,
        workers: 300,
        until: 300.0,
        counters: Counters::Lost,
    });
    assert!(
        jobs > 20 && started > 1000 && drained > 5,
        "only {started} starts of {jobs} jobs, {drained} drained: the check is too weak"
    );
}
