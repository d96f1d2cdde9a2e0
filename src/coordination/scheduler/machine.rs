//! A machine on the leader: its sessions, the attempts that may be on it, its queue, and
//! whether tasks may start on it.
//!
//! Time arguments are in seconds of the leader's monotonic clock.

use crate::coordination::scheduler::delivery::Delivery;
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::coordination::scheduler::resources::Resources;
use crate::protocol::cloud::MachineType;
use crate::storage::records::{MachineInfo, TOKENS_PER_TERM};
use std::collections::BTreeMap;

pub use crate::coordination::scheduler::attempt::Attempt;
pub use crate::coordination::scheduler::message_id::MessageId;

/// Shortest duration of a session, as a fraction of the lease: 1 minus the bound on clock
/// drift.
const MIN_SESSION_LEASE_FRACTION: f64 = 0.999;

/// Why a task is in a machine's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueReason {
    /// The queue was the shortest among sampled machines; the task may also start elsewhere.
    ShortestQueue,
    /// Attempts on this machine are being stopped to free capacity for the task.
    Preemption,
}

/// A task in a machine's queue.
#[derive(Debug, Clone)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// Rank of its job when the task was queued; lower ranks come first.
    pub rank: u8,
    /// Predicted run time, in seconds.
    pub predicted_s: f64,
    /// When the task was queued.
    pub since: f64,
    /// Why the task is in this queue.
    pub reason: QueueReason,
}

impl QueuedTask {
    /// Whether capacity that becomes free on the machine is reserved for this task.
    pub fn is_reserved(&self) -> bool {
        self.reason == QueueReason::Preemption
    }
}

