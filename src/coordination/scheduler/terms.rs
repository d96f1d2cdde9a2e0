//! Terms and fencing tokens: when placement may begin after a takeover, the numbering of
//! attempts, and tokens above the term for single machines.
//!
//! Each term has a range of `TOKENS_PER_TERM` tokens, which begins with the term itself. A
//! machine refuses commands with a token lower than the highest it has seen. A command with
//! a higher token therefore rules out that late copies of earlier calls are executed.

use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::records::TOKENS_PER_TERM;

/// Number of low bits of an attempt number that count the attempts of one term.
const ATTEMPT_BITS: u32 = 24;

/// A direct call with a start that got no response is ruled out by a higher token after the
/// cancellation deadline divided by this number. That leaves most of the deadline for
/// stopping the task.
const UNRESOLVED_START_DIVISOR: f64 = 8.0;

impl Scheduler {
    /// Whether placement is allowed, which requires that no machine blocks it any more. This
    /// is called after every heartbeat during a takeover, so it removes each machine that no
    /// longer blocks placement from `unfenced` instead of examining it again.
    pub fn fencing_complete(&mut self) -> bool {
        if self.fence.open {
            return true;
        }
        while let Some(name) = self.unfenced.last() {
            let machine = self.machines.get(name);
            if machine.is_some_and(Machine::blocks_placement) {
                return false;
            }
            self.unfenced.pop();
        }
        tracing::info!(term = self.term, "all machines fenced: placement begins");
        self.fence.open = true;
        true
    }

    /// How many machines block placement after a takeover; `None` once placement is allowed.
    pub fn machines_blocking_placement(&self) -> Option<usize> {
        if self.fence.open {
            return None;
        }
        let machines = self
            .unfenced
            .iter()
            .filter_map(|name| self.machines.get(name));
        Some(
            machines
                .filter(|machine| machine.blocks_placement())
                .count(),
        )
    }

    /// Assigns the next attempt number. Numbers only increase, also across takeovers, since
    /// their high bits are the term of the takeover.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts_numbered += 1;
        (self.fence.base_term << ATTEMPT_BITS) + self.attempts_numbered
    }

    /// Raises the token of machines with a start whose outcome has been unknown for too long.
    /// Such a start may be executed until the machine has seen a higher token. A token from
    /// the range of the present term requires no write to the state service, so this works
    /// during an outage of that service. Returns true if a machine has used up the range, so
    /// that a new term must be written.
    pub fn raise_overdue_tokens(&mut self, now: f64) -> bool {
        let unresolved_limit_s = self.config.cancel_s / UNRESOLVED_START_DIVISOR;
        let term = self.term;
        let last_token = term + TOKENS_PER_TERM - 1;
        let machines = &mut self.machines;
        let mut any_exhausted = false;
        self.machines_with_unresolved_starts.retain(|name| {
            let Some(machine) = machines.get_mut(name) else {
                return false;
            };
            let unresolved = raise_token_if_overdue(machine, term, last_token, |called_at| {
                now - called_at > unresolved_limit_s
            });
            let exhausted = machine.raised_token == last_token;
            any_exhausted |= exhausted;
            unresolved || exhausted
        });
        any_exhausted
    }

    /// Adopts a higher term that was written for this leader.
    pub fn raise_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }
}

/// Raises the machine's token if a start under its present token is overdue. While a call to
/// the machine is in flight the token stays, since the machine would refuse that call.
/// Returns whether the outcome of any start is unknown.
fn raise_token_if_overdue(
    machine: &mut Machine,
    term: u64,
    last_token: u64,
    is_overdue: impl Fn(f64) -> bool,
) -> bool {
    let token = machine.token_under(term);
    let mut unresolved = machine
        .attempts
        .values()
        .filter_map(|attempt| attempt.unresolved_call)
        .peekable();
    let any_unresolved = unresolved.peek().is_some();
    let overdue =
        unresolved.any(|(call_token, called_at)| call_token >= token && is_overdue(called_at));
    if overdue && !machine.call_in_flight {
        machine.raised_token = (token + 1).min(last_token);
        machine.repeatable_tasks = None;
    }
    any_unresolved
}
