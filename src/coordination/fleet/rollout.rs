//! What a roll does next: pure. A roll is a record like the drains it orders, so
//! whoever owns the share goes on with it. It takes the next machine while its
//! zone can spare one, counting every machine that is out of use for whatever
//! reason, and halts by itself as soon as its plan's promise is broken.

use crate::coordination::scheduler::machine::MachineStatus;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::Drain;
use crate::protocol::roll::{AtMost, Roll, RollState};
use std::collections::HashMap;

/// What a step follows from.
#[derive(Debug, Default)]
pub struct FleetView {
    pub now_ms: u64,
    /// Zone of each machine of the share.
    pub zones: HashMap<String, String>,
    /// Machines of each zone, and how many of them are out of use.
    pub counts: HashMap<String, (u32, u32)>,
    /// Machines that were restarted since they were drained and are heard of.
    pub restarted: Vec<String>,
    /// Jobs whose aims are out of reach now.
    pub late_jobs: u32,
    /// All drains.
    pub drains: HashMap<String, (Drain, u64)>,
}

/// What is to be written: the roll, and drains that begin and end.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutStep {
    pub rollout: Roll,
    pub begin: Vec<String>,
    pub end: Vec<String>,
}

fn most(at_most: AtMost, machines: u32) -> u32 {
    match at_most {
        AtMost::Machines(n) => n,
        AtMost::Share(share) => ((f64::from(machines) * share) as u32).max(1),
    }
}

/// Why the roll must halt, if it must.
fn broken(roll: &Roll, scene: &FleetView, own: &[&Drain]) -> Option<String> {
    let promise = &roll.promise;
    let before = roll.late_before.unwrap_or(scene.late_jobs);
    if scene.late_jobs > before + promise.late {
        return Some(format!(
            "{} jobs have lost their aims, {before} when it began: {} more were promised at most",
            scene.late_jobs, promise.late
        ));
    }
    for drain in own {
        let host = &drain.host;
        let (since_ms, limit_s, what) = match &drain.drained {
            None => (drain.at_ms, promise.step_s, "not drained"),
            Some(d) if !scene.restarted.contains(host) => (d.at_ms, promise.back_s, "not back"),
            Some(_) => continue,
        };
        let took_s = scene.now_ms.saturating_sub(since_ms) as f64 / 1000.0;
        if let Some(limit_s) = limit_s.filter(|s| took_s > *s) {
            return Some(format!("{host} is {what} after {limit_s:.0} s"));
        }
    }
    None
}

/// The next step, at most `room` drains at once; `None` while there is nothing
/// to do.
pub fn step(roll: &Roll, scene: &FleetView, room: usize) -> Option<RolloutStep> {
    let own: Vec<&Drain> = scene
        .drains
        .values()
        .map(|d| &d.0)
        .filter(|d| d.roll.as_ref() == Some(&roll.name))
        .collect();
    let mut next = roll.clone();
    let mut end: Vec<String> = Vec::new();
    let mut begin: Vec<String> = Vec::new();
    match roll.state {
        RollState::Halted | RollState::Done => return None,
        RollState::Back => {
            end.extend(own.iter().map(|d| d.host.clone()));
            if own.is_empty() {
                next.state = RollState::Done;
            }
        }
        RollState::Running => {
            next.late_before.get_or_insert(scene.late_jobs);
            if let Some(reason) = broken(roll, scene, &own) {
                next.state = RollState::Halted;
                next.reason = reason;
                return Some(RolloutStep {
                    rollout: next,
                    begin,
                    end,
                });
            }
            // Those that are back have had their turn, those that the cloud took
            // are no concern any more.
            let over = |d: &&&Drain| {
                scene.restarted.contains(&d.host) || !scene.zones.contains_key(&d.host)
            };
            end.extend(own.iter().filter(over).map(|d| d.host.clone()));
            let mut out: HashMap<&str, u32> = HashMap::new();
            while let Some(host) = roll.hosts.get(next.next) {
                if begin.len() + end.len() >= room {
                    break;
                }
                match scene.zones.get(host) {
                    // Gone, or somebody else has drained it: not our turn.
                    None => {}
                    Some(_) if scene.drains.contains_key(host) => {}
                    Some(zone) => {
                        let (all, aside) = scene.counts.get(zone).copied().unwrap_or((0, 0));
                        let taken = out.entry(zone).or_default();
                        if aside + *taken >= most(roll.at_most, all) {
                            break;
                        }
                        *taken += 1;
                        begin.push(host.clone());
                    }
                }
                next.next += 1;
            }
        }
    }
    end.sort();
    end.truncate(room.saturating_sub(begin.len()).max(1));
    let all_begun = next.next >= roll.hosts.len() && begin.is_empty();
    if roll.state == RollState::Running && all_begun && own.len() == end.len() {
        next.state = RollState::Done;
    }
    let step = RolloutStep {
        rollout: next,
        begin,
        end,
    };
    let idle = step.begin.is_empty() && step.end.is_empty() && step.rollout == *roll;
    (!idle).then_some(step)
}

/// Machines in the order of a roll: zone after zone in turn, so that one zone
/// that can spare none does not hold up the others for long.
pub fn in_turn(machines: &[(String, String)]) -> Vec<String> {
    let mut zones: Vec<(&str, Vec<&str>)> = Vec::new();
    for (host, zone) in machines {
        match zones.iter_mut().find(|z| z.0 == zone) {
            Some(z) => z.1.push(host),
            None => zones.push((zone, vec![host])),
        }
    }
    for (_, hosts) in &mut zones {
        hosts.sort();
    }
    zones.sort();
    let longest = zones.iter().map(|z| z.1.len()).max().unwrap_or(0);
    let nth = |n: usize| zones.iter().filter_map(move |z| z.1.get(n));
    (0..longest).flat_map(nth).map(|h| h.to_string()).collect()
}

impl Scheduler {
    /// What rolls look at. Nothing is to be done while a takeover goes on: what is
    /// out of use then is not known.
    pub fn fleet_view(
        &self,
        drains: &HashMap<String, (Drain, u64)>,
        now: f64,
    ) -> Option<FleetView> {
        if !self.fence.open {
            return None;
        }
        let mut scene = FleetView {
            now_ms: ((now + self.wall_clock_offset_s) * 1000.0).max(0.0) as u64,
            drains: drains.clone(),
            ..FleetView::default()
        };
        for (name, m) in &self.machines {
            let zone = m.info.zone.clone();
            let count = scene.counts.entry(zone.clone()).or_default();
            count.0 += 1;
            count.1 += u32::from(!self.usable(m, now));
            scene.zones.insert(name.to_string(), zone);
            let drained = drains.get(&**name).and_then(|d| d.0.drained.as_ref());
            let newer = drained.is_some_and(|d| m.last_message.session > d.session);
            let heard = self.silent_for(m.heard_at, now) < self.config.silent_s();
            if newer && m.fenced && m.status == MachineStatus::Up && heard {
                scene.restarted.push(name.to_string());
            }
        }
        let late = self
            .jobs
            .values()
            .filter(|j| !j.finished && !self.has_reachable_objective(j, now));
        scene.late_jobs = late.count() as u32;
        Some(scene)
    }
}