/// Whether a machine takes tasks, as far as this leader decides.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineStatus {
    /// The machine takes tasks, provided that it is usable otherwise.
    Up,
    /// The machine takes no more tasks and will be returned to the cloud.
    Draining,
    /// The machine's lease expired, which proves that it runs no tasks. Heartbeats of its
    /// last session must not be answered any more.
    Expired,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Name, address, type and zone, as in the machine record.
    pub info: MachineInfo,
    /// The written machine record lists the machine. No task may start before.
    pub recorded: bool,
    /// Whether the machine takes tasks, as far as this leader decides.
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
    /// The fencing token for commands to the machine, where it was raised above the term.
    pub raised_token: u64,
    /// The machine has sent a message under this leader's term, or was proven empty after its
    /// lease expired. Replies and calls of former leaders can no longer take effect on it.
    pub fenced: bool,
    /// When the present session was first seen. A session starts with a lease of its own,
    /// before any of its heartbeats is answered.
    pub session_seen_at: f64,
    /// When the machine was fenced. Until then a former leader may have answered it.
    pub fenced_at: f64,
    /// When the latest message from the machine arrived.
    pub heard_at: f64,
    /// When a message suggested that the machine had restarted its session numbering, unless
    /// a newer message has arrived since.
    pub restart_suspected_at: Option<f64>,
    /// The machine has restarted its session numbering: it answered a direct call with a
    /// message that is older than the newest one known when the call began. Its sessions may
    /// therefore reach the number of the session that a start in flight was sent to.
    pub session_numbering_restarted: bool,
    /// When a heartbeat of the machine was last answered.
    pub answered_at: Option<f64>,
    /// Evidence on whether the machine receives this leader's replies.
    pub delivery: Delivery,
    /// When the cloud will take the machine back, if it has announced that.
    pub notice_at: Option<f64>,
    /// The attempts that are or may be on the machine.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// How many attempts of jobs unknown to this leader are on the machine and have not
    /// exited.
    pub unknown_attempts: u32,
    /// The machine's queue, of bounded length. Tasks in it may also start elsewhere.
    pub queue: Vec<QueuedTask>,
    /// Capacity that is not occupied by live attempts.
    pub free_capacity: Resources,
    /// The machine is in the index of usable machines.
    pub indexed: bool,
    /// The task list of the newest heartbeat, as received. It is present only while a
    /// heartbeat with the same list can be answered without commands.
    pub repeatable_tasks: Option<Box<str>>,
    /// Cached images with their sizes in gigabytes, most recently used last.
    pub images: Vec<(String, f64)>,
    /// A direct call to the machine is in flight.
    pub call_in_flight: bool,
    /// When the latest direct call began.
    pub called_at: f64,
    /// The newest message known when that call began.
    pub called_at_message: MessageId,
    /// How many consecutive direct calls ended without a response.
    pub unanswered_calls: u32,
    /// When the machine was first asked for a report under this leader's term.
    pub probed_at: Option<f64>,
    /// Jobs of the consecutive failures on the machine. A job that never succeeded is listed
    /// once, since its failures may be its own fault.
    pub recent_failures: Vec<Name>,
    /// Time since which the machine has had no attempts.
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
            restart_suspected_at: None,
            session_numbering_restarted: false,
            answered_at: None,
            delivery: Delivery::default(),
            notice_at: None,
            attempts: BTreeMap::new(),
            unknown_attempts: 0,
            queue: Vec::new(),
            free_capacity: Resources::default(),
            indexed: false,
            repeatable_tasks: None,
            images: Vec::new(),
            call_in_flight: false,
            called_at: f64::NEG_INFINITY,
            called_at_message: MessageId::NONE,
            unanswered_calls: 0,
            probed_at: None,
            recent_failures: Vec::new(),
            idle_since: now,
        }
    }

    /// The fencing token of replies and calls to the machine under this term. It stays
    /// within the term's range of tokens, since a higher one would be a later leader's.
    pub fn token_under(&self, term: u64) -> u64 {
        self.raised_token.clamp(term, term + TOKENS_PER_TERM - 1)
    }

    /// Whether the machine has the image cached.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records that an image was used. Evicts the least recently used images while the total
    /// size exceeds that of the cache.
    pub fn used_image(&mut self, image: &str, image_gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_string(), image_gb));
        let total_gb =
            |images: &[(String, f64)]| images.iter().map(|(_, size_gb)| size_gb).sum::<f64>();
        while self.images.len() > 1 && total_gb(&self.images) > cache_gb {
            self.images.remove(0);
        }
    }

    /// Capacity that is not occupied by live attempts, for a machine of this type.
    pub(crate) fn unoccupied(&self, kind: &MachineType) -> Resources {
        let mut unoccupied = Resources::of_type(kind);
        for (_, attempt) in self.live_attempts() {
            unoccupied.subtract(&attempt.resources);
        }
        unoccupied
    }

    /// Whether an attempt of the task is or may be on the machine, exited ones included.
    pub fn has_attempt_of(&self, task: &TaskId) -> bool {
        self.attempts
            .range(AttemptId::new(task.clone(), 0)..=AttemptId::new(task.clone(), u64::MAX))
            .next()
            .is_some()
    }

    /// Whether the machine blocks placement after a takeover: it may run tasks of a former
    /// leader, or it runs tasks of unknown jobs.
    pub fn blocks_placement(&self) -> bool {
        let unfenced = self.recorded && !self.fenced && self.status != MachineStatus::Expired;
        unfenced && !self.drained || self.unknown_attempts > 0
    }

    /// Whether tasks may start on the machine. That requires, among other conditions, that a
    /// message arrived from it less than `silent_s` seconds ago.
    pub fn is_usable(&self, now: f64, silent_s: f64) -> bool {
        self.recorded
            && self.fenced
            && self.status == MachineStatus::Up
            && !self.cordoned
            && self.unknown_attempts == 0
            && self.notice_at.is_none()
            && !self.delivery.is_doubtful()
            && !self.session_numbering_restarted
            && now - self.heard_at < silent_s
    }

    /// Whether it has been doubtful for more than `limit_s` seconds that the machine receives
    /// this leader's replies.
    pub fn is_unreachable(&self, now: f64, limit_s: f64) -> bool {
        self.delivery
            .doubtful_for(now)
            .is_some_and(|doubtful_s| doubtful_s > limit_s)
    }

    /// Whether the session is numbered too high to be later than the known one, since each
    /// session between the two would have lasted at least a lease. Such a session is of an
    /// earlier incarnation of a machine that has restarted its session numbering. (This
    /// guards against a late response to a call from just before the restart. It looked
    /// newer, so that a task that had just started on the machine was started elsewhere too.)
    pub fn is_early_session(&self, session: u64, lease_s: f64, now: f64) -> bool {
        let sessions_between = session
            .saturating_sub(self.last_message.session)
            .saturating_sub(1);
        let min_elapsed_s = sessions_between as f64 * lease_s * MIN_SESSION_LEASE_FRACTION;
        self.last_message != MessageId::NONE && now - self.session_seen_at < min_elapsed_s
    }

    /// Whether a start that was sent may yet be executed in a future session. If a machine
    /// has restarted its session numbering, its silence does not rule that out; only a newer
    /// session, a higher token or the end of the machine does. (This guards against a task
    /// that ran twice: a start without a response was delayed until the machine reached the
    /// session number that it was sent to, long after the expiry of the lease had seemed to
    /// prove the machine empty.)
    pub fn may_still_start(&self) -> bool {
        // A suspected restart of the numbering (`restart_suspected_at`) is not sufficient. If the
        // first message that a leader receives is a late heartbeat of an old session,
        // `is_early_session` holds for the present session, and such a machine would be
        // refused for ever.
        let may_have_late_copy = |attempt: &Attempt| {
            attempt
                .duplicate_starts_up_to
                .is_some_and(|token| token >= self.seen_token)
        };
        let may_start = |attempt: &Attempt| attempt.is_in_flight() || may_have_late_copy(attempt);
        self.session_numbering_restarted && self.attempts.values().any(may_start)
    }

    /// Attempts that occupy capacity: all that have not exited.
    pub fn live_attempts(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.attempts
            .iter()
            .filter(|(_, attempt)| !attempt.has_exited())
    }
}

/// A machine's name as a shared key.
pub fn name(info: &MachineInfo) -> Name {
    info.id.as_str().into()
}
