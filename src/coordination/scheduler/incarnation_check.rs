//! The state of an incarnation check of a machine (see `incarnation`).

/// An open check of which incarnation of a machine is the present one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IncarnationCheck {
    /// Lowest token that had not been sent to the machine when the check began.
    pub token: u64,
    /// When the check began.
    pub began_at: f64,
}
