//! Lease expiry: decides when the silence of a machine proves that its tasks have ended.
//!
//! Each answer to a heartbeat renews the lease of the worker's session, and a worker whose
//! lease ends kills all its tasks. The tasks of a machine have therefore ended once every lease
//! that any leader can have renewed has ended, with a margin for clock drift. From then on the
//! session of an expired lease is never answered again. Direct starts that the machine may still
//! execute outlive the lease; `scheduler::empty_proof` has the rule.

use crate::coordination::scheduler::config::lease_with_margin_s;
use crate::coordination::scheduler::empty_proof::EmptyProof;
use crate::coordination::scheduler::incarnation::CheckReason;
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// The beginning of the last lease that this leader can have granted to a session of the
/// machine.
fn last_lease_began_at(machine: &Machine) -> f64 {
    // A session has a lease from its beginning, even if it was seen only in the answer to a
    // direct call and none of its heartbeats has been answered yet.
    let session_seen_at = machine.session_seen_at;
    let renewed_at = machine
        .answered_at
        .map_or(session_seen_at, |at| at.max(session_seen_at));
    // Until an incarnation check begins, the machine may have restarted without our notice, and
    // direct calls may have started tasks in its new session.
    let renewed_at = machine
        .incarnation_check
        .map_or(renewed_at, |check| renewed_at.max(check.began_at));
    // A machine may have restarted without our notice just before a call with a start
    // arrived. The started task then lives for one lease, counted from the decision to start it.
    let unseen = machine
        .attempts
        .values()
        .filter(|attempt| attempt.phase.is_none());
    unseen
        .map(|attempt| attempt.start_decided_at)
        .fold(renewed_at, f64::max)
}

impl Scheduler {
    /// Declares the leases of silent machines expired, and updates the index of usable
    /// machines. For `confirmed_at` see `tick`.
    pub(crate) fn expire_leases(&mut self, now: f64, confirmed_at: f64) {
        let mut expired = Vec::new();
        let mut emptied = Vec::new();
        let mut usability_changed = Vec::new();
        for (name, machine) in &self.machines {
            if machine.status == MachineStatus::Expired {
                if machine.recorded && machine.is_proven_empty() {
                    emptied.push(name.clone());
                }
                continue;
            }
            let usable =
                self.is_usable(machine, now) && self.types.contains_key(&machine.info.kind);
            if machine.indexed != usable {
                usability_changed.push(name.clone());
            }
            let leases_ended = self
                .leases_end_at(machine)
                .is_some_and(|end| now > end && confirmed_at > end);
            if leases_ended {
                expired.push(name.clone());
            }
        }
        for name in usability_changed {
            self.update_capacity(&name);
        }
        for name in expired {
            self.expire_machine(&name, now);
        }
        for name in emptied {
            self.remove_from_record(&name);
        }
    }

    /// The time by which all leases of the machine that any leader can have renewed have ended;
    /// `None` while this time is not known.
    fn leases_end_at(&self, machine: &Machine) -> Option<f64> {
        let lease_s = lease_with_margin_s(self.config.lease_s);
        if machine.fenced {
            // Once the machine has seen our term, it drops the answers of all former leaders. So
            // former leaders can have renewed leases up to `fenced_at`, and only we after it.
            let own = last_lease_began_at(machine) + lease_s;
            return Some(own.max(machine.fenced_at + lease_s));
        }
        // We have started nothing on a machine that is not fenced. All tasks that a former
        // leader started there are gone one lease after the last answer of any leader: a
        // session that is alive at that time began after that answer. The beginnings of
        // sessions are not counted here. (Each session of an unreachable machine has a lease
        // of its own, so the machine would never be proven empty.)
        let answered = machine
            .answered_at
            .map_or(f64::NEG_INFINITY, |at| at + lease_s);
        self.fence.empty_from(lease_s).map(|at| at.max(answered))
    }

    /// Marks the machine's lease as expired and removes the attempts that this rules out. If an
    /// attempt with an open start remains, an incarnation check begins, and the machine stays in
    /// the machine record, since the next leader must know that tasks may be on it.
    fn expire_machine(&mut self, name: &Name, now: f64) {
        self.clear_machine(name, EmptyProof::LeasesEnded);
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.status = MachineStatus::Expired;
        machine.expired_at = now;
        // No former leader answers any more, and all sessions that a former leader knew have
        // ended, so the machine's next session must not block placement. (An unreachable
        // machine never reports under our term, so the whole shard would wait for the machine
        // again after each lease.)
        if !machine.fenced {
            machine.fenced = true;
            machine.fenced_at = now;
        }
        let open_starts = machine.attempts.len();
        if open_starts == 0 {
            tracing::warn!(
                machine = %name,
                term = self.term,
                "machine's lease expired; machine is proven empty"
            );
            self.remove_from_record(name);
        } else {
            tracing::warn!(
                machine = %name,
                term = self.term,
                open_starts,
                "machine's lease expired; starts that it may still execute count as running"
            );
            self.doubt_delivery(name, CheckReason::OpenStart, now);
        }
        self.update_capacity(name);
        self.outbox.swap_remove(name);
        self.placement_due = true;
    }

    /// Takes a machine that is proven empty out of the machine record.
    fn remove_from_record(&mut self, name: &Name) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.recorded = false;
            self.machine_record_dirty = true;
        }
    }
}
