//! Network partitions: zones most of whose machines fell silent together.

use crate::coordination::scheduler::machine::Machine;
use crate::coordination::scheduler::state::Scheduler;

/// Machines a zone must have to count as partitioned: of two or three most may well have
/// died one by one.
const MIN_PARTITION_MACHINES: usize = 4;

/// The machines of a zone, and how many of them are silent.
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
    /// Zones most of whose machines fell silent together: cut off, most likely.
    /// Their machines go on, so they are not replaced, but do not count either.
    pub fn partitioned_zones(&self, now: f64) -> Vec<String> {
        let silent_s = self.config.silent_s() + self.config.heartbeat_s;
        let mut zones: Vec<ZoneCount> = Vec::new();
        for machine in self.machines.values().filter(|m| !m.cordoned) {
            let silent = self.silent_for(machine.heard_at, now) > silent_s
                || machine.is_unreachable(now, silent_s);
            let zone = machine.info.zone.as_str();
            let at = zones.iter().position(|count| count.zone == zone);
            let at = at.unwrap_or_else(|| {
                zones.push(ZoneCount {
                    zone,
                    machines: 0,
                    silent: 0,
                });
                zones.len() - 1
            });
            zones[at].machines += 1;
            zones[at].silent += usize::from(silent);
        }
        let partitioned = zones.iter().filter(|count| count.is_partitioned());
        partitioned.map(|count| count.zone.to_string()).collect()
    }

    /// Whether these are most of the recorded machines of any zone.
    pub(crate) fn mostly_one_zone(&self, some: &[&Machine]) -> bool {
        some.iter().any(|machine| {
            let zone = &machine.info.zone;
            let among_these = some.iter().filter(|m| m.info.zone == *zone).count();
            let recorded = self
                .machines
                .values()
                .filter(|m| m.recorded && m.info.zone == *zone);
            2 * among_these > recorded.count()
        })
    }
}
