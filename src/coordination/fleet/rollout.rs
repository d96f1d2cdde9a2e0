//! Rollouts: machines drained one after the other. What a rollout does next is decided
//! here, in pure code.
//!
//! A rollout is a record like the drains that it orders, so whoever leads the shard goes
//! on with it. It takes the next machine while its zone can spare one, counting every
//! machine that is out of use for whatever reason, and halts by itself as soon as what its
//! plan promised is broken.

use crate::coordination::scheduler::machine::{Machine, MachineStatus};
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::Drain;
use crate::protocol::roll::{AtMost, Roll, RollState};
use std::collections::HashMap;

/// The machines of a zone.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ZoneCount {
    /// All of them.
    pub machines: u32,
    /// Those that are out of use, for whatever reason.
    pub out_of_use: u32,
}

/// What a step follows from.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Time of day in milliseconds.
    pub now_ms: u64,
    /// Zone of each machine of the shard.
    pub zones: HashMap<String, String>,
    /// Machines of each zone.
    pub counts: HashMap<String, ZoneCount>,
    /// Machines that were restarted since they were drained and are heard of.
    pub restarted: Vec<String>,
    /// Jobs whose objectives are out of reach now.
    pub late_jobs: u32,
    /// All drains, each with its version.
    pub drains: HashMap<String, (Drain, u64)>,
}

impl FleetView {
    /// The drains that this rollout ordered.
    fn drains_of(&self, rollout: &Roll) -> Vec<&Drain> {
        self.drains
            .values()
            .map(|(drain, _)| drain)
            .filter(|drain| drain.roll.as_ref() == Some(&rollout.name))
            .collect()
    }

    fn is_restarted(&self, host: &String) -> bool {
        self.restarted.contains(host)
    }
}

/// What is to be written: the rollout, and drains that begin and end.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutStep {
    /// The rollout's new record.
    pub rollout: Roll,
    /// Machines whose drains begin.
    pub begin: Vec<String>,
    /// Machines whose drains end.
    pub end: Vec<String>,
}

/// How many of a zone's machines may be out of use at once.
fn max_out_of_use(at_most: AtMost, machines: u32) -> u32 {
    match at_most {
        AtMost::Machines(n) => n,
        AtMost::Share(share) => ((f64::from(machines) * share) as u32).max(1),
    }
}

/// Why the rollout must halt, if it must: more jobs are late than its plan promised, or
/// one of its machines takes longer than promised.
fn halt_reason(rollout: &Roll, fleet: &FleetView, own: &[&Drain]) -> Option<String> {
    let promise = &rollout.promise;
    let late_before = rollout.late_before.unwrap_or(fleet.late_jobs);
    if fleet.late_jobs > late_before + promise.late {
        return Some(format!(
            "{} jobs have lost their aims, {late_before} when it began: {} more were promised at most",
            fleet.late_jobs, promise.late
        ));
    }
    own.iter()
        .find_map(|drain| overdue_reason(rollout, fleet, drain))
}

/// Why the machine of this drain takes longer than promised, if it does.
fn overdue_reason(rollout: &Roll, fleet: &FleetView, drain: &Drain) -> Option<String> {
    let promise = &rollout.promise;
    let host = &drain.host;
    let (since_ms, limit_s, what) = match &drain.drained {
        None => (drain.at_ms, promise.step_s, "not drained"),
        Some(_) if fleet.is_restarted(host) => return None,
        Some(drained) => (drained.at_ms, promise.back_s, "not back"),
    };
    let took_s = fleet.now_ms.saturating_sub(since_ms) as f64 / 1000.0;
    let limit_s = limit_s.filter(|limit_s| took_s > *limit_s)?;
    Some(format!("{host} is {what} after {limit_s:.0} s"))
}

/// The next step, at most `room` drains at once; `None` while there is nothing to do.
pub fn next_step(rollout: &Roll, fleet: &FleetView, room: usize) -> Option<RolloutStep> {
    let own = fleet.drains_of(rollout);
    let step = match rollout.state {
        RollState::Halted | RollState::Done => return None,
        RollState::Back => step_back(rollout, &own, room),
        RollState::Running => match halt_reason(rollout, fleet, &own) {
            Some(reason) => return Some(halt(rollout, fleet, reason)),
            None => step_forward(rollout, fleet, &own, room),
        },
    };
    let idle = step.begin.is_empty() && step.end.is_empty() && step.rollout == *rollout;
    (!idle).then_some(step)
}

