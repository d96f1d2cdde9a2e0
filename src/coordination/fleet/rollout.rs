//! Rollouts: a rollout drains a list of machines in order, a few machines in each zone at a time.
//! Its next step is decided by pure functions.
//!
//! Rollouts, and the drains that they order, are records in the state service, so every new leader
//! of the shard continues them. A rollout begins the drain of a machine only if the number of
//! machines out of use in that machine's zone, for whatever reason, then stays within the rollout's
//! limit. A rollout halts by itself as soon as more jobs have become late than its plan promised,
//! or one of its machines takes longer to drain or to return to use than promised.

use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::Drain;
use crate::protocol::rollout::{MaxOutOfUse, Rollout, RolloutState};
use std::collections::HashMap;

/// Machine counts of one zone.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ZoneMachineCounts {
    /// Number of machines in the zone.
    pub machines: u32,
    /// Number of machines in the zone on which no task may start, for whatever reason.
    pub out_of_use: u32,
}

/// The state of the fleet on which the next step of a rollout depends.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Unix time in milliseconds.
    pub now_ms: u64,
    /// Zone of each machine of the shard, by machine name.
    pub zones: HashMap<String, String>,
    /// Machine counts of each zone, by zone name.
    pub counts: HashMap<String, ZoneMachineCounts>,
    /// Names of the machines that have restarted since they were drained and send heartbeats again.
    pub restarted: Vec<String>,
    /// Number of unfinished jobs that can no longer meet any of their objectives.
    pub late_jobs: u32,
    /// All drains by machine name, each with the version of its record.
    pub drains: HashMap<String, (Drain, u64)>,
}

impl FleetView {
    /// The drains that this rollout ordered.
    fn drains_ordered_by(&self, rollout: &Rollout) -> Vec<&Drain> {
        self.drains
            .values()
            .map(|(drain, _)| drain)
            .filter(|drain| drain.roll.as_ref() == Some(&rollout.name))
            .collect()
    }

    /// Whether the machine has restarted since it was drained and sends heartbeats again.
    fn is_restarted(&self, host: &String) -> bool {
        self.restarted.contains(host)
    }
}

/// The changes of records in one step: the rollout's new record, and the drains that begin and end.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutStep {
    /// The rollout's new record.
    pub rollout: Rollout,
    /// Names of the machines whose drains begin.
    pub begin: Vec<String>,
    /// Names of the machines whose drains end.
    pub end: Vec<String>,
}

/// Maximum number of machines that may be out of use at the same time in a zone with this many
/// `machines`.
fn max_out_of_use(at_most: MaxOutOfUse, machines: u32) -> u32 {
    match at_most {
        MaxOutOfUse::Machines(n) => n,
        MaxOutOfUse::Share(share) => ((f64::from(machines) * share) as u32).max(1),
    }
}

/// Describes the broken promise of the rollout's plan that makes the rollout halt: more jobs are
/// late than promised, or one of its machines takes longer than promised. `None` if all promises
/// hold.
fn halt_reason(rollout: &Rollout, fleet: &FleetView, rollout_drains: &[&Drain]) -> Option<String> {
    let promise = &rollout.promise;
    let late_before = rollout.late_before.unwrap_or(fleet.late_jobs);
    if fleet.late_jobs > late_before + promise.late {
        return Some(format!(
            "{} jobs have lost their aims, {late_before} when it began: {} more were promised at most",
            fleet.late_jobs, promise.late
        ));
    }
    rollout_drains
        .iter()
        .find_map(|drain| overdue_reason(rollout, fleet, drain))
}

/// Describes which state the machine of this drain has not reached in the promised time. `None` if
/// the machine is within the promised times.
fn overdue_reason(rollout: &Rollout, fleet: &FleetView, drain: &Drain) -> Option<String> {
    let promise = &rollout.promise;
    let host = &drain.host;
    let (since_ms, limit_s, missing_state) = match &drain.drained {
        None => (drain.at_ms, promise.step_s, "not drained"),
        Some(_) if fleet.is_restarted(host) => return None,
        Some(drained) => (drained.at_ms, promise.back_s, "not back"),
    };
    let elapsed_s = fleet.now_ms.saturating_sub(since_ms) as f64 / 1000.0;
    let limit_s = limit_s.filter(|limit_s| elapsed_s > *limit_s)?;
    Some(format!("{host} is {missing_state} after {limit_s:.0} s"))
}

