//! The records that foxspur keeps in the state service, and their keys.
//!
//! For each record its doc comment says who writes it, who reads it, and when it may be
//! deleted. Two rules hold for all:
//!
//! - Whatever a user or a worker is told rests on a record that was written before.
//! - A write is conditional on the versions of the records that it replaces. One without an
//!   answer may be carried out at any later time, and then fails its conditions.
//!
//! Old and new programs run side by side during an upgrade: keys, names of fields and their
//! meaning are a stored format, and new fields have defaults.

use super::completed_tasks::CompletedTasks;
use crate::protocol::admin::{Drain, Rest};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, JobState};
use crate::protocol::state::Txn;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Prefix of everything that all controllers watch.
pub const CONTROL_PREFIX: &str = "fx/a/";
/// Prefix of the live jobs, which the leader watches.
pub const LIVE_PREFIX: &str = "fx/live/";
/// Key of the counter that all terms come from, a [`TermCounter`].
pub const TERM_KEY: &str = "fx/a/term";
/// Key of the known machine types, a [`crate::protocol::cloud::TypeList`], for a restart
/// while the cloud is away. Written by a controller that learns of other types from the
/// cloud; read by all by their watch; never deleted.
pub const TYPES_KEY: &str = "fx/a/types";
/// Key of the shard record, a [`ShardRecord`].
pub const SHARD_KEY: &str = "fx/a/share/0";
/// Prefix of the chunks of the shard's list of machines, each a [`MachineChunk`].
pub const MACHINES_PREFIX: &str = "fx/mach/0/";
/// Prefix of the drains.
pub const DRAINS_PREFIX: &str = "fx/a/drain/";
/// Prefix of the rollouts.
pub const ROLLOUTS_PREFIX: &str = "fx/a/roll/";
/// Largest transaction, by the protocol.
pub const MAX_TXN_BYTES: usize = 64 * 1024;
/// Chunks that the list of machines may have.
const MAX_MACHINE_CHUNKS: usize = 10_000;

/// Key of a live job, a [`LiveJob`].
pub fn live_key(id: &str) -> String {
    format!("{LIVE_PREFIX}{id}")
}

/// Key of a job's terminal record, a [`TerminalRecord`].
pub fn terminal_key(id: &str) -> String {
    format!("fx/fin/{id}")
}

/// Prefix of the chunks of completed tasks of a job with many tasks.
pub fn completed_prefix(id: &str) -> String {
    format!("fx/mark/{id}/")
}

/// Key of one chunk of completed tasks, a [`CompletedTasksChunk`].
pub fn completed_key(id: &str, chunk: u32) -> String {
    format!("fx/mark/{id}/{chunk:06}")
}

/// Key that exists as long as a controller's lease, an [`AliveRecord`].
pub fn alive_key(host: &str) -> String {
    format!("fx/a/alive/{host}")
}

/// Key of a machine's drain, in the form of the operators' API. Written by any controller
/// for an operator, or by the leader as a step of a rollout; the leader writes it again when
/// the drain is carried out; read by all by their watch, and by a new leader before it
/// places anything; deleted when an operator or the rollout ends the drain.
pub fn drain_key(host: &str) -> String {
    format!("{DRAINS_PREFIX}{host}")
}

/// Key of a rollout, in the form of the operators' API: machines that are drained one after
/// the other. Written by any controller for an operator, and by the leader with each step;
/// read by all by their watch; deleted by an operator's order alone.
pub fn rollout_key(name: &str) -> String {
    format!("{ROLLOUTS_PREFIX}{name}")
}

/// Which chunk of the shard's machines the key names.
pub fn chunk_number(key: &str) -> Option<usize> {
    key.strip_prefix(MACHINES_PREFIX)?
        .parse()
        .ok()
        .filter(|number| *number < MAX_MACHINE_CHUNKS)
}

/// Key of one chunk of the shard's machines, a [`MachineChunk`].
pub fn machine_chunk_key(chunk: usize) -> String {
    format!("{MACHINES_PREFIX}{chunk:04}")
}

/// Fencing tokens that a leader may give under one term: its term itself and those above
/// it, up to this many, for single machines (the leader raises a machine's token without a
/// write, see `Machine::token_under`). The counter passes over all of them, so that
/// later terms, also those of older programs, are higher than any. One costs a heartbeat
/// and a call that were answered, so this many last for hours; with it and 24 bits for
/// the count of attempts, a hundred thousand takeovers stay below 2^53.
pub const TOKENS_PER_TERM: u64 = 1 << 12;

/// The counter of terms.
///
/// Written with each takeover and each raise of the term, on condition of its version;
/// read by all controllers by their watch; never deleted, since terms must never repeat.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct TermCounter {
    /// The highest fencing token that anyone may have given.
    pub term: u64,
}

impl TermCounter {
    /// The counter when this term is taken.
    pub fn taken(term: u64) -> TermCounter {
        TermCounter {
            term: term + TOKENS_PER_TERM - 1,
        }
    }
}

