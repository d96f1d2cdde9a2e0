//! Submissions, polls and cancellations.
//!
//! Any controller answers for any job. An answer rests on [`lookup::find`], which is
//! the last thing that a handler waits for, or on a write of its own.

use super::reply::{json_response, no_such_job, read_body, refuse, try_elsewhere};
use super::SharedNode;
use crate::coordination::agents::dispatcher;
use crate::coordination::jobs::admission::{self, Admission};
use crate::coordination::jobs::completed_task_chunks;
use crate::coordination::jobs::lookup::{self, JobLookup, MAX_READ_AGE};
use crate::coordination::node::Node;
use crate::coordination::scheduler::job::TaskCounts;
use crate::protocol::job::{
    parse_submission, peek_id, valid_id, Accepted, JobSpec, JobState, Progress,
};
use crate::protocol::mesh::{PeerRequest, PeerResponse};
use crate::protocol::state::Txn;
use crate::storage::completed_tasks::CompletedTasks;
use crate::storage::records::{self, LiveJob, TerminalRecord};
use crate::transport::clients::{Priority, ServiceError};
use actix_web::http::StatusCode;
use actix_web::web;
use actix_web::HttpResponse;
use std::rc::Rc;

/// How long a user whose cancellation is written waits for the leader to hear of it, in
/// seconds: a twentieth of the 5 s that users wait for an answer.
const NOTIFY_LEADER_TIMEOUT_S: f64 = 0.25;

/// Attempts to cancel a job whose record changes meanwhile.
const MAX_CANCEL_ATTEMPTS: usize = 8;

/// `POST /work`: accepts a job once it is recorded.
pub async fn submit(node: SharedNode, payload: web::Payload) -> HttpResponse {
    let received_at = node.now();
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let spec = match parse_submission(&body) {
        Ok(spec) => spec,
        Err(why) => {
            let refusal = refuse(StatusCode::BAD_REQUEST, &why);
            return match peek_id(&body) {
                Some(id) => state_if_known_or(&node, &id, refusal).await,
                None => refusal,
            };
        }
    };
    match admission::check(&node, &spec) {
        Admission::Admitted => accept(&node, spec, received_at).await,
        Admission::Rejected(error) => {
            let refusal = refuse(StatusCode::UNPROCESSABLE_ENTITY, &error.to_string());
            state_if_known_or(&node, &spec.id, refusal).await
        }
        Admission::Undecided => state_if_known_or(&node, &spec.id, try_elsewhere(&node)).await,
    }
}

/// Records a valid job and tells the user.
async fn accept(node: &Rc<Node>, spec: JobSpec, received_at: f64) -> HttpResponse {
    let id = spec.id.clone();
    if let Some(last) = node.terminal_states.borrow().get(&id) {
        return accepted(StatusCode::OK, &id, last.state);
    }
    let record = LiveJob {
        spec: Rc::new(spec),
        at_ms: node.wall_ms(),
        done: String::new(),
    };
    let txn = Txn::default()
        .when(&records::live_key(&id), 0)
        .when(&records::terminal_key(&id), 0)
        .put(&records::live_key(&id), &record);
    let written = node.state.timed_txn(&txn, Priority::Data).await;
    match written.result {
        Ok(version) => {
            log_accepted(&record.spec);
            node.record_acceptance(node.now() - received_at);
            notify_scheduler(node, record, version);
        }
        Err(ServiceError::Conflict(_)) => {
            return state_if_known_or(node, &id, try_elsewhere(node)).await
        }
        Err(_) => return try_elsewhere(node),
    }
    // Guards against an answer that was held up: by now the user may have been told
    // elsewhere that the job is over.
    let is_over = node.terminal_states.borrow().get(&id).is_some();
    if is_over || written.sent_at.elapsed() > MAX_READ_AGE {
        return state_if_known_or(node, &id, try_elsewhere(node)).await;
    }
    accepted(StatusCode::CREATED, &id, JobState::Pending)
}

fn log_accepted(spec: &JobSpec) {
    let due_s = spec.deadline_s.unwrap_or(0.0);
    tracing::info!(job = %spec.id, class = %spec.class, team = %spec.team, tasks = spec.tasks, cpus = spec.cpus, estimate_s = spec.estimate_s, due_s, "accepted");
}

/// A job was just recorded: the scheduler learns of it at once where this controller leads.
fn notify_scheduler(node: &Rc<Node>, record: LiveJob, version: u64) {
    let read = Rc::new(record.clone());
    node.record_cache.borrow_mut().insert(&read, version);
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        scheduler.add_job(record, version, CompletedTasks::default());
        scheduler.place_changed(node.now());
    }
    dispatcher::send_due_calls(node);
}

fn accepted(status: StatusCode, id: &str, state: JobState) -> HttpResponse {
    let id = id.into();
    json_response(status, &Accepted { id, state })
}

/// The present state of a job that is known, whatever its repeated submission holds; else
/// the refusal.
async fn state_if_known_or(node: &Rc<Node>, id: &str, refusal: HttpResponse) -> HttpResponse {
    let mut found = lookup::find(node, id).await;
    let mut counts = None;
    if matches!(found, Ok(JobLookup::Live(..))) {
        // Most of what comes here is unknown or over; only this needs the leader's counts,
        // and the job once more, since waiting for them has aged the answer.
        counts = task_counts(node, id).await;
        found = lookup::find(node, id).await;
    }
    match found {
        Ok(JobLookup::Live(..)) => accepted(StatusCode::OK, id, live_state(counts)),
        Ok(JobLookup::Unreadable(_)) => accepted(StatusCode::OK, id, JobState::Pending),
        Ok(JobLookup::Terminal(last)) => accepted(StatusCode::OK, id, last.state),
        Ok(JobLookup::NotFound) => refusal,
        Err(_) => try_elsewhere(node),
    }
}