/// The next step of the rollout; `None` if the step would change nothing. In total at most
/// `max_drain_changes` drains begin or end in one step.
pub fn next_step(
    rollout: &Rollout,
    fleet: &FleetView,
    max_drain_changes: usize,
) -> Option<RolloutStep> {
    let rollout_drains = fleet.drains_ordered_by(rollout);
    let step = match rollout.state {
        RolloutState::Halted | RolloutState::Done => return None,
        RolloutState::Back => rollback_step(rollout, &rollout_drains, max_drain_changes),
        RolloutState::Running => match halt_reason(rollout, fleet, &rollout_drains) {
            Some(reason) => return Some(halt_step(rollout, fleet, reason)),
            None => forward_step(rollout, fleet, &rollout_drains, max_drain_changes),
        },
    };
    let changes_nothing = step.begin.is_empty() && step.end.is_empty() && step.rollout == *rollout;
    (!changes_nothing).then_some(step)
}

/// The step that halts the rollout for this reason. The rollout's drains stay as they are.
fn halt_step(rollout: &Rollout, fleet: &FleetView, reason: String) -> RolloutStep {
    let mut next = rollout.clone();
    next.late_before.get_or_insert(fleet.late_jobs);
    next.state = RolloutState::Halted;
    next.reason = reason;
    RolloutStep {
        rollout: next,
        begin: Vec::new(),
        end: Vec::new(),
    }
}

/// The next step of a rollout that is being rolled back: ends at most `max_drain_changes` of its
/// drains. When no drain is left, the rollout is done.
fn rollback_step(
    rollout: &Rollout,
    rollout_drains: &[&Drain],
    max_drain_changes: usize,
) -> RolloutStep {
    let mut next = rollout.clone();
    if rollout_drains.is_empty() {
        next.state = RolloutState::Done;
    }
    let end = rollout_drains
        .iter()
        .map(|drain| drain.host.clone())
        .collect();
    RolloutStep {
        rollout: next,
        begin: Vec::new(),
        end: sort_and_truncate(end, max_drain_changes),
    }
}

/// The next step of a running rollout: ends the drains of machines that have restarted and begins
/// the next drains.
fn forward_step(
    rollout: &Rollout,
    fleet: &FleetView,
    rollout_drains: &[&Drain],
    max_drain_changes: usize,
) -> RolloutStep {
    let mut next = rollout.clone();
    next.late_before.get_or_insert(fleet.late_jobs);
    // The rollout is finished with a machine that has restarted or no longer exists.
    let is_finished =
        |drain: &&&Drain| fleet.is_restarted(&drain.host) || !fleet.zones.contains_key(&drain.host);
    let finished = rollout_drains.iter().filter(is_finished);
    let end: Vec<String> = finished.map(|drain| drain.host.clone()).collect();
    let begin = take_next_hosts(
        &mut next,
        fleet,
        max_drain_changes.saturating_sub(end.len()),
    );
    let end = sort_and_truncate(end, max_drain_changes.saturating_sub(begin.len()));
    let all_begun = next.next >= rollout.hosts.len() && begin.is_empty();
    if all_begun && rollout_drains.len() == end.len() {
        next.state = RolloutState::Done;
    }
    RolloutStep {
        rollout: next,
        begin,
        end,
    }
}

