//! Submissions, polls and cancellations of jobs.
//!
//! Any controller answers for any job. Every answer is based either on [`lookup::find`], after
//! which the handler awaits nothing else, or on a write by the handler itself.

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

/// Bound on the time that a user's cancellation, once recorded, is delayed by notifying the
/// leader, in seconds: a twentieth of the 5 s that users wait for an answer.
const NOTIFY_LEADER_TIMEOUT_S: f64 = 0.25;

/// Attempts to cancel a job whose record is changed concurrently.
const MAX_CANCEL_ATTEMPTS: usize = 8;

/// `POST /work`: accepts a job after recording it in the state service.
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

/// Records a valid job and responds to the user.
async fn accept(node: &Rc<Node>, spec: JobSpec, received_at: f64) -> HttpResponse {
    let id = spec.id.clone();
    if let Some(terminal) = node.terminal_states.borrow().get(&id) {
        return accepted_response(StatusCode::OK, &id, terminal.state);
    }
    let record = LiveJob {
        spec: Rc::new(spec),
        accepted_at_ms: node.wall_ms(),
        done: String::new(),
    };
    let txn = Txn::default()
        .when(&records::live_key(&id), 0)
        .when(&records::terminal_key(&id), 0)
        .put(&records::live_key(&id), &record);
    let write = node.state.timed_txn(&txn, Priority::Data).await;
    match write.result {
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
    // The response of the state service may have been delayed. Meanwhile the user may have been
    // told that the job is over, here or by another controller. In that case, and after a long
    // delay, the job is looked up again.
    let is_over = node.terminal_states.borrow().get(&id).is_some();
    if is_over || write.sent_at.elapsed() > MAX_READ_AGE {
        return state_if_known_or(node, &id, try_elsewhere(node)).await;
    }
    accepted_response(StatusCode::CREATED, &id, JobState::Pending)
}

fn log_accepted(spec: &JobSpec) {
    let due_s = spec.deadline_s.unwrap_or(0.0);
    tracing::info!(job = %spec.id, class = %spec.class, team = %spec.team, tasks = spec.tasks, cpus = spec.cpus, estimate_s = spec.estimate_s, due_s, "accepted");
}

/// Passes a job that was just recorded to the scheduler, if this controller leads.
fn notify_scheduler(node: &Rc<Node>, record: LiveJob, version: u64) {
    let cached = Rc::new(record.clone());
    node.record_cache.borrow_mut().insert(&cached, version);
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        scheduler.add_job(record, version, CompletedTasks::default());
        scheduler.place_changed(node.now());
    }
    dispatcher::send_due_calls(node);
}

fn accepted_response(status: StatusCode, id: &str, state: JobState) -> HttpResponse {
    let id = id.into();
    json_response(status, &Accepted { id, state })
}

/// The current state of the job if it is known, whatever its repeated submission contains;
/// otherwise `refusal`.
async fn state_if_known_or(node: &Rc<Node>, id: &str, refusal: HttpResponse) -> HttpResponse {
    let mut found = lookup::find(node, id).await;
    let mut counts = None;
    if matches!(found, Ok(JobLookup::Live(..))) {
        // Most jobs that reach this function are unknown or over. Only a live job needs the
        // leader's counts. Waiting for them has made the look-up stale, so it is repeated.
        counts = task_counts(node, id).await;
        found = lookup::find(node, id).await;
    }
    match found {
        Ok(JobLookup::Live(..)) => accepted_response(StatusCode::OK, id, live_state(counts)),
        Ok(JobLookup::Unreadable(_)) => accepted_response(StatusCode::OK, id, JobState::Pending),
        Ok(JobLookup::Terminal(terminal)) => accepted_response(StatusCode::OK, id, terminal.state),
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

/// The numbers of done and running tasks, from the leader. Callers request them before they
/// look the job up: the counts are for display only, and waiting for them after the look-up
/// would make its result stale.
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
            // The counts of the job's record are used if the leader does not answer. They omit
            // completed tasks that are stored in separate chunks: these take hundreds of KiB
            // for the largest jobs, which is too much to read for a count.
            let recorded_counts = TaskCounts {
                done: read.record.completed_count(),
                running: 0,
            };
            progress_response(&id, live_state(counts), counts.unwrap_or(recorded_counts))
        }
        Ok(JobLookup::Unreadable(_)) => {
            progress_response(&id, JobState::Pending, TaskCounts::default())
        }
        Ok(JobLookup::Terminal(terminal)) => {
            let counts = TaskCounts {
                done: terminal.done,
                running: 0,
            };
            progress_response(&id, terminal.state, counts)
        }
        Ok(JobLookup::NotFound) => no_such_job(),
        Err(_) => try_elsewhere(&node),
    }
}

