//! The records that foxspur stores in the state service, and their keys.
//!
//! The doc comment of each record says who writes it, who reads it, and when it may be
//! deleted. Two rules hold for all records:
//!
//! - Everything that a controller tells a user or a worker is based on a record that was written
//!   beforehand.
//! - A write is conditional on the versions of the records that it replaces. A write that got no
//!   response may be executed at any later time; its conditions fail if the records have been
//!   written in the meantime.
//!
//! Old and new versions of the program run side by side during an upgrade. Keys, field names
//! and their meaning are therefore a stable storage format, and new fields have defaults.

use super::completed_tasks::CompletedTasks;
use crate::protocol::admin::{Drain, RemainingWork};
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, JobState};
use crate::protocol::state::Txn;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Prefix of the keys that all controllers watch.
pub const CONTROL_PREFIX: &str = "fx/a/";
/// Prefix of the keys of live jobs, which the leader watches.
pub const LIVE_PREFIX: &str = "fx/live/";
/// Key of the [`TermCounter`], from which all terms are taken.
pub const TERM_KEY: &str = "fx/a/term";
/// Key of the known machine types, a [`crate::protocol::cloud::TypeList`]. Controllers that restart
/// while the cloud is unavailable need this record. Written by a controller when the cloud reports
/// other types; read by all controllers through their watch; never deleted.
pub const TYPES_KEY: &str = "fx/a/types";
/// Key of the shard record, a [`ShardRecord`].
pub const SHARD_KEY: &str = "fx/a/share/0";
/// Prefix of the keys of the chunks of the shard's list of machines, each a [`MachineChunk`].
pub const MACHINES_PREFIX: &str = "fx/mach/0/";
/// Prefix of the keys of drains, see [`drain_key`].
pub const DRAINS_PREFIX: &str = "fx/a/drain/";
/// Prefix of the keys of rollouts, see [`rollout_key`].
pub const ROLLOUTS_PREFIX: &str = "fx/a/roll/";
/// Maximum size of a transaction in the protocol, in bytes.
pub const MAX_TXN_BYTES: usize = 64 * 1024;
/// Maximum number of chunks of the list of machines. The keys hold four-digit chunk numbers.
const MAX_MACHINE_CHUNKS: usize = 10_000;

/// Key of a live job, a [`LiveJob`].
pub fn live_key(id: &str) -> String {
    format!("{LIVE_PREFIX}{id}")
}

/// Key of a job's terminal record, a [`TerminalRecord`].
pub fn terminal_key(id: &str) -> String {
    format!("fx/fin/{id}")
}

/// Prefix of the keys of a job's chunks of completed tasks, each a [`CompletedTasksChunk`].
pub fn completed_prefix(id: &str) -> String {
    format!("fx/mark/{id}/")
}

/// Key of one chunk of a job's completed tasks, a [`CompletedTasksChunk`].
pub fn completed_key(id: &str, chunk: u32) -> String {
    format!("fx/mark/{id}/{chunk:06}")
}

/// Key of a controller's [`AliveRecord`]. The key exists for as long as the controller's lease.
pub fn alive_key(host: &str) -> String {
    format!("fx/a/alive/{host}")
}

/// Key of a machine's drain, a [`Drain`] in the format of the operators' API.
///
/// Written by any controller for an operator, or by the leader as a step of a rollout. Written
/// again by the leader when the machine is drained. Read by all controllers through their
/// watch, and by a new leader before it places any task. Deleted when an operator or the
/// rollout ends the drain.
pub fn drain_key(host: &str) -> String {
    format!("{DRAINS_PREFIX}{host}")
}

/// Key of a rollout, a [`crate::protocol::rollout::Rollout`] in the format of the operators' API. A
/// rollout drains a list of machines in order, a few at a time.
///
/// Written by any controller for an operator, and by the leader with each step; read by all
/// controllers through their watch; deleted only by an operator's order.
pub fn rollout_key(name: &str) -> String {
    format!("{ROLLOUTS_PREFIX}{name}")
}

/// The number of the chunk of the shard's machines that is stored under this key; `None` if the
/// key is not one of such a chunk.
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

/// Number of fencing tokens that a leader may issue under one term: the term itself, and higher
/// tokens, each for one machine. The leader raises the token of a machine without a write (see
/// `Machine::token_under`).
///
/// The term counter skips all tokens of a term, so every later term is higher than all of them,
/// also if an older version of the program takes it. Raising a token requires an answered heartbeat
/// and an answered call, so the tokens of a term last for hours. An attempt number combines the
/// term with a 24-bit count; with these 12 bits for tokens, a hundred thousand takeovers keep
/// attempt numbers below 2^53.
pub const TOKENS_PER_TERM: u64 = 1 << 12;

/// The counter of terms.
///
/// Written with each takeover and each raise of the term, conditional on its version; read by
/// all controllers through their watch; never deleted, since terms must never repeat.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct TermCounter {
    /// The highest fencing token that any leader may have issued.
    pub term: u64,
}

impl TermCounter {
    /// The value of the counter after this term was taken: the highest token of the term.
    pub fn after_taking(term: u64) -> TermCounter {
        TermCounter {
            term: term + TOKENS_PER_TERM - 1,
        }
    }
}

