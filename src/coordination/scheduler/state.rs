//! The state of the scheduler on the current leader: jobs, machines, and indexes of them.
//!
//! The sibling modules implement the operations on this state, each in its own
//! `impl Scheduler` block; the [parent module](super) lists them.
//!
//! Several fields are work lists: sets of the machines, or of other items, for which some
//! condition holds. An item is added as soon as the condition begins to hold, and is removed
//! lazily, when the list is next processed. A list may therefore contain items for which the
//! condition no longer holds. Because of this, no event needs a pass over all machines.

use crate::coordination::recent::RecentMap;
use crate::coordination::scheduler::active_drain::ActiveDrain;
use crate::coordination::scheduler::capacity_index::CapacityIndex;
use crate::coordination::scheduler::fair_share::FairShare;
use crate::coordination::scheduler::fence::Fence;
use crate::coordination::scheduler::job::{AttemptId, ByName, Job, Name, Names};
use crate::coordination::scheduler::job_order::JobOrder;
use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::message_counters::MessageCounters;
use crate::coordination::scheduler::placement_pass::CapacityChanges;
use crate::coordination::scheduler::run_time_predictor::RunTimePredictor;
use crate::coordination::scheduler::team_usage::TeamUsage;
use crate::coordination::scheduler::work_counters::WorkCounters;
use foldhash::fast::RandomState;
use indexmap::IndexSet;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::HashMap;

pub use crate::coordination::scheduler::config::{
    lease_with_margin_s, worker_retry_round_s, SchedulerConfig,
};
pub use crate::coordination::scheduler::resources::MachineTypes;

/// Maximum number of remembered names of machines that were returned to the cloud: 1.5
/// times the number of machines in a fleet of 6,000.
const MAX_RETURNED_MACHINES: usize = 9_000;

/// Maximum number of remembered names of finished jobs. A response that arrives after this
/// many other jobs have finished is minutes old, and its caller has timed out.
const MAX_FINISHED_JOBS: usize = 8_192;

/// Two ticks are at most 0.5 s apart. If the clock advances by more than a heartbeat interval
/// plus this margin (in seconds) between two events, this process was paused.
const PAUSE_MARGIN_S: f64 = 1.0;

/// The state of the scheduler on the current leader.
pub struct Scheduler {
    /// Settings and policy that decisions are based on.
    pub config: SchedulerConfig,
    /// Current term. It is the fencing token of replies and commands to each machine whose
    /// token was not raised above the term.
    pub term: u64,
    /// Blocks placement after a takeover while any machine may run tasks that a former leader
    /// started and this leader does not know.
    pub fence: Fence,
    /// Live jobs, and finished jobs that may still have attempts on machines.
    pub jobs: ByName<Job>,
    /// Machines by name, whether or not the written machine record lists them.
    pub machines: ByName<Machine>,
    /// Machine types that the cloud offers.
    pub types: MachineTypes,
    /// Machines to call directly as soon as possible, without waiting for their next
    /// heartbeat.
    pub outbox: Names,
    /// Jobs with completed tasks that are not yet saved in the state service.
    pub unsaved_jobs: Names,
    /// Since the last placement pass, an event occurred that may allow tasks to start.
    pub placement_due: bool,
    /// The machine record is out of date and must be written again.
    pub machine_record_dirty: bool,
    /// Wall-clock time minus this process's monotonic time, in seconds.
    pub wall_clock_offset_s: f64,
    /// Revision of the state service up to which the watch of live jobs has delivered all
    /// changes.
    pub watched_revision: u64,
    /// The most recently finished jobs. The response to this controller's own write of a
    /// job may arrive after the job has finished, and must not add the job again.
    pub(crate) finished_jobs: RecentMap<Name, ()>,
    /// Latest time that was passed to `advance_clock`, in seconds of monotonic time.
    pub(crate) now: f64,
    /// End of this process's latest pause, in seconds of monotonic time. A paused process
    /// receives no messages, so the time before the end of the pause does not count as silence
    /// of the machines.
    receiving_since: f64,
    /// Usable machines by free capacity.
    pub(crate) capacity_index: CapacityIndex,
    /// Work list: machines with tasks in their queue.
    pub(crate) machines_with_queue: Names,
    /// Work lists, one for each image: machines that have the image cached.
    pub(crate) image_holders: HashMap<String, Vec<Name>, RandomState>,
    /// Capacity that became free since the last placement pass.
    pub(crate) capacity_changes: CapacityChanges,
    /// The last placement pass ended at its limit.
    pub(crate) pass_unfinished: bool,
    /// Resource usage of teams, updated whenever a task is placed or released, and recomputed
    /// at each full placement pass.
    pub(crate) team_usage: TeamUsage,
    /// Work list: candidates for the machines that block placement after a takeover. Until
    /// placement is allowed, the list contains every machine that blocks it.
    pub(crate) unfenced: Names,
    /// Length of `unfenced` when it was last pruned.
    pub(crate) unfenced_count_at_last_prune: usize,
    /// Work list: machines for which it is doubtful whether they receive this leader's replies.
    pub(crate) machines_with_doubtful_delivery: Names,
    /// Machines whose return the cloud confirmed most recently. Heartbeats that these machines
    /// sent before their return may still arrive.
    pub(crate) returned_machines: RecentMap<Name, ()>,
    /// Work list: machines with a start command whose outcome is unknown.
    pub(crate) machines_with_unresolved_starts: Names,
    /// Work list: attempts that are being stopped.
    pub(crate) stopping_attempts: IndexSet<(Name, AttemptId), RandomState>,
    /// Unfinished jobs in order of precedence.
    pub(crate) job_order: JobOrder,
    /// Tracks which classes and teams meet too few of their objectives.
    pub fair_share: FairShare,
    /// When the queues of machines were last checked for tasks that had been queued too long.
    pub(crate) queues_checked_at: f64,
    /// Number of attempt numbers that this leader has assigned.
    pub(crate) attempts_numbered: u64,
    /// Predicts run times from statistics of finished tasks.
    pub predictor: RunTimePredictor,
    /// Machines that operators are draining or have drained (see `drains`).
    pub(crate) drains: ByName<ActiveDrain>,
    /// The largest amounts of work in one step.
    pub work: WorkCounters,
    /// Numbers of messages to and from machines.
    pub messages: MessageCounters,
    /// Source of all random draws, seeded so that a run can be repeated.
    pub(crate) rng: SmallRng,
}

