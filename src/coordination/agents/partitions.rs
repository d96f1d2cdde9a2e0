//! Detects network partitions: zones in which most machines fell silent together.

use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::state::Scheduler;

/// Minimum number of machines in a zone that can count as partitioned. In a zone of two or three
/// machines, a majority may well have died one by one.
const MIN_PARTITION_MACHINES: usize = 4;

/// The number of machines in a zone, and the number of silent ones among them.
struct ZoneCount<'a> {
    zone: &'a str,
    machines: usize,
    silent: usize,
}

impl ZoneCount<'_> {
    fn is_partitioned(&self) -> bool {
        self.machines >= MIN_PARTITION_MACHINES && 2 * self.silent > self.machines
    }
}

impl Scheduler {
    /// Zones in which most machines fell silent together, most likely because of a partition.
    /// The machines in these zones probably still run, so they are not replaced, but they do not
    /// count as capacity either.
    pub fn partitioned_zones(&self, now: f64) -> Vec<String> {
        let silent_s = self.config.silent_s() + self.config.heartbeat_s;
        let mut zones: Vec<ZoneCount> = Vec::new();
        for machine in self.machines.values().filter(|m| !m.cordoned) {
            let silent = self.silent_for(machine.heard_at, now) > silent_s
                || machine.is_unreachable(now, silent_s);
            let zone = machine.info.zone.as_str();
            let index = zones.iter().position(|count| count.zone == zone);
            let index = index.unwrap_or_else(|| {
                zones.push(ZoneCount {
                    zone,
                    machines: 0,
                    silent: 0,
                });
                zones.len() - 1
            });
            zones[index].machines += 1;
            zones[index].silent += usize::from(silent);
        }
        let partitioned = zones.iter().filter(|count| count.is_partitioned());
        partitioned.map(|count| count.zone.to_string()).collect()
    }

    /// Whether `machines` include more than half of the recorded machines of any zone.
    pub(crate) fn includes_most_of_a_zone(&self, machines: &[&Machine]) -> bool {
        machines.iter().any(|machine| {
            let zone = &machine.info.zone;
            let included = machines.iter().filter(|m| m.info.zone == *zone).count();
            let recorded = self
                .machines
                .values()
                .filter(|m| m.recorded && m.info.zone == *zone);
            2 * included > recorded.count()
        })
    }
}
