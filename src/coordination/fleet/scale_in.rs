//! Scaling in: pure functions that decide which machines to return to the cloud.
//!
//! Only the cloud's confirmation proves that a returned machine no longer runs. A machine that an
//! operator cordoned is never returned for being silent or idle.

use super::scale_out::boot_s;
use crate::coordination::scheduler::job::{Job, Name};
use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::cloud::{ListedMachine, ListedState};
use crate::protocol::policy::Policy;

/// A machine that has been booting for longer than this multiple of the boot time of its type is
/// returned. Machines usually boot within 1.5 times the boot time of their type, but some take
/// several times as long.
const BROKEN_AFTER_BOOT_TIMES: f64 = 4.0;
/// Maximum time that the tasks of a retired machine get to save their work, in seconds.
const MAX_RETIREMENT_S: f64 = 60.0;
/// A machine with an expired lease is removed when it is missing from the cloud's list and has been
/// silent for longer than this multiple of the lag of the list.
const VANISHED_AFTER_LIST_LAGS: f64 = 4.0;

/// Names of the machines in the cloud's list that have failed, have been booting for too long, or
/// have been unreachable for too long.
pub(super) fn broken_machines(
    scheduler: &Scheduler,
    list: &[ListedMachine],
    now: f64,
) -> Vec<String> {
    let partitioned_zones = scheduler.partitioned_zones(now);
    let is_broken = |listed: &&ListedMachine| {
        let machine = scheduler.machines.get(listed.id.as_str());
        let boot_s = boot_s(&scheduler.types, &listed.kind);
        match listed.state {
            ListedState::Failed => true,
            ListedState::Booting => {
                machine.is_none() && listed.age_s > BROKEN_AFTER_BOOT_TIMES * boot_s
            }
            ListedState::Running => machine.is_some_and(|m| {
                // Once the machine's lease has expired, its tasks may run elsewhere, so waiting for
                // a partition to end loses nothing. The wait includes the boot time of a
                // replacement.
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

/// Whether the machine's lease has expired and the machine has been silent for longer than
/// `max_silence_s`, or this controller's replies have not reached it for that long. A machine that
/// receives no replies is as unusable as a silent one.
fn is_lost(machine: &Machine, max_silence_s: f64, now: f64) -> bool {
    let silent = machine.status == MachineStatus::Expired && now - machine.heard_at > max_silence_s;
    silent || machine.is_unreachable(now, max_silence_s)
}

/// Names of the machines with an expired lease that the cloud no longer lists.
pub(super) fn vanished_machines(
    scheduler: &Scheduler,
    list: &[ListedMachine],
    list_lag_s: f64,
    now: f64,
) -> Vec<Name> {
    let has_vanished = |name: &Name, machine: &Machine| {
        machine.status == MachineStatus::Expired
            && now - machine.heard_at > VANISHED_AFTER_LIST_LAGS * list_lag_s
            && !list.iter().any(|listed| listed.id == **name)
    };
    let machines = scheduler.machines.iter();
    machines
        .filter(|(name, machine)| has_vanished(name, machine))
        .map(|(name, _)| name.clone())
        .collect()
}

/// Names of the retired machines (status `Draining`) that have no live attempt, or whose
/// `idle_since` is more than `MAX_RETIREMENT_S` ago. Each new report that is processed while the
/// machine has attempts sets `idle_since` to the present time.
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

/// The name of a machine that has been idle for longer than the policy allows. `None` if there is
/// no such machine, or if the machines in use have fewer free CPUs than twice the headroom. A machine
/// that a waiting task may use is not returned.
pub fn idle_machine(scheduler: &Scheduler, policy: &Policy, now: f64) -> Option<Name> {
    let in_use = |m: &Machine| m.status == MachineStatus::Up && !m.cordoned;
    let used_cpus: f64 = scheduler.usage().cpus();
    let provisioned_cpus: f64 = scheduler
        .machines
        .values()
        .filter(|m| in_use(m))
        .filter_map(|m| scheduler.types.get(&m.info.kind))
        .map(|t| t.cpus)
        .sum();
    if used_cpus * (1.0 + 2.0 * policy.headroom) > provisioned_cpus {
        return None;
    }
    let waiting: Vec<&Job> = scheduler
        .jobs
        .values()
        .filter(|job| job.waiting_tasks() > 0)
        .collect();
    let is_wanted = |m: &Machine| waiting.iter().any(|job| scheduler.may_use(&job.spec, m));
    let is_idle = |m: &Machine| {
        let max_idle_s = policy.idle_boots * boot_s(&scheduler.types, &m.info.kind);
        in_use(m) && m.attempts.is_empty() && m.queue.is_empty() && now - m.idle_since > max_idle_s
    };
    let mut machines = scheduler.machines.iter();
    let (name, _) = machines.find(|(_, machine)| is_idle(machine) && !is_wanted(machine))?;
    Some(name.clone())
}