/// Advances the rollout's position in its list of machines. Returns the names of the machines whose
/// drains begin, at most `max_hosts`. Stops before the first machine whose zone has reached the
/// rollout's limit. Skips machines that no longer exist or already have a drain.
fn take_next_hosts(rollout: &mut Rollout, fleet: &FleetView, max_hosts: usize) -> Vec<String> {
    let mut hosts = Vec::new();
    let mut begun_by_zone: HashMap<&str, u32> = HashMap::new();
    while let Some(host) = rollout.hosts.get(rollout.next) {
        if hosts.len() >= max_hosts {
            break;
        }
        let zone = fleet.zones.get(host);
        if let Some(zone) = zone.filter(|_| !fleet.drains.contains_key(host)) {
            let count = fleet.counts.get(zone).copied().unwrap_or_default();
            let begun_in_zone = begun_by_zone.entry(zone).or_default();
            let limit = max_out_of_use(rollout.at_most, count.machines);
            if count.out_of_use + *begun_in_zone >= limit {
                break;
            }
            *begun_in_zone += 1;
            hosts.push(host.clone());
        }
        rollout.next += 1;
    }
    hosts
}

/// Sorts the hosts by name and keeps the first `max_hosts` of them, or the first one if `max_hosts`
/// is 0.
fn sort_and_truncate(mut hosts: Vec<String>, max_hosts: usize) -> Vec<String> {
    hosts.sort();
    hosts.truncate(max_hosts.max(1));
    hosts
}

/// The order in which a rollout drains these machines, which are pairs of a name and a zone. The
/// zones alternate, so that a zone that has reached its limit does not delay the others for long.
pub fn round_robin_by_zone(machines: &[(String, String)]) -> Vec<String> {
    let mut zones: Vec<(&str, Vec<&str>)> = Vec::new();
    for (host, zone) in machines {
        match zones.iter_mut().find(|(name, _)| name == zone) {
            Some((_, hosts)) => hosts.push(host),
            None => zones.push((zone, vec![host])),
        }
    }
    for (_, hosts) in &mut zones {
        hosts.sort();
    }
    zones.sort();
    let max_zone_len = zones.iter().map(|(_, hosts)| hosts.len()).max();
    let nth_of_each_zone = |n: usize| zones.iter().filter_map(move |(_, hosts)| hosts.get(n));
    (0..max_zone_len.unwrap_or(0))
        .flat_map(nth_of_each_zone)
        .map(std::string::ToString::to_string)
        .collect()
}

impl Scheduler {
    /// The state of the fleet for the rollouts. `None` as long as not all machines are accounted
    /// for after a takeover: it is then unknown which machines are out of use, so no rollout may
    /// take a step.
    pub fn fleet_view(
        &self,
        drains: &HashMap<String, (Drain, u64)>,
        now: f64,
    ) -> Option<FleetView> {
        if !self.fence.placement_allowed {
            return None;
        }
        let late_jobs = self
            .jobs
            .values()
            .filter(|job| !job.finished && !self.has_reachable_objective(job, now));
        let mut fleet = FleetView {
            now_ms: ((now + self.wall_clock_offset_s) * 1000.0).max(0.0) as u64,
            drains: drains.clone(),
            late_jobs: late_jobs.count() as u32,
            ..FleetView::default()
        };
        for (name, machine) in &self.machines {
            let zone = machine.info.zone.clone();
            let count = fleet.counts.entry(zone.clone()).or_default();
            count.machines += 1;
            count.out_of_use += u32::from(!self.is_usable(machine, now));
            fleet.zones.insert(name.to_string(), zone);
            let drain = drains.get(&**name).map(|(drain, _)| drain);
            if drain.is_some_and(|drain| self.is_restarted_since(machine, drain, now)) {
                fleet.restarted.push(name.to_string());
            }
        }
        Some(fleet)
    }

    /// Whether the machine has restarted since it was drained and sends heartbeats again.
    fn is_restarted_since(&self, machine: &Machine, drain: &Drain, now: f64) -> bool {
        let newer_session = drain
            .drained
            .as_ref()
            .is_some_and(|drained| machine.last_message.session > drained.session);
        newer_session
            && machine.fenced
            && machine.status == MachineStatus::Up
            && self.silent_for(machine.heard_at, now) < self.config.silent_s()
    }
}