fn progress_response(id: &str, state: JobState, counts: TaskCounts) -> HttpResponse {
    let body = Progress {
        id: id.into(),
        state,
        done: counts.done,
        running: counts.running,
    };
    json_response(StatusCode::OK, &body)
}

/// `POST /work/{id}/cancel`: responds once the cancellation is recorded and the leader has been
/// notified, or has not answered within [`NOTIFY_LEADER_TIMEOUT_S`].
pub async fn cancel(node: SharedNode, path: web::Path<String>) -> HttpResponse {
    let id = path.into_inner();
    if !valid_id(&id) {
        return no_such_job();
    }
    let was_known_over = node.terminal_states.borrow().get(&id).is_some();
    // The record's version changes when completed tasks are recorded concurrently, and then
    // the transaction conflicts.
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let (record, version) = match lookup::find(&node, &id).await {
            Ok(JobLookup::Live(read)) => (Some(read.record), read.version),
            Ok(JobLookup::Unreadable(version)) => (None, version),
            Ok(JobLookup::Terminal(terminal)) => {
                // An earlier attempt recorded the cancellation but its response was lost, so
                // the leader may not have been notified.
                if !was_known_over && terminal.state == JobState::Cancelled {
                    notify_leader(&node, &id).await;
                }
                return accepted_response(StatusCode::OK, &id, terminal.state);
            }
            Ok(JobLookup::NotFound) => return no_such_job(),
            Err(_) => return try_elsewhere(&node),
        };
        let terminal = cancelled_record(record.as_deref());
        let txn = cancellation_txn(&id, version, &terminal);
        match node.state.txn(&txn, Priority::Data).await {
            Ok(_) => {
                publish_cancellation(&node, &id, terminal).await;
                return accepted_response(StatusCode::OK, &id, JobState::Cancelled);
            }
            Err(ServiceError::Conflict(_)) => continue,
            Err(_) => return try_elsewhere(&node),
        }
    }
    try_elsewhere(&node)
}

/// The terminal record of a cancelled job. Its counts are 0 if the live record cannot be read.
fn cancelled_record(live: Option<&LiveJob>) -> TerminalRecord {
    TerminalRecord {
        state: JobState::Cancelled,
        tasks: live.map_or(0, |record| record.spec.tasks),
        done: live.map_or(0, LiveJob::completed_count),
    }
}

/// The transaction that replaces the live record of this version by the terminal record.
fn cancellation_txn(id: &str, version: u64, terminal: &TerminalRecord) -> Txn {
    Txn::default()
        .when(&records::live_key(id), version)
        .delete(&records::live_key(id))
        .put(&records::terminal_key(id), terminal)
}

/// Applies a recorded cancellation on this controller and notifies the leader, before the user
/// receives the response.
async fn publish_cancellation(node: &Rc<Node>, id: &str, terminal: TerminalRecord) {
    tracing::info!(job = %id, "cancelled");
    node.learn_terminal_state(id, terminal);
    dispatcher::send_due_calls(node);
    completed_task_chunks::delete(node.clone(), id.into(), terminal.tasks);
    notify_leader(node, id).await;
}

/// Notifies the leader of a cancellation before the user receives the response, so that the
/// leader starts no task of the job afterwards. The leader's watch reports the cancellation
/// too, but later. If the message is lost, `leadership::cancellation_horizon` bounds the time
/// until the leader stops the job's tasks.
async fn notify_leader(node: &Rc<Node>, id: &str) {
    if node.scheduler.borrow().is_some() {
        return;
    }
    let Some(addr) = node
        .other_leader()
        .and_then(|leader| node.peer_address(&leader))
    else {
        return;
    };
    let message = PeerRequest::JobCancelled(id.to_string());
    let response = node
        .mesh
        .ask_within(addr, &message, NOTIFY_LEADER_TIMEOUT_S);
    if response.await.is_none() {
        tracing::debug!(job = %id, "the leader did not confirm the notification of a cancellation");
    }
}
