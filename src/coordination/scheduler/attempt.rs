//! An attempt on a machine, and the state of the commands that start and stop it.

use crate::coordination::scheduler::message_id::MessageId;
use crate::coordination::scheduler::resources::Resources;
use crate::protocol::worker::{Cause, Phase};

/// An attempt that is or may be on a machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The phase as last reported; `None` until a report has shown the attempt.
    pub phase: Option<Phase>,
    /// Why the attempt exited; `None` before that.
    pub cause: Option<Cause>,
    /// When the start was decided.
    pub start_decided_at: f64,
    /// When the attempt was first reported as running.
    pub running_since: Option<f64>,
    /// Whether the attempt is counted among its job's running tasks.
    pub counted_as_running: bool,
    /// The newest message that showed the attempt.
    pub last_shown: MessageId,
    /// The start was sent in the reply to this heartbeat and may still be executed.
    pub sent_in_reply_to: Option<MessageId>,
    /// A direct call with the start is in flight.
    pub call_in_flight: bool,
    /// Highest token of the direct calls that have carried the start. A late copy of such a
    /// call restarts the attempt if the machine has forgotten it, unless the machine has
    /// seen a higher token.
    pub duplicate_starts_up_to: Option<u64>,
    /// Token and time of a direct call with the start that got no response. The call may
    /// still be executed until the machine has seen a higher token or has a newer session.
    pub unresolved_call: Option<(u64, f64)>,
    /// A start or stop of the attempt has not been sent yet.
    pub unsent: bool,
    /// A reply commanded the machine to stop or forget the attempt, and no later message has
    /// shown that it did.
    pub end_command_sent: bool,
    /// Grace period, in seconds, of the requested stop; `None` if no stop was requested.
    pub stop_grace_s: Option<f64>,
    /// Resources that the attempt occupies on the machine; zero while its job is unknown.
    pub resources: Resources,
}

impl Attempt {
    /// An attempt whose start has been decided but not yet sent.
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
            end_command_sent: false,
            stop_grace_s: None,
            resources,
        }
    }

    /// Whether another heartbeat that shows the attempt in the same phase has no effect.
    pub fn is_steady(&self) -> bool {
        let shown_live = self.phase.is_some() && !self.has_exited() && self.stop_grace_s.is_none();
        shown_live && !self.unsent && !self.is_in_flight()
    }

    /// Whether a start of the attempt may still be executed by the machine.
    pub fn is_in_flight(&self) -> bool {
        self.sent_in_reply_to.is_some() || self.call_in_flight || self.unresolved_call.is_some()
    }

    /// Whether the attempt was reported as exited.
    pub fn has_exited(&self) -> bool {
        self.phase == Some(Phase::Exited)
    }
}
