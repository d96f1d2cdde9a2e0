//! A seeded simulation of who leads the shard: controllers that are paused at any await for
//! up to several leases while their clocks run on, others that take over meanwhile, requests
//! carried out minutes late, partitions, a state service that is away for all or for one, or
//! first for the leader and then for all while users cancel and ask, crashes. It drives the
//! controllers' own `Leadership`; after every event it is checked that
//!
//! - no former leader would answer a worker once a later leader takes it to be silent, and
//! - no leader takes a check of its leadership for newer than the takeover by which it lost
//!   it, and
//! - no leader would answer a worker without knowing every cancellation that was confirmed
//!   to any user a bounded time ago.

mod checks;
#[path = "../common/mod.rs"]
mod common;
mod controller;
mod events;
mod faults;
mod messages;
mod network;
mod peers;
mod responses;

use common::digest::HistoryDigest;
use common::{own_seeds, seeds};
use controller::{host_name, leadership, Controller};
use events::{Event, Loop};
use foxspur::coordination::leadership::confirmed_cancellations::ConfirmedCancellations;
use foxspur_testbed::store::Store;
use messages::{Request, Response};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

/// A worker's lease; a controller's own is a quarter of it.
const WORKER_LEASE_S: f64 = 16.0;
const LEASE_TTL_S: f64 = 4.0;
/// How long a leader goes on at most: as long as by default, or so short that a takeover
/// carried out late matters.
const LONGEST_SILENCE_S: [f64; 3] = [6.0 * WORKER_LEASE_S, 0.7 * WORKER_LEASE_S, WORKER_LEASE_S];
/// How old a leader's knowledge of cancellations may be while it answers workers: as at the
/// fleets' sizes, in its leases.
const STALENESS_BOUND_S: [f64; 4] = [
    2.4 * LEASE_TTL_S,
    6.0 * LEASE_TTL_S,
    2.4 * LEASE_TTL_S,
    4.0 * LEASE_TTL_S,
];
const CLOCK_BOUND_MS: u64 = 1000;
const REQUEST_TIMEOUT_S: f64 = 1.5;

/// A takeover as the state service carried it out.
struct Takeover {
    term: u64,
    at: f64,
}

/// A cancellation that was confirmed to a user.
struct Confirmed {
    at: f64,
    job: u64,
}

/// What the simulation met: it must be enough to prove anything.
#[derive(Default)]
struct Counters {
    /// Pauses of a leader.
    woken_leaders: usize,
    /// Checks at which a leader goes on in an outage that is longer than it may without its
    /// peers' reports of cancellations.
    answers_on_reports: usize,
    /// Cancellations that a leader learnt by a report or from a poll of its own, in an
    /// outage that began by refusing it alone.
    learnt_while_refused: usize,
    /// Cancellations confirmed while the leader was refused alone.
    confirmed_while_refused: usize,
    /// Polls that found a cancellation whose user had no answer.
    found_by_poll: usize,
    /// Requests that were carried out at once while the response was lost, by kind.
    lost_responses: BTreeMap<&'static str, usize>,
    /// Terms that were raised like that and then adopted.
    adopted_terms: usize,
}

struct Simulation {
    now: f64,
    rng: StdRng,
    store: Store,
    /// The state service is away for all from here until there.
    outage_from: f64,
    outage_until: f64,
    /// Whether it was away at the last check, and since when.
    in_outage: bool,
    outage_began_at: f64,
    controllers: Vec<Controller>,
    /// When each event is due, in microseconds, and its place in `events`.
    queue: BinaryHeap<(Reverse<u64>, Reverse<u64>)>,
    events: Vec<Option<Event>>,
    next_id: u64,
    takeovers: Vec<Takeover>,
    /// No more faults: what is late arrives, and all settles.
    calm: bool,
    longest_silence_s: f64,
    staleness_bound_s: f64,
    /// Cancellations that stand in the state service.
    cancelled_jobs: BTreeSet<u64>,
    confirmed: Vec<Confirmed>,
    /// Cancellations that users asked for, answered or not.
    requested_cancellations: Vec<u64>,
    /// End of a refusal of the leader alone and the outage that follows it.
    refusal_until: f64,
    /// No further fault joins that one.
    undisturbed: bool,
    counters: Counters,
    digest: HistoryDigest,
}

