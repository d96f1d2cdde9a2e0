//! Messages between controllers, encoded with bincode. Some are hints that make answers to
//! users fresher or faster; others extend the lease of a leader without contact to the state
//! service. No guarantee of the scheduler depends on the delivery of a message.
//!
//! The order of the variants and of their fields is the wire format: new variants and fields
//! must be appended at the end.

use serde::{Deserialize, Serialize};

/// A request to another controller.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerRequest {
    /// Asks the leader how many tasks of the job are completed and running. The field is the
    /// job's id.
    Progress(String),
    /// Asks the leader for the overview of live jobs, as text.
    Overview,
    /// The sender leads in this term and has no contact to the state service. Asks whether the
    /// receiver knows of a later leader. Agreement by a quorum extends the sender's lease.
    ExtendLease(u64),
    /// The sender has taken over in this term. Asks the receiver to promise never to extend the
    /// lease of an earlier leader.
    Promise(u64),
    /// Asks how many heartbeats from workers the receiver redirected recently.
    RedirectedHeartbeats,
    /// Asks for the operators' view of the shard that the receiver leads.
    View(Topic),
    /// Asks for how long the receiver has had uninterrupted contact to the state service.
    Contact,
    /// The cancellation of this job is recorded: the receiver must stop the job's tasks that it
    /// runs. The field is the job's id.
    JobCancelled(String),
    /// The sender leads in the term of the first field, and its watch does not report
    /// cancellations. Asks which cancellations the receiver has confirmed to users within the
    /// time of the second field, in milliseconds.
    ConfirmedCancellations(u64, u64),
}

/// What an operators' view shows.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Live jobs, those that need attention most first. The field is the largest number of jobs.
    Jobs(u32),
    /// The teams: their quotas and their use of resources.
    Teams,
    /// The machines, and what is known about each.
    Machines,
    /// The number of machines in each state.
    Fleet,
    /// How long jobs have to wait.
    Waits,
    /// All drains, with their progress.
    Drains,
    /// The data from which a plan is computed.
    Snapshot,
}

/// A response to a request from another controller.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerResponse {
    /// The progress of a job.
    Progress {
        /// Number of completed tasks.
        done: u32,
        /// Number of running tasks.
        running: u32,
    },
    /// The overview of live jobs, as text.
    Overview(String),
    /// The receiver knows of no later leader, has given the promise, or has taken note of the
    /// cancellation.
    Agreed,
    /// Number of heartbeats from workers that were redirected recently.
    RedirectedHeartbeats(u32),
    /// The leader's term, and the data of the view as JSON.
    View(u64, String),
    /// The receiver does not lead, does not agree, or cannot answer reliably.
    NotLeader,
    /// Duration of the uninterrupted contact to the state service, in milliseconds.
    Contact(u64),
    /// Ids of all jobs whose cancellation was confirmed to users within the requested time.
    ConfirmedCancellations(Vec<String>),
}

/// Encodes a message. The result is empty if the message cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default()
}

/// Largest message that is decoded, in bytes: a snapshot of 6,000 machines with a dozen tasks
/// each.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Decodes a message; `None` if the bytes are not a valid message. The size is limited, because
/// a peer may run another version whose bytes may decode to huge lengths.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    bincode::serde::decode_from_slice(bytes, config)
        .ok()
        .map(|(message, _)| message)
}
