//! Fair share: tracks whether each job class and each team meets enough of its service-level
//! objectives, and determines which of these groups are underserved.
//!
//! Urgency, guarantees and smallest-first order can each starve the same class for as long as
//! the load lasts. For each class and team, a moving average therefore tracks the fraction of
//! recent jobs that met the earliest objective for their completion. A group whose fraction falls
//! below a threshold is underserved until it recovers, and gets a floor: a share of the fleet's
//! CPUs for its smallest jobs. Jobs within the floor start before all jobs except `prod` and
//! `high`, and borrowed work may not preempt them.

use std::collections::HashMap;

/// Approximate number of recent outcomes that a group's moving average covers. With this number, a
/// single large job that misses its objective does not make its group underserved, but a burst of
/// jobs of which half miss their objectives does.
const AVERAGED_OUTCOMES: f64 = 16.0;

/// A group becomes underserved when the fraction of its jobs that met their objective falls below
/// this. The goal is that half of a group's jobs meet their objective. The threshold is above one
/// half because additional capacity for a group raises the fraction only once jobs finish.
const UNDERSERVED_BELOW: f64 = 0.70;

/// An underserved group has recovered when the fraction of its jobs that met their objective
/// reaches this.
const RECOVERED_AT: f64 = 0.80;

/// Maximum number of groups tracked, at about 50 bytes each. Users choose the names of classes, so
/// the number of classes has no other limit.
const MAX_GROUPS: usize = 1024;

/// A group of jobs whose outcomes are counted together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FairShareGroup {
    /// The class of this name.
    Class(String),
    /// The team at this index in the settings.
    Team(usize),
}

/// How well a group meets its objectives.
#[derive(Debug, Clone, Copy)]
struct GroupStats {
    /// Moving average of the fraction of the group's jobs that met their objective.
    fraction_met: f64,
    is_underserved: bool,
}

impl GroupStats {
    /// A group without any recorded outcome.
    const NEW: GroupStats = GroupStats {
        fraction_met: 1.0,
        is_underserved: false,
    };

    fn record(&mut self, met: bool) {
        let value = if met { 1.0 } else { 0.0 };
        self.fraction_met += (value - self.fraction_met) / AVERAGED_OUTCOMES;
        let threshold = if self.is_underserved {
            RECOVERED_AT
        } else {
            UNDERSERVED_BELOW
        };
        self.is_underserved = self.fraction_met < threshold;
    }
}

/// How well each group meets its objectives.
#[derive(Debug, Default)]
pub struct FairShare {
    groups: HashMap<FairShareGroup, GroupStats>,
}

impl FairShare {
    /// Records whether a job of the group met the earliest objective for its completion.
    pub fn record_outcome(&mut self, group: &FairShareGroup, met: bool) {
        if let Some(stats) = self.groups.get_mut(group) {
            stats.record(met);
            return;
        }
        if self.groups.len() < MAX_GROUPS {
            let mut stats = GroupStats::NEW;
            stats.record(met);
            self.groups.insert(group.clone(), stats);
        }
    }

    /// Underserved groups, sorted by the fraction of jobs that met their objective, lowest first.
    pub fn underserved(&self) -> Vec<&FairShareGroup> {
        let groups = self.groups.iter().filter(|(_, stats)| stats.is_underserved);
        let mut groups: Vec<(f64, &FairShareGroup)> = groups
            .map(|(group, stats)| (stats.fraction_met, group))
            .collect();
        groups.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        groups.into_iter().map(|(_, group)| group).collect()
    }

    /// The fraction of the group's recent jobs that met their objective; 1 if no outcome is
    /// recorded.
    pub fn fraction_met(&self, group: &FairShareGroup) -> f64 {
        self.groups
            .get(group)
            .map_or(1.0, |stats| stats.fraction_met)
    }
}
