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
//! | [`EmptyProof::LaterSession`] | a message of a later session, and no sign of a restart | attempts that ran, and starts in replies, which die with their session; not direct starts without an answer |
//! | [`EmptyProof::LeasesEnded`] | the clock, and contact to the state service afterwards | the same |
//!
//! Only a higher token makes a direct start without an answer impossible, since a machine keeps the
//! highest token that it has seen. The end of a session does not: the machine may restart
//! unnoticed, count its sessions from the beginning, and execute the start when it reaches the
//! session to which the start was addressed. If a restart is suspected, the same holds for copies
//! of direct starts that were answered. Such attempts stay placed on the machine, and the machine
//! stays in the machine record, until one of the other proofs.

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
                !machine.may_execute_start_later(attempt)
            }
        }
    }
}

impl Attempt {
    /// Whether the machine, which has shown `seen_token`, accepts a direct call with the attempt's
    /// start that is under way, or a late copy of one that was answered.
    pub(crate) fn has_open_start(&self, seen_token: u64) -> bool {
        let accepts_call = self
            .duplicate_starts_up_to
            .is_some_and(|token| token >= seen_token);
        self.call_in_flight || accepts_call
    }
}

impl Machine {
    /// Whether the machine may execute, in a future session, a direct call that was already sent
    /// and starts the attempt.
    fn may_execute_start_later(&self, attempt: &Attempt) -> bool {
        let accepts_call = attempt
            .duplicate_starts_up_to
            .is_some_and(|token| token >= self.seen_token);
        let restart_suspected = self
            .incarnation_check
            .is_some_and(|check| check.restart_suspected);
        let may_have_copy = restart_suspected && !attempt.has_exited();
        accepts_call && (attempt.has_unanswered_call() || may_have_copy)
    }

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
