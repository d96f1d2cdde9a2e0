//! Identifies the present incarnation of a machine.
//!
//! A machine that restarts may count its sessions and messages from the beginning and forget the
//! highest token that it has seen. Its message numbers then do not tell which of two messages is
//! the newer one, and a start that was sent to the earlier incarnation is executed if the machine
//! reaches the same session number again.
//!
//! As soon as a message of a machine does not fit the newest known one, and when a machine is heard
//! again after its lease expired, the leader begins an incarnation check: it sends the machine a token
//! that no message carried before, without commands. A message that shows this token was sent after
//! the check began, so it is newer than every message known at that time, whatever its numbers are,
//! and its sender rejects every call sent before. While the check is open, no other message of the
//! machine counts.

use crate::coordination::scheduler::incarnation_check::IncarnationCheck;
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::Report;
use crate::storage::records::TOKENS_PER_TERM;

/// Why an incarnation check begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CheckReason {
    /// A message has a lower number or token than the newest known message, or a session that
    /// cannot have begun yet.
    NumberingMismatch,
    /// The leases of the machine have ended, but the machine may still execute a direct start.
    OpenStart,
    /// The machine is heard again after its lease was declared expired. It may have restarted
    /// meanwhile without a sign, and late messages of its earlier incarnations may have higher numbers
    /// than those of the present one.
    ReturnAfterExpiry,
}

impl Machine {
    /// Whether an incarnation check is open and the report shows its token.
    pub(crate) fn passes_incarnation_check(&self, report: &Report) -> bool {
        self.incarnation_check
            .is_some_and(|check| report.token >= check.token)
    }
}

impl Scheduler {
    /// Begins an incarnation check of the machine, unless one is open. The machine's token is
    /// raised to one that was never sent to the machine.
    pub(crate) fn begin_incarnation_check(&mut self, name: &Name, reason: CheckReason, now: f64) {
        let term = self.term;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if machine.incarnation_check.is_some() {
            return;
        }
        let token = machine.token_under(term) + 1;
        let last_token = term + TOKENS_PER_TERM - 1;
        tracing::info!(
            machine = %name,
            ?reason,
            token,
            last_message = ?machine.last_message,
            seen_token = machine.seen_token,
            "incarnation check begins"
        );
        machine.incarnation_check = Some(IncarnationCheck {
            token,
            began_at: now,
        });
        machine.raised_token = token.min(last_token);
        machine.unchanged_task_list = None;
        if token >= last_token {
            // The term has no higher token left; `raise_overdue_tokens` requests a new term.
            self.machines_with_unresolved_starts.insert(name.clone());
        }
    }
}