/// A controller that is alive.
///
/// Written by the controller itself, on its lease (see [`write_alive`]); read by all
/// controllers by their watch; deleted by the state service when the lease expires or is
/// revoked: then the others may take over.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct AliveRecord {
    /// Differs for each start of the process, and after each step down.
    #[serde(rename = "boot")]
    pub incarnation: u64,
}

/// Writes a controller's alive key on its lease, in place of version `over` of it (0: it
/// does not exist). Without the condition a write of an earlier incarnation, carried out
/// late, put the key under a lease about to end, and another controller took the shard over
/// while its leader still renewed a lease of its own.
pub fn write_alive(host: &str, incarnation: u64, lease: u64, over: u64) -> Txn {
    let key = alive_key(host);
    let txn = Txn::default().when(&key, over);
    txn.put_leased(&key, &AliveRecord { incarnation }, Some(lease))
}

/// A former leader that might still answer workers: until `until_ms`, or until its host is
/// seen with another incarnation. Part of the [`ShardRecord`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct FormerLeader {
    /// Its host.
    pub host: String,
    /// Its incarnation.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// When it certainly is silent: time of day in milliseconds.
    pub until_ms: u64,
}

/// Who leads the shard under which term.
///
/// Written by the controller that takes over, on condition of its version and of the absence
/// of the former leader's alive key, and by the leader when it raises its term or asserts
/// itself under a new lease; read by all controllers by their watch; never deleted. Orders
/// and the leader's records are written on condition of its version, which fences former
/// leaders.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ShardRecord {
    /// Host of the leader.
    #[serde(rename = "owner")]
    pub leader: String,
    /// Incarnation of the leader.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Term of the leader.
    pub term: u64,
    /// The teams whose jobs are in the shard.
    pub teams: Vec<String>,
    /// Former leaders that might still answer workers.
    #[serde(rename = "prior", default)]
    pub former_leaders: Vec<FormerLeader>,
    /// Its leader falls silent when it does not know of cancellations. An older program,
    /// which does not, leaves this out.
    #[serde(rename = "bounded", default)]
    pub bounded_staleness: bool,
}

/// A machine of the shard.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineInfo {
    /// Its name.
    pub id: String,
    /// Where its worker takes commands.
    pub addr: String,
    /// Its machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// The cloud may take it back at short notice.
    pub spot: bool,
}

/// A chunk of the shard's machines (see [`super::machine_record`]).
///
/// Written by the leader, on condition of the shard record's version and the chunk's own,
/// before anything starts on a machine in it; read by a leader that takes over, and for
/// orders of operators; never deleted, but written without a machine once that is proven
/// gone.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct MachineChunk {
    /// The machines.
    pub machines: Vec<MachineInfo>,
}

/// A live job.
///
/// Written by the controller that accepts the job, before its user is told; by the leader
/// with each batch of completed tasks, on condition of its version. Read for answers to
/// users, by the leader's watch, and by a leader that takes over. Deleted in the transaction
/// that writes the job's terminal record, and not otherwise: a job is never lost.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct LiveJob {
    /// The job as it was submitted.
    pub spec: Rc<JobSpec>,
    /// When it was accepted: time of day in milliseconds.
    pub at_ms: u64,
    /// Its completed tasks as ranges, unless it has too many tasks for one record.
    #[serde(default)]
    pub done: String,
}

impl LiveJob {
    /// How many tasks are completed by this record; those in chunks apart not counted.
    pub fn completed_count(&self) -> u32 {
        CompletedTasks::from_text(&self.done, self.spec.tasks).len() as u32
    }
}

/// Some of a large job's completed tasks.
///
/// Written by the leader together with the job's live record, on condition of that record's
/// version; read by a leader that takes over; deleted once the job's terminal record is
/// written, by the controller that wrote that. One that stays costs space alone.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct CompletedTasksChunk {
    /// The tasks, as ranges.
    pub done: String,
}

/// A job that is over.
///
/// Written by the leader when all tasks are completed, and by any controller that cancels
/// the job, in the transaction that deletes the live record; read for answers to users;
/// never changed and never deleted, so that a repeated submission of the job finds it.
#[derive(Serialize, Deserialize, Clone, Copy, Debug)]
pub struct TerminalRecord {
    /// Done or cancelled.
    pub state: JobState,
    /// Tasks of the job; 0 if its live record was unreadable.
    pub tasks: u32,
    /// Completed tasks, as far as they were known.
    pub done: u32,
}

/// Stands for the record of a drain that we cannot read: the machine is cordoned, and nothing
/// is stopped.
pub fn unreadable_drain(host: &str) -> Drain {
    Drain {
        host: host.into(),
        order: String::new(),
        by: String::new(),
        why: "a record that this version cannot read".into(),
        at_ms: 0,
        deadline_ms: None,
        rest: Rest::Leave,
        drained: None,
        roll: None,
    }
}

/// Whether a task of the job fits the machine type at all.
pub fn fits_type(spec: &JobSpec, kind: &MachineType) -> bool {
    let allowed = spec
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&kind.name));
    let zone = spec.zone.as_ref().is_none_or(|z| kind.zones.contains(z));
    allowed
        && zone
        && spec.cpus <= kind.cpus
        && spec.gpus <= kind.gpus
        && spec.memory_gb <= kind.memory_gb
}
