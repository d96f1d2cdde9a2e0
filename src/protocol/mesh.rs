//! What controllers say to each other (bincode): hints that make answers
//! fresher or faster, and vouches for an owner without contact to the state
//! service. A message that does not come never breaks a rule.

use serde::{Deserialize, Serialize};

/// A question to another controller.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerRequest {
    /// How many tasks of the job run, as far as you own it?
    Progress(String),
    /// The overview of live jobs, as text.
    Overview,
    /// I own the share under this term and have no contact to the state service:
    /// do you know of a later owner?
    ExtendLease(u64),
    /// I took the share over under this term: never vouch for an earlier one.
    Promise(u64),
    /// How many reports of workers did you turn away lately?
    RedirectedHeartbeats,
    /// What do operators see of your share?
    View(Topic),
    /// For how long have you had contact to the state service without a gap?
    Contact,
    /// This job's cancellation is written: stop what you run of it.
    JobCancelled(String),
    /// I own the share under this term and hear nothing of cancellations: which did
    /// you tell users of, over so many milliseconds?
    ConfirmedCancellations(u64, u64),
}

/// What operators look at.
#[derive(Serialize, Deserialize, Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Live jobs, the worst first, at most so many.
    Jobs(u32),
    Teams,
    Machines,
    /// How many machines are in each state.
    Fleet,
    Waits,
    Drains,
    /// What a plan is made from.
    Snapshot,
}

/// Its answer.
#[derive(Serialize, Deserialize, Debug, Clone, PartialEq)]
pub enum PeerResponse {
    /// Done and running tasks.
    Progress {
        done: u32,
        running: u32,
    },
    Overview(String),
    /// No later owner is known, or the promise is given.
    Agreed,
    RedirectedHeartbeats(u32),
    /// The term and the data, as JSON.
    View(u64, String),
    /// The asked controller does not own what was asked about.
    NotLeader,
    /// For so many milliseconds.
    Contact(u64),
    /// Cancelled jobs that users were told of: all of the time asked for.
    ConfirmedCancellations(Vec<String>),
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard()).unwrap_or_default()
}

/// Largest message taken: a snapshot of 6,000 machines with a dozen tasks each.
const MOST_BYTES: usize = 16 << 20;

/// Decodes a message, bounded, since peers are not trusted to be of our version.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MOST_BYTES>();
    bincode::serde::decode_from_slice(bytes, config)
        .ok()
        .map(|(message, _)| message)
}
