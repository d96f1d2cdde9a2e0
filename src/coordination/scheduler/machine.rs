//! A machine of the share, and the attempts that may be on it.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::delivery::Delivery;
use crate::coordination::scheduler::job::{AttemptId, Name, TaskId};
use crate::protocol::worker::{Cause, Phase, Report};
use crate::storage::records::{MachineInfo, TOKENS_PER_TERM};
use std::collections::BTreeMap;

/// A message of a machine: the session it belongs to, and its place in that. Later ones
/// compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageId {
    pub session: u64,
    pub seq: u64,
}

impl MessageId {
    /// Before any message.
    pub const NONE: MessageId = MessageId { session: 0, seq: 0 };

    /// The message that is this report.
    pub fn of(report: &Report) -> MessageId {
        MessageId {
            session: report.session,
            seq: report.seq,
        }
    }
}

/// An attempt that is on a machine, or may be.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// `None` until a report has shown it.
    pub phase: Option<Phase>,
    pub cause: Option<Cause>,
    /// When the start was decided.
    pub sent_at: f64,
    /// When it was first seen running.
    pub running_since: Option<f64>,
    /// It counts among its job's running tasks.
    pub counted_as_running: bool,
    /// The newest message that showed it.
    pub last_shown: MessageId,
    /// A start went out in the answer to this report and may still be executed.
    pub sent_in_reply_to: Option<MessageId>,
    /// A direct call with the start is under way.
    pub call_in_flight: bool,
    /// Highest token of the direct calls with its start so far: as long as the machine
    /// has seen none above, a copy of one starts it again once it is forgotten.
    pub copies_up_to: Option<u64>,
    /// A direct call with the start, under this term, had no answer: it may be
    /// executed until a higher term or a newer session is seen.
    pub unresolved_call: Option<(u64, f64)>,
    /// A start or stop waits to be sent.
    pub unsent: bool,
    /// An answer told the machine to stop or forget it, and no later message has
    /// shown that it did.
    pub told_to_end: bool,
    /// It is to be stopped, with this grace.
    pub stop_grace_s: Option<f64>,
    /// What it takes of the machine, as far as its job is known.
    pub resources: Resources,
}

impl Attempt {
    pub fn new(now: f64, holds: Resources) -> Attempt {
        Attempt {
            phase: None,
            cause: None,
            sent_at: now,
            running_since: None,
            counted_as_running: false,
            last_shown: MessageId::NONE,
            sent_in_reply_to: None,
            call_in_flight: false,
            copies_up_to: None,
            unresolved_call: None,
            unsent: true,
            told_to_end: false,
            stop_grace_s: None,
            resources: holds,
        }
    }
    /// Whether a report that shows the same again would tell us nothing.
    pub fn is_steady(&self) -> bool {
        let plain = self.phase.is_some() && !self.has_exited() && self.stop_grace_s.is_none();
        plain && !self.unsent && !self.is_in_flight()
    }
    /// Whether a copy of its start may still reach the machine.
    pub fn is_in_flight(&self) -> bool {
        self.sent_in_reply_to.is_some() || self.call_in_flight || self.unresolved_call.is_some()
    }
    pub fn has_exited(&self) -> bool {
        self.phase == Some(Phase::Exited)
    }
}

/// A task bound to a machine's queue.
#[derive(Debug, Clone)]
pub struct QueuedTask {
    pub task: TaskId,
    pub rank: u8,
    pub predicted_s: f64,
    pub since: f64,
    /// Room is being made for it here.
    pub reserved: bool,
}

/// What a machine is good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineStatus {
    /// Takes tasks.
    Up,
    /// Takes no tasks any more and will be returned.
    Draining,
    /// Proven empty after silence; this session must not be answered again.
    Expired,
}