/// Shows that a controller is alive.
///
/// Written by the controller itself, under its lease (see [`alive_txn`]); read by all
/// controllers through their watch; deleted by the state service when the lease expires or is
/// revoked. Other controllers may then take over.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct AliveRecord {
    /// A number that differs for each start of the process and after each step-down.
    #[serde(rename = "boot")]
    pub incarnation: u64,
}

/// The transaction that writes a controller's alive key under its lease, conditional on the
/// key's current version, which is 0 if the key does not exist.
///
/// Guards against the following failure: without the condition, a late write by an earlier
/// incarnation put the key under a lease that was about to expire. Another controller then took
/// over the shard while its leader was still renewing its own, newer lease.
pub fn alive_txn(host: &str, incarnation: u64, lease: u64, current_version: u64) -> Txn {
    let key = alive_key(host);
    let txn = Txn::default().when(&key, current_version);
    txn.put_leased(&key, &AliveRecord { incarnation }, Some(lease))
}

/// A former leader that might still answer workers: until `until_ms`, or until its host is seen
/// with another incarnation if that is earlier. Part of the [`ShardRecord`].
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct FormerLeader {
    /// Host of the former leader.
    pub host: String,
    /// Incarnation of the former leader.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Unix time in milliseconds after which the former leader certainly no longer answers
    /// workers.
    pub until_ms: u64,
}

/// The leader of the shard and its term.
///
/// Written by the controller that takes over, conditional on the record's version and on the
/// absence of the former leader's alive key. Also written by the leader when it raises its term or
/// confirms its leadership under a new lease. Read by all controllers through their watch; never
/// deleted. Operators' orders and the leader's records are written on condition that this record's
/// version is unchanged, so a write by a former leader fails.
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
    /// Whether the leader stops answering workers when its knowledge of cancellations is too
    /// old. Older versions of the program leave this field out, and their leaders do not stop.
    #[serde(rename = "bounded", default)]
    pub bounded_staleness: bool,
}

/// A machine of the shard.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineInfo {
    /// Name of the machine.
    pub id: String,
    /// Address at which the machine's worker takes commands.
    pub addr: String,
    /// Name of the machine's type.
    pub kind: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the cloud may take the machine back at short notice.
    pub spot: bool,
}

/// A chunk of the shard's machines (see [`super::machine_record`]).
///
/// Written by the leader, conditional on the versions of the shard record and of the chunk,
/// before any task starts on a machine in the chunk. Read by a controller that takes over, and
/// to check operators' orders. Never deleted: a machine that is proven to be gone is removed by
/// writing the chunk without it.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct MachineChunk {
    /// The machines in the chunk.
    pub machines: Vec<MachineInfo>,
}

/// A live job.
///
/// Written by the controller that accepts the job, before the user is told, and by the leader
/// with each batch of completed tasks, conditional on its version. Read for answers to users,
/// by the leader's watch, and by a controller that takes over. Deleted only in the transaction
/// that writes the job's terminal record, so that no job is lost.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct LiveJob {
    /// The job as it was submitted.
    pub spec: Rc<JobSpec>,
    /// When the job was accepted: Unix time in milliseconds.
    #[serde(rename = "at_ms")]
    pub accepted_at_ms: u64,
    /// The completed tasks as ranges; empty if they are stored in chunks.
    #[serde(default)]
    pub done: String,
}

impl LiveJob {
    /// Number of tasks that this record lists as completed. Tasks that are listed in separate
    /// chunks are not counted.
    pub fn completed_count(&self) -> u32 {
        CompletedTasks::from_text(&self.done, self.spec.tasks).len() as u32
    }
}

/// Some of the completed tasks of a job whose live record has no room for all of them.
///
/// Written by the leader together with the job's live record, conditional on that record's
/// version; read by a controller that takes over. Deleted by the controller that wrote the
/// job's terminal record, after that write. A chunk that is never deleted only takes up space.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct CompletedTasksChunk {
    /// The completed tasks, as ranges.
    pub done: String,
}

/// A job that is done or cancelled.
///
/// Written by the leader when all tasks are completed, and by any controller that cancels
/// the job, in the transaction that deletes the live record. Read for answers to users. Never
/// changed and never deleted, so that a repeated submission of the job finds it.
#[derive(Serialize, Deserialize, Clone, Copy, Debug)]
pub struct TerminalRecord {
    /// The final state: done or cancelled.
    pub state: JobState,
    /// Number of tasks of the job; 0 if its live record was unreadable.
    pub tasks: u32,
    /// Number of completed tasks that the writer of the record knew of.
    pub done: u32,
}

/// The drain assumed for a machine whose drain record cannot be parsed: the machine is
/// cordoned, and no running task is stopped.
pub fn unreadable_drain(host: &str) -> Drain {
    Drain {
        host: host.into(),
        order: String::new(),
        by: String::new(),
        why: "a record that this version cannot read".into(),
        at_ms: 0,
        deadline_ms: None,
        rest: RemainingWork::Leave,
        drained: None,
        roll: None,
    }
}

/// Whether a task of the job fits on an empty machine of this type, in a zone that the job
/// allows.
pub fn fits_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    let type_allowed = spec
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&machine_type.name));
    let zone_allowed = spec
        .zone
        .as_ref()
        .is_none_or(|zone| machine_type.zones.contains(zone));
    type_allowed
        && zone_allowed
        && spec.cpus <= machine_type.cpus
        && spec.gpus <= machine_type.gpus
        && spec.memory_gb <= machine_type.memory_gb
}
