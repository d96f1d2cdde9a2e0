//! Scaling in: which machines to return to the cloud. Pure code.
//!
//! Only the cloud's confirmation proves a returned machine gone. A machine that an
//! operator cordoned is never returned for being silent or idle.

use super::scale_out::boot_s;
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::cloud::{Listed, ListedState};
use crate::protocol::policy::Policy;

/// A machine that boots for longer than so many times its usual boot time is returned. Up
/// to 1.5 times is usual; some take several times as long.
const MAX_BOOT_TIMES: f64 = 4.0;
/// A retired machine may save its tasks for so long, in seconds.
const MAX_RETIREMENT_S: f64 = 60.0;
/// An expired machine is forgotten when it is missing from the cloud's list and has been
/// silent for so many times the list's lag.
const VANISHED_LIST_LAGS: f64 = 4.0;

/// Listed machines that failed, do not come up or were lost for good.
pub(super) fn broken_machines(scheduler: &Scheduler, list: &[Listed], now: f64) -> Vec<String> {
    let partitioned_zones = scheduler.partitioned_zones(now);
    let is_broken = |listed: &&Listed| {
        let machine = scheduler.machines.get(listed.id.as_str());
        let boot_s = boot_s(&scheduler.types, &listed.kind);
        match listed.state {
            ListedState::Failed => true,
            ListedState::Booting => machine.is_none() && listed.age_s > MAX_BOOT_TIMES * boot_s,
            ListedState::Running => machine.is_some_and(|m| {
                // Past its lease nothing is lost by waiting a while for a partition to
                // end; after twice a boot a new one would be up.
                let max_silence_s = 2.0 * scheduler.config.lease_s + boot_s;
                is_lost(m, max_silence_s, now)
                    && !m.cordoned
                    && !partitioned_zones.contains(&m.info.zone)
            }),
        }
    };
    let broken = list.iter().filter(is_broken);
    broken.map(|listed| listed.id.clone()).collect()
}

/// Whether the machine expired, or was out of reach of our answers, and has been so for
/// longer than this: one that hears nobody is as good as silent.
fn is_lost(machine: &Machine, max_silence_s: f64, now: f64) -> bool {
    let silent = machine.status == MachineStatus::Expired && now - machine.heard_at > max_silence_s;
    silent || machine.is_unreachable(now, max_silence_s)
}

/// Expired machines that the cloud does not list any more.
pub(super) fn vanished_machines(
    scheduler: &Scheduler,
    list: &[Listed],
    list_lag_s: f64,
    now: f64,
) -> Vec<Name> {
    let has_vanished = |name: &Name, machine: &Machine| {
        machine.status == MachineStatus::Expired
            && now - machine.heard_at > VANISHED_LIST_LAGS * list_lag_s
            && !list.iter().any(|listed| listed.id == **name)
    };
    let machines = scheduler.machines.iter();
    machines
        .filter(|(name, machine)| has_vanished(name, machine))
        .map(|(name, _)| name.clone())
        .collect()
}

/// Retired machines that are empty, or had their time to save.
pub(super) fn retired_machines(scheduler: &Scheduler, now: f64) -> Vec<String> {
    let is_ready = |machine: &Machine| {
        let empty = machine.live_attempts().next().is_none();
        machine.status == MachineStatus::Draining
            && (empty || now - machine.idle_since > MAX_RETIREMENT_S)
    };
    let machines = scheduler.machines.iter();
    machines
        .filter(|(_, machine)| is_ready(machine))
        .map(|(name, _)| name.to_string())
        .collect()
}

/// One machine that has been idle for long while nothing waits and much is free.
pub(super) fn idle_machine(scheduler: &Scheduler, policy: &Policy, now: f64) -> Option<Name> {
    let in_use = |m: &Machine| m.status == MachineStatus::Up && !m.cordoned;
    let used_cpus: f64 = scheduler.usage().cpus();
    let anything_waits = scheduler.jobs.values().any(|job| job.waiting_tasks() > 0);
    let have_cpus: f64 = scheduler
        .machines
        .values()
        .filter(|m| in_use(m))
        .filter_map(|m| scheduler.types.get(&m.info.kind))
        .map(|t| t.cpus)
        .sum();
    if anything_waits || used_cpus * (1.0 + 2.0 * policy.headroom) > have_cpus {
        return None;
    }
    let is_idle = |m: &Machine| {
        let max_idle_s = policy.idle_boots * boot_s(&scheduler.types, &m.info.kind);
        in_use(m) && m.attempts.is_empty() && m.queue.is_empty() && now - m.idle_since > max_idle_s
    };
    let mut machines = scheduler.machines.iter();
    let (name, _) = machines.find(|(_, machine)| is_idle(machine))?;
    Some(name.clone())
}
