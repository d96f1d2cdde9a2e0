//! A machine on the leader: its sessions, the attempts that may be on it, its queue, and
//! whether tasks may start on it.
//!
//! Time arguments are in seconds of the leader's monotonic clock.

use crate::coordination::scheduler::delivery::Delivery;
use crate::coordination::scheduler::failed_machines::FailedMachines;
use crate::coordination::scheduler::incarnation_check::IncarnationCheck;
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::resources::Resources;
use crate::protocol::cloud::MachineType;
use crate::storage::records::{MachineInfo, TOKENS_PER_TERM};
use std::collections::BTreeMap;

pub use crate::coordination::scheduler::attempt::Attempt;
pub use crate::coordination::scheduler::message_id::MessageId;

/// Minimum duration of a session as a fraction of the lease duration: 1 minus the bound on
/// clock drift.
const MIN_SESSION_LEASE_FRACTION: f64 = 0.999;

/// Why a task is in a machine's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueReason {
    /// The machine's queue was the shortest among the sampled machines. The task may also
    /// start on another machine.
    ShortestQueue,
    /// Attempts on this machine are being stopped to free capacity for the task.
    Preemption,
}

/// A task in a machine's queue.
#[derive(Debug, Clone)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// Rank of the task's job at the time the task was queued; lower ranks come first.
    pub rank: u8,
    /// Predicted run time of the task, in seconds.
    pub predicted_s: f64,
    /// When the task was queued.
    pub queued_at: f64,
    /// Why the task is in this queue.
    pub reason: QueueReason,
}

impl QueuedTask {
    /// Whether capacity that becomes free on the machine is reserved for this task.
    pub fn is_reserved(&self) -> bool {
        self.reason == QueueReason::Preemption
    }
}

/// What this leader has decided about the use of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineStatus {
    /// Tasks may start on the machine if the other conditions of `Machine::is_usable` hold.
    Up,
    /// No more tasks start on the machine, and the machine will be returned to the cloud.
    Draining,
    /// The machine's lease expired, which proves that no attempt runs on the machine that ran
    /// there before. Attempts with an open start may still begin (see `empty_proof`). Unless an
    /// incarnation check is open, heartbeats of the last known session must not be answered any
    /// more. The first heartbeat of another session begins a check, and the machine is used again
    /// once it passes.
    Expired,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Name, address, type and zone, as in the machine record.
    pub info: MachineInfo,
    /// The written machine record lists the machine. No task may start on a machine that the
    /// record does not list.
    pub recorded: bool,
    /// What this leader has decided about the use of the machine.
    pub status: MachineStatus,
    /// An operator cordoned the machine: no new task starts on it (see `drains`).
    pub cordoned: bool,
    /// The machine was drained and recorded as empty before this leader took over, so it
    /// does not block placement.
    pub drained: bool,
    /// The newest message received from the machine.
    pub last_message: MessageId,
    /// Highest fencing token that the machine is known to have seen.
    pub seen_token: u64,
    /// Fencing token for commands to the machine, if it was raised above the term. A value
    /// below the term has no effect.
    pub raised_token: u64,
    /// The machine has sent a message under this leader's term, or was proven empty after its
    /// lease expired. Replies and calls of former leaders can no longer take effect on the
    /// machine.
    pub fenced: bool,
    /// When the first message of the present session arrived. A session starts with a lease of
    /// its own, before any of its heartbeats is answered.
    pub session_seen_at: f64,
    /// When the machine was fenced. Until then a former leader may have answered the machine.
    pub fenced_at: f64,
    /// When the latest message from the machine arrived.
    pub heard_at: f64,
    /// An open check of which incarnation of the machine is the present one; `None` if its newest
    /// message is known to be of the present one.
    pub incarnation_check: Option<IncarnationCheck>,
    /// The token by which a message passed the last incarnation check, if there was one. Until a
    /// message shows a higher one, a message of another session may be of an incarnation that got the
    /// same token earlier.
    pub passed_check_token: Option<u64>,
    /// When the machine's status last became `Expired`.
    pub expired_at: f64,
    /// When a heartbeat of the machine was last answered.
    pub answered_at: Option<f64>,
    /// Evidence on whether the machine receives this leader's replies.
    pub delivery: Delivery,
    /// When a task last completed on the machine or a new session began. Failures before that are
    /// no sign that the machine is faulty now.
    pub in_order_at: f64,
    /// When the cloud will reclaim the machine; `None` if the cloud has not announced this.
    pub notice_at: Option<f64>,
    /// The attempts that are or may be on the machine.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// How many attempts on the machine belong to jobs unknown to this leader and have not
    /// exited.
    pub unknown_attempts: u32,
    /// The machine's queue, of bounded length. Queued tasks may also start on other machines.
    pub queue: Vec<QueuedTask>,
    /// Capacity that is not occupied by live attempts.
    pub free_capacity: Resources,
    /// The machine is in the capacity index, which lists the usable machines.
    pub indexed: bool,
    /// The task list of the newest heartbeat, as received. `None` unless a heartbeat with the
    /// same task list would bring no new information and need no command.
    pub unchanged_task_list: Option<Box<str>>,
    /// Cached images with their sizes in gigabytes, most recently used last.
    pub images: Vec<(String, f64)>,
    /// A direct call to the machine is in flight.
    pub call_in_flight: bool,
    /// When the latest direct call began.
    pub called_at: f64,
    /// The newest message that was known when the latest direct call began.
    pub called_at_message: MessageId,
    /// A message that is newer than the known ones arrived since the latest direct call began.
    pub heard_since_call: bool,
    /// How many consecutive direct calls ended without a response.
    pub unanswered_calls: u32,
    /// When this leader first called the machine to request a report; `None` before that.
    pub probed_at: Option<f64>,
    /// For each of the machine's consecutive task failures, the task's job. A job without a
    /// completed task is listed only once, since the job itself may be the cause of its
    /// failures.
    pub recent_failures: Vec<Name>,
    /// The last time at which a new report was processed while the machine had attempts, an
    /// attempt was removed, the machine was cleared, or its drain ended. At first, the time at
    /// which the machine became known.
    pub idle_since: f64,
}