impl Simulation {
    fn new(seed: u64, count: usize) -> Simulation {
        let mut simulation = Simulation {
            now: 0.0,
            rng: StdRng::seed_from_u64(seed),
            store: Store::default(),
            outage_from: 0.0,
            outage_until: 0.0,
            in_outage: false,
            outage_began_at: 0.0,
            controllers: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            next_id: 0,
            takeovers: Vec::new(),
            calm: false,
            longest_silence_s: LONGEST_SILENCE_S[seed as usize % LONGEST_SILENCE_S.len()],
            staleness_bound_s: STALENESS_BOUND_S[seed as usize % STALENESS_BOUND_S.len()],
            cancelled_jobs: BTreeSet::new(),
            confirmed: Vec::new(),
            requested_cancellations: Vec::new(),
            refusal_until: 0.0,
            undisturbed: false,
            counters: Counters::default(),
            digest: HistoryDigest::default(),
        };
        for node in 0..count {
            simulation.add_controller(node, count);
            simulation.start_loops(node, 0.01);
        }
        simulation
    }

    fn add_controller(&mut self, node: usize, count: usize) {
        let clock_offset_s = self.rng.random_range(0.0..500.0);
        let controller = Controller {
            leadership: leadership(
                node,
                count,
                node as u64 + 1,
                self.longest_silence_s,
                self.staleness_bound_s,
            ),
            process: 0,
            clock_offset_s,
            clock_drift: self.rng.random_range(-0.0005..0.0005),
            wall_clock_error_ms: self.rng.random_range(-1000.0..1000.0),
            paused_until: 0.0,
            partitioned_until: 0.0,
            refused_until: 0.0,
            isolated_until: 0.0,
            down_until: 0.0,
            taking_over: false,
            pending_requests: Vec::new(),
            incarnations: 1,
            acting: None,
            confirmed_cancellations: ConfirmedCancellations::since(clock_offset_s),
            terminal_jobs: BTreeSet::new(),
            known_cancellations: BTreeSet::new(),
            job_listing: controller::JobListing::default(),
        };
        self.controllers.push(controller);
    }

    fn is_outage(&self) -> bool {
        (self.outage_from..self.outage_until).contains(&self.now)
    }

    /// The controller's steady clock, in seconds.
    fn local_time(&self, node: usize) -> f64 {
        let controller = &self.controllers[node];
        controller.clock_offset_s + self.now * (1.0 + controller.clock_drift)
    }

    /// The controller's time of day, in milliseconds.
    fn wall_ms(&self, node: usize) -> u64 {
        (1e9 + self.now * 1000.0 + self.controllers[node].wall_clock_error_ms) as u64
    }
}

/// Guards against every way in which a controller that was paused, or whose request was
/// carried out late, goes on with what was true before: see docs/notes/pause.md for what
/// breaks it.
#[test]
fn a_paused_controller_does_not_act_on_stale_state() {
    let (mut takeovers, mut confirmed) = (0, 0);
    let mut all = Counters::default();
    for seed in seeds(60) {
        let mut simulation = Simulation::new(seed, [3, 5, 7, 2][seed as usize % 4]);
        simulation.play(seed, 700.0);
        simulation.digest.print("pause", seed);
        takeovers += simulation.takeovers.len();
        confirmed += simulation.confirmed.len();
        all.add(simulation.counters);
    }
    let (lost, adopted) = (&all.lost_responses, all.adopted_terms);
    println!("{lost:?}, {adopted} terms adopted");
    let each = lost.values().all(|count| *count > 10);
    assert!(
        own_seeds() || lost.len() == 8 && each && adopted > 5,
        "responses lost: {lost:?}, {adopted} terms adopted: too weak"
    );
    let (woken, reports) = (all.woken_leaders, all.answers_on_reports);
    assert!(
        own_seeds() || takeovers > 400 && woken > 400 && reports > 20 && confirmed > 4000,
        "{takeovers} takeovers, {woken} leaders woken, {confirmed} confirmed, {reports} answers \
         on reports: too weak"
    );
    let (while_refused, learnt) = (all.confirmed_while_refused, all.learnt_while_refused);
    let found_by_poll = all.found_by_poll;
    assert!(
        own_seeds() || while_refused > 400 && learnt > 50 && found_by_poll > 30,
        "{while_refused} confirmed while the leader was refused alone, {learnt} learnt without \
         the watch, {found_by_poll} found by polls alone: too weak"
    );
}

impl Counters {
    fn add(&mut self, other: Counters) {
        self.woken_leaders += other.woken_leaders;
        self.answers_on_reports += other.answers_on_reports;
        self.learnt_while_refused += other.learnt_while_refused;
        self.confirmed_while_refused += other.confirmed_while_refused;
        self.found_by_poll += other.found_by_poll;
        self.adopted_terms += other.adopted_terms;
        for (kind, times) in other.lost_responses {
            *self.lost_responses.entry(kind).or_default() += times;
        }
    }
}
