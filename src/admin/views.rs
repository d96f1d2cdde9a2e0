//! What operators see of the shard: views made by the leader's scheduler, and of this
//! controller itself.

use super::reply::{answer, leader_unavailable, leader_unreadable, problem};
use super::Shared;
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

/// Jobs listed when nobody says how many.
const DEFAULT_JOBS: u32 = 200;
/// Jobs listed at most.
const MAX_JOBS: u32 = 5000;
/// Timeout of a question to the leader, in seconds: a view of all machines takes a busy
/// one a few hundred milliseconds.
const LEADER_TIMEOUT_S: f64 = 2.0;

/// A view of the shard.
struct View {
    /// The term under which it was made.
    term: u64,
    /// How old it is, in seconds.
    age_s: f64,
    json: String,
}

fn to_json<T: Serialize>(data: &T) -> Option<String> {
    serde_json::to_string(data).ok()
}

/// What operators see of the shard that this scheduler holds, as JSON.
pub fn view_json(scheduler: &Scheduler, topic: Topic, now: f64) -> Option<String> {
    match topic {
        Topic::Jobs(most) => to_json(&scheduler.job_rows(now, most.min(MAX_JOBS) as usize)),
        Topic::Teams => to_json(&scheduler.team_rows()),
        Topic::Machines => to_json(&scheduler.machine_rows(now)),
        Topic::Fleet => to_json(&scheduler.machine_counts(now)),
        Topic::Waits => to_json(&scheduler.waits()),
        Topic::Drains => to_json(&scheduler.drain_rows(now)),
        Topic::Snapshot => to_json(&scheduler.snapshot(now)),
    }
}

/// A view of the shard: made here if we lead, else asked of the leader, and while that one
/// does not answer what it said last.
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
    let last_views = node.cached_views.borrow();
    let (at, term, json) = last_views.get(&topic)?;
    Some(View {
        term: *term,
        age_s: now - at,
        json: json.clone(),
    })
}

/// The leader's answer, which is kept for when it is away.
async fn ask_leader(node: &Rc<Node>, topic: Topic) -> Option<View> {
    let leader = node.other_leader()?;
    let addr = node.peer_address(&leader)?;
    let request = PeerRequest::View(topic);
    let response = node.mesh.ask_within(addr, &request, LEADER_TIMEOUT_S).await;
    let Some(PeerResponse::View(term, json)) = response else {
        return None;
    };
    // A plan must not be made from a state that is over.
    if topic != Topic::Snapshot {
        let kept = (node.now(), term, json.clone());
        node.cached_views.borrow_mut().insert(topic, kept);
    }
    Some(View {
        term,
        age_s: 0.0,
        json,
    })
}

/// Answers with a view as it is.
pub(super) async fn view(node: &Shared, topic: Topic) -> HttpResponse {
    let Some(view) = fetch_view(node, topic).await else {
        return leader_unavailable();
    };
    match RawValue::from_string(view.json) {
        Ok(data) => answer(node, view.term, view.age_s, data),
        Err(_) => leader_unreadable(),
    }
}

/// Query of the list of jobs.
#[derive(Deserialize)]
pub(super) struct JobsQuery {
    limit: Option<u32>,
}

/// Lists live jobs, the worst first.
pub(super) async fn jobs(node: Shared, query: web::Query<JobsQuery>) -> HttpResponse {
    let limit = query.limit.unwrap_or(DEFAULT_JOBS);
    if limit > MAX_JOBS {
        return problem(400, Some("limit"), &format!("limit is above {MAX_JOBS}"));
    }
    // Few different ones, so that what is kept for a leader's absence is bounded.
    let fetched = if limit <= DEFAULT_JOBS {
        DEFAULT_JOBS
    } else {
        MAX_JOBS
    };
    let Some(view) = fetch_view(&node, Topic::Jobs(fetched)).await else {
        return leader_unavailable();
    };
    let Ok(mut jobs) = serde_json::from_str::<Jobs>(&view.json) else {
        return leader_unreadable();
    };
    jobs.rows.truncate(limit as usize);
    answer(&node, view.term, view.age_s, jobs)
}

/// The shard's leadership, as this controller sees it.
pub(super) async fn shards(node: Shared) -> HttpResponse {
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
    let former = shard.map(|s| s.former_leaders.iter().map(|l| l.host.clone()).collect());
    ShareRow {
        share: 0,
        owner: shard.map(|s| s.leader.clone()),
        term: shard.map_or(0, |s| s.term),
        alive,
        former: former.unwrap_or_default(),
        ours: scheduler.is_some() && leadership.may_answer_workers(now),
        confirmed_s: scheduler.as_ref().map(|_| now - leadership.confirmed_at()),
        missing: scheduler
            .as_ref()
            .and_then(Scheduler::machines_blocking_placement),
    }
}

fn service_row(name: &str, met: CallStatistics) -> ServiceRow {
    let seconds_ago = |at: Option<actix_rt::time::Instant>| at.map(|t| t.elapsed().as_secs_f64());
    ServiceRow {
        name: name.into(),
        answered: met.answered,
        failed: met.failed,
        answered_s: seconds_ago(met.answered_at),
        failed_s: seconds_ago(met.failed_at),
    }
}

/// The outside services, as the calls of this controller found them.
pub(super) fn service_rows(node: &Node) -> [ServiceRow; 2] {
    [
        service_row("state", node.state.statistics()),
        service_row("cloud", node.cloud.statistics()),
    ]
}

/// Answers with the outside services.
pub(super) async fn health(node: Shared) -> HttpResponse {
    answer(&node, 0, 0.0, service_rows(&node))
}

/// Waiting times: the leader's, and how long acceptance took at this controller.
pub(super) async fn waits(node: Shared) -> HttpResponse {
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
