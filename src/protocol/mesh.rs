//! Messages between controllers, encoded with bincode. Some messages only make answers to users
//! more recent or faster; others extend the lease of a leader without contact to the state
//! service. No guarantee of the scheduler depends on the delivery of a message.
//!
//! The order of the variants and of their fields defines the wire format: new variants and fields
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
    /// The sender leads and has no contact to the state service. Asks the receiver to agree that it
    /// knows of no leader with a higher term. Agreement by a quorum extends the sender's lease. The
    /// field is the sender's term.
    ExtendLease(u64),
    /// The sender has taken over as leader. Asks the receiver to promise that it will never again
    /// extend the lease of a leader with a lower term. The field is the sender's term.
    Promise(u64),
    /// Asks how many heartbeats from workers the receiver redirected recently.
    RedirectedHeartbeats,
    /// Asks the leader for an operators' view of its shard.
    View(Topic),
    /// Asks how long the receiver has had uninterrupted contact to the state service.
    Contact,
    /// Notifies the leader that the cancellation of a job is recorded, so that the leader stops the
    /// job's tasks. The field is the job's id.
    JobCancelled(String),
    /// The sender leads, but its watch of the state service reports no cancellations. Asks which
    /// cancellations the receiver has confirmed to users recently. The first field is the sender's
    /// term. The second field is the length of the period before now, in milliseconds.
    ConfirmedCancellations(u64, u64),
}

/// What an operators' view shows.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Live jobs; unhealthy jobs (stuck, failing or late) come first. The field is the maximum
    /// number of jobs.
    Jobs(u32),
    /// The teams: their quotas and their use of resources.
    Teams,
    /// The machines, with the state of each.
    Machines,
    /// The number of machines in each state.
    Fleet,
    /// How long jobs wait for their first start.
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
    /// To `ExtendLease`: the responder knows of no leader with a higher term. To `Promise`: the
    /// responder has given the promise. To `JobCancelled`: the responder has applied the
    /// cancellation.
    Agreed,
    /// Number of heartbeats from workers that were redirected recently.
    RedirectedHeartbeats(u32),
    /// The leader's term, and the view as JSON.
    View(u64, String),
    /// The responder does not lead, does not agree, or cannot give a complete answer.
    NotLeader,
    /// Duration of the uninterrupted contact to the state service, in milliseconds.
    Contact(u64),
    /// Ids of all jobs whose cancellation was confirmed to users within the requested time.
    ConfirmedCancellations(Vec<String>),
}

/// Encodes a message. Returns no bytes if the message cannot be encoded.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default()
}

/// Maximum size of a message that is decoded, in bytes. A snapshot of 6,000 machines with a dozen
/// tasks each fits into this size.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Decodes a message; `None` if the bytes are not a valid message. The size is limited, because the
/// message of a controller with another program version may be misread as one of a huge length.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
    bincode::serde::decode_from_slice(bytes, config)
        .ok()
        .map(|(message, _)| message)
}