impl Machine {
    /// A machine from which no message has arrived yet.
    pub fn new(info: MachineInfo, recorded: bool, now: f64) -> Machine {
        Machine {
            info,
            recorded,
            status: MachineStatus::Up,
            cordoned: false,
            drained: false,
            last_message: MessageId::NONE,
            seen_token: 0,
            raised_token: 0,
            fenced: false,
            fenced_at: now,
            session_seen_at: now,
            heard_at: now,
            incarnation_check: None,
            passed_check_token: None,
            expired_at: f64::NEG_INFINITY,
            answered_at: None,
            delivery: Delivery::default(),
            in_order_at: f64::NEG_INFINITY,
            notice_at: None,
            attempts: BTreeMap::new(),
            unknown_attempts: 0,
            queue: Vec::new(),
            free_capacity: Resources::default(),
            indexed: false,
            unchanged_task_list: None,
            images: Vec::new(),
            call_in_flight: false,
            called_at: f64::NEG_INFINITY,
            called_at_message: MessageId::NONE,
            heard_since_call: false,
            unanswered_calls: 0,
            probed_at: None,
            recent_failures: Vec::new(),
            idle_since: now,
        }
    }

    /// The fencing token of replies and calls to the machine under `term`. The token stays
    /// within the term's range of tokens, since higher tokens belong to later leaders.
    pub fn token_under(&self, term: u64) -> u64 {
        self.raised_token.clamp(term, term + TOKENS_PER_TERM - 1)
    }

    /// Whether a job with these failures prefers other machines to this one.
    pub(crate) fn is_remembered_by(&self, failed_machines: &FailedMachines, now: f64) -> bool {
        failed_machines.is_remembered(&self.info.id, self.in_order_at, now)
    }

    /// When a job with these failures may try the machine again, if no other machine has room; `None`
    /// if it may now.
    pub(crate) fn pauses_until(&self, failed_machines: &FailedMachines, now: f64) -> Option<f64> {
        failed_machines.pauses_until(&self.info.id, self.in_order_at, now)
    }

