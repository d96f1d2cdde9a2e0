//! Workers' heartbeats (reports in the protocol) and the commands that controllers send to
//! workers. The protocol sets the field names on the wire; the Rust names are the usual terms of
//! cluster scheduling.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;

/// Phase of an attempt on a machine.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The worker is fetching its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// It is waiting to run.
    #[serde(rename = "waiting")]
    Waiting,
    /// It is running.
    #[serde(rename = "running")]
    Running,
    /// It was stopped and is writing a last checkpoint.
    #[serde(rename = "saving")]
    Saving,
    /// It has ended. The worker keeps listing it until a command tells it to forget it.
    #[serde(rename = "exited")]
    Exited,
}

/// Why an attempt ended.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The task is completed.
    #[serde(rename = "done")]
    Done,
    /// A command stopped it.
    #[serde(rename = "stopped")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// The machine did not have enough free resources for it.
    #[serde(rename = "full")]
    NoRoom,
    /// Another attempt of the same task is on the machine.
    #[serde(rename = "busy")]
    Busy,
    /// The worker found no description of the job.
    #[serde(rename = "unknown")]
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// One attempt in a heartbeat.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct AttemptStatus {
    /// The task's id: the job's id, a slash, and its index.
    #[serde(rename = "shard")]
    pub task: String,
    /// The attempt's number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its phase.
    #[serde(rename = "status")]
    pub phase: Phase,
    /// Why it ended; `None` before it has ended.
    #[serde(rename = "cause", default)]
    pub cause: Option<Cause>,
    /// Whether a last checkpoint was written; `None` unless the attempt was stopped.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// A worker's heartbeat.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Report {
    /// The machine's name.
    #[serde(rename = "host")]
    pub machine: String,
    /// Address at which the worker accepts direct calls.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine's type.
    #[serde(rename = "flavor")]
    pub kind: String,
    /// The machine's zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// The worker's session (incarnation). It grows each time the worker restarts without tasks.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Sequence number of the heartbeat within the session.
    #[serde(rename = "serial")]
    pub seq: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine; `None` if it has not announced that.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All attempts on the machine.
    #[serde(rename = "shards")]
    pub tasks: Vec<AttemptStatus>,
}

/// A worker's heartbeat with its task list left unparsed. Most heartbeats repeat the task list of
/// the previous one, which then need not be parsed again.
#[derive(Deserialize, Clone, Debug)]
pub struct ReportHead<'a> {
    /// The machine's name.
    #[serde(rename = "host", borrow)]
    pub machine: Cow<'a, str>,
    /// Address at which the worker accepts direct calls.
    #[serde(rename = "endpoint", borrow)]
    pub addr: Cow<'a, str>,
    /// Name of the machine's type.
    #[serde(rename = "flavor", borrow)]
    pub kind: Cow<'a, str>,
    /// The machine's zone.
    #[serde(rename = "site", borrow)]
    pub zone: Cow<'a, str>,
    /// Whether it is a spot machine, which the cloud may reclaim.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// The worker's session (incarnation). It grows each time the worker restarts without tasks.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Sequence number of the heartbeat within the session.
    #[serde(rename = "serial")]
    pub seq: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// Seconds until the cloud reclaims the machine; `None` if it has not announced that.
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    /// All attempts on the machine, as unparsed JSON.
    #[serde(rename = "shards", borrow)]
    pub tasks: &'a RawValue,
}

impl ReportHead<'_> {
    /// Parses the task list as well; `None` if it is malformed.
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
    /// Starts an attempt. Does nothing if the attempt is already on the machine.
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
        /// Seconds that the attempt has for a last checkpoint before it is killed.
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    /// Tells the worker to forget an attempt that has ended.
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
    /// Commands, carried out in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// A direct call: commands sent straight to a worker.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct DirectCommands {
    /// Fencing token of the leader that calls. The worker refuses the call if it has seen a higher
    /// token.
    #[serde(rename = "epoch")]
    pub token: u64,
    /// The worker's session that the commands are for. In any other session the worker refuses
    /// them.
    #[serde(rename = "tenure")]
    pub session: u64,
    /// Commands, carried out in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Redirects a worker to the leader.
#[derive(Serialize, Deserialize, Debug)]
pub struct Redirect<'a> {
    /// The leader's host name, if it is known.
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub leader: Option<&'a str>,
}
