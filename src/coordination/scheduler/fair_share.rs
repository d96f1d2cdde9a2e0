//! Whether each class of jobs and each team meets enough of its service-level objectives,
//! and which of them are owed capacity because they do not.
//!
//! Urgency, guarantees and smallest-first may each pass over the same class for as long as
//! the load lasts. So for each class and team the fraction of its jobs that still met (or
//! can meet) their first finishing objective is kept, with older outcomes fading. A group
//! whose fraction falls below a threshold is owed a floor until it recovers: a part of the
//! fleet's CPUs on which its smallest jobs start before all but `prod` and `high`, and from
//! which borrowed work may not preempt them.

use std::collections::HashMap;

/// Outcomes that a group's fraction looks back on, about: enough that one large job does not
/// tip it, few enough that half a burst does.
const RECENT_OUTCOMES: f64 = 16.0;

/// A group is owed capacity once its fraction is below this. What is asked for is half, but
/// what is decided now shows only when the jobs are finished, so it is decided earlier.
const OWED_BELOW: f64 = 0.70;

/// A group that is owed capacity stays so until its fraction is no longer below this.
const SETTLED_AT: f64 = 0.80;

/// Bound on the groups counted, at some 50 bytes each: users choose the names of classes.
const MAX_GROUPS: usize = 1024;

/// Jobs whose outcomes are counted together.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FairShareGroup {
    /// The class of this name.
    Class(String),
    /// The team at this index in the settings.
    Team(usize),
}

/// How well a group is served.
#[derive(Debug, Clone, Copy)]
struct Track {
    /// The fraction of its jobs that meet their objective.
    met: f64,
    owed: bool,
}

impl Track {
    /// A group of which nothing is known.
    const NEW: Track = Track {
        met: 1.0,
        owed: false,
    };

    fn record(&mut self, met: bool) {
        let value = if met { 1.0 } else { 0.0 };
        self.met += (value - self.met) / RECENT_OUTCOMES;
        let threshold = if self.owed { SETTLED_AT } else { OWED_BELOW };
        self.owed = self.met < threshold;
    }
}

/// How well each group is served.
#[derive(Debug, Default)]
pub struct FairShare {
    groups: HashMap<FairShareGroup, Track>,
}

impl FairShare {
    /// A job of the group met its first finishing objective, or missed it.
    pub fn record_outcome(&mut self, group: &FairShareGroup, met: bool) {
        if let Some(track) = self.groups.get_mut(group) {
            track.record(met);
            return;
        }
        if self.groups.len() < MAX_GROUPS {
            let mut track = Track::NEW;
            track.record(met);
            self.groups.insert(group.clone(), track);
        }
    }

    /// Groups that are owed capacity, the worst served first.
    pub fn owed(&self) -> Vec<&FairShareGroup> {
        let owed = self.groups.iter().filter(|(_, track)| track.owed);
        let mut owed: Vec<(f64, &FairShareGroup)> =
            owed.map(|(group, track)| (track.met, group)).collect();
        owed.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        owed.into_iter().map(|(_, group)| group).collect()
    }

    /// The fraction of the group's jobs that meet their objective, 1 if nothing is known.
    pub fn fraction_met(&self, group: &FairShareGroup) -> f64 {
        self.groups.get(group).map_or(1.0, |track| track.met)
    }
}