fn live_state(counts: Option<TaskCounts>) -> JobState {
    match counts {
        Some(counts) if counts.running > 0 => JobState::Running,
        _ => JobState::Pending,
    }
}

/// Done and running tasks, from the leader. Asked for before the job is looked up: the
/// counts are for display, and waiting for them afterwards would age the answer.
async fn task_counts(node: &Rc<Node>, id: &str) -> Option<TaskCounts> {
    if node.terminal_states.borrow().get(id).is_some() {
        return None;
    }
    if let Some(scheduler) = node.scheduler.borrow().as_ref() {
        return scheduler.progress(id);
    }
    let addr = node.peer_address(&node.other_leader()?)?;
    match node
        .mesh
        .ask(addr, &PeerRequest::Progress(id.to_string()))
        .await?
    {
        PeerResponse::Progress { done, running } => Some(TaskCounts { done, running }),
        _ => None,
    }
}

/// `GET /work/{id}`: the state of a job.
pub async fn query(node: SharedNode, path: web::Path<String>) -> HttpResponse {
    let id = path.into_inner();
    if !valid_id(&id) {
        return no_such_job();
    }
    let counts = task_counts(&node, &id).await;
    match lookup::find(&node, &id).await {
        Ok(JobLookup::Live(read)) => {
            // Where the leader does not answer, what is in the record. Chunks kept apart are
            // hundreds of KiB for the largest jobs; the counts are worth no such read.
            let recorded = TaskCounts {
                done: read.record.completed_count(),
                running: 0,
            };
            progress(&id, live_state(counts), counts.unwrap_or(recorded))
        }
        Ok(JobLookup::Unreadable(_)) => progress(&id, JobState::Pending, TaskCounts::default()),
        Ok(JobLookup::Terminal(last)) => {
            let counts = TaskCounts {
                done: last.done,
                running: 0,
            };
            progress(&id, last.state, counts)
        }
        Ok(JobLookup::NotFound) => no_such_job(),
        Err(_) => try_elsewhere(&node),
    }
}

fn progress(id: &str, state: JobState, counts: TaskCounts) -> HttpResponse {
    let body = Progress {
        id: id.into(),
        state,
        done: counts.done,
        running: counts.running,
    };
    json_response(StatusCode::OK, &body)
}

/// `POST /work/{id}/cancel`: answers once the cancellation is recorded and the leader has
/// heard of it, or cannot be reached in a short time.
pub async fn cancel(node: SharedNode, path: web::Path<String>) -> HttpResponse {
    let id = path.into_inner();
    if !valid_id(&id) {
        return no_such_job();
    }
    let was_known_over = node.terminal_states.borrow().get(&id).is_some();
    // Completed tasks written meanwhile change the record's version: look again.
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let (record, version) = match lookup::find(&node, &id).await {
            Ok(JobLookup::Live(read)) => (Some(read.record), read.version),
            Ok(JobLookup::Unreadable(version)) => (None, version),
            Ok(JobLookup::Terminal(last)) => {
                // Carried out before, and the answer was lost: nobody told the leader.
                if !was_known_over && last.state == JobState::Cancelled {
                    notify_leader(&node, &id).await;
                }
                return accepted(StatusCode::OK, &id, last.state);
            }
            Ok(JobLookup::NotFound) => return no_such_job(),
            Err(_) => return try_elsewhere(&node),
        };
        let last = cancelled_record(record.as_deref());
        let txn = cancellation(&id, version, &last);
        match node.state.txn(&txn, Priority::Data).await {
            Ok(_) => {
                cancelled(&node, &id, last).await;
                return accepted(StatusCode::OK, &id, JobState::Cancelled);
            }
            Err(ServiceError::Conflict(_)) => continue,
            Err(_) => return try_elsewhere(&node),
        }
    }
    try_elsewhere(&node)
}

/// The terminal record of a job that is cancelled; its counts are 0 where its live record
/// cannot be read.
fn cancelled_record(live: Option<&LiveJob>) -> TerminalRecord {
    TerminalRecord {
        state: JobState::Cancelled,
        tasks: live.map_or(0, |record| record.spec.tasks),
        done: live.map_or(0, LiveJob::completed_count),
    }
}

/// The transaction that replaces a live record of this version by a terminal one.
fn cancellation(id: &str, version: u64, last: &TerminalRecord) -> Txn {
    Txn::default()
        .when(&records::live_key(id), version)
        .delete(&records::live_key(id))
        .put(&records::terminal_key(id), last)
}

/// A cancellation was recorded, and its user is about to be told.
async fn cancelled(node: &Rc<Node>, id: &str, last: TerminalRecord) {
    tracing::info!(job = %id, "cancelled");
    node.learn_terminal_state(id, last);
    dispatcher::send_due_calls(node);
    completed_task_chunks::delete(node.clone(), id.into(), last.tasks);
    notify_leader(node, id).await;
}

/// Tells the leader of a cancellation before the user is told, so that it starts no task
/// of the job afterwards. (It learns it from its watch as well, but later.) The message
/// may be lost: what bounds the time then is `leadership::cancellation_horizon`.
async fn notify_leader(node: &Rc<Node>, id: &str) {
    if node.scheduler.borrow().is_some() {
        return;
    }
    let Some(addr) = node.other_leader().and_then(|o| node.peer_address(&o)) else {
        return;
    };
    let message = PeerRequest::JobCancelled(id.to_string());
    let told = node
        .mesh
        .ask_within(addr, &message, NOTIFY_LEADER_TIMEOUT_S);
    if told.await.is_none() {
        tracing::debug!(job = %id, "the leader was not reached with a cancellation");
    }
}
