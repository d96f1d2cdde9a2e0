//! What an answer means by the protocol; pure. Anything but the few answers that say something
//! for certain means that the attempt is retried.

use crate::agenda::Step;
use crate::job::{JobId, Refused};
use crate::record::Heard;
use crate::transport::{Answer, NoAnswer};
use foxspur_wire::job::{Accepted, Progress, Refusal};

/// What the end of an attempt means.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// A controller said something for certain.
    Heard(Heard),
    /// Nothing is known: it is retried.
    Again {
        /// `Retry-After` in seconds, if that was given.
        retry_after: Option<f64>,
        /// For the log.
        why: String,
    },
}

fn again(answer: &Answer, why: String) -> Verdict {
    Verdict::Again {
        retry_after: answer.retry_after.filter(|s| s.is_finite() && *s >= 0.0),
        why,
    }
}

/// Judges the end of an attempt of this step for this job.
pub fn judge(step: Step, id: JobId, ended: &Result<Answer, NoAnswer>) -> Verdict {
    let answer = match ended {
        Ok(answer) => answer,
        Err(no_answer) => {
            return Verdict::Again {
                retry_after: None,
                why: no_answer.to_string(),
            }
        }
    };
    let state = || match step {
        Step::Poll => serde_json::from_slice::<Progress>(&answer.body).map(|p| (p.id, p.state)),
        _ => serde_json::from_slice::<Accepted>(&answer.body).map(|a| (a.id, a.state)),
    };
    let status = answer.status;
    match (step, status) {
        (Step::Submit, 200 | 201) | (Step::Poll | Step::Cancel, 200) => match state() {
            // An answer about another job is no answer about this one.
            Ok((about, _)) if about != id.to_string() => again(answer, format!("about {about}")),
            Ok(_) if status == 201 => Verdict::Heard(Heard::Created),
            Ok((_, state)) => Verdict::Heard(Heard::State(state)),
            Err(e) => again(answer, format!("status {status}, unreadable: {e}")),
        },
        (Step::Submit, 400 | 422) => {
            let reason = serde_json::from_slice::<Refusal>(&answer.body)
                .map(|r| r.error.into_owned())
                .unwrap_or_else(|_| String::from_utf8_lossy(&answer.body).into_owned());
            Verdict::Heard(Heard::Refused(Refused { status, reason }))
        }
        (Step::Poll | Step::Cancel, 404) => Verdict::Heard(Heard::NotFound),
        _ => again(answer, format!("status {status}")),
    }
}
