//! The views for operators: of the shard, made by the leader's scheduler, and of the answering
//! controller itself.

use super::reply::{answer, leader_unavailable, leader_unreadable, problem};
use super::SharedNode;
use crate::coordination::node::Node;
use crate::coordination::scheduler::state::Scheduler;
use crate::coordination::scheduler::views::spread;
use crate::protocol::admin::{Jobs, ServiceRow, ShareRow, Waits};
use crate::protocol::mesh::{PeerRequest, PeerResponse, Topic};
use crate::transport::clients::CallStatistics;
use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::rc::Rc;

/// Number of jobs listed if the query has no `limit`.
const DEFAULT_JOB_LIMIT: u32 = 200;
/// Largest `limit` of a query for jobs.
const MAX_JOB_LIMIT: u32 = 5000;
/// Timeout of a request to the leader, in seconds. A busy leader takes a few hundred
/// milliseconds for a view of all machines.
const LEADER_TIMEOUT_S: f64 = 2.0;

/// A view of the shard.
struct View {
    /// The term of the leader that made the view.
    term: u64,
    /// The age of the view, in seconds.
    age_s: f64,
    json: String,
}

fn to_json<T: Serialize>(data: &T) -> Option<String> {
    serde_json::to_string(data).ok()
}

/// The view of this scheduler's shard for a topic, as JSON.
pub fn view_json(scheduler: &Scheduler, topic: Topic, now: f64) -> Option<String> {
    match topic {
        Topic::Jobs(limit) => to_json(&scheduler.job_rows(now, limit.min(MAX_JOB_LIMIT) as usize)),
        Topic::Teams => to_json(&scheduler.team_rows()),
        Topic::Machines => to_json(&scheduler.machine_rows(now)),
        Topic::Fleet => to_json(&scheduler.machine_counts(now)),
        Topic::Waits => to_json(&scheduler.waits()),
        Topic::Drains => to_json(&scheduler.drain_rows(now)),
        Topic::Snapshot => to_json(&scheduler.snapshot(now)),
    }
}

/// A view of the shard. It is made here if this controller leads, and requested from the leader
/// otherwise. While the leader does not answer, its last answer on this topic is used.
async fn fetch_view(node: &Rc<Node>, topic: Topic) -> Option<View> {
    let now = node.now();
    if let Some(scheduler) = node.scheduler.borrow().as_ref() {
        return Some(View {
            term: scheduler.term,
            age_s: 0.0,
            json: view_json(scheduler, topic, now)?,
        });
    }
    if let Some(view) = ask_leader(node, topic).await {
        return Some(view);
    }
    let cached_views = node.cached_views.borrow();
    let (received_at, term, json) = cached_views.get(&topic)?;
    Some(View {
        term: *term,
        age_s: now - received_at,
        json: json.clone(),
    })
}

/// Requests a view from the leader, and caches it for the time when the leader does not answer.
async fn ask_leader(node: &Rc<Node>, topic: Topic) -> Option<View> {
    let leader = node.other_leader()?;
    let addr = node.peer_address(&leader)?;
    let request = PeerRequest::View(topic);
    let response = node.mesh.ask_within(addr, &request, LEADER_TIMEOUT_S).await;
    let Some(PeerResponse::View(term, json)) = response else {
        return None;
    };
    // Snapshots are not cached: a plan must not be made from an outdated state.
    if topic != Topic::Snapshot {
        let cached = (node.now(), term, json.clone());
        node.cached_views.borrow_mut().insert(topic, cached);
    }
    Some(View {
        term,
        age_s: 0.0,
        json,
    })
}

/// Answers with the unchanged view of a topic.
pub(super) async fn view(node: &SharedNode, topic: Topic) -> HttpResponse {
    let Some(view) = fetch_view(node, topic).await else {
        return leader_unavailable();
    };
    match RawValue::from_string(view.json) {
        Ok(data) => answer(node, view.term, view.age_s, data),
        Err(_) => leader_unreadable(),
    }
}

