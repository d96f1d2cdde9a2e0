//! Workers' reports and the commands given to them.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::borrow::Cow;

/// State of a task on a machine.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "exited")]
    Exited,
}

/// Why a task ended.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(other)]
    Other,
}

/// One task in a report.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Shown {
    #[serde(rename = "shard")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub phase: Phase,
    #[serde(rename = "cause", default)]
    pub cause: Option<Cause>,
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Report {
    #[serde(rename = "host")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "flavor")]
    pub kind: String,
    #[serde(rename = "site")]
    pub zone: String,
    #[serde(rename = "standby")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub session: u64,
    #[serde(rename = "serial")]
    pub seq: u64,
    #[serde(rename = "epoch")]
    pub token: u64,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "shards")]
    pub tasks: Vec<Shown>,
}

/// A worker's report whose task list is not read yet: most reports repeat the
/// list of the one before.
#[derive(Deserialize, Clone, Debug)]
pub struct ReportHead<'a> {
    #[serde(rename = "host", borrow)]
    pub machine: Cow<'a, str>,
    #[serde(rename = "endpoint", borrow)]
    pub addr: Cow<'a, str>,
    #[serde(rename = "flavor", borrow)]
    pub kind: Cow<'a, str>,
    #[serde(rename = "site", borrow)]
    pub zone: Cow<'a, str>,
    #[serde(rename = "standby")]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub session: u64,
    #[serde(rename = "serial")]
    pub seq: u64,
    #[serde(rename = "epoch")]
    pub token: u64,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "shards", borrow)]
    pub tasks: &'a RawValue,
}

impl ReportHead<'_> {
    /// Reads the task list too.
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
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_s: f64,
    },
    #[serde(rename = "reap")]
    Forget {
        #[serde(rename = "shard")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Reply {
    #[serde(rename = "epoch")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent straight to a worker.
#[derive(Serialize, Deserialize, Clone, Debug)]
pub struct Direct {
    #[serde(rename = "epoch")]
    pub token: u64,
    #[serde(rename = "tenure")]
    pub session: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Sends a worker to the controller that answers for it.
#[derive(Serialize, Deserialize, Debug)]
pub struct Redirect<'a> {
    #[serde(rename = "steward", default, skip_serializing_if = "Option::is_none")]
    pub to: Option<&'a str>,
}
