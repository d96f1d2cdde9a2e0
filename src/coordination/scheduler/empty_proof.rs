//! The rule for proof that attempts are not on a machine.
//!
//! An attempt counts as running from the decision to start it until there is proof of both:
//!
//! 1. It does not run on the machine now.
//! 2. No start command that was already sent can start it later.
//!
//! | proof | what shows it | rules out |
//! | --- | --- | --- |
//! | [`EmptyProof::MachineGone`] | the cloud confirmed the return, or lists the machine no longer | all attempts |
//! | [`EmptyProof::IncarnationChecked`] | a message with a token that was first sent when the check began | all attempts that the message does not list: the sender rejects every earlier call |
//! | [`EmptyProof::LaterSession`] | a message of a later session before the lease expired, and no sign of a restart | attempts without an open start: those that ran, and starts in replies, which die with their session |
//! | [`EmptyProof::LeasesEnded`] | the clock, and contact to the state service afterwards | the same |
//! | a message of the known session that does not list the attempt | its number | the same |
//! | a message that lists the attempt as exited | its number | the same |
//!
//! The direct start of an attempt is open as long as the machine may accept a call that carries it:
//! from the moment the call is sent until the machine has shown a higher token. Whether the call
//! was answered makes no difference, since a late copy of it may arrive. Neither does the end of a
//! session: the machine may restart unnoticed, count its sessions from the beginning, and execute
//! the call in the session to which it was addressed. Only the token protects against that, since a
//! machine keeps the highest token that it has seen.
//!
//! So that few starts are open when a machine falls silent, the answer to the next heartbeat after a
//! direct start carries a higher token (`agents::commands`). Attempts with an open start stay placed
//! on the machine, and the machine stays in the machine record, until one of the other proofs.

use crate::coordination::scheduler::attempt::Attempt;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// What proves that attempts are not on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EmptyProof {
    /// All leases that any leader can have renewed have ended.
    LeasesEnded,
    /// The machine sent a message of a later session.
    LaterSession,
    /// The machine passed an incarnation check and had restarted or begun a later session.
    IncarnationChecked,
    /// The machine does not exist any more.
    MachineGone,
}

impl EmptyProof {
    /// Whether the proof rules out that the attempt runs on the machine, now or later.
    pub(crate) fn rules_out(self, machine: &Machine, attempt: &Attempt) -> bool {
        match self {
            EmptyProof::MachineGone | EmptyProof::IncarnationChecked => true,
            EmptyProof::LeasesEnded | EmptyProof::LaterSession => {
                !attempt.has_open_start(machine.seen_token)
            }
        }
    }
}

impl Attempt {
    /// Whether a direct call with the attempt's start, or a late copy of one, can start the attempt
    /// on a machine that has shown `seen_token`.
    pub(crate) fn has_open_start(&self, seen_token: u64) -> bool {
        let accepts_call = self
            .called_with_token
            .is_some_and(|token| token >= seen_token);
        self.call_in_flight || accepts_call
    }

    /// Records that the attempt has exited. Returns whether its task, and its share of the team's
    /// limit, may be released now.
    pub(crate) fn may_release_after_exit(&mut self, seen_token: u64) -> bool {
        self.release_deferred = self.has_open_start(seen_token);
        !self.release_deferred
    }

    /// Returns true once, when the release of the attempt was deferred and its start is not open
    /// any more.
    pub(crate) fn take_deferred_release(&mut self, seen_token: u64) -> bool {
        let due = self.release_deferred && !self.has_open_start(seen_token);
        if due {
            self.release_deferred = false;
        }
        due
    }
}

impl Machine {
    /// The number of attempts whose direct start the machine may still execute.
    pub(crate) fn open_starts(&self) -> usize {
        let attempts = self.attempts.values();
        let open = attempts.filter(|attempt| attempt.has_open_start(self.seen_token));
        open.count()
    }

    /// Whether the machine's lease expired and no attempt counts as running on it.
    pub fn is_proven_empty(&self) -> bool {
        self.status == MachineStatus::Expired && self.attempts.is_empty()
    }
}

impl Scheduler {
    /// The number of attempts that no message has shown and whose direct start has no answer.
    pub fn unanswered_starts(&self) -> usize {
        let attempts = self.machines.values().flat_map(|m| m.attempts.values());
        attempts.filter(|a| a.has_unanswered_call()).count()
    }

    /// The number of attempts whose direct start, answered or not, the machine may still execute.
    pub fn open_starts(&self) -> usize {
        let machines = self.machines.values();
        machines.map(Machine::open_starts).sum()
    }

    /// The number of machines with an open incarnation check.
    pub fn open_incarnation_checks(&self) -> usize {
        let machines = self.machines.values();
        machines.filter(|m| m.incarnation_check.is_some()).count()
    }
}
