//! The failure detector: finds machines that are presumed dead before their leases expire,
//! and runs the periodic checks of all machines.
//!
//! Silence alone never proves a machine empty. Only an expired lease (see `lease_expiry`) or
//! the cloud's confirmation that the machine was returned proves it. If many machines
//! fall silent together, the cause is most likely a network partition, and the leader
//! waits for them.

use crate::coordination::scheduler::config::lease_with_margin_s;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;

/// After a takeover, the rush of first heartbeats counts as over when at most one in
/// `STRAGGLER_DIVISOR` recorded machines has not reported yet.
const STRAGGLER_DIVISOR: usize = 64;

/// Time limits after which a machine is presumed dead, the same for all machines.
struct DeathLimits {
    now: f64,
    /// Maximum silence of a fenced machine, in seconds.
    max_silence_s: f64,
    /// Maximum time without an answer to the probe of a machine that is not fenced yet, in
    /// seconds.
    max_unanswered_s: f64,
    /// Whether all but a few machines have reported under our term.
    only_stragglers: bool,
}

impl Scheduler {
    /// Runs the periodic checks: expires leases, probes machines that our answers may not
    /// reach, acts on termination notices and drains, and takes failing machines out of use.
    ///
    /// `confirmed_at` is when the last successful check that we own the shard began. An expired
    /// lease proves a machine empty only if we still owned the shard after the end of that lease.
    /// Otherwise a new leader may be renewing the lease, and without contact to the state
    /// service we would not know.
    pub fn tick(&mut self, now: f64, confirmed_at: f64) {
        self.advance_clock(now);
        self.expire_leases(now, confirmed_at);
        self.probe_machines_with_doubtful_delivery(now);
        self.handle_termination_notices(now);
        self.advance_drains();
        self.retire_failing_machines();
    }

    /// Whether the machine must not be answered any more, because our answers do not reach
    /// it: our term was sent to it several times, for a quarter of a lease, and it still
    /// reports under an older term. Each answer might renew its lease, and with it the tasks that a
    /// former leader started there, while placement in the whole shard waits for this
    /// machine. Without answers its lease ends.
    pub(crate) fn must_stop_answering(&self, name: &str, now: f64) -> bool {
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

    /// Returns the silent machines that are to be returned to the cloud before their leases
    /// prove them empty. The cloud's confirmation is proof as well, and comes much sooner.
    /// Without it, one machine that died just before a takeover would block placement in the
    /// whole shard, and the tasks of a machine that the cloud took back without notice would
    /// wait for a lease to expire. If many machines are silent at once, the cause is most
    /// likely a partition, and the leader waits for them.
    ///
    /// Machines with an expired lease and an open start are returned in any number, a lease after
    /// the expiry: their tasks have ended, and the tasks of their open starts wait for them.
    pub fn machines_presumed_dead(&self, now: f64) -> Vec<String> {
        let mut presumed_dead = self.silent_machines_presumed_dead(now);
        presumed_dead.extend(self.expired_machines_with_attempts(now));
        presumed_dead
    }

    fn expired_machines_with_attempts(&self, now: f64) -> impl Iterator<Item = String> + '_ {
        let max_wait_s = lease_with_margin_s(self.config.lease_s);
        let machines = self.machines.values().filter(move |machine| {
            machine.status == MachineStatus::Expired
                && !machine.attempts.is_empty()
                && now - machine.expired_at > max_wait_s
        });
        machines.map(|machine| machine.info.id.clone())
    }

