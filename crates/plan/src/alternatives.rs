//! Variants of an order: other start times, and failures of other machines during the drain.

use crate::plan::Variant;
use crate::samples::{DrainStarts, Planner};
use foxspur::coordination::scheduler::snapshot::SnapMachine;
use std::collections::HashMap;

/// The least number of samples of a variant. Variants get a fraction of the plan's samples.
const MIN_SAMPLES: u32 = 8;

/// Start times for the order's machines.
struct Alternative<'a> {
    name: String,
    starts: DrainStarts<'a>,
}

impl Planner<'_> {
    /// Statistics of other start times within the window, best first. They start the drains of
    /// all machines together or one after the other.
    pub fn start_variants(&self) -> Vec<Variant> {
        if self.options.window_s <= 0.0 {
            return Vec::new();
        }
        let samples = (self.options.samples / 4).max(MIN_SAMPLES);
        let least_work_first = self.hosts_by_work();
        let mut alternatives = self.starts_together(&least_work_first);
        if least_work_first.len() > 1 {
            let most_work_first = least_work_first.iter().rev().copied().collect::<Vec<_>>();
            alternatives.push(self.starts_in_turn(&least_work_first, "least work first"));
            alternatives.push(self.starts_in_turn(&most_work_first, "most work first"));
        }
        let variant = |Alternative { name, starts }: &Alternative| {
            let pairs = self.simulate_pairs(samples, starts, &|_| Vec::new());
            self.variant(name, starts, &pairs)
        };
        let mut variants: Vec<Variant> = alternatives.iter().map(variant).collect();
        let drained_s = |variant: &Variant| variant.drained_s.map_or(f64::INFINITY, |r| r.p90);
        variants.sort_by(|a, b| {
            (a.late.total_cmp(&b.late))
                .then(a.lost_cpu_s.total_cmp(&b.lost_cpu_s))
                .then(drained_s(a).total_cmp(&drained_s(b)))
        });
        variants
    }

    /// The machines of the order, the one with the fewest tasks first.
    fn hosts_by_work(&self) -> Vec<&str> {
        let machines = self.snapshot.machines.iter();
        let machines = machines.filter(|m| self.order.hosts.contains(&m.info.id));
        let mut hosts: Vec<(usize, &str)> = machines
            .map(|m| (m.tasks.len(), m.info.id.as_str()))
            .collect();
        hosts.sort();
        hosts.into_iter().map(|(_, host)| host).collect()
    }

    /// Starts all machines together, at five times that are evenly spaced over the window.
    fn starts_together<'a>(&self, hosts: &[&'a str]) -> Vec<Alternative<'a>> {
        let at_quarter = |quarter: i32| {
            let at_s = self.order.start_s + self.options.window_s * f64::from(quarter) / 4.0;
            Alternative {
                name: format!("all at {at_s:.0} s"),
                starts: hosts.iter().map(|host| (*host, at_s)).collect(),
            }
        };
        (0..=4).map(at_quarter).collect()
    }

    /// Starts one machine after the other at regular intervals over the window, in this order.
    fn starts_in_turn<'a>(&self, hosts: &[&'a str], order: &str) -> Alternative<'a> {
        let step_s = self.options.window_s / hosts.len() as f64;
        let start_s = |turn: usize| self.order.start_s + step_s * turn as f64;
        let turns = hosts.iter().enumerate();
        Alternative {
            name: format!("every {step_s:.0} s, {order}"),
            starts: turns.map(|(turn, host)| (*host, start_s(turn))).collect(),
        }
    }

    /// Statistics of the order if another machine fails within `window_s` seconds of the
    /// order's start: any other machine, and the largest one in the zone of the order's first
    /// machine.
    pub fn failure_variants(&self, window_s: f64) -> Vec<Variant> {
        let others: Vec<&SnapMachine> = (self.snapshot.machines)
            .iter()
            .filter(|m| m.alive && !self.order.hosts.contains(&m.info.id))
            .collect();
        if !self.options.failures || others.is_empty() {
            return Vec::new();
        }
        let start_s = self.order.start_s;
        let at_s = move |seed: u64| start_s + window_s * unit_from(seed);
        let any_machine = |seed: u64| {
            let index = index_from(seed) % others.len();
            vec![(at_s(seed), others[index].info.id.clone())]
        };
        let samples = (self.options.samples / 3).max(MIN_SAMPLES);
        let starts = HashMap::new();
        let pairs = self.simulate_pairs(samples, &starts, &any_machine);
        let mut variants = vec![self.variant("another machine fails", &starts, &pairs)];
        if let Some(largest) = self.largest_in_zone(&others) {
            let name = format!("the zone's largest, {largest}, fails");
            let failure = |seed| vec![(at_s(seed), largest.to_string())];
            let pairs = self.simulate_pairs(samples, &starts, &failure);
            variants.push(self.variant(&name, &starts, &pairs));
        }
        variants
    }

    /// The machine with the most CPUs in the zone of the order's first machine; of several such
    /// machines, one with the most tasks.
    fn largest_in_zone<'m>(&self, others: &[&'m SnapMachine]) -> Option<&'m str> {
        let first = self.order.hosts.first()?;
        let mut machines = self.snapshot.machines.iter();
        let zone = &machines.find(|m| m.info.id == *first)?.info.zone;
        let same_zone = others.iter().filter(|m| m.info.zone == *zone);
        let size = |machine: &&&SnapMachine| {
            let mut types = self.snapshot.types.iter();
            let kind = types.find(|t| t.name == machine.info.kind);
            (kind.map_or(0, |t| t.cpus as u64), machine.tasks.len())
        };
        let largest = same_zone.max_by_key(size)?;
        Some(largest.info.id.as_str())
    }
}

/// A pseudo-random number from 0 to 1 (exclusive) that depends only on the seed.
fn unit_from(seed: u64) -> f64 {
    (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64
}

/// A pseudo-random index that depends only on the seed, by another hash than [`unit_from`].
fn index_from(seed: u64) -> usize {
    (seed.wrapping_mul(0xD1B5_4A32_D192_ED03) >> 33) as usize
}
