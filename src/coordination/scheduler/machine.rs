//! A machine as the leader knows it: its sessions, the attempts that may be on it, its
//! queue, and whether tasks may start on it.
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

/// A lease less the bound on clock drift: the least time that a session lasts.
const LEAST_LEASE_PART: f64 = 0.999;

/// Why a task is in a machine's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueReason {
    /// The queue was the shortest of a sample; the task may also start elsewhere.
    ShortestQueue,
    /// Attempts on this machine are being stopped to free capacity for the task.
    Preemption,
}

/// A task in a machine's queue.
#[derive(Debug, Clone)]
pub struct QueuedTask {
    /// The task.
    pub task: TaskId,
    /// Rank of its job when it was queued, lowest first.
    pub rank: u8,
    /// Its predicted run time in seconds.
    pub predicted_s: f64,
    /// When it was queued.
    pub since: f64,
    /// Why it is in this queue.
    pub reason: QueueReason,
}

impl QueuedTask {
    /// Whether capacity that becomes free on the machine is reserved for it.
    pub fn is_reserved(&self) -> bool {
        self.reason == QueueReason::Preemption
    }
}

/// Whether a machine may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineStatus {
    /// It takes tasks.
    Up,
    /// It takes no tasks any more and will be returned to the cloud.
    Draining,
    /// Its lease expired and it was proven empty; its session must not be answered again.
    Expired,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    /// Its name, address, type and zone, as in the machine record.
    pub info: MachineInfo,
    /// The written machine record lists it, so tasks may start on it.
    pub recorded: bool,
    /// Whether it may be used.
    pub status: MachineStatus,
    /// Cordoned by an operator: no new task starts on it (see `drains`).
    pub cordoned: bool,
    /// It was drained and recorded as empty before this leader took over, so that it
    /// blocks no placement.
    pub drained: bool,
    /// The newest message seen.
    pub last_message: MessageId,
    /// Highest fencing token that the machine is known to have seen.
    pub seen_token: u64,
    /// The token that it gets from us, if that is above our term.
    pub raised_token: u64,
    /// It sent a heartbeat under our term since we took over.
    pub fenced: bool,
    /// When its present session was first seen; a session has a lease of its own from its
    /// beginning, without any answer.
    pub session_seen_at: f64,
    /// When it was fenced: until then a former leader may have answered it.
    pub fenced_at: f64,
    /// When a message from it last arrived.
    pub heard_at: f64,
    /// When a message of it seemed to count its sessions anew, and no newer one came since.
    pub renumbered_at: Option<f64>,
    /// It answered a call with something older than was known when it was called: it
    /// counts its sessions anew, and may come to the session of a start that is in flight.
    pub renumbers: bool,
    /// When a heartbeat of it was last answered.
    pub answered_at: Option<f64>,
    /// Evidence on whether it receives our replies.
    pub delivery: Delivery,
    /// When the cloud will take it back, if that was announced.
    pub notice_at: Option<f64>,
    /// The attempts that are on it, or may be.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Count of attempts of jobs unknown to us that have not exited.
    pub unknown_attempts: u32,
    /// Its queue, of a bounded length; what waits there may also start elsewhere.
    pub queue: Vec<QueuedTask>,
    /// Capacity that its live attempts leave.
    pub free_capacity: Resources,
    /// It stands in the index of usable machines.
    pub indexed: bool,
    /// The task list of its newest heartbeat, as received, while a heartbeat with the
    /// same list needs no more than an answer.
    pub repeatable_tasks: Option<Box<str>>,
    /// Images that it has cached with their sizes in gigabytes, most recently used last.
    pub images: Vec<(String, f64)>,
    /// A direct call to it is under way.
    pub call_in_flight: bool,
    /// When the last direct call began.
    pub called_at: f64,
    /// The newest message known when that call began.
    pub called_at_message: MessageId,
    /// Count of consecutive calls that ended without an answer.
    pub unanswered_calls: u32,
    /// When it was first asked for a heartbeat under our term.
    pub probed_at: Option<f64>,
    /// Consecutive failures on it, by their jobs: those of a job that never succeeded count
    /// once, since they may be the job's own fault.
    pub recent_failures: Vec<Name>,
    /// Since when it has had no attempts.
    pub idle_since: f64,
}

