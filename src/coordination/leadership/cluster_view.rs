//! What one controller knows of the control prefix, the watched keys of the state service.
//! If two versions of a key are known, the higher version counts, whichever was learnt first:
//! responses may arrive out of order, especially after a controller was paused.

use crate::protocol::admin::Drain;
use crate::protocol::cloud::{MachineType, TypeList};
use crate::protocol::rollout::Rollout;
use crate::protocol::state::Entry;
use crate::storage::records::{self, AliveRecord, ShardRecord, TermCounter};
use std::collections::HashMap;

/// The records of the control prefix, as far as they are known.
#[derive(Default, Debug)]
pub struct ClusterView {
    /// Whether the prefix was listed at least once.
    pub loaded: bool,
    /// Revision up to which all changes are known.
    pub revision: u64,
    /// The shard record and its version; `None` if no shard record is known.
    pub shard: Option<(ShardRecord, u64)>,
    /// The term counter and its version.
    pub term: (u64, u64),
    /// For each host with an alive key: the controller's incarnation and the key's version.
    pub alive: HashMap<String, (u64, u64)>,
    /// The machine types that the cloud offers; `None` until a list of them was read.
    pub types: Option<Vec<MachineType>>,
    /// Drains of machines, by the machine's host name, each with the version of its record.
    pub drains: HashMap<String, (Drain, u64)>,
    /// Rollouts by name, each with the version of its record.
    pub rollouts: HashMap<String, (Rollout, u64)>,
    /// The number of changes of `drains` so far.
    pub drains_generation: u64,
}

impl ClusterView {
    /// Updates a controller's alive key, unless a newer version is known.
    pub fn update_alive_key(&mut self, host: String, incarnation: u64, version: u64) {
        let known_key = self.alive.get(&host);
        if known_key.is_none_or(|(_, known_version)| version >= *known_version) {
            self.alive.insert(host, (incarnation, version));
        }
    }

    /// Applies one record of the prefix, unless a newer version is known. A record that cannot be
    /// parsed is ignored, except for a drain: its machine is cordoned.
    pub fn apply_entry(&mut self, entry: &Entry) {
        let key = entry.key.as_str();
        if key == records::SHARD_KEY {
            if let Ok(shard) = entry.read::<ShardRecord>() {
                self.update_shard(shard, entry.version);
            }
        } else if key == records::TERM_KEY {
            if let Ok(term) = entry.read::<TermCounter>() {
                self.update_term(term.term, entry.version);
            }
        } else if key == records::TYPES_KEY {
            if let Ok(list) = entry.read::<TypeList>() {
                self.types = Some(list.types);
            }
        } else if key.starts_with(records::ROLLOUTS_PREFIX) {
            if let Ok(rollout) = entry.read::<Rollout>() {
                self.update_rollout(rollout, entry.version);
            }
        } else if let Some(host) = key.strip_prefix(records::DRAINS_PREFIX) {
            self.update_drain(host, entry);
        } else if let Some(host) = key.strip_prefix(&records::alive_key("")) {
            if let Ok(alive) = entry.read::<AliveRecord>() {
                self.update_alive_key(host.to_string(), alive.incarnation, entry.version);
            }
        }
    }

    /// Updates the drain of a machine, unless this or a newer version is known. An unreadable
    /// record also cordons its machine: a newer version of the program may have written the
    /// record.
    fn update_drain(&mut self, host: &str, entry: &Entry) {
        let known_version = self.drains.get(host).map_or(0, |(_, version)| *version);
        if entry.version <= known_version {
            return;
        }
        let drain = entry.read::<Drain>().unwrap_or_else(|error| {
            tracing::error!(
                key = %entry.key,
                %error,
                "unreadable drain record; cordoning the machine"
            );
            records::unreadable_drain(host)
        });
        self.drains.insert(host.into(), (drain, entry.version));
        self.drains_generation += 1;
    }

    /// Updates a rollout, unless a newer version is known.
    fn update_rollout(&mut self, rollout: Rollout, version: u64) {
        let known_version = self
            .rollouts
            .get(&rollout.name)
            .map_or(0, |(_, version)| *version);
        if version >= known_version {
            self.rollouts
                .insert(rollout.name.clone(), (rollout, version));
        }
    }

    /// Updates the shard record, unless a newer version is known.
    pub fn update_shard(&mut self, shard: ShardRecord, version: u64) {
        if version >= self.shard_version() {
            self.shard = Some((shard, version));
        }
    }

    /// Updates the term counter, unless a newer version is known.
    pub(super) fn update_term(&mut self, term: u64, version: u64) {
        if version >= self.term.1 {
            self.term = (term, version);
        }
    }

    /// Applies a listing of the whole prefix as of `revision`. A controller whose alive key the
    /// listing lacks was not alive at that revision. Keys that are known at a later revision stay.
    pub fn apply_listing(&mut self, entries: &[Entry], revision: u64) {
        self.alive.retain(|_, (_, version)| *version > revision);
        self.rollouts.retain(|_, (_, version)| *version > revision);
        self.apply_drain_listing(entries, revision);
        self.loaded = true;
        self.advance_to(revision);
    }

    /// Applies a listing of all drains as of `revision`. A listing that is older than the known
    /// changes is ignored: it would bring back drains that have ended since, and no later event
    /// would remove them again.
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

    /// Records that all changes up to this revision are known.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies the deletion of a key of the prefix at `version`, unless a newer version of the
    /// key is known.
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

    /// The known version of the shard record; 0 if none is known.
    pub fn shard_version(&self) -> u64 {
        self.shard.as_ref().map_or(0, |(_, version)| *version)
    }

    /// Records that a read found no alive key of the leader `host`. `shard_version` is the
    /// version of the shard record when the read began. If the record has changed since, the
    /// response is outdated and ignored: the leader may be alive again.
    pub fn leader_not_alive(&mut self, host: &str, shard_version: u64) {
        if self.shard_version() == shard_version {
            self.alive.remove(host);
        }
    }
}
