//! Other ways to carry an order out, and what goes wrong meanwhile.

use crate::plan::Variant;
use crate::planner::Planner;
use foxspur::coordination::scheduler::snapshot::SnapMachine;
use std::collections::HashMap;

impl Planner<'_> {
    /// Other starts within the window, together and one after the other.
    pub fn starts(&self) -> Vec<Variant> {
        let window = self.options.window_s;
        if window <= 0.0 {
            return Vec::new();
        }
        let samples = (self.options.samples / 4).max(8);
        let mut hosts: Vec<(usize, &str)> = self
            .snapshot
            .machines
            .iter()
            .filter(|m| self.order.hosts.contains(&m.info.id))
            .map(|m| (m.tasks.len(), m.info.id.as_str()))
            .collect();
        hosts.sort();
        let mut ways: Vec<(String, HashMap<&str, f64>)> = Vec::new();
        for quarter in 0..=4 {
            let at = self.order.start_s + window * f64::from(quarter) / 4.0;
            let name = format!("all at {at:.0} s");
            ways.push((name, hosts.iter().map(|h| (h.1, at)).collect()));
        }
        if hosts.len() > 1 {
            let step = window / hosts.len() as f64;
            let at = |n: usize| self.order.start_s + step * n as f64;
            let forth = hosts
                .iter()
                .enumerate()
                .map(|(n, h)| (h.1, at(n)))
                .collect();
            ways.push((format!("every {step:.0} s, least work first"), forth));
            let back = hosts
                .iter()
                .rev()
                .enumerate()
                .map(|(n, h)| (h.1, at(n)))
                .collect();
            ways.push((format!("every {step:.0} s, most work first"), back));
        }
        let mut variants: Vec<Variant> = ways
            .iter()
            .map(|(name, starts)| {
                let pairs = self.pairs(samples, starts, &|_| Vec::new());
                self.variant(name, starts, &pairs)
            })
            .collect();
        // Best first: deadlines, then lost work, then time.
        variants.sort_by(|a, b| {
            let end = |v: &Variant| v.drained_s.map_or(f64::INFINITY, |r| r.p90);
            (a.late.total_cmp(&b.late))
                .then(a.lost_cpu_s.total_cmp(&b.lost_cpu_s))
                .then(end(a).total_cmp(&end(b)))
        });
        variants
    }

    /// What changes when another machine fails meanwhile: any one, and the
    /// largest of the first machine's zone.
    pub fn failures(&self, drained_s: f64) -> Vec<Variant> {
        let order = self.order;
        let others: Vec<&SnapMachine> = (self.snapshot.machines)
            .iter()
            .filter(|m| m.alive && !order.hosts.contains(&m.info.id))
            .collect();
        if !self.options.failures || others.is_empty() {
            return Vec::new();
        }
        let cpus = |m: &&&SnapMachine| {
            let kind = self.snapshot.types.iter().find(|t| t.name == m.info.kind);
            (kind.map_or(0, |t| t.cpus as u64), m.tasks.len())
        };
        let zone = self.hosts(&[]).first().map(|h| h.zone.clone());
        let same = others
            .iter()
            .filter(|m| Some(&m.info.zone) == zone.as_ref());
        let largest = same.max_by_key(|m| cpus(m)).map(|m| m.info.id.clone());
        let samples = (self.options.samples / 3).max(8);
        let at = move |seed: u64| {
            let part =
                (seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as f64 / (1u64 << 24) as f64;
            order.start_s + drained_s * part
        };
        let any = |seed: u64| {
            let pick = (seed.wrapping_mul(0xD1B5_4A32_D192_ED03) >> 33) as usize % others.len();
            vec![(at(seed), others[pick].info.id.clone())]
        };
        let starts = HashMap::new();
        let mut variants = Vec::new();
        let pairs = self.pairs(samples, &starts, &any);
        variants.push(self.variant("another machine fails", &starts, &pairs));
        if let Some(largest) = largest {
            let name = format!("the zone's largest, {largest}, fails");
            let pairs = self.pairs(samples, &starts, &|seed| vec![(at(seed), largest.clone())]);
            variants.push(self.variant(&name, &starts, &pairs));
        }
        variants
    }
}
