//! The shard's list of machines. The list is larger than one value may be, so it is stored in
//! chunks. This module plans which chunks must be written so that the record lists the wanted
//! machines, and keeps the number of rewritten chunks small.
//!
//! Invariant: a chunk is written only on condition that its version is still the one that was
//! last read or written here. A write that got no response may be executed later. Its chunk is
//! therefore written again, even if the machines in it are the wanted ones: this changes the
//! chunk's version, so that the late write fails.

use super::records::{self, MachineChunk, MachineInfo};
use crate::protocol::state::{Entry, Txn};
use std::collections::{BTreeSet, HashMap};

/// Estimated serialized size of a machine's entry in a chunk without its strings, in bytes.
const MACHINE_BYTES: usize = 80;
/// Estimated serialized size of a chunk in a transaction without its machines, in bytes.
const CHUNK_BYTES: usize = 100;

/// The chunks of the record as they were last read or written.
#[derive(Debug, Default)]
pub struct MachineRecord {
    chunks: Vec<WrittenChunk>,
    /// Numbers of the chunks that a write without a response may still change.
    uncertain: BTreeSet<usize>,
}

/// A chunk as it was last read or written.
#[derive(Debug, Default)]
struct WrittenChunk {
    machines: Vec<MachineInfo>,
    /// Version of the chunk; 0 if it does not exist.
    version: u64,
}

impl MachineRecord {
    /// Parses the record from a listing of all chunks. A chunk that is not listed does not exist.
    /// A chunk that cannot be parsed is logged and left out.
    pub fn read(listed: &[Entry]) -> MachineRecord {
        let mut record = MachineRecord::default();
        for entry in listed {
            let number = records::chunk_number(&entry.key);
            match (number, entry.read::<MachineChunk>()) {
                (Some(number), Ok(chunk)) => {
                    record.record_chunk(number, chunk.machines, entry.version);
                }
                _ => tracing::error!(key = %entry.key, "unreadable machine record"),
            }
        }
        record
    }

    /// Records that a write of this chunk got no response and may still be executed at any time.
    pub fn mark_uncertain(&mut self, chunk: usize) {
        self.uncertain.insert(chunk);
    }

    /// Replaces the chunks with those of a new listing. Chunks that were marked as uncertain stay
    /// marked.
    pub fn reload(&mut self, listed: &[Entry]) {
        self.chunks = MachineRecord::read(listed).chunks;
    }

    /// Records that the chunk held these machines and had this version when it was read or
    /// written. The chunk is no longer uncertain.
    pub fn record_chunk(&mut self, chunk: usize, machines: Vec<MachineInfo>, version: u64) {
        if self.chunks.len() <= chunk {
            self.chunks.resize_with(chunk + 1, Default::default);
        }
        self.chunks[chunk] = WrittenChunk { machines, version };
        self.uncertain.remove(&chunk);
    }

    /// All machines in the record.
    pub fn machines(&self) -> impl Iterator<Item = &MachineInfo> {
        self.chunks.iter().flat_map(|chunk| &chunk.machines)
    }

    /// The version that this chunk must still have when it is written; 0 if it does not exist.
    fn version(&self, chunk: usize) -> u64 {
        self.chunks.get(chunk).map_or(0, |chunk| chunk.version)
    }

    /// Whether the chunk must be written so that it holds exactly these machines.
    fn must_write(&self, chunk: usize, machines: &[&MachineInfo]) -> bool {
        let is_equal =
            |written: &WrittenChunk| written.machines.iter().eq(machines.iter().copied());
        self.uncertain.contains(&chunk) || !self.chunks.get(chunk).is_some_and(is_equal)
    }
}

/// The number of a chunk and the machines to write into it.
pub type Change = (usize, Vec<MachineInfo>);

