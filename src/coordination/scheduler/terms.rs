//! Terms and fencing tokens: when placement may begin after a takeover, the numbering of
//! attempts, and tokens above the term for single machines.
//!
//! Each term has a range of `TOKENS_PER_TERM` tokens, which begins with the term itself. A
//! machine refuses commands with a token lower than the highest token it has seen. Once a
//! command with a higher token has arrived, late copies of earlier calls are therefore refused.

use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::records::TOKENS_PER_TERM;

/// Number of low bits of an attempt number that number the attempts of one leader. The high
/// bits are the term of the leader's takeover.
const ATTEMPT_BITS: u32 = 24;

/// If a direct call with a start command gets no response, the machine's token is raised after
/// the cancellation deadline divided by this number, so that the call can no longer be
/// executed. Most of the deadline then remains for stopping the task.
const UNRESOLVED_START_DIVISOR: f64 = 8.0;

impl Scheduler {
    /// Allows placement if no machine blocks placement any more. Returns whether placement is
    /// allowed. During a takeover this method is called after every heartbeat. For that reason
    /// machines that no longer block placement are removed from `unfenced` and not examined
    /// again.
    pub fn allow_placement_if_fenced(&mut self) -> bool {
        if self.fence.placement_allowed {
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
        self.fence.placement_allowed = true;
        true
    }

    /// How many machines block placement after a takeover; `None` once placement is allowed.
    pub fn machines_blocking_placement(&self) -> Option<usize> {
        if self.fence.placement_allowed {
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

    /// Assigns the next attempt number. Attempt numbers only increase, also across takeovers,
    /// since their high bits are the term of the takeover.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempts_numbered += 1;
        (self.fence.base_term << ATTEMPT_BITS) + self.attempts_numbered
    }

    /// Raises the token of each machine with a start command whose outcome has been unknown for
    /// too long. Such a command may be executed until the machine has seen a higher token. A
    /// token from the range of the present term requires no write to the state service, so
    /// tokens can be raised during an outage of that service. Returns true if a machine has the
    /// last token of the range, so that a new term must be written.
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

    /// Adopts a new term that was written for this leader; a lower term is ignored.
    pub fn raise_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }
}

/// Raises the machine's token if the outcome of a start command under the present token is
/// overdue; `is_overdue` decides by the time of the call. While a call to the machine is in
/// flight, the token is not raised, since the machine could then refuse that call. Returns
/// whether the machine has a start command with an unknown outcome.
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
        machine.unchanged_task_list = None;
    }
    any_unresolved
}
