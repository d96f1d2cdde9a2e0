//! The order of a machine's messages.

use crate::protocol::worker::Report;

/// Identifies a message of a machine by its session and its sequence number within that.
/// Later messages compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageId {
    /// The session, which changes whenever the worker loses its lease or restarts.
    pub session: u64,
    /// The sequence number within the session.
    pub seq: u64,
}

impl MessageId {
    /// Compares less than any message.
    pub const NONE: MessageId = MessageId { session: 0, seq: 0 };

    /// The identity of this heartbeat.
    pub fn of(report: &Report) -> MessageId {
        MessageId {
            session: report.session,
            seq: report.seq,
        }
    }
}
