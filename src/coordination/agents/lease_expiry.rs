//! Lease expiry: when silence proves a machine empty.
//!
//! Each answer to a heartbeat renews the lease of the worker's session, and a worker whose
//! lease ends kills all its tasks. A machine is therefore empty once every lease that
//! anyone can have renewed is over, with a margin for the drift of clocks. From then on
//! the session is never answered again.

use crate::coordination::scheduler::config::lease_with_margin_s;
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// When the last lease that we can have given to a session of the machine began.
fn last_lease_began_at(machine: &Machine) -> f64 {
    // A session seen in a direct call's answer runs a lease from its beginning, although
    // no heartbeat of it was answered yet.
    let session_seen_at = machine.session_seen_at;
    let renewed_at = machine
        .answered_at
        .map_or(session_seen_at, |t| t.max(session_seen_at));
    let renewed_at = machine
        .renumbered_at
        .map_or(renewed_at, |t| renewed_at.max(t));
    // A machine that was back at once may have begun to count when the call with a start
    // came, which then lives for a lease.
    let unseen = machine.attempts.values().filter(|a| a.phase.is_none());
    unseen
        .map(|a| a.start_decided_at)
        .fold(renewed_at, f64::max)
}

impl Scheduler {
    /// Declares the leases of silent machines expired, and keeps the index of usable
    /// machines. `confirmed`: see `tick`.
    pub(crate) fn expire_leases(&mut self, now: f64, confirmed: f64) {
        let mut expired = Vec::new();
        let mut usability_changed = Vec::new();
        for (name, machine) in &self.machines {
            if machine.status == MachineStatus::Expired {
                continue;
            }
            let usable =
                self.is_usable(machine, now) && self.types.contains_key(&machine.info.kind);
            if machine.indexed != usable {
                usability_changed.push(name.clone());
            }
            let over = self
                .leases_end_at(machine)
                .is_some_and(|end| now > end && confirmed > end);
            if over && !machine.may_still_start() {
                expired.push(name.clone());
            }
        }
        for name in usability_changed {
            self.update_capacity(&name);
        }
        for name in expired {
            self.expire_machine(&name, now);
        }
    }

    /// When all leases of the machine that anyone can have renewed are over; `None` while
    /// that is not known.
    fn leases_end_at(&self, machine: &Machine) -> Option<f64> {
        let lease_s = lease_with_margin_s(self.config.lease_s);
        if machine.fenced {
            // Ours alone counts once the machine has seen our term: from then on it drops
            // the answers of all former leaders.
            let own = last_lease_began_at(machine) + lease_s;
            return Some(own.max(machine.fenced_at + lease_s));
        }
        // Nothing of ours was started there. What a former leader did is over a lease
        // after the last answer of anyone: the session that lives then began later. (Each
        // session of an unreachable machine has a lease of its own, and so would
        // never prove it empty.)
        let answered = machine
            .answered_at
            .map_or(f64::NEG_INFINITY, |t| t + lease_s);
        self.fence.empty_from(lease_s).map(|t| t.max(answered))
    }

    /// The machine is proven empty.
    fn expire_machine(&mut self, name: &Name, now: f64) {
        tracing::warn!(machine = %name, term = self.term, "lease expired: proven empty");
        self.clear_machine(name);
        if let Some(machine) = self.machines.get_mut(name) {
            machine.status = MachineStatus::Expired;
            machine.recorded = false;
            // No former leader answers any more, and what sessions it knew are
            // over: the next one holds up nobody. (An unreachable machine
            // never reports under our term; after each lease the whole shard
            // would wait for it again.)
            if !machine.fenced {
                machine.fenced = true;
                machine.fenced_at = now;
            }
        }
        self.update_capacity(name);
        self.outbox.swap_remove(name);
        self.machine_record_dirty = true;
        self.placement_due = true;
    }
}