/// Halts the rollout.
fn halt(rollout: &Roll, fleet: &FleetView, reason: String) -> RolloutStep {
    let mut next = rollout.clone();
    next.late_before.get_or_insert(fleet.late_jobs);
    next.state = RollState::Halted;
    next.reason = reason;
    RolloutStep {
        rollout: next,
        begin: Vec::new(),
        end: Vec::new(),
    }
}

/// Ends the drains of a rollout that is taken back; it is done when none is left.
fn step_back(rollout: &Roll, own: &[&Drain], room: usize) -> RolloutStep {
    let mut next = rollout.clone();
    if own.is_empty() {
        next.state = RollState::Done;
    }
    let end = own.iter().map(|drain| drain.host.clone()).collect();
    RolloutStep {
        rollout: next,
        begin: Vec::new(),
        end: sorted_within(end, room),
    }
}

/// Ends the drains of machines that are back, and begins the next ones.
fn step_forward(rollout: &Roll, fleet: &FleetView, own: &[&Drain], room: usize) -> RolloutStep {
    let mut next = rollout.clone();
    next.late_before.get_or_insert(fleet.late_jobs);
    // Those that are back have had their turn, those that the cloud took are no concern
    // any more.
    let is_over =
        |drain: &&&Drain| fleet.is_restarted(&drain.host) || !fleet.zones.contains_key(&drain.host);
    let over = own.iter().filter(is_over);
    let end: Vec<String> = over.map(|drain| drain.host.clone()).collect();
    let begin = take_next_hosts(&mut next, fleet, room.saturating_sub(end.len()));
    let end = sorted_within(end, room.saturating_sub(begin.len()));
    let all_begun = next.next >= rollout.hosts.len() && begin.is_empty();
    if all_begun && own.len() == end.len() {
        next.state = RollState::Done;
    }
    RolloutStep {
        rollout: next,
        begin,
        end,
    }
}

/// Takes the next machines of the rollout, at most so many, as long as their zones can
/// spare them. Machines that are gone or that somebody else drained are passed over.
fn take_next_hosts(rollout: &mut Roll, fleet: &FleetView, max_hosts: usize) -> Vec<String> {
    let mut hosts = Vec::new();
    let mut taken: HashMap<&str, u32> = HashMap::new();
    while let Some(host) = rollout.hosts.get(rollout.next) {
        if hosts.len() >= max_hosts {
            break;
        }
        let zone = fleet.zones.get(host);
        if let Some(zone) = zone.filter(|_| !fleet.drains.contains_key(host)) {
            let count = fleet.counts.get(zone).copied().unwrap_or_default();
            let taken = taken.entry(zone).or_default();
            let limit = max_out_of_use(rollout.at_most, count.machines);
            if count.out_of_use + *taken >= limit {
                break;
            }
            *taken += 1;
            hosts.push(host.clone());
        }
        rollout.next += 1;
    }
    hosts
}

/// The hosts in order, at most so many but at least one.
fn sorted_within(mut hosts: Vec<String>, max_hosts: usize) -> Vec<String> {
    hosts.sort();
    hosts.truncate(max_hosts.max(1));
    hosts
}

/// Machines, given with their zones, in the order of a rollout: zone after zone in turn, so
/// that one zone that can spare none does not hold up the others for long.
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
    let longest = zones.iter().map(|(_, hosts)| hosts.len()).max();
    let nth = |n: usize| zones.iter().filter_map(move |(_, hosts)| hosts.get(n));
    (0..longest.unwrap_or(0))
        .flat_map(nth)
        .map(std::string::ToString::to_string)
        .collect()
}

impl Scheduler {
    /// What rollouts look at; `None` while a takeover goes on: what is out of use then is
    /// not known, so nothing is to be done.
    pub fn fleet_view(
        &self,
        drains: &HashMap<String, (Drain, u64)>,
        now: f64,
    ) -> Option<FleetView> {
        if !self.fence.open {
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

    /// Whether the machine was restarted since it was drained, and is heard of.
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
