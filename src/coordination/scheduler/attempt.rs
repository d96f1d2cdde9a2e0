//! An attempt on a machine, and what is known of its start and its end.

use crate::coordination::scheduler::message_id::MessageId;
use crate::coordination::scheduler::resources::Resources;
use crate::protocol::worker::{Cause, Phase};

/// An attempt that is on a machine, or may be.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its phase as last reported; `None` until a heartbeat has shown the attempt.
    pub phase: Option<Phase>,
    /// Why it exited, if it did.
    pub cause: Option<Cause>,
    /// When the start was decided.
    pub start_decided_at: f64,
    /// When it was first seen running.
    pub running_since: Option<f64>,
    /// Whether it is counted among its job's running tasks.
    pub counted_as_running: bool,
    /// The newest message that showed it.
    pub last_shown: MessageId,
    /// The start was sent in the answer to this heartbeat and may still be executed.
    pub sent_in_reply_to: Option<MessageId>,
    /// A direct call with the start is under way.
    pub call_in_flight: bool,
    /// Highest token of the direct calls with its start so far: until the machine has
    /// seen a higher one, a copy of such a call restarts the attempt once it is forgotten.
    pub duplicate_starts_up_to: Option<u64>,
    /// Token and time of a direct call with the start that had no answer: it may be
    /// executed until the machine has seen a higher token or has a newer session.
    pub unresolved_call: Option<(u64, f64)>,
    /// A start or stop waits to be sent.
    pub unsent: bool,
    /// An answer told the machine to stop or forget it, and no later message has shown
    /// the effect.
    pub told_to_end: bool,
    /// The grace in seconds with which it is to be stopped, if it is.
    pub stop_grace_s: Option<f64>,
    /// What it occupies on the machine; nothing as long as its job is unknown.
    pub resources: Resources,
}

impl Attempt {
    /// An attempt whose start is decided and not sent yet.
    pub fn new(now: f64, resources: Resources) -> Attempt {
        Attempt {
            phase: None,
            cause: None,
            start_decided_at: now,
            running_since: None,
            counted_as_running: false,
            last_shown: MessageId::NONE,
            sent_in_reply_to: None,
            call_in_flight: false,
            duplicate_starts_up_to: None,
            unresolved_call: None,
            unsent: true,
            told_to_end: false,
            stop_grace_s: None,
            resources,
        }
    }

    /// Whether a heartbeat that shows the same again has no effect.
    pub fn is_steady(&self) -> bool {
        let shown_live = self.phase.is_some() && !self.has_exited() && self.stop_grace_s.is_none();
        shown_live && !self.unsent && !self.is_in_flight()
    }

    /// Whether a copy of its start may still reach the machine.
    pub fn is_in_flight(&self) -> bool {
        self.sent_in_reply_to.is_some() || self.call_in_flight || self.unresolved_call.is_some()
    }

    /// Whether it was reported as exited.
    pub fn has_exited(&self) -> bool {
        self.phase == Some(Phase::Exited)
    }
}