impl Scheduler {
    /// A scheduler without jobs and machines.
    pub fn new(config: SchedulerConfig, term: u64, fence: Fence, seed: u64) -> Scheduler {
        Scheduler {
            config,
            term,
            fence,
            jobs: ByName::default(),
            machines: ByName::default(),
            types: MachineTypes::default(),
            outbox: Names::default(),
            unsaved_jobs: Names::default(),
            placement_due: true,
            machine_record_dirty: false,
            wall_clock_offset_s: 0.0,
            watched_revision: 0,
            finished_jobs: RecentMap::new(MAX_FINISHED_JOBS),
            now: 0.0,
            receiving_since: f64::NEG_INFINITY,
            capacity_index: CapacityIndex::default(),
            machines_with_queue: Names::default(),
            image_holders: HashMap::default(),
            capacity_changes: CapacityChanges::default(),
            pass_unfinished: false,
            team_usage: TeamUsage::default(),
            unfenced: Names::default(),
            unfenced_count_at_last_prune: 0,
            machines_with_doubtful_delivery: Names::default(),
            returned_machines: RecentMap::new(MAX_RETURNED_MACHINES),
            machines_with_unresolved_starts: Names::default(),
            stopping_attempts: IndexSet::default(),
            job_order: JobOrder::default(),
            fair_share: FairShare::default(),
            queues_checked_at: f64::NEG_INFINITY,
            attempts_numbered: 0,
            predictor: RunTimePredictor::default(),
            drains: ByName::default(),
            work: WorkCounters::default(),
            messages: MessageCounters::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Advances the clock to `now`, and detects whether this process was paused before `now`.
    pub(crate) fn advance_clock(&mut self, now: f64) {
        self.receiving_since = self.receiving_since(now);
        self.now = now;
    }

    /// End of this process's latest pause, as known at `now`. If the clock is about to advance
    /// to `now` by more than a heartbeat interval plus a margin, the latest pause ends at `now`.
    pub(crate) fn receiving_since(&self, now: f64) -> f64 {
        if now - self.now > self.config.heartbeat_s + PAUSE_MARGIN_S {
            now
        } else {
            self.receiving_since
        }
    }

    /// Duration of the silence, in seconds, of a machine whose last message arrived at
    /// `heard_at`. The time before the end of this process's latest pause is not counted.
    pub(crate) fn silent_for(&self, heard_at: f64, now: f64) -> f64 {
        now - heard_at.max(self.receiving_since(now))
    }
}