impl Machine {
    /// A machine that no message has arrived from yet.
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
            renumbered_at: None,
            renumbers: false,
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

    /// The fencing token of answers and calls to it under our term. Whatever it was raised
    /// for, a token beyond the term's range would be a later leader's.
    pub fn token_under(&self, term: u64) -> u64 {
        self.raised_token.clamp(term, term + TOKENS_PER_TERM - 1)
    }

    /// Whether it has cached the image.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records that an image was used, and evicts the least recently used ones beyond the
    /// size of the cache.
    pub fn used_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_string(), gb));
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }

    /// The capacity of a machine of this type that the live attempts leave.
    pub(crate) fn unused(&self, kind: &MachineType) -> Resources {
        let mut unused = Resources::of_type(kind);
        for (_, attempt) in self.live_attempts() {
            unused.subtract(&attempt.resources);
        }
        unused
    }

    /// Whether any attempt of the task is known here, exited ones included.
    pub fn has_attempt_of(&self, task: &TaskId) -> bool {
        self.attempts
            .range(AttemptId::new(task.clone(), 0)..=AttemptId::new(task.clone(), u64::MAX))
            .next()
            .is_some()
    }

    /// Whether it blocks placement after a takeover.
    pub fn blocks_placement(&self) -> bool {
        let unfenced = self.recorded && !self.fenced && self.status != MachineStatus::Expired;
        unfenced && !self.drained || self.unknown_attempts > 0
    }

    /// Whether tasks may start on it, provided that it was heard of less than `silent_s`
    /// ago.
    pub fn is_usable(&self, now: f64, silent_s: f64) -> bool {
        self.recorded
            && self.fenced
            && self.status == MachineStatus::Up
            && !self.cordoned
            && self.unknown_attempts == 0
            && self.notice_at.is_none()
            && !self.delivery.is_doubtful()
            && !self.renumbers
            && now - self.heard_at < silent_s
    }

    /// Whether it has been doubtful for longer than `limit_s` that it receives our replies.
    pub fn is_unreachable(&self, now: f64, limit_s: f64) -> bool {
        self.delivery
            .doubtful_for(now)
            .is_some_and(|doubted_s| doubted_s > limit_s)
    }

    /// Whether this session cannot be a later one than the one we know, since each session
    /// between them would have lasted a lease. It belongs to an earlier incarnation of a
    /// machine that counts its sessions anew. (Guards against a late answer to a call from
    /// just before the machine was back: it looked newer, and what had just started on the
    /// machine was started elsewhere too.)
    pub fn is_early_session(&self, session: u64, lease_s: f64, now: f64) -> bool {
        let sessions_between = session
            .saturating_sub(self.last_message.session)
            .saturating_sub(1);
        let least_s = sessions_between as f64 * lease_s * LEAST_LEASE_PART;
        self.last_message != MessageId::NONE && now - self.session_seen_at < least_s
    }

    /// Whether a start may yet be executed in a session to come: if a machine counts its
    /// sessions anew, silence proves nothing; only a newer session, a higher token or the
    /// machine's end does. (Guards against a task that ran twice: a start without an answer
    /// was delayed until the count came to its session, long after the lease expiry had
    /// seemed to prove the machine empty.)
    pub fn may_still_start(&self) -> bool {
        // A mere suspicion (`renumbered_at`) is not enough: a leader that heard a late
        // heartbeat first takes the sessions since for early, and such a machine would be
        // refused for ever.
        let has_live_copy = |attempt: &Attempt| {
            attempt
                .duplicate_starts_up_to
                .is_some_and(|token| token >= self.seen_token)
        };
        let may_start = |attempt: &Attempt| attempt.is_in_flight() || has_live_copy(attempt);
        self.renumbers && self.attempts.values().any(may_start)
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
