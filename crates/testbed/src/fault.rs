//! The faults that can be injected, and their syntax on the command line.

use std::fmt;
use std::str::FromStr;

/// The shortest time between two repetitions of a fault.
const MIN_INTERVAL_S: f64 = 0.1;

/// The kind of a fault. The amount of a fault is its duration in seconds unless its kind states
/// otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// One controller is killed, and started again after the site's restart time. The amount is
    /// unused.
    Kill,
    /// All controllers are killed, and started again after the site's restart time. The amount is
    /// unused.
    KillAll,
    /// The process of one controller is suspended (SIGSTOP).
    Pause,
    /// The state service refuses the requests of one controller.
    Refuse,
    /// The state service refuses the requests of the leader of the first shard.
    RefuseLeader,
    /// The state service is unavailable.
    StateOutage,
    /// The interface of the cloud is unavailable.
    CloudOutage,
    /// One machine dies for good. The amount is unused.
    MachineDeath,
    /// One machine hangs.
    MachineHang,
    /// The load balancer closes the connection within some of the pieces in which it forwards
    /// answers. The amount is the number of such pieces per thousand pieces. The fault lasts until
    /// the next `CutAnswers` or `DelayAnswers`.
    CutAnswers,
    /// The load balancer closes the connection within the next piece of an answer. The amount is the
    /// number of bytes of the piece that it forwards before that.
    ResetAnswer,
    /// The load balancer delays each piece of an answer. The amount is the delay in milliseconds.
    /// The fault lasts until the next `CutAnswers` or `DelayAnswers`.
    DelayAnswers,
    /// One machine receives nothing, while its heartbeats still arrive.
    MachineInboundLoss,
    /// Copies of some heartbeats arrive up to three lease times late.
    DuplicateHeartbeats,
    /// Copies of some direct calls arrive up to three lease times late.
    DuplicateDirectCalls,
    /// The state service loses the answer to one transaction in four.
    LostAnswers,
    /// Whenever a user is told something about a job, every controller is asked about that job.
    ConsistencyProbe,
    /// One controller is cut off from the state service and the other controllers, but not from
    /// the workers.
    Isolate,
    /// One controller is killed and started again almost at once. The amount is unused.
    QuickRestart,
}

impl FaultKind {
    /// All kinds, in the order in which an error message lists them.
    pub const ALL: [FaultKind; 19] = [
        FaultKind::Kill,
        FaultKind::KillAll,
        FaultKind::Pause,
        FaultKind::Refuse,
        FaultKind::RefuseLeader,
        FaultKind::StateOutage,
        FaultKind::CloudOutage,
        FaultKind::MachineDeath,
        FaultKind::MachineHang,
        FaultKind::CutAnswers,
        FaultKind::ResetAnswer,
        FaultKind::DelayAnswers,
        FaultKind::MachineInboundLoss,
        FaultKind::DuplicateHeartbeats,
        FaultKind::DuplicateDirectCalls,
        FaultKind::LostAnswers,
        FaultKind::ConsistencyProbe,
        FaultKind::Isolate,
        FaultKind::QuickRestart,
    ];

    /// The name on the command line and in the history.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Kill => "kill",
            FaultKind::KillAll => "kill-all",
            FaultKind::Pause => "pause",
            FaultKind::Refuse => "refuse",
            FaultKind::RefuseLeader => "refuse-owner",
            FaultKind::StateOutage => "state",
            FaultKind::CloudOutage => "cloud",
            FaultKind::MachineDeath => "die",
            FaultKind::MachineHang => "hang",
            FaultKind::CutAnswers => "cut",
            FaultKind::ResetAnswer => "reset",
            FaultKind::DelayAnswers => "delay",
            FaultKind::MachineInboundLoss => "deaf",
            FaultKind::DuplicateHeartbeats => "late-reports",
            FaultKind::DuplicateDirectCalls => "late-commands",
            FaultKind::LostAnswers => "lost-answers",
            FaultKind::ConsistencyProbe => "close-looks",
            FaultKind::Isolate => "island",
            FaultKind::QuickRestart => "blink",
        }
    }

    fn from_name(name: &str) -> Option<FaultKind> {
        FaultKind::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A fault and when it is injected.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// The amount, in the unit of the kind; 0 if none is given.
    pub amount: f64,
    /// When the fault is injected, in seconds from the start.
    pub at_s: f64,
    /// Interval of its repetitions, in seconds; none if it is injected once.
    pub every_s: Option<f64>,
}

impl fmt::Display for Fault {
    /// Writes kind and amount without the times, as the history records them.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.amount)
    }
}

/// Why a text cannot be parsed as a fault.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ParseFaultError {
    /// A part is missing, or a number is malformed or out of range.
    #[error("fault {text}: expected the form WHAT[:AMOUNT]@AT[/EVERY]")]
    Malformed {
        /// The whole text.
        text: String,
    },
    /// There is no fault of this name.
    #[error("fault {text}: unknown fault {name}; expected one of {}", all_names())]
    UnknownKind {
        /// The whole text.
        text: String,
        /// The unknown name.
        name: String,
    },
}

fn all_names() -> String {
    FaultKind::ALL.map(FaultKind::name).join(", ")
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    /// Parses `WHAT[:AMOUNT]@AT[/EVERY]`, such as `pause:3@10/20`.
    fn from_str(text: &str) -> Result<Fault, ParseFaultError> {
        let malformed = || ParseFaultError::Malformed { text: text.into() };
        let (what, when) = text.split_once('@').ok_or_else(malformed)?;
        let (name, amount) = what.split_once(':').unwrap_or((what, "0"));
        let (at, every) = match when.split_once('/') {
            Some((at, every)) => (at, Some(every)),
            None => (when, None),
        };
        let unknown = || ParseFaultError::UnknownKind {
            text: text.into(),
            name: name.into(),
        };
        let kind = FaultKind::from_name(name).ok_or_else(unknown)?;
        let number = |text: &str| parse_non_negative(text).ok_or_else(malformed);
        let every_s = every.map(number).transpose()?;
        if every_s.is_some_and(|every_s| every_s < MIN_INTERVAL_S) {
            return Err(malformed());
        }
        Ok(Fault {
            kind,
            amount: number(amount)?,
            at_s: number(at)?,
            every_s,
        })
    }
}

fn parse_non_negative(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