/// A machine.
#[derive(Debug)]
pub struct Machine {
    pub info: MachineInfo,
    /// It stands in the share's written record, so tasks may start on it.
    pub recorded: bool,
    pub status: MachineStatus,
    /// Set aside by an operator: nothing new starts on it (see `drains`).
    pub cordoned: bool,
    /// It was set aside and recorded as empty before we took over, so that it
    /// holds up nobody.
    pub drained: bool,
    /// Newest message seen: session and sequence number.
    pub last_message: MessageId,
    /// Highest token the machine is known to have seen.
    pub seen_token: u64,
    /// The token that it gets from us, if that is above our term.
    pub raised_token: u64,
    /// Reported under our term since we took over.
    pub fenced: bool,
    /// When its present session was first seen; a session has a lease of its
    /// own from its beginning, without any answer.
    pub session_seen_at: f64,
    /// When it first did: until then a former owner may have answered it.
    pub fenced_at: f64,
    /// When a message from it last arrived.
    pub heard_at: f64,
    /// When it reported as if it counted anew, and nothing newer came since.
    pub renumbered_at: Option<f64>,
    /// It answered a call with something older than was known when it was called: it
    /// counts anew, and may come to the session of a start that is still on its way.
    pub renumbers: bool,
    /// When a report of it was last answered.
    pub answered_at: Option<f64>,
    /// Whether it hears our answers.
    pub delivery: Delivery,
    /// When the cloud will take it away.
    pub notice_at: Option<f64>,
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts of jobs that we do not know, not exited.
    pub unknown_attempts: u32,
    pub queue: Vec<QueuedTask>,
    /// Room left by what holds it (see `place`).
    pub free_capacity: Resources,
    /// It stands in the index of usable machines.
    pub indexed: bool,
    /// The task list of its newest report, as it came, while a report with the
    /// same list needs no more than an answer.
    pub repeatable_tasks: Option<Box<str>>,
    /// Images it has had, most recently used last.
    pub images: Vec<(String, f64)>,
    /// A direct call is under way.
    pub call_in_flight: bool,
    pub called_at: f64,
    /// What was known to be newest of it when that began.
    pub called_at_message: MessageId,
    /// Calls in a row that ended without an answer.
    pub unanswered_calls: u32,
    /// When it was first asked for a report under our term.
    pub probed_at: Option<f64>,
    /// Failures in a row, by their jobs: those of a job that never succeeded count
    /// once, for it may be the job's own fault.
    pub recent_failures: Vec<Name>,
    pub idle_since: f64,
}

impl Machine {
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

    /// The token of answers and calls to it, under this term of ours. Whatever it was
    /// raised for, one beyond the term's own would be a later owner's.
    pub fn token_under(&self, term: u64) -> u64 {
        self.raised_token.clamp(term, term + TOKENS_PER_TERM - 1)
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Remembers an image as used last, within the size of the cache.
    pub fn used_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_string(), gb));
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > cache_gb {
            self.images.remove(0);
        }
    }

    /// Whether any attempt of the task is known here.
    pub fn has_attempt_of(&self, task: &TaskId) -> bool {
        self.attempts
            .range(AttemptId::new(task.clone(), 0)..=AttemptId::new(task.clone(), u64::MAX))
            .next()
            .is_some()
    }

    /// Whether it holds up placing after a takeover.
    pub fn blocks_placement(&self) -> bool {
        let unknown = self.recorded && !self.fenced && self.status != MachineStatus::Expired;
        unknown && !self.drained || self.unknown_attempts > 0
    }

    /// Whether tasks may start on it, if it was heard of less than `silent_s`
    /// ago.
    pub fn is_usable(&self, now: f64, silent_s: f64) -> bool {
        self.recorded
            && self.fenced
            && self.status == MachineStatus::Up
            && !self.cordoned
            && self.unknown_attempts == 0
            && self.notice_at.is_none()
            && !self.delivery.is_doubted()
            && !self.renumbers
            && now - self.heard_at < silent_s
    }

    /// Whether it has been in doubt for longer than this whether it hears us.
    pub fn is_unreachable(&self, now: f64, longer_s: f64) -> bool {
        self.delivery.doubted_for(now).is_some_and(|s| s > longer_s)
    }

    /// Whether this session cannot have come after the one we know: each between them
    /// lasts a lease. It is of an earlier life of a machine that counts anew. (A late
    /// answer to a call of a moment before the machine was back looked newer, and what
    /// had just started on it was started elsewhere.)
    pub fn is_early_session(&self, session: u64, lease_s: f64, now: f64) -> bool {
        let between = session
            .saturating_sub(self.last_message.session)
            .saturating_sub(1);
        self.last_message != MessageId::NONE
            && now - self.session_seen_at < between as f64 * lease_s * 0.999
    }

    /// Whether a start may yet be carried out in a session to come: of a machine that
    /// counts its sessions anew silence proves nothing, only a newer session, a higher
    /// token or its end does. (A start without an answer was held up until the count came
    /// to its session, long after the lease had proven the machine empty: ran_twice.)
    pub fn may_still_start(&self) -> bool {
        // That it only looks so is not enough: an owner that heard a late report first takes
        // the sessions since for early, and such a machine would be refused for ever.
        let copied = |a: &Attempt| a.copies_up_to.is_some_and(|t| t >= self.seen_token);
        self.renumbers
            && self
                .attempts
                .values()
                .any(|a| a.is_in_flight() || copied(a))
    }

    /// Attempts that hold room.
    pub fn live_attempts(&self) -> impl Iterator<Item = (&AttemptId, &Attempt)> {
        self.attempts.iter().filter(|(_, a)| !a.has_exited())
    }
}

/// A machine's name as shared key.
pub fn name(info: &MachineInfo) -> Name {
    info.id.as_str().into()
}
