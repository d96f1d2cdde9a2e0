//! The state of the scheduler as the current leader knows it: jobs, machines, and the
//! indexes over them.
//!
//! The operations on it stand in the modules beside this one, each in an `impl Scheduler`
//! block of its own; the [parent module](super) lists them.
//!
//! Several sets here are work lists ("machines that have X, and some that had"): an entry
//! is added as soon as the condition begins and removed lazily when the list is gone over,
//! so that no event needs a pass over all machines.

use crate::coordination::recent::RecentMap;
use crate::coordination::scheduler::capacity_index::CapacityIndex;
use crate::coordination::scheduler::drain_target::DrainTarget;
use crate::coordination::scheduler::fair_share::FairShare;
use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::job::{AttemptId, ByName, Job, Name, Names};
use crate::coordination::scheduler::job_order::JobOrder;
use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::placement_pass::CapacityChanges;
use crate::coordination::scheduler::run_time_predictor::RunTimePredictor;
use crate::coordination::scheduler::team_usage::TeamUsage;
use foldhash::fast::RandomState;
use indexmap::IndexSet;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashMap;

pub use crate::coordination::scheduler::config::{lease_with_margin_s, round_s, SchedulerConfig};
pub use crate::coordination::scheduler::resources::Types;

/// Bound on the remembered names of machines that were returned to the cloud: one and a
/// half fleets of 6,000 machines.
const MAX_RETURNED_MACHINES: usize = 9_000;

/// Bound on the remembered names of finished jobs. An answer that is overtaken by the ends
/// of as many jobs is minutes old, and whoever waited for it has given up.
const MAX_FINISHED_JOBS: usize = 8_192;

/// The clock ticks at least every half second; a gap longer than a heartbeat interval and
/// this many seconds means that this process itself was paused.
const PAUSE_MARGIN_S: f64 = 1.0;

/// The leader's state.
pub struct Scheduler {
    /// The settings that it decides by.
    pub config: SchedulerConfig,
    /// Current term; answers and commands carry it as their fencing token.
    pub term: u64,
    /// What must be known of former leaders before placement may start.
    pub fence: Fence,
    /// Live jobs, and finished ones that may still have attempts on machines.
    pub jobs: ByName<Job>,
    /// Machines by name, recorded or not.
    pub machines: ByName<Machine>,
    /// Machine types that the cloud offers.
    pub types: Types,
    /// Machines with commands to send without waiting for their next heartbeat.
    pub outbox: Names,
    /// Jobs with completed tasks that are not saved yet.
    pub unsaved_jobs: Names,
    /// Something changed that may let tasks start.
    pub placement_due: bool,
    /// The written machine record differs from what it should be.
    pub machine_record_dirty: bool,
    /// Wall-clock time less our monotonic time, in seconds.
    pub wall_clock_offset_s: f64,
    /// Revision up to which the watch of live jobs has told us everything.
    pub watched_revision: u64,
    /// The most recently finished jobs: an older answer, to a submission of our own, must
    /// not revive one.
    pub(crate) finished_jobs: RecentMap<Name, ()>,
    /// Latest time passed in.
    pub(crate) now: f64,
    /// Since when messages were received without a gap: what was missed while this
    /// process was paused must not be taken for silence of the machines.
    listening_since: f64,
    /// Usable machines by free capacity.
    pub(crate) capacity_index: CapacityIndex,
    /// Machines with tasks in their queue, and some that had.
    pub(crate) machines_with_queue: Names,
    /// Machines that have an image, and some that had.
    pub(crate) image_holders: HashMap<String, Vec<Name>, RandomState>,
    /// Where capacity became free since the last placement pass.
    pub(crate) capacity_changes: CapacityChanges,
    /// Resource usage of teams: updated with every task that is placed or released, and
    /// counted anew at each full pass.
    pub(crate) team_usage: TeamUsage,
    /// Machines that may block placement after a takeover, and some that did; those that
    /// do are all here while the fence is closed.
    pub(crate) unfenced: Names,
    /// How many of them there were when last counted.
    pub(crate) unfenced_before: usize,
    /// Machines that may not receive our replies, and some that did not.
    pub(crate) suspects: Names,
    /// Machines most recently confirmed as returned by the cloud: their heartbeats may
    /// still arrive late.
    pub(crate) returned_machines: RecentMap<Name, ()>,
    /// Machines with a start whose outcome is unknown, and some that had.
    pub(crate) unresolved_starts: Names,
    /// Attempts being stopped, and some that were.
    pub(crate) stopping_attempts: IndexSet<(Name, AttemptId), RandomState>,
    /// Unfinished jobs in their order of precedence.
    pub(crate) job_order: JobOrder,
    /// Which classes and teams meet too few of their objectives.
    pub fair_share: FairShare,
    /// When queues were last searched for tasks that waited too long.
    pub(crate) queues_aged_at: f64,
    /// Count of attempts started under this leader.
    pub(crate) last_attempt: u64,
    /// Statistics of finished tasks.
    pub predictor: RunTimePredictor,
    /// Machines that operators drain (see `drains`).
    pub(crate) drains: ByName<DrainTarget>,
    /// Source of all random draws, so that a run can be repeated from its seed.
    pub(crate) rng: SmallRng,
}

impl Scheduler {
    /// An empty scheduler under this term.
    pub fn new(config: SchedulerConfig, term: u64, fence: Fence, seed: u64) -> Scheduler {
        Scheduler {
            config,
            term,
            fence,
            jobs: ByName::default(),
            machines: ByName::default(),
            types: Types::default(),
            outbox: Names::default(),
            unsaved_jobs: Names::default(),
            placement_due: true,
            machine_record_dirty: false,
            wall_clock_offset_s: 0.0,
            watched_revision: 0,
            finished_jobs: RecentMap::new(MAX_FINISHED_JOBS),
            now: 0.0,
            listening_since: f64::NEG_INFINITY,
            capacity_index: CapacityIndex::default(),
            machines_with_queue: Names::default(),
            image_holders: HashMap::default(),
            capacity_changes: CapacityChanges::default(),
            team_usage: TeamUsage::default(),
            unfenced: Names::default(),
            unfenced_before: 0,
            suspects: Names::default(),
            returned_machines: RecentMap::new(MAX_RETURNED_MACHINES),
            unresolved_starts: Names::default(),
            stopping_attempts: IndexSet::default(),
            job_order: JobOrder::default(),
            fair_share: FairShare::default(),
            queues_aged_at: f64::NEG_INFINITY,
            last_attempt: 0,
            predictor: RunTimePredictor::default(),
            drains: ByName::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Advances the clock, and notices when this process was paused.
    pub(crate) fn advance_clock(&mut self, now: f64) {
        self.listening_since = self.listening_since(now);
        self.now = now;
    }

    /// Since when messages were received without a gap, if the time is `now`.
    pub(crate) fn listening_since(&self, now: f64) -> f64 {
        if now - self.now > self.config.heartbeat_s + PAUSE_MARGIN_S {
            now
        } else {
            self.listening_since
        }
    }

    /// For how long a machine last heard of at `heard_at` has been silent, not counting
    /// time in which this process was paused.
    pub(crate) fn silent_for(&self, heard_at: f64, now: f64) -> f64 {
        now - heard_at.max(self.listening_since(now))
    }
}
