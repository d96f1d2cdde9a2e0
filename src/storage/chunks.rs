//! A share's machine list in several values: which chunks must be written so
//! that the record says what it should, and no more of them than need be.

use super::records::{self, MachineChunk, MachineInfo};
use crate::protocol::state::{Entry, Txn};
use std::collections::{BTreeSet, HashMap};

/// The record as it stands: each chunk with its version, as far as we know, and
/// which of them a write without an answer may still change.
#[derive(Debug, Default)]
pub struct MachineRecord(Vec<(Vec<MachineInfo>, u64)>, BTreeSet<usize>);

impl MachineRecord {
    /// Reads it from a listing; what is not in it does not exist.
    pub fn read(listed: &[Entry]) -> MachineRecord {
        let mut written = MachineRecord::default();
        for entry in listed {
            match (
                records::chunk_number(&entry.key),
                entry.read::<MachineChunk>(),
            ) {
                (Some(at), Ok(chunk)) => written.set(at, chunk.machines, entry.version),
                _ => tracing::error!(key = %entry.key, "unreadable machine record"),
            }
        }
        written
    }

    /// A write of this chunk had no answer: it may be carried out at any time. It
    /// is written again whatever it holds, so that its version voids that one.
    pub fn unsure(&mut self, at: usize) {
        self.1.insert(at);
    }

    /// Takes over what was read anew; what is unsure stays so.
    pub fn reread(&mut self, listed: &[Entry]) {
        self.0 = MachineRecord::read(listed).0;
    }

    /// The chunk holds these machines since this version.
    pub fn set(&mut self, at: usize, machines: Vec<MachineInfo>, version: u64) {
        if self.0.len() <= at {
            self.0.resize_with(at + 1, Default::default);
        }
        self.0[at] = (machines, version);
        self.1.remove(&at);
    }

    /// All machines.
    pub fn machines(&self) -> impl Iterator<Item = &MachineInfo> {
        self.0.iter().flat_map(|(machines, _)| machines)
    }

    fn version(&self, at: usize) -> u64 {
        self.0.get(at).map_or(0, |(_, version)| *version)
    }
}

/// The transaction that writes these changes if the share record still has this
/// version and each chunk is the one we know. Without the latter one that was
/// given up, and is carried out minutes late, would put an old list over a
/// newer one: tasks would run on machines that no record names.
pub fn txn(written: &MachineRecord, changes: &[Change], share_version: u64) -> Txn {
    let mut txn = Txn::default().when(records::SHARD_KEY, share_version);
    for (at, machines) in changes {
        let key = records::machine_chunk_key(*at);
        let machines = machines.clone();
        txn = txn
            .when(&key, written.version(*at))
            .put(&key, &MachineChunk { machines });
    }
    txn
}

/// What a machine takes of a value, framing included.
fn bytes(info: &MachineInfo) -> usize {
    80 + info.id.len() + info.addr.len() + info.kind.len() + info.zone.len()
}

/// A chunk with its new content.
pub type Change = (usize, Vec<MachineInfo>);

/// Chunks to write so that they hold just the `wanted` machines, none above
/// `most_bytes`. A machine stays in its chunk, so a change touches few.
pub fn plan(written: &MachineRecord, wanted: &[&MachineInfo], most_bytes: usize) -> Vec<Change> {
    let MachineRecord(written, unsure) = written;
    let mut missing: HashMap<&str, &MachineInfo> =
        wanted.iter().map(|m| (m.id.as_str(), *m)).collect();
    let mut chunks: Vec<Vec<&MachineInfo>> = Vec::with_capacity(written.len());
    for (chunk, _) in written {
        let kept = chunk.iter().filter_map(|m| missing.remove(m.id.as_str()));
        chunks.push(kept.collect());
    }
    let mut sizes: Vec<usize> = chunks
        .iter()
        .map(|c| c.iter().map(|m| bytes(m)).sum::<usize>())
        .collect();
    // In the order wanted, so that the plan does not depend on hashing.
    let mut at = 0;
    for info in wanted
        .iter()
        .filter(|m| missing.contains_key(m.id.as_str()))
    {
        while at < chunks.len() && sizes[at] + bytes(info) > most_bytes {
            at += 1;
        }
        if at == chunks.len() {
            chunks.push(Vec::new());
            sizes.push(0);
        }
        sizes[at] += bytes(info);
        chunks[at].push(info);
    }
    chunks
        .into_iter()
        .enumerate()
        .filter(|(i, c)| {
            unsure.contains(i)
                || written
                    .get(*i)
                    .is_none_or(|(w, _)| !w.iter().eq(c.iter().copied()))
        })
        .map(|(i, c)| (i, c.into_iter().cloned().collect()))
        .collect()
}

/// How many of the changes fit into one transaction: at least one.
pub fn fitting(changes: &[Change], most_changes: usize, most_bytes: usize) -> usize {
    let mut sum = 0;
    let within = changes.iter().take(most_changes).take_while(|(_, c)| {
        sum += 100 + c.iter().map(bytes).sum::<usize>();
        sum <= most_bytes
    });
    within.count().max(1).min(changes.len())
}
