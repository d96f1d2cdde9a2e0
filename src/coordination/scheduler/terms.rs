//! Terms and fencing tokens: when placement may begin after a takeover, the numbering of
//! attempts, and tokens above the term for single machines.
//!
//! A term comes with a range of `TOKENS_PER_TERM` tokens. A machine refuses commands under
//! a token lower than the highest it has seen, so that a higher one rules out late copies
//! of earlier calls.

use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::state::Scheduler;
use crate::storage::records::TOKENS_PER_TERM;

/// Low bits of an attempt number that count the attempts of one term.
const ATTEMPT_BITS: u32 = 24;

/// Part of the cancellation deadline after which a direct start without an answer is ruled
/// out by a higher token; it leaves time within the deadline for the rest.
const UNRESOLVED_START_PART: f64 = 8.0;

impl Scheduler {
    /// Whether placement is allowed: every machine of the record is accounted for. It is
    /// called after every heartbeat of a takeover, so each machine that turned out to be
    /// accounted for is examined once.
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

    /// How many machines block placement after a takeover; `None` once it is allowed.
    pub fn machines_blocking_placement(&self) -> Option<usize> {
        if self.fence.open {
            return None;
        }
        let machines = self
            .unfenced
            .iter()
            .filter_map(|name| self.machines.get(name));
        Some(machines.filter(|m| m.blocks_placement()).count())
    }

    /// The next attempt number. Numbers only grow, also across takeovers, since the term
    /// of the takeover is their upper part.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.last_attempt += 1;
        (self.fence.base_term << ATTEMPT_BITS) + self.last_attempt
    }

    /// Raises the token of machines with a start whose outcome stays unknown. Such a start
    /// may be executed until the machine has seen a higher token; a token of the present
    /// term's range needs no write, and so does not wait for the state service in an
    /// outage. Returns true if a machine has used up the range, so that a new term must
    /// be written.
    pub fn raise_overdue_tokens(&mut self, now: f64) -> bool {
        let unresolved_limit_s = self.config.cancel_s / UNRESOLVED_START_PART;
        let term = self.term;
        let last_token = term + TOKENS_PER_TERM - 1;
        let machines = &mut self.machines;
        let mut used_up = false;
        self.unresolved_starts.retain(|name| {
            let Some(machine) = machines.get_mut(name) else {
                return false;
            };
            let unresolved = raise_token_if_overdue(machine, term, last_token, |called_at| {
                now - called_at > unresolved_limit_s
            });
            let exhausted = machine.raised_token == last_token;
            used_up |= exhausted;
            unresolved || exhausted
        });
        used_up
    }

    /// A higher term was written for this leader.
    pub fn raise_term(&mut self, term: u64) {
        self.term = self.term.max(term);
    }
}

/// Raises the machine's token if a start under the present one is overdue and no call is
/// under way that would be refused for it. Returns whether any start is unresolved.
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
