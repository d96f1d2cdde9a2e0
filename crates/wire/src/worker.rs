//! Workers' heartbeats (called reports on the wire) and the commands given to them. Field names on
//! the wire are the protocol's; those in the code are the field's usual terms.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Phase of an attempt on a machine.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It fetches its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// It waits to run.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// It writes a last checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// It has ended; the worker keeps it until it is told to forget it.
    #[serde(rename = "exited")]
    Exited,
}

/// Why an attempt ended.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It is completed.
    #[serde(rename = "done")]
    Done,
    /// It was stopped by a command.
    #[serde(rename = "stopped")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// The machine had no room for it.
    #[serde(rename = "full")]
    NoRoom,
    /// Another attempt of the task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// The worker found no description of its job.
    #[serde(rename = "unknown")]
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// One attempt in a heartbeat.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Shown {
    /// The task's id: the job's id, a slash, and its index.
    #[serde(rename = "shard")]
    pub task: String,
    /// The attempt's number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How far it is.
    #[serde(rename = "status")]
    pub phase: Phase,
    /// Why it ended, once it has.
    #[serde(rename = "cause", default)]
    pub cause: Option<Cause>,
    /// Whether a last checkpoint was written, once it was stopped.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// A worker's heartbeat.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Report {
    /// The machine's name.
    #[serde(rename = "host")]
    pub machine: String,
    /// Where the worker answers direct calls.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The machine's zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may take back.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// The worker's session (incarnation): it grows whenever the worker starts anew with no tasks.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Number of the heartbeat within the session.
    #[serde(rename = "serial")]
    pub seq: u64,
    /// The newest fencing token that the worker has seen.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// In how many seconds the cloud takes the machine back, if it is about to.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All attempts on the machine.
    #[serde(rename = "shards")]
    pub tasks: Vec<Shown>,
}

/// A worker's heartbeat whose task list is not read yet: most heartbeats repeat the list of the
/// one before.
#[derive(Deserialize, Clone, Debug)]
pub struct ReportHead<'a> {
    /// The machine's name.
    #[serde(rename = "host", borrow)]
    pub machine: Cow<'a, str>,
    /// Where the worker answers direct calls.
    #[serde(rename = "endpoint", borrow)]
    pub addr: Cow<'a, str>,
    /// Name of the machine's type.
    #[serde(rename = "flavor", borrow)]
    pub kind: Cow<'a, str>,
    /// The machine's zone.
    #[serde(rename = "site", borrow)]
    pub zone: Cow<'a, str>,
    /// Whether it is a spot machine, which the cloud may take back.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// The worker's session (incarnation): it grows whenever the worker starts anew with no tasks.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Number of the heartbeat within the session.
    #[serde(rename = "serial")]
    pub seq: u64,
    /// The newest fencing token that the worker has seen.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// In how many seconds the cloud takes the machine back, if it is about to.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All attempts on the machine, as unread JSON.
    #[serde(rename = "shards", borrow)]
    pub tasks: &'a RawValue,
}

impl ReportHead<'_> {
    /// Reads the task list too; nothing if it is malformed.
    pub fn read(self) -> Option<Report> {
        Some(Report {
            tasks: serde_json::from_str(self.tasks.get()).ok()?,
            machine: self.machine.into_owned(),
            addr: self.addr.into_owned(),
            kind: self.kind.into_owned(),
            zone: self.zone.into_owned(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: self.notice_s,
        })
    }
}

/// A command to a worker.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(tag = "verb")]
pub enum Command {
    /// Starts an attempt; does nothing if it is there.
    #[serde(rename = "run")]
    Start {
        /// Id of the task.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops an attempt.
    #[serde(rename = "kill")]
    Stop {
        /// Id of the task.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Seconds for a last checkpoint before it is killed.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Forgets an attempt that has ended.
    #[serde(rename = "reap")]
    Forget {
        /// Id of the task.
        #[serde(rename = "shard")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a heartbeat.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Reply {
    /// Fencing token of the leader that answers.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// To be carried out in their order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// A direct call: commands sent straight to a worker.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Direct {
    /// Fencing token of the leader that calls; an older one than the worker has seen is refused.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// The worker's session that the commands are for; in another one they are refused.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// To be carried out in their order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Sends a worker to the leader.
#[derive(Serialize, Deserialize, Debug)]
pub struct Redirect<'a> {
    /// The leader's host name, if it is known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub to: Option<&'a str>,
}
