//! What foxspur keeps in the state service, and under which keys.

use super::completed_tasks::CompletedTasks;
use crate::protocol::cloud::MachineType;
use crate::protocol::job::{JobSpec, JobState};
use crate::protocol::state::Txn;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Everything that all controllers watch.
pub const CONTROL_PREFIX: &str = "fx/a/";
/// Live jobs.
pub const LIVE_PREFIX: &str = "fx/live/";
/// The counter that all terms come from.
pub const TERM_KEY: &str = "fx/a/term";
/// The known machine types.
pub const TYPES_KEY: &str = "fx/a/types";
/// The share record.
pub const SHARD_KEY: &str = "fx/a/share/0";
/// Chunks of a share's machine list.
pub const MACHINES_PREFIX: &str = "fx/mach/0/";

/// Key of a live job.
pub fn live_key(id: &str) -> String {
    format!("{LIVE_PREFIX}{id}")
}
/// Key of a job's final state, kept for ever.
pub fn terminal_key(id: &str) -> String {
    format!("fx/fin/{id}")
}
/// Prefix of the done marks of a job with many tasks.
pub fn completed_prefix(id: &str) -> String {
    format!("fx/mark/{id}/")
}
/// Key of one chunk of done marks.
pub fn completed_key(id: &str, chunk: u32) -> String {
    format!("fx/mark/{id}/{chunk:06}")
}
/// Key that lives as long as a controller's lease.
pub fn alive_key(host: &str) -> String {
    format!("fx/a/alive/{host}")
}
/// Machines that operators set aside.
pub const DRAINS_PREFIX: &str = "fx/a/drain/";
/// Key of a machine's drain.
pub fn drain_key(host: &str) -> String {
    format!("{DRAINS_PREFIX}{host}")
}
/// Machines that are drained one after the other.
pub const ROLLOUTS_PREFIX: &str = "fx/a/roll/";
/// Key of a roll.
pub fn rollout_key(name: &str) -> String {
    format!("{ROLLOUTS_PREFIX}{name}")
}
/// Largest transaction, by the protocol.
pub const MAX_TXN_BYTES: usize = 64 * 1024;

/// Which chunk of a share's machines the key names.
pub fn chunk_number(key: &str) -> Option<usize> {
    key.strip_prefix(MACHINES_PREFIX)?
        .parse()
        .ok()
        .filter(|at| *at < 10_000)
}
/// Key of one chunk of a share's machines.
pub fn machine_chunk_key(chunk: usize) -> String {
    format!("{MACHINES_PREFIX}{chunk:04}")
}

/// Tokens that an owner may give under one term: its term itself and those above it,
/// up to this many, for single machines (`share`'s owner raises a machine's token
/// without a write, see `Scheduler::token_of`). The counter passes over all of them, so that
/// later terms, also those of older programs, are higher than any. One costs a report
/// and a call that were answered, so this many last for hours; with it and 24 bits for
/// the count of attempts, a hundred thousand takeovers stay below 2^53.
pub const TOKENS_PER_TERM: u64 = 1 << 12;

/// The counter of terms: the highest token that anyone may have given.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct TermCounter {
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

/// A controller that is alive; `boot` differs for each start of its process.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct AliveRecord {
    #[serde(rename = "boot")]
    pub incarnation: u64,
}

/// Writes a controller's alive key on its lease, in place of version `over` of it (0: it
/// does not stand). Without the condition a write of an earlier incarnation, carried out
/// late, put the key under a lease about to end, and another controller took the share
/// while its owner still renewed a lease of its own.
pub fn write_alive(host: &str, boot: u64, lease: u64, over: u64) -> Txn {
    let key = alive_key(host);
    let txn = Txn::default().when(&key, over);
    txn.put_leased(&key, &AliveRecord { incarnation: boot }, Some(lease))
}

/// A former owner that might still answer workers: until `until_ms` (time of
/// day), or until its host is seen with another boot.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct FormerLeader {
    pub host: String,
    #[serde(rename = "boot")]
    pub incarnation: u64,
    pub until_ms: u64,
}

/// Who holds a share under which term.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct ShardRecord {
    #[serde(rename = "owner")]
    pub leader: String,
    #[serde(rename = "boot")]
    pub incarnation: u64,
    pub term: u64,
    pub teams: Vec<String>,
    #[serde(rename = "prior", default)]
    pub former_leaders: Vec<FormerLeader>,
    /// Its owner falls silent when it does not know of cancellations. An older program,
    /// which does not, leaves this out.
    #[serde(rename = "bounded", default)]
    pub bounded_staleness: bool,
}

/// A machine of a share.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct MachineInfo {
    pub id: String,
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// A chunk of a share's machines.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct MachineChunk {
    pub machines: Vec<MachineInfo>,
}

/// A live job: its description, when it was accepted (time of day), and its
/// done marks, unless it has too many tasks for one record.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct LiveJob {
    pub spec: Rc<JobSpec>,
    pub at_ms: u64,
    #[serde(default)]
    pub done: String,
}

impl LiveJob {
    /// How many tasks are done by this record; marks kept apart from it not counted.
    pub fn completed_count(&self) -> u32 {
        CompletedTasks::from_text(&self.done, self.spec.tasks).len() as u32
    }
}

/// Some of a large job's done marks.
#[derive(Serialize, Deserialize, Clone, Debug, Default)]
pub struct CompletedTasksChunk {
    pub done: String,
}

/// A job's final state.
#[derive(Serialize, Deserialize, Clone, Copy, Debug)]
pub struct TerminalRecord {
    pub state: JobState,
    pub tasks: u32,
    pub done: u32,
}

/// Whether a task of the job fits the type at all.
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
