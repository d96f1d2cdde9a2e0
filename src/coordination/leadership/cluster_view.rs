//! What one controller knows of the control prefix, the watched keys of the state service.
//! Of two things known about a key the one with the higher version counts, in whatever
//! order they were learnt: responses overtake each other, most of all when a controller was
//! paused for a while.

use crate::protocol::admin::Drain;
use crate::protocol::cloud::{MachineType, TypeList};
use crate::protocol::roll::Roll;
use crate::protocol::state::Entry;
use crate::storage::records::{self, AliveRecord, ShardRecord, TermCounter};
use std::collections::HashMap;

/// What the control prefix holds, as far as it is known.
#[derive(Default, Debug)]
pub struct ClusterView {
    /// The prefix was listed at least once.
    pub loaded: bool,
    /// Revision up to which all changes are known.
    pub revision: u64,
    /// The shard record and its version.
    pub shard: Option<(ShardRecord, u64)>,
    /// The term counter and its version.
    pub term: (u64, u64),
    /// Controllers' alive keys: incarnation and version.
    pub alive: HashMap<String, (u64, u64)>,
    /// The machine types that the cloud offers, once they were written.
    pub types: Option<Vec<MachineType>>,
    /// Drains of machines by host, each with its record's version.
    pub drains: HashMap<String, (Drain, u64)>,
    /// Rollouts by name, each with its record's version.
    pub rollouts: HashMap<String, (Roll, u64)>,
    /// Counts changes of drains.
    pub drains_generation: u64,
}

impl ClusterView {
    /// A controller's alive key has this version.
    pub fn see_alive(&mut self, host: String, incarnation: u64, version: u64) {
        let known = self.alive.get(&host);
        if known.is_none_or(|(_, known_version)| version >= *known_version) {
            self.alive.insert(host, (incarnation, version));
        }
    }

    /// Applies one record of the prefix, unless a newer one is known. A record that cannot
    /// be read is left to whoever wrote it, except for a drain.
    pub fn apply_entry(&mut self, entry: &Entry) {
        let key = entry.key.as_str();
        if key == records::SHARD_KEY {
            if let Ok(shard) = entry.read::<ShardRecord>() {
                self.see_shard(shard, entry.version);
            }
        } else if key == records::TERM_KEY {
            if let Ok(term) = entry.read::<TermCounter>() {
                self.see_term(term.term, entry.version);
            }
        } else if key == records::TYPES_KEY {
            if let Ok(list) = entry.read::<TypeList>() {
                self.types = Some(list.types);
            }
        } else if key.starts_with(records::ROLLOUTS_PREFIX) {
            if let Ok(rollout) = entry.read::<Roll>() {
                self.see_rollout(rollout, entry.version);
            }
        } else if let Some(host) = key.strip_prefix(records::DRAINS_PREFIX) {
            self.see_drain(host, entry);
        } else if let Some(host) = key.strip_prefix(&records::alive_key("")) {
            if let Ok(alive) = entry.read::<AliveRecord>() {
                self.see_alive(host.to_string(), alive.incarnation, entry.version);
            }
        }
    }

    /// A drain's record. One that cannot be read cordons its machine all the same: a newer
    /// version of the program may have written it.
    fn see_drain(&mut self, host: &str, entry: &Entry) {
        let known = self.drains.get(host).map_or(0, |(_, version)| *version);
        if entry.version <= known {
            return;
        }
        let drain = entry.read::<Drain>().unwrap_or_else(|error| {
            tracing::error!(key = %entry.key, %error, "unreadable drain");
            records::unreadable_drain(host)
        });
        self.drains.insert(host.into(), (drain, entry.version));
        self.drains_generation += 1;
    }

    /// A rollout has this version.
    fn see_rollout(&mut self, rollout: Roll, version: u64) {
        let known = self
            .rollouts
            .get(&rollout.name)
            .map_or(0, |(_, version)| *version);
        if version >= known {
            self.rollouts
                .insert(rollout.name.clone(), (rollout, version));
        }
    }

    /// The shard record has this version.
    pub fn see_shard(&mut self, shard: ShardRecord, version: u64) {
        if version >= self.shard_version() {
            self.shard = Some((shard, version));
        }
    }

    /// The term counter has this version.
    pub(super) fn see_term(&mut self, term: u64, version: u64) {
        if version >= self.term.1 {
            self.term = (term, version);
        }
    }

    /// Applies a listing of the whole prefix as of `revision`; a controller that is not in it
    /// was not alive then. What is known from later stays.
    pub fn apply_listing(&mut self, entries: &[Entry], revision: u64) {
        self.alive.retain(|_, (_, version)| *version > revision);
        self.rollouts.retain(|_, (_, version)| *version > revision);
        self.apply_drain_listing(entries, revision);
        self.loaded = true;
        self.advance_to(revision);
    }

    /// Applies a listing of all drains as of `revision`. If we know of later changes there is
    /// nothing to learn: a drain that was ended since would come back for good.
    pub fn apply_drain_listing(&mut self, entries: &[Entry], revision: u64) {
        if revision < self.revision {
            return;
        }
        self.drains.retain(|_, (_, version)| *version > revision);
        self.drains_generation += 1;
        for entry in entries {
            self.apply_entry(entry);
        }
    }

    /// All changes up to this revision are known.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// A key of the prefix was deleted at `version`.
    pub fn apply_deletion(&mut self, key: &str, version: u64) {
        if let Some(name) = key.strip_prefix(records::ROLLOUTS_PREFIX) {
            if self
                .rollouts
                .get(name)
                .is_some_and(|rollout| rollout.1 <= version)
            {
                self.rollouts.remove(name);
            }
        } else if let Some(host) = key.strip_prefix(records::DRAINS_PREFIX) {
            if self
                .drains
                .get(host)
                .is_some_and(|drain| drain.1 <= version)
            {
                self.drains.remove(host);
                self.drains_generation += 1;
            }
        } else if let Some(host) = key.strip_prefix(&records::alive_key("")) {
            if self.alive.get(host).is_some_and(|alive| alive.1 <= version) {
                self.alive.remove(host);
            }
        }
    }

    /// Version of the shard record that we know, 0 if there is none.
    pub fn shard_version(&self) -> u64 {
        self.shard.as_ref().map_or(0, |(_, version)| *version)
    }

    /// A read begun while the shard record had this version found no alive key of its
    /// leader. If the record has changed since, the response is too old: the leader may be
    /// back.
    pub fn leader_not_alive(&mut self, host: &str, shard_version: u64) {
        if self.shard_version() == shard_version {
            self.alive.remove(host);
        }
    }
}