/// The transaction that writes these changes, on condition that the shard record still has the
/// version `shard_version` and that each chunk still has the version in `written`. Without the
/// conditions on the chunks, a write that was abandoned and is executed minutes later would
/// overwrite a newer list with an old one, and tasks would run on machines that are in no record.
pub fn write_txn(written: &MachineRecord, changes: &[Change], shard_version: u64) -> Txn {
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

/// The chunks to write so that the record holds exactly the `wanted` machines. A machine is added
/// to a chunk only if the chunk's estimated size then is at most `max_bytes`. Machines that are
/// already in the record stay in their chunks, so a change of the list rewrites few chunks.
pub fn plan(written: &MachineRecord, wanted: &[&MachineInfo], max_bytes: usize) -> Vec<Change> {
    let mut unassigned: HashMap<&str, &MachineInfo> = wanted
        .iter()
        .map(|machine| (machine.id.as_str(), *machine))
        .collect();
    let mut chunks: Vec<ChunkPlan> = Vec::with_capacity(written.chunks.len());
    for chunk in &written.chunks {
        let retained = chunk
            .machines
            .iter()
            .filter_map(|machine| unassigned.remove(machine.id.as_str()));
        chunks.push(ChunkPlan::new(retained.collect()));
    }
    // New machines are added in the order of `wanted`, so that the plan does not depend on the
    // iteration order of the hash map.
    let added = wanted
        .iter()
        .filter(|machine| unassigned.contains_key(machine.id.as_str()));
    add_next_fit(&mut chunks, added.copied(), max_bytes);
    chunks
        .into_iter()
        .enumerate()
        .filter(|(number, chunk)| written.must_write(*number, &chunk.machines))
        .map(|(number, chunk)| (number, chunk.machines.into_iter().cloned().collect()))
        .collect()
}

/// The planned content of a chunk.
struct ChunkPlan<'a> {
    machines: Vec<&'a MachineInfo>,
    /// Estimated serialized size of the machines, in bytes.
    bytes: usize,
}

impl<'a> ChunkPlan<'a> {
    fn new(machines: Vec<&'a MachineInfo>) -> ChunkPlan<'a> {
        let bytes = machines.iter().map(|machine| machine_bytes(machine)).sum();
        ChunkPlan { machines, bytes }
    }

    fn add(&mut self, machine: &'a MachineInfo) {
        self.bytes += machine_bytes(machine);
        self.machines.push(machine);
    }
}

/// Adds the machines to chunks by next fit: a chunk that had no room for one machine is not tried
/// for any later machine. New chunks are appended when no chunk is left to try.
fn add_next_fit<'a>(
    chunks: &mut Vec<ChunkPlan<'a>>,
    machines: impl Iterator<Item = &'a MachineInfo>,
    max_bytes: usize,
) {
    let mut current = 0;
    for machine in machines {
        let bytes = machine_bytes(machine);
        while chunks
            .get(current)
            .is_some_and(|chunk| chunk.bytes + bytes > max_bytes)
        {
            current += 1;
        }
        if current == chunks.len() {
            chunks.push(ChunkPlan::new(Vec::new()));
        }
        chunks[current].add(machine);
    }
}

/// The number of changes, taken in order from the first, that fit into one transaction of
/// `max_changes` changes and `max_bytes` bytes. The first change is counted even if it is larger.
pub fn changes_that_fit(changes: &[Change], max_changes: usize, max_bytes: usize) -> usize {
    let mut bytes = 0;
    let fitting = changes
        .iter()
        .take(max_changes)
        .take_while(|(_, machines)| {
            bytes += CHUNK_BYTES + machines.iter().map(machine_bytes).sum::<usize>();
            bytes <= max_bytes
        });
    fitting.count().max(1).min(changes.len())
}

/// Estimated serialized size of a machine's entry in a chunk, in bytes.
fn machine_bytes(info: &MachineInfo) -> usize {
    MACHINE_BYTES + info.id.len() + info.addr.len() + info.kind.len() + info.zone.len()
}
