//! What one controller knows of the watched area of the state service. Of two
//! things known about a key the one with the higher version counts, in whatever
//! order they were learnt: answers overtake each other, most of all when a
//! controller stood still for a while.

use crate::protocol::admin::Drain;
use crate::protocol::cloud::{MachineType, TypeList};
use crate::protocol::roll::Roll;
use crate::protocol::state::Entry;
use crate::storage::records::{self, AliveRecord, ShardRecord, TermCounter};
use std::collections::HashMap;

/// What the watched area of the state service says.
#[derive(Default, Debug)]
pub struct ClusterView {
    /// It was read at least once.
    pub loaded: bool,
    /// Revision up to which all changes are known.
    pub revision: u64,
    pub shard: Option<(ShardRecord, u64)>,
    pub term: (u64, u64),
    /// Controllers' alive keys: incarnation and version.
    pub alive: HashMap<String, (u64, u64)>,
    pub types: Option<Vec<MachineType>>,
    /// Machines that operators set aside, each with its record's version.
    pub drains: HashMap<String, (Drain, u64)>,
    /// Rolls by name, each with its record's version.
    pub rolls: HashMap<String, (Roll, u64)>,
    /// Counts changes of drains.
    pub drains_generation: u64,
}

impl ClusterView {
    /// A controller's alive key at this version.
    pub fn see_alive(&mut self, host: String, boot: u64, version: u64) {
        let known = self.alive.get(&host);
        if known.is_none_or(|(_, v)| version >= *v) {
            self.alive.insert(host, (boot, version));
        }
    }

    /// Takes in one record of the area, unless a newer one is known.
    pub fn apply_entry(&mut self, entry: &Entry) {
        if entry.key == records::SHARD_KEY {
            if let Ok(share) = entry.read::<ShardRecord>() {
                self.see_shard(share, entry.version);
            }
        } else if entry.key == records::TERM_KEY {
            if let Ok(term) = entry.read::<TermCounter>() {
                if entry.version >= self.term.1 {
                    self.term = (term.term, entry.version);
                }
            }
        } else if entry.key == records::TYPES_KEY {
            if let Ok(list) = entry.read::<TypeList>() {
                self.types = Some(list.types);
            }
        } else if entry.key.starts_with(records::ROLLOUTS_PREFIX) {
            // One that cannot be read is left to who wrote it.
            if let Ok(roll) = entry.read::<Roll>() {
                self.see_roll(roll, entry.version);
            }
        } else if let Some(host) = entry.key.strip_prefix(records::DRAINS_PREFIX) {
            self.see_drain(host, entry);
        } else if let Some(host) = entry.key.strip_prefix(&records::alive_key("")) {
            if let Ok(alive) = entry.read::<AliveRecord>() {
                self.see_alive(host.to_string(), alive.incarnation, entry.version);
            }
        }
    }

    /// A drain's record. One that cannot be read sets its machine aside all the
    /// same: a newer version of us may have written it.
    fn see_drain(&mut self, host: &str, entry: &Entry) {
        let known = self.drains.get(host).map_or(0, |(_, v)| *v);
        if entry.version <= known {
            return;
        }
        let drain = entry.read::<Drain>().unwrap_or_else(|error| {
            tracing::error!(key = %entry.key, %error, "unreadable drain");
            crate::coordination::fleet::drains::unreadable(host)
        });
        self.drains.insert(host.into(), (drain, entry.version));
        self.drains_generation += 1;
    }

    /// A roll at this version.
    pub fn see_roll(&mut self, roll: Roll, version: u64) {
        let known = self.rolls.get(&roll.name).map_or(0, |(_, v)| *v);
        if version >= known {
            self.rolls.insert(roll.name.clone(), (roll, version));
        }
    }

    /// The share record at this version.
    pub fn see_shard(&mut self, share: ShardRecord, version: u64) {
        let known = self.shard.as_ref().map_or(0, |(_, v)| *v);
        if version >= known {
            self.shard = Some((share, version));
        }
    }

    /// Takes in the whole area as of `revision`; who is not in it was not alive
    /// then. What is known from later stays.
    pub fn apply_listing(&mut self, entries: &[Entry], revision: u64) {
        self.alive.retain(|_, (_, version)| *version > revision);
        self.rolls.retain(|_, (_, version)| *version > revision);
        self.apply_drain_listing(entries, revision);
        self.loaded = true;
        self.advance_to(revision);
    }

    /// Takes in all drains as of `revision`. If we know of later changes there is
    /// nothing to learn: one that was ended since would come back for good.
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

    /// A key of the area was deleted.
    pub fn apply_deletion(&mut self, key: &str, version: u64) {
        if let Some(name) = key.strip_prefix(records::ROLLOUTS_PREFIX) {
            if self.rolls.get(name).is_some_and(|r| r.1 <= version) {
                self.rolls.remove(name);
            }
        } else if let Some(host) = key.strip_prefix(records::DRAINS_PREFIX) {
            if self.drains.get(host).is_some_and(|d| d.1 <= version) {
                self.drains.remove(host);
                self.drains_generation += 1;
            }
        } else if let Some(host) = key.strip_prefix(&records::alive_key("")) {
            if self.alive.get(host).is_some_and(|a| a.1 <= version) {
                self.alive.remove(host);
            }
        }
    }

    /// Version of the share record that we know.
    pub fn shard_version(&self) -> u64 {
        self.shard.as_ref().map_or(0, |(_, v)| *v)
    }

    /// A look begun while the share record had this version showed no alive key
    /// of its owner. If the record has changed since, the answer is too old: the
    /// owner may be back.
    pub fn leader_not_alive(&mut self, host: &str, share_version: u64) {
        if self.shard_version() == share_version {
            self.alive.remove(host);
        }
    }
}