    fn silent_machines_presumed_dead(&self, now: f64) -> Vec<String> {
        // A machine that an operator drained and that was proven empty may be switched off
        // on purpose, and does not block placement.
        let candidates = self
            .machines
            .values()
            .filter(|m| m.recorded || m.incarnation_check.is_some())
            .filter(|m| !self.is_drained(&m.info.id));
        let total = candidates.clone().count();
        let limits = self.death_limits(total, now);
        let mut presumed_dead: Vec<&Machine> = candidates
            .filter(|m| self.is_presumed_dead(m, &limits))
            .collect();
        // Normally at most an eighth of the fleet is returned at once. While the fence is
        // closed, nothing can be placed in the whole shard. Returning up to a quarter of the
        // fleet, whose replacements are up after a boot, then costs less than waiting for a
        // lease. This does not apply if the machines are most of a zone, and it requires a
        // quarter of a lease without an answer, because a busy leader receives the last
        // reports late.
        if presumed_dead.len() > (total / 8).max(1) {
            if self.fence.placement_allowed
                || presumed_dead.len() > total / 4
                || self.includes_most_of_a_zone(&presumed_dead)
            {
                return Vec::new();
            }
            let max_unanswered_s = self.config.lease_s / 4.0;
            presumed_dead.retain(|m| self.is_probe_unanswered(m, max_unanswered_s, &limits));
        }
        presumed_dead.iter().map(|m| m.info.id.clone()).collect()
    }

    fn death_limits(&self, recorded: usize, now: f64) -> DeathLimits {
        // A probed machine answers within milliseconds. A tenth of a lease allows for a busy
        // leader that receives a thousand reports at once. When all but a few machines have
        // reported, the rush is over, and the whole shard waits for machines that are most
        // likely dead, so a fortieth of a lease is enough.
        let unfenced = self.machines_blocking_placement().unwrap_or(usize::MAX);
        let only_stragglers = unfenced <= recorded / STRAGGLER_DIVISOR;
        let lease_divisor = if only_stragglers { 40.0 } else { 10.0 };
        DeathLimits {
            now,
            max_silence_s: self.config.silent_s() + self.config.heartbeat_s,
            max_unanswered_s: self.config.lease_s / lease_divisor,
            only_stragglers,
        }
    }

    fn is_presumed_dead(&self, machine: &Machine, limits: &DeathLimits) -> bool {
        if machine.status == MachineStatus::Expired {
            return machine.attempts.is_empty() && self.fails_return_check(machine, limits.now);
        }
        if !machine.fenced {
            return self.is_probe_unanswered(machine, limits.max_unanswered_s, limits);
        }
        // A machine that our answers do not reach loses its lease, and with it all its tasks.
        let doubted_s = machine.delivery.doubtful_for(limits.now).unwrap_or(0.0);
        self.silent_for(machine.heard_at, limits.now) > limits.max_silence_s
            || doubted_s > self.config.lease_s
    }

    /// Whether a machine that is heard again after its lease expired has not shown the token of its
    /// incarnation check for more than a lease, although its heartbeats still arrive.
    fn fails_return_check(&self, machine: &Machine, now: f64) -> bool {
        let lease_s = self.config.lease_s;
        let doubted_s = machine.delivery.doubtful_for(now).unwrap_or(0.0);
        let is_still_heard = machine.answered_at.is_some_and(|at| now - at <= lease_s);
        machine.incarnation_check.is_some() && is_still_heard && doubted_s > lease_s
    }

    /// Whether the machine was probed under our term and has not reported for more than
    /// `max_unanswered_s` since.
    ///
    /// The time counts from the probe and not from the takeover, because a worker whose leader
    /// stops answering waits 4 s before it reports to another controller. (When the time was
    /// counted from the takeover and heartbeats came every 0.8 s, each takeover returned an
    /// eighth of a healthy fleet, with all tasks that ran there.)
    fn is_probe_unanswered(
        &self,
        machine: &Machine,
        max_unanswered_s: f64,
        limits: &DeathLimits,
    ) -> bool {
        // One call may fail because this leader is busy with all the other machines. By the
        // time of the second call most of them have reported.
        let enough_calls = limits.only_stragglers || machine.unanswered_calls >= 2;
        let probed_at = machine.probed_at.filter(|_| enough_calls);
        probed_at
            .is_some_and(|t| !machine.fenced && self.silent_for(t, limits.now) > max_unanswered_s)
    }
}