    /// Whether the machine has the image cached.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records that an image of `image_gb` gigabytes was used. Evicts the least recently used
    /// of the other images while the total size exceeds `cache_gb`.
    pub fn record_image_use(&mut self, image: &str, image_gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_string(), image_gb));
        let total_gb =
            |images: &[(String, f64)]| images.iter().map(|(_, size_gb)| size_gb).sum::<f64>();
        while self.images.len() > 1 && total_gb(&self.images) > cache_gb {
            self.images.remove(0);
        }
    }

    /// Capacity that is not occupied by live attempts, if the machine is of the type `kind`.
    /// Exited attempts occupy nothing but a place in the worker's report.
    pub(crate) fn unoccupied(&self, kind: &MachineType) -> Resources {
        let mut unoccupied = Resources::of_type(kind);
        let most_attempts = unoccupied.attempts;
        for (_, attempt) in self.live_attempts() {
            unoccupied.subtract(&attempt.resources);
        }
        unoccupied.attempts = most_attempts - self.attempts.len() as i32;
        unoccupied
    }

    /// Whether an attempt of the task, live or exited, is or may be on the machine.
    pub fn has_attempt_of(&self, task: &TaskId) -> bool {
        self.attempts
            .range(AttemptId::new(task.clone(), 0)..=AttemptId::new(task.clone(), u64::MAX))
            .next()
            .is_some()
    }

    /// Whether the machine blocks placement after a takeover: it may run tasks that a former
    /// leader started, or it runs tasks of unknown jobs.
    pub fn blocks_placement(&self) -> bool {
        let unfenced = self.recorded && !self.fenced && self.status != MachineStatus::Expired;
        unfenced && !self.drained || self.unknown_attempts > 0
    }

    /// Whether tasks may start on the machine. One of the conditions is that a message from the
    /// machine arrived less than `silent_s` seconds ago.
    pub fn is_usable(&self, now: f64, silent_s: f64) -> bool {
        self.recorded
            && self.fenced
            && self.status == MachineStatus::Up
            && !self.cordoned
            && self.unknown_attempts == 0
            && self.notice_at.is_none()
            && !self.delivery.is_doubtful()
            && self.incarnation_check.is_none()
            && now - self.heard_at < silent_s
    }

    /// Whether the delivery of this leader's replies to the machine has been doubtful for more
    /// than `limit_s` seconds.
    pub fn is_unreachable(&self, now: f64, limit_s: f64) -> bool {
        self.delivery
            .doubtful_for(now)
            .is_some_and(|doubtful_s| doubtful_s > limit_s)
    }

    /// Whether the session number is too high for a session that began after the newest known
    /// one: each session between the two would have lasted at least a lease, and less time has
    /// passed. A session with such a number belongs to an earlier incarnation of a machine that
    /// has restarted its session numbering. (This check guards against a late response to a
    /// call from just before the restart. Such a response looked newer than the messages after
    /// the restart, so a task that had just started on the machine was started elsewhere too.)
    pub fn is_early_session(&self, session: u64, lease_s: f64, now: f64) -> bool {
        let sessions_between = session
            .saturating_sub(self.last_message.session)
            .saturating_sub(1);
        let min_elapsed_s = sessions_between as f64 * lease_s * MIN_SESSION_LEASE_FRACTION;
        self.last_message != MessageId::NONE && now - self.session_seen_at < min_elapsed_s
    }

    /// Whether a message of this session, with this token, may have been sent before the message that
    /// passed the last incarnation check: by an incarnation that got the check's token and restarted.
    pub(crate) fn may_precede_check(&self, session: u64, token: u64) -> bool {
        let shows_later_token = self.passed_check_token.is_none_or(|passed| token > passed);
        session != self.last_message.session && !shows_later_token
    }

    /// The attempts that occupy capacity: all attempts that have not exited.
    pub fn live_attempts(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| !attempt.has_exited())
    }
}

/// The machine's name, as a key for the scheduler's maps.
pub fn machine_name(info: &MachineInfo) -> Name {
    info.id.as_str().into()
}