/// Query parameters of the list of jobs.
#[derive(Deserialize)]
pub(super) struct JobsQuery {
    limit: Option<u32>,
}

/// `GET /admin/v1/jobs`: lists live jobs, those that most need attention first.
pub(super) async fn jobs(node: SharedNode, query: web::Query<JobsQuery>) -> HttpResponse {
    let limit = query.limit.unwrap_or(DEFAULT_JOB_LIMIT);
    if limit > MAX_JOB_LIMIT {
        return problem(
            400,
            Some("limit"),
            &format!("limit is above {MAX_JOB_LIMIT}"),
        );
    }
    // Only two different limits are requested from the leader, which bounds the cached views.
    let leader_limit = if limit <= DEFAULT_JOB_LIMIT {
        DEFAULT_JOB_LIMIT
    } else {
        MAX_JOB_LIMIT
    };
    let Some(view) = fetch_view(&node, Topic::Jobs(leader_limit)).await else {
        return leader_unavailable();
    };
    let Ok(mut jobs) = serde_json::from_str::<Jobs>(&view.json) else {
        return leader_unreadable();
    };
    jobs.rows.truncate(limit as usize);
    answer(&node, view.term, view.age_s, jobs)
}

/// `GET /admin/v1/shares`: the leadership of the shard, as this controller knows it.
pub(super) async fn shards(node: SharedNode) -> HttpResponse {
    let row = shard_row(&node);
    answer(&node, row.term, 0.0, vec![row])
}

fn shard_row(node: &Node) -> ShareRow {
    let now = node.now();
    let scheduler = node.scheduler.borrow();
    let leadership = node.leadership.borrow();
    let shard = leadership.view.shard.as_ref().map(|(shard, _)| shard);
    let mut alive: Vec<String> = leadership.view.alive.keys().cloned().collect();
    alive.sort();
    let former_leaders = shard.map(|s| s.former_leaders.iter().map(|l| l.host.clone()).collect());
    ShareRow {
        share: 0,
        owner: shard.map(|s| s.leader.clone()),
        term: shard.map_or(0, |s| s.term),
        alive,
        former: former_leaders.unwrap_or_default(),
        ours: scheduler.is_some() && leadership.may_answer_workers(now),
        confirmed_s: scheduler.as_ref().map(|_| now - leadership.confirmed_at()),
        missing: scheduler
            .as_ref()
            .and_then(Scheduler::machines_blocking_placement),
    }
}

fn service_row(name: &str, statistics: CallStatistics) -> ServiceRow {
    let seconds_ago = |at: Option<actix_rt::time::Instant>| at.map(|at| at.elapsed().as_secs_f64());
    ServiceRow {
        name: name.into(),
        answered: statistics.answered,
        failed: statistics.failed,
        answered_s: seconds_ago(statistics.answered_at),
        failed_s: seconds_ago(statistics.failed_at),
    }
}

/// The external services: this controller's answered and failed calls to each.
pub(super) fn service_rows(node: &Node) -> [ServiceRow; 2] {
    [
        service_row("state", node.state.statistics()),
        service_row("cloud", node.cloud.statistics()),
    ]
}

/// `GET /admin/v1/health`: the external services, as this controller reaches them.
pub(super) async fn health(node: SharedNode) -> HttpResponse {
    answer(&node, 0, 0.0, service_rows(&node))
}

/// `GET /admin/v1/waits`: waiting times from the leader, and the time that acceptance took on
/// this controller.
pub(super) async fn waits(node: SharedNode) -> HttpResponse {
    let Some(view) = fetch_view(&node, Topic::Waits).await else {
        return leader_unavailable();
    };
    let Ok(mut waits) = serde_json::from_str::<Waits>(&view.json) else {
        return leader_unreadable();
    };
    let acceptance_ms = node.acceptance_ms.borrow();
    waits.acceptance = acceptance_ms.as_ref().map(|h| spread("accepted", h));
    answer(&node, view.term, view.age_s, waits)
}
