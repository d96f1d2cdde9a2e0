//! Faults that can be injected, and how a schedule of them is written on the command line.

use std::fmt;
use std::str::FromStr;

/// The shortest time between two repetitions of a fault.
const MIN_INTERVAL_S: f64 = 0.1;

/// What is injected. The meaning of a fault's amount depends on its kind: seconds, unless
/// stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// One controller is killed; it is back after the site's restart time.
    Kill,
    /// All controllers are killed; they are back after the site's restart time.
    KillAll,
    /// One controller is stopped where it is, and goes on after so many seconds.
    Pause,
    /// The state service refuses one controller.
    Refuse,
    /// The state service refuses the leader.
    RefuseLeader,
    /// The state service is unavailable.
    StateOutage,
    /// The cloud's interface is unavailable.
    CloudOutage,
    /// A machine dies; no amount.
    MachineDeath,
    /// A machine stands still.
    MachineHang,
    /// The load balancer cuts so many of a thousand answers.
    CutAnswers,
    /// The load balancer cuts the next answer after so many bytes.
    ResetAnswer,
    /// The load balancer delays each piece of an answer by so many milliseconds.
    DelayAnswers,
    /// A machine's heartbeats arrive while it receives nothing.
    MachineDeaf,
    /// Copies of heartbeats follow, up to three leases later.
    DuplicateHeartbeats,
    /// Copies of direct calls follow, up to three leases later.
    DuplicateDirectCalls,
    /// The state service loses the answers of one transaction in four.
    LostAnswers,
    /// Users ask every controller as soon as one was told anything.
    ConsistencyProbe,
    /// One controller loses the state service and the other controllers, not its workers.
    Isolate,
    /// One controller is killed and is back at once.
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
        FaultKind::MachineDeaf,
        FaultKind::DuplicateHeartbeats,
        FaultKind::DuplicateDirectCalls,
        FaultKind::LostAnswers,
        FaultKind::ConsistencyProbe,
        FaultKind::Isolate,
        FaultKind::QuickRestart,
    ];

    /// Its name on the command line and in the history.
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
            FaultKind::MachineDeaf => "deaf",
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
    /// What is injected.
    pub kind: FaultKind,
    /// How much of it, in the unit of its kind; 0 if it is not given.
    pub amount: f64,
    /// When, in seconds from the start.
    pub at_s: f64,
    /// Whether it is repeated, and after how many seconds.
    pub every_s: Option<f64>,
}

impl fmt::Display for Fault {
    /// The fault without its times, as the history names it.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.amount)
    }
}

/// Why a text is not a fault.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum ParseFaultError {
    /// A part is missing, or a number is none or out of range.
    #[error("fault {text}: not of the form WHAT[:AMOUNT]@AT[/EVERY]")]
    Malformed {
        /// The whole text.
        text: String,
    },
    /// No fault has this name.
    #[error("fault {text}: {name} is none of {}", names())]
    UnknownKind {
        /// The whole text.
        text: String,
        /// What stands where the name of a fault should.
        name: String,
    },
}

fn names() -> String {
    FaultKind::ALL.map(FaultKind::name).join(", ")
}

impl FromStr for Fault {
    type Err = ParseFaultError;

    /// Reads `WHAT[:AMOUNT]@AT[/EVERY]`, such as `pause:3@10/20`.
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
        let number = |text: &str| not_negative(text).ok_or_else(malformed);
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

fn not_negative(text: &str) -> Option<f64> {
    let number: f64 = text.parse().ok()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
