//! The order of a machine's messages.

use crate::protocol::worker::Report;

/// Identifies a message of a machine by its session and its sequence number within the
/// session. Later messages compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageId {
    /// Number of the session. A session begins whenever the worker loses its lease or restarts.
    pub session: u64,
    /// Sequence number within the session.
    pub seq: u64,
}

impl MessageId {
    /// Stands for no message; compares less than the identifier of any message.
    pub const NONE: MessageId = MessageId { session: 0, seq: 0 };

    /// The identifier of a report.
    pub fn of(report: &Report) -> MessageId {
        MessageId {
            session: report.session,
            seq: report.seq,
        }
    }
}
