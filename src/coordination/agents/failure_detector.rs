//! The failure detector: which machines are given up for dead before their leases expire,
//! and the periodic checks of all machines.
//!
//! Silence alone never proves a machine empty; an expired lease does (see `lease_expiry`),
//! and so does the cloud's confirmation that the machine was returned. Many machines that
//! fall silent together are a network partition and are waited for.

use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// Share of the recorded machines (one in so many) that may be missing after a takeover
/// when the rush of first heartbeats counts as over.
const STRAGGLER_DIVISOR: usize = 64;

/// Bounds of giving machines up, worked out once for all machines.
struct GivingUp {
    now: f64,
    /// A fenced machine is given up after this silence, in seconds.
    max_silence_s: f64,
    /// One that was probed under our term is given up after this long without an answer.
    max_unanswered_s: f64,
    /// All but a few machines have reported under our term.
    only_stragglers: bool,
}

impl Scheduler {
    /// The periodic checks: expires leases, probes machines in doubt, acts on termination
    /// notices and drains, and takes failing machines out of use.
    ///
    /// `confirmed` is when the last successful check that the shard is ours began. A lease
    /// that ran out proves a machine empty only if the shard was still ours after that: a
    /// new leader may be keeping it alive, and we would not know without contact to the
    /// state service.
    pub fn tick(&mut self, now: f64, confirmed: f64) {
        self.advance_clock(now);
        self.expire_leases(now, confirmed);
        self.probe_suspects(now);
        self.handle_termination_notices(now);
        self.advance_drains();
        self.retire_failing_machines();
    }

    /// Whether answering the machine any longer is no use: it was told our term again
    /// and again, for a part of a lease, and reports under an older one. As long as it
    /// is answered, its lease may live, with what a former leader started on it, and
    /// the whole shard waits for it; so it is left alone until that is over.
    pub(crate) fn is_beyond_reach(&self, name: &str, now: f64) -> bool {
        let Some(machine) = self.machines.get(name) else {
            return false;
        };
        let min_doubt_s = self.config.lease_s / 4.0;
        let doubted_s = machine.delivery.doubtful_for(now);
        !machine.fenced
            && machine.recorded
            && doubted_s.is_some_and(|s| s > min_doubt_s)
            && machine.delivery.is_unreachable()
    }

    /// Silent machines to return before their lease proves them empty: the
    /// cloud's answer is proof too, and much sooner. Without it one machine
    /// that died just before a takeover holds up the whole shard, and what ran
    /// on a machine taken without notice waits for a lease. Many silent at
    /// once are a partition, not deaths: those are waited for.
    pub fn machines_given_up(&self, now: f64) -> Vec<String> {
        // One that an operator drained and that was proven empty is switched off
        // for a reason, and holds up nobody.
        let candidates = self
            .machines
            .values()
            .filter(|m| m.recorded && !self.is_drained(&m.info.id));
        let total = candidates.clone().count();
        let bounds = self.giving_up_bounds(total, now);
        let mut silent: Vec<&Machine> = candidates
            .filter(|m| self.is_presumed_dead(m, &bounds))
            .collect();
        // An eighth of the fleet at most. While nothing may be placed the whole
        // shard waits for them: a lease of waiting is more than a quarter of the
        // fleet is worth, which is up again after a boot. But not where they are
        // most of a zone, and only after a quarter of a lease without an answer,
        // for a busy leader hears from the last ones late.
        if silent.len() > (total / 8).max(1) {
            if self.fence.open || silent.len() > total / 4 || self.mostly_one_zone(&silent) {
                return Vec::new();
            }
            let longer_s = self.config.lease_s / 4.0;
            silent.retain(|m| self.is_probe_unanswered(m, longer_s, &bounds));
        }
        silent.iter().map(|m| m.info.id.clone()).collect()
    }

    fn giving_up_bounds(&self, recorded: usize, now: f64) -> GivingUp {
        // One that was probed answers within milliseconds; a tenth of a lease
        // covers a busy leader, which hears from a thousand at once. When all
        // but a few have come the rush is over, and the whole shard waits for
        // machines that are most likely dead.
        let unfenced = self.machines_blocking_placement().unwrap_or(usize::MAX);
        let only_stragglers = unfenced <= recorded / STRAGGLER_DIVISOR;
        let lease_divisor = if only_stragglers { 40.0 } else { 10.0 };
        GivingUp {
            now,
            max_silence_s: self.config.silent_s() + self.config.heartbeat_s,
            max_unanswered_s: self.config.lease_s / lease_divisor,
            only_stragglers,
        }
    }

    fn is_presumed_dead(&self, machine: &Machine, bounds: &GivingUp) -> bool {
        if machine.status == MachineStatus::Expired {
            return false;
        }
        if !machine.fenced {
            return self.is_probe_unanswered(machine, bounds.max_unanswered_s, bounds);
        }
        // Of one that answers do not reach nothing of value runs past a lease.
        let doubted_s = machine.delivery.doubtful_for(bounds.now).unwrap_or(0.0);
        self.silent_for(machine.heard_at, bounds.now) > bounds.max_silence_s
            || doubted_s > self.config.lease_s
    }

    /// Whether the machine was probed under our term and has not answered for so long.
    ///
    /// That it did not come by itself yet says nothing: its worker waits 4 s for a leader
    /// that went silent. (Counted from the takeover, an eighth of a healthy fleet was
    /// returned at each takeover where heartbeats come every 0.8 s, with all that ran
    /// there.)
    fn is_probe_unanswered(&self, machine: &Machine, longer_s: f64, bounds: &GivingUp) -> bool {
        // A call may fail since we are busy with all the others; when it is made
        // again most have come.
        let enough_calls = bounds.only_stragglers || machine.unanswered_calls >= 2;
        let probed_at = machine.probed_at.filter(|_| enough_calls);
        probed_at.is_some_and(|t| !machine.fenced && self.silent_for(t, bounds.now) > longer_s)
    }
}
