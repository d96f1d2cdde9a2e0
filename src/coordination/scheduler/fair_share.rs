//! Whether each class of jobs and each team gets its due: pure counts of aims
//! met and lost, and who is owed room because of them.
//!
//! Urgency, guarantees and smallest-first may each pass over the same class for
//! as long as the load lasts. So the share of its jobs that still met (or can
//! meet) their first finishing aim is kept for each class and team, with older
//! outcomes fading. One that falls under the mark is owed a floor: a part of the
//! fleet's CPUs on which its smallest jobs start before all but `prod` and `high`,
//! and from which borrowed work is not let to push them, until it recovers.

use std::collections::HashMap;

/// Outcomes that a share looks back on, about: enough that one large job does
/// not tip it, few enough that half a burst does.
const RECENT: f64 = 16.0;
/// A group is owed room once its share is below this, and until it is above
/// the other: what is asked for is half, and what is decided now shows only
/// when the jobs are over, so it must be decided earlier.
const OWED: f64 = 0.70;
const SETTLED: f64 = 0.80;

/// Most groups counted, some 50 bytes each: classes come from users, so they are bounded.
const GROUPS: usize = 1024;

/// Who may be passed over: a class of jobs, or a team by its place in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FairShareGroup {
    Class(String),
    Team(usize),
}

/// The share of a group's jobs that are served in time.
#[derive(Debug, Clone, Copy)]
struct Track {
    share: f64,
    owed: bool,
}

/// Counts for all groups.
#[derive(Debug, Default)]
pub struct FairShare {
    groups: HashMap<FairShareGroup, Track>,
}

impl FairShare {
    /// A job of the group met its first finishing aim, or lost it.
    pub fn outcome(&mut self, group: &FairShareGroup, met: bool) {
        let fresh = Track {
            share: 1.0,
            owed: false,
        };
        if !self.groups.contains_key(group) {
            if self.groups.len() >= GROUPS {
                return;
            }
            self.groups.insert(group.clone(), fresh);
        }
        let Some(track) = self.groups.get_mut(group) else {
            return;
        };
        let value = if met { 1.0 } else { 0.0 };
        track.share += (value - track.share) / RECENT;
        track.owed = track.share < if track.owed { SETTLED } else { OWED };
    }

    /// Groups that are owed room, the worst served first.
    pub fn owed(&self) -> Vec<&FairShareGroup> {
        let owed = self.groups.iter().filter(|(_, t)| t.owed);
        let mut owed: Vec<(f64, &FairShareGroup)> = owed.map(|(g, t)| (t.share, g)).collect();
        owed.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        owed.into_iter().map(|o| o.1).collect()
    }

    /// The share of the group's jobs served in time, 1 if none is known.
    pub fn share(&self, group: &FairShareGroup) -> f64 {
        self.groups.get(group).map_or(1.0, |t| t.share)
    }
}
