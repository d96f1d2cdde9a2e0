//! Messages between controllers (bincode): hints that make answers fresher or faster, and
//! lease extensions for a leader without contact to the state service. A message that is
//! lost never breaks a rule.
//!
//! The order of the variants and of their fields is the wire format: new ones go to the
//! end.

use serde::{Deserialize, Serialize};

/// A request to another controller.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerRequest {
    /// How many tasks of the job run, if you lead?
    Progress(String),
    /// The overview of live jobs, as text.
    Overview,
    /// I lead under this term and have no contact to the state service: do you know of a
    /// later leader? A quorum that does not extends the leader's lease.
    ExtendLease(u64),
    /// I took over under this term: never extend the lease of an earlier leader.
    Promise(u64),
    /// How many heartbeats of workers did you redirect lately?
    RedirectedHeartbeats,
    /// What do operators see of the shard that you lead?
    View(Topic),
    /// For how long have you had contact to the state service without a gap?
    Contact,
    /// This job's cancellation is written: stop what you run of it.
    JobCancelled(String),
    /// I lead under this term and hear nothing of cancellations: which did you confirm to
    /// users, over so many milliseconds?
    ConfirmedCancellations(u64, u64),
}

/// What operators look at.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Live jobs, the worst first, at most so many.
    Jobs(u32),
    /// Quotas of teams and what they use.
    Teams,
    /// Machines, and what is known of each.
    Machines,
    /// How many machines are in each state.
    Fleet,
    /// How long jobs wait.
    Waits,
    /// Machines that are drained.
    Drains,
    /// What a plan is made from.
    Snapshot,
}

/// The response of a controller.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerResponse {
    /// Done and running tasks.
    Progress {
        /// Completed tasks.
        done: u32,
        /// Running tasks.
        running: u32,
    },
    /// The overview of live jobs, as text.
    Overview(String),
    /// No later leader is known, or the promise is given.
    Agreed,
    /// So many, lately.
    RedirectedHeartbeats(u32),
    /// The term and the data, as JSON.
    View(u64, String),
    /// The asked controller does not lead, or does not agree.
    NotLeader,
    /// For so many milliseconds.
    Contact(u64),
    /// Cancelled jobs that users were told of: all within the time asked for.
    ConfirmedCancellations(Vec<String>),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default()
}

/// Largest message taken: a snapshot of 6,000 machines with a dozen tasks each.
const MAX_BYTES: usize = 16 << 20;

/// Decodes a message, bounded, since peers are not trusted to be of our version; `None` if
/// it is none of ours.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_BYTES>();
    bincode::serde::decode_from_slice(bytes, config)
        .ok()
        .map(|(message, _)| message)
}
