//! An attempt on a machine, and the state of the commands that start and stop it.

use crate::coordination::scheduler::message_id::MessageId;
use crate::coordination::scheduler::resources::Resources;
use crate::protocol::worker::{Cause, Phase};

/// An attempt that is or may be on a machine.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The phase as last reported; `None` until a report has listed the attempt.
    pub phase: Option<Phase>,
    /// Why the attempt exited; `None` before that.
    pub cause: Option<Cause>,
    /// When the leader decided to start the attempt.
    pub start_decided_at: f64,
    /// When the attempt was first reported as running; `None` before that.
    pub running_since: Option<f64>,
    /// Whether the number of the job's running tasks (`Job::running`) includes this attempt.
    pub counted_as_running: bool,
    /// The newest message that listed the attempt.
    pub last_shown: MessageId,
    /// The heartbeat whose reply carried the start command, as long as that command may still
    /// be executed.
    pub sent_in_reply_to: Option<MessageId>,
    /// A direct call with the start command is in flight.
    pub call_in_flight: bool,
    /// Highest token of the finished direct calls that carried the start command, whether or not
    /// they were answered; `None` if there was no such call. A late copy of a call starts the
    /// attempt again if the machine has forgotten the attempt, unless the machine has seen a higher
    /// token than the call's.
    pub called_with_token: Option<u64>,
    /// Token and time of a direct call with the start command, if the call got no response. The
    /// command may still be executed until the machine has seen a higher token or has a newer
    /// session.
    pub unresolved_call: Option<(u64, f64)>,
    /// The attempt has exited, but still counts as placed: its direct start is open, and would start
    /// it again after a restart of the machine (see `empty_proof`).
    pub release_deferred: bool,
    /// A command to start or stop the attempt has not been sent yet.
    pub unsent: bool,
    /// A reply carried the command to stop or forget the attempt, and no later message has
    /// shown whether the command took effect.
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
            called_with_token: None,
            unresolved_call: None,
            release_deferred: false,
            unsent: true,
            end_command_sent: false,
            stop_grace_s: None,
            resources,
        }
    }

    /// Whether another heartbeat that lists the attempt in the same phase would change nothing
    /// and need no command for the attempt.
    pub fn is_steady(&self) -> bool {
        let is_listed_live =
            self.phase.is_some() && !self.has_exited() && self.stop_grace_s.is_none();
        is_listed_live && !self.unsent && !self.is_in_flight()
    }

    /// Whether the machine may still execute a command to start the attempt.
    pub fn is_in_flight(&self) -> bool {
        self.sent_in_reply_to.is_some() || self.call_in_flight || self.unresolved_call.is_some()
    }

    /// Whether a direct call with the attempt's start has no answer.
    fn has_open_call(&self) -> bool {
        self.call_in_flight || self.unresolved_call.is_some()
    }

    /// Whether a direct call with the attempt's start has no answer, and no message has shown that
    /// the attempt runs.
    pub fn has_unanswered_call(&self) -> bool {
        self.has_open_call() && (self.phase.is_none() || self.release_deferred)
    }

    /// Whether the attempt was reported as exited.
    pub fn has_exited(&self) -> bool {
        self.phase == Some(Phase::Exited)
    }
}
