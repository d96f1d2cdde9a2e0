//! Submissions, polls and cancellations of jobs.
//!
//! Every controller answers requests about any job. Each answer is based either on a look-up with
//! [`lookup::look_up`], after which the handler awaits nothing else, or on a write by the handler.

use super::reply::{json_response, no_such_job, read_body, refuse, unavailable_to_user};
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

/// Maximum time to wait for the leader's confirmation that it was notified of a cancellation, in
/// seconds. The user's answer is delayed by this wait. Users wait for an answer for 5 s, twenty
/// times as long.
const NOTIFY_LEADER_TIMEOUT_S: f64 = 0.25;

/// Maximum number of attempts to cancel a job while its record changes concurrently.
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
                Some(id) => respond_with_state_or(&node, &id, refusal).await,
                None => refusal,
            };
        }
    };
    match admission::check(&node, &spec) {
        Admission::Admitted => accept(&node, spec, received_at).await,
        Admission::Rejected(error) => {
            let refusal = refuse(StatusCode::UNPROCESSABLE_ENTITY, &error.to_string());
            respond_with_state_or(&node, &spec.id, refusal).await
        }
        Admission::Undecided => {
            respond_with_state_or(&node, &spec.id, unavailable_to_user(&node)).await
        }
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
            return respond_with_state_or(node, &id, unavailable_to_user(node)).await
        }
        Err(_) => return unavailable_to_user(node),
    }
    // If the response of the state service was delayed, this or another controller may have told
    // the user meanwhile that the job is over. The job is looked up again if this controller knows
    // that the job is over, or if the delay was so long that the write is no basis for an answer.
    let is_over = node.terminal_states.borrow().get(&id).is_some();
    if is_over || write.sent_at.elapsed() > MAX_READ_AGE {
        return respond_with_state_or(node, &id, unavailable_to_user(node)).await;
    }
    accepted_response(StatusCode::CREATED, &id, JobState::Pending)
}

fn log_accepted(spec: &JobSpec) {
    let due_s = spec.deadline_s.unwrap_or(0.0);
    tracing::info!(job = %spec.id, class = %spec.class, team = %spec.team, tasks = spec.tasks, cpus = spec.cpus, estimate_s = spec.estimate_s, due_s, "accepted");
}

/// Adds a job that was just recorded to the record cache and, if this controller leads, to the
/// scheduler.
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

/// The response to a submission that was not recorded now. If the job was accepted earlier, the
/// response is its current state, even if this submission is invalid or differs from the accepted
/// one. If the job was never accepted, the response is `refusal`.
async fn respond_with_state_or(node: &Rc<Node>, id: &str, refusal: HttpResponse) -> HttpResponse {
    let mut lookup_result = lookup::look_up(node, id).await;
    let mut counts = None;
    if matches!(lookup_result, Ok(JobLookup::Live(..))) {
        // Most jobs that reach this function are unknown or over. Only a live job needs the
        // leader's counts. The wait for the counts makes the look-up stale, so the job is looked
        // up again.
        counts = task_counts(node, id).await;
        lookup_result = lookup::look_up(node, id).await;
    }
    match lookup_result {
        Ok(JobLookup::Live(..)) => accepted_response(StatusCode::OK, id, live_state(counts)),
        Ok(JobLookup::Unreadable(_)) => accepted_response(StatusCode::OK, id, JobState::Pending),
        Ok(JobLookup::Terminal(terminal)) => accepted_response(StatusCode::OK, id, terminal.state),
        Ok(JobLookup::NotFound) => refusal,
        Err(_) => unavailable_to_user(node),
    }
}

fn live_state(counts: Option<TaskCounts>) -> JobState {
    match counts {
        Some(counts) if counts.running > 0 => JobState::Running,
        _ => JobState::Pending,
    }
}

/// The numbers of done and running tasks, from the leader; `None` if the job is known to be over,
/// or if the leader is unknown, does not answer or does not know the job. Callers request the
/// counts before they look the job up, because a wait after the look-up would make its result
/// stale. Outdated counts do no harm: they are for display only.
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
    match lookup::look_up(&node, &id).await {
        Ok(JobLookup::Live(versioned)) => {
            // The job's record supplies the counts if the leader does not. The record's count
            // omits completed tasks that are stored in separate chunks. For the largest jobs the
            // chunks take hundreds of KiB, which is too much to read for a count.
            let recorded_counts = TaskCounts {
                done: versioned.record.completed_count(),
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
        Err(_) => unavailable_to_user(&node),
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

/// `POST /work/{id}/cancel`: cancels a job. The response is sent once the cancellation is recorded
/// and the leader has confirmed the notification or [`NOTIFY_LEADER_TIMEOUT_S`] has passed.
pub async fn cancel(node: SharedNode, path: web::Path<String>) -> HttpResponse {
    let id = path.into_inner();
    if !valid_id(&id) {
        return no_such_job();
    }
    let was_already_over = node.terminal_states.borrow().get(&id).is_some();
    // The transaction conflicts if the version of the job's record changes concurrently, for
    // example because completed tasks are recorded.
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let (record, version) = match lookup::look_up(&node, &id).await {
            Ok(JobLookup::Live(versioned)) => (Some(versioned.record), versioned.version),
            Ok(JobLookup::Unreadable(version)) => (None, version),
            Ok(JobLookup::Terminal(terminal)) => {
                // An earlier attempt may have recorded the cancellation without receiving the
                // state service's response. In that case the leader was not notified.
                if !was_already_over && terminal.state == JobState::Cancelled {
                    notify_leader(&node, &id).await;
                }
                return accepted_response(StatusCode::OK, &id, terminal.state);
            }
            Ok(JobLookup::NotFound) => return no_such_job(),
            Err(_) => return unavailable_to_user(&node),
        };
        let terminal = cancelled_record(record.as_deref());
        let txn = cancellation_txn(&id, version, &terminal);
        match node.state.txn(&txn, Priority::Data).await {
            Ok(_) => {
                let limits = node.record_limits();
                let chunks = record.map_or(0, |record| limits.chunk_count(&record.spec));
                completed_task_chunks::delete(node.get_ref().clone(), id.as_str().into(), chunks);
                publish_cancellation(&node, &id, terminal).await;
                return accepted_response(StatusCode::OK, &id, JobState::Cancelled);
            }
            Err(ServiceError::Conflict(_)) => continue,
            Err(_) => return unavailable_to_user(&node),
        }
    }
    unavailable_to_user(&node)
}

/// The terminal record of a cancelled job. Its counts are 0 if the live record cannot be read.
fn cancelled_record(live: Option<&LiveJob>) -> TerminalRecord {
    TerminalRecord {
        state: JobState::Cancelled,
        tasks: live.map_or(0, |record| record.spec.tasks),
        done: live.map_or(0, LiveJob::completed_count),
    }
}

/// The transaction that replaces the job's live record by the terminal record. The transaction
/// conflicts unless the live record still has this version.
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
