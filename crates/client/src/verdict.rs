//! Interprets the answers of controllers by the rules of the protocol, without I/O. Only a few
//! answers are conclusive; after any other answer the request is retried.

use crate::job::{JobId, Refused};
use crate::record::ConclusiveAnswer;
use crate::schedule::Step;
use crate::transport::{Answer, NoAnswer};
use foxspur_wire::job::{Accepted, Progress, Refusal};

/// What the result of an attempt means.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The answer is conclusive.
    Conclusive(ConclusiveAnswer),
    /// The result is not conclusive; the request is retried.
    Retry {
        /// The answer's `Retry-After` in seconds, if it has one.
        retry_after: Option<f64>,
        /// Reason for the retry, for the log.
        why: String,
    },
}

fn retry(answer: &Answer, why: String) -> Verdict {
    Verdict::Retry {
        retry_after: answer.retry_after.filter(|s| s.is_finite() && *s >= 0.0),
        why,
    }
}

/// Interprets the result of an attempt of this step for this job.
pub fn interpret(step: Step, id: JobId, result: &Result<Answer, NoAnswer>) -> Verdict {
    let answer = match result {
        Ok(answer) => answer,
        Err(no_answer) => {
            return Verdict::Retry {
                retry_after: None,
                why: no_answer.to_string(),
            }
        }
    };
    let parse_state = || match step {
        Step::Poll => serde_json::from_slice::<Progress>(&answer.body).map(|p| (p.id, p.state)),
        _ => serde_json::from_slice::<Accepted>(&answer.body).map(|a| (a.id, a.state)),
    };
    let status = answer.status;
    match (step, status) {
        (Step::Submit, 200 | 201) | (Step::Poll | Step::Cancel, 200) => match parse_state() {
            // An answer about another job is not conclusive for this one.
            Ok((about, _)) if about != id.to_string() => {
                retry(answer, format!("answer is about {about}"))
            }
            Ok(_) if status == 201 => Verdict::Conclusive(ConclusiveAnswer::Created),
            Ok((_, state)) => Verdict::Conclusive(ConclusiveAnswer::State(state)),
            Err(e) => retry(answer, format!("status {status}, malformed body: {e}")),
        },
        (Step::Submit, 400 | 422) => {
            let reason = serde_json::from_slice::<Refusal>(&answer.body)
                .map(|r| r.error.into_owned())
                .unwrap_or_else(|_| String::from_utf8_lossy(&answer.body).into_owned());
            Verdict::Conclusive(ConclusiveAnswer::Refused(Refused { status, reason }))
        }
        (Step::Poll | Step::Cancel, 404) => Verdict::Conclusive(ConclusiveAnswer::NotFound),
        _ => retry(answer, format!("status {status}")),
    }
}
