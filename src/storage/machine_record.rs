//! The shard's list of machines, which is larger than one value and is kept in chunks: which
//! of them must be written so that the record lists the machines wanted, and no more of
//! them than need be.
//!
//! Invariant: a chunk is written only in place of the version that we know. A write without
//! an answer may be carried out later; its chunk is written again whatever it holds, which
//! changes the version and voids that write.

use super::records::{self, MachineChunk, MachineInfo};
use crate::protocol::state::{Entry, Txn};
use std::collections::{BTreeSet, HashMap};

/// Estimated bytes of a machine in a chunk, beside its texts.
const MACHINE_BYTES: usize = 80;
/// Estimated bytes of a chunk in a transaction, beside its machines.
const CHUNK_BYTES: usize = 100;

/// The record as it stands, as far as we know.
#[derive(Debug, Default)]
pub struct MachineRecord {
    chunks: Vec<WrittenChunk>,
    /// Chunks that a write without an answer may still change.
    uncertain: BTreeSet<usize>,
}

/// A chunk as it was read or written last.
#[derive(Debug, Default)]
struct WrittenChunk {
    machines: Vec<MachineInfo>,
    /// 0: it does not exist.
    version: u64,
}

impl MachineRecord {
    /// Reads it from a listing; what is not in it does not exist.
    pub fn read(listed: &[Entry]) -> MachineRecord {
        let mut written = MachineRecord::default();
        for entry in listed {
            let number = records::chunk_number(&entry.key);
            match (number, entry.read::<MachineChunk>()) {
                (Some(number), Ok(chunk)) => written.set(number, chunk.machines, entry.version),
                _ => tracing::error!(key = %entry.key, "unreadable machine record"),
            }
        }
        written
    }

    /// A write of this chunk had no answer: it may be carried out at any time.
    pub fn mark_uncertain(&mut self, chunk: usize) {
        self.uncertain.insert(chunk);
    }

    /// Takes over what was read anew; what is uncertain stays so.
    pub fn reload(&mut self, listed: &[Entry]) {
        self.chunks = MachineRecord::read(listed).chunks;
    }

    /// The chunk holds these machines since this version.
    pub fn set(&mut self, chunk: usize, machines: Vec<MachineInfo>, version: u64) {
        if self.chunks.len() <= chunk {
            self.chunks.resize_with(chunk + 1, Default::default);
        }
        self.chunks[chunk] = WrittenChunk { machines, version };
        self.uncertain.remove(&chunk);
    }

    /// All machines.
    pub fn machines(&self) -> impl Iterator<Item = &MachineInfo> {
        self.chunks.iter().flat_map(|chunk| &chunk.machines)
    }

    /// The version that a write of this chunk replaces.
    fn version(&self, chunk: usize) -> u64 {
        self.chunks.get(chunk).map_or(0, |chunk| chunk.version)
    }

    /// Whether the chunk has to be written so that it holds just these machines.
    fn must_write(&self, chunk: usize, machines: &[&MachineInfo]) -> bool {
        let holds = |written: &WrittenChunk| written.machines.iter().eq(machines.iter().copied());
        self.uncertain.contains(&chunk) || !self.chunks.get(chunk).is_some_and(holds)
    }
}

/// A chunk's number, with its new content.
pub type Change = (usize, Vec<MachineInfo>);

/// The transaction that writes these changes if the shard record still has this
/// version and each chunk is the one we know. Without the latter one that was
/// given up, and is carried out minutes late, would put an old list over a
/// newer one: tasks would run on machines that no record names.
pub fn txn(written: &MachineRecord, changes: &[Change], shard_version: u64) -> Txn {
    let mut txn = Txn::default().when(records::SHARD_KEY, shard_version);
    for (chunk, machines) in changes {
        let key = records::machine_chunk_key(*chunk);
        let machines = machines.clone();
        txn = txn
            .when(&key, written.version(*chunk))
            .put(&key, &MachineChunk { machines });
    }
    txn
}

/// Chunks to write so that they hold just the `wanted` machines, none above
/// `max_bytes`. A machine stays in its chunk, so a change touches few.
pub fn plan(written: &MachineRecord, wanted: &[&MachineInfo], max_bytes: usize) -> Vec<Change> {
    let mut missing: HashMap<&str, &MachineInfo> =
        wanted.iter().map(|m| (m.id.as_str(), *m)).collect();
    let mut chunks: Vec<ChunkPlan> = Vec::with_capacity(written.chunks.len());
    for chunk in &written.chunks {
        let kept = chunk.machines.iter();
        let kept = kept.filter_map(|m| missing.remove(m.id.as_str()));
        chunks.push(ChunkPlan::new(kept.collect()));
    }
    // In the order wanted, so that the plan does not depend on hashing.
    let added = wanted
        .iter()
        .filter(|m| missing.contains_key(m.id.as_str()));
    add_next_fit(&mut chunks, added.copied(), max_bytes);
    chunks
        .into_iter()
        .enumerate()
        .filter(|(number, chunk)| written.must_write(*number, &chunk.machines))
        .map(|(number, chunk)| (number, chunk.machines.into_iter().cloned().collect()))
        .collect()
}

/// What a chunk should hold.
struct ChunkPlan<'a> {
    machines: Vec<&'a MachineInfo>,
    bytes: usize,
}

impl<'a> ChunkPlan<'a> {
    fn new(machines: Vec<&'a MachineInfo>) -> ChunkPlan<'a> {
        let bytes = machines.iter().map(|m| machine_bytes(m)).sum();
        ChunkPlan { machines, bytes }
    }

    fn add(&mut self, machine: &'a MachineInfo) {
        self.bytes += machine_bytes(machine);
        self.machines.push(machine);
    }
}

/// Adds each machine to the next chunk with room, in order (next fit: a chunk that was
/// passed over is not tried again), and to new chunks when all are full.
fn add_next_fit<'a>(
    chunks: &mut Vec<ChunkPlan<'a>>,
    machines: impl Iterator<Item = &'a MachineInfo>,
    max_bytes: usize,
) {
    let mut at = 0;
    for machine in machines {
        let bytes = machine_bytes(machine);
        while chunks.get(at).is_some_and(|c| c.bytes + bytes > max_bytes) {
            at += 1;
        }
        if at == chunks.len() {
            chunks.push(ChunkPlan::new(Vec::new()));
        }
        chunks[at].add(machine);
    }
}

/// How many of the changes fit into one transaction: at least one.
pub fn changes_that_fit(changes: &[Change], max_changes: usize, max_bytes: usize) -> usize {
    let mut bytes = 0;
    let within = changes
        .iter()
        .take(max_changes)
        .take_while(|(_, machines)| {
            bytes += CHUNK_BYTES + machines.iter().map(machine_bytes).sum::<usize>();
            bytes <= max_bytes
        });
    within.count().max(1).min(changes.len())
}

/// Estimated bytes of a machine in a chunk, framing included.
fn machine_bytes(info: &MachineInfo) -> usize {
    MACHINE_BYTES + info.id.len() + info.addr.len() + info.kind.len() + info.zone.len()
}
