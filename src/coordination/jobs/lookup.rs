//! Linearizable look-ups of jobs, which supply the job states in answers to users.
//!
//! Invariant: once any controller has told a user that a job is accepted, done or cancelled,
//! no answer to a request that began later gives an older state. Therefore:
//!
//! - Every answer is either a terminal state, which never changes, or based on a read that was
//!   sent after the request arrived.
//! - If this controller learned a later state of the job while the read was in progress, that
//!   state takes precedence over the result of the read.
//! - The result of a read whose response arrives late is not passed on; the read is repeated.

pub use super::terminal_states::TerminalStates;

use super::record_cache::VersionedRecord;
use super::version_check::{self, CurrentRecord};
use crate::coordination::node::Node;
use crate::protocol::state::Entry;
use crate::storage::records::{self, TerminalRecord};
use crate::transport::clients::{Priority, ServiceError};
use actix_rt::time::Instant;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time between sending the read on which an answer is based and sending the answer: a
/// quarter of the 2 s that users wait for the answer to a poll. The requests of one user overlap,
/// so a delayed answer could contradict what another controller has told the user in the meantime.
pub const MAX_READ_AGE: Duration = Duration::from_millis(500);

/// Maximum number of reads for one answer.
const MAX_READS: usize = 2;

/// A job as the state service stores it.
#[derive(Debug)]
pub enum JobLookup {
    /// The job is live. Holds the job's live record and its version.
    Live(VersionedRecord),
    /// The job is done or cancelled. Holds the job's terminal record.
    Terminal(TerminalRecord),
    /// The job is live, but this version of the program cannot parse its live record. The job
    /// waits for a controller that can parse it, but the user must be answered nevertheless.
    /// Holds the version of the live record.
    Unreadable(u64),
    /// No job with this id was accepted.
    NotFound,
}

/// The result of a read, and when the read was sent.
struct TimedLookup {
    lookup: JobLookup,
    sent_at: Instant,
}

/// Looks up a job. The caller must send its answer without awaiting anything after the look-up,
/// so that the result does not become too old.
///
/// # Errors
/// The state service could not be read, or its responses came too late to be passed on.
pub async fn look_up(node: &Rc<Node>, id: &str) -> Result<JobLookup, ServiceError> {
    for _ in 0..MAX_READS {
        if let Some(state) = node.terminal_states.borrow().get(id) {
            return Ok(JobLookup::Terminal(state));
        }
        let TimedLookup { lookup, sent_at } = read(node, id).await?;
        if let Some(state) = node.terminal_states.borrow().get(id) {
            return Ok(JobLookup::Terminal(state));
        }
        if matches!(lookup, JobLookup::Terminal(_)) {
            return Ok(lookup);
        }
        if sent_at.elapsed() <= MAX_READ_AGE {
            return Ok(or_accepted_meanwhile(node, id, lookup));
        }
    }
    Err(ServiceError::Refused)
}

/// Returns the result of a read. If the read found no job but a live record of the job is cached,
/// returns the cached record instead: this controller accepted the job while the read was in
/// progress.
fn or_accepted_meanwhile(node: &Node, id: &str, lookup: JobLookup) -> JobLookup {
    match (lookup, node.record_cache.borrow().get(id)) {
        (JobLookup::NotFound, Some(record)) => JobLookup::Live(record),
        (lookup, _) => lookup,
    }
}

/// Reads the job. The returned time is that of the first request, if several were needed. A job
/// becomes terminal after it was live and never becomes live again, so reading the live record
/// before the terminal record cannot miss the job.
async fn read(node: &Rc<Node>, id: &str) -> Result<TimedLookup, ServiceError> {
    if let Some(current) = version_check::current_record(node, id).await? {
        let CurrentRecord { record, sent_at } = current;
        return Ok(TimedLookup {
            lookup: JobLookup::Live(record),
            sent_at,
        });
    }
    let live_key = records::live_key(id);
    let live = node.state.timed_get(&live_key, Priority::Data).await;
    let sent_at = live.sent_at;
    let lookup = match live.result? {
        Some(entry) => parse_live(node, &entry),
        None => read_terminal(node, id).await?,
    };
    Ok(TimedLookup { lookup, sent_at })
}

/// Parses a live record. Caches the record if it can be parsed.
fn parse_live(node: &Node, entry: &Entry) -> JobLookup {
    let Ok(record) = entry.read() else {
        tracing::error!(key = %entry.key, "unreadable job record");
        return JobLookup::Unreadable(entry.version);
    };
    let versioned = VersionedRecord {
        record: Rc::new(record),
        version: entry.version,
    };
    let mut cache = node.record_cache.borrow_mut();
    cache.insert(&versioned.record, versioned.version);
    JobLookup::Live(versioned)
}

/// Reads the terminal record of a job that is not live. Caches the record if it exists.
async fn read_terminal(node: &Node, id: &str) -> Result<JobLookup, ServiceError> {
    let key = records::terminal_key(id);
    let Some(entry) = node.state.get(&key, Priority::Data).await? else {
        return Ok(JobLookup::NotFound);
    };
    let state: TerminalRecord = entry.read().map_err(|_| ServiceError::Unknown)?;
    node.learn_terminal_state(id, state);
    Ok(JobLookup::Terminal(state))
}
