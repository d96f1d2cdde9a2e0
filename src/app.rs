//! Ties the layers together: the front server that users, workers and health
//! checks call, the mesh that other controllers call, and the start of a process.

use crate::coordination::dispatch::{self, Dispatcher};
use crate::coordination::fleet::Fleet;
use crate::coordination::ledger::{self, Ledger};
use crate::coordination::member::{self, Member};
use crate::coordination::node::{Found, Node};
use crate::coordination::sessions::Answer as WorkerAnswer;
use crate::protocol::job::{
    parse_submission, peek_id, valid_id, Accepted, JobState, Progress, Refusal,
};
use crate::protocol::mesh::{self, Answer, Ask};
use crate::protocol::policy::Policy;
use crate::protocol::settings::Settings;
use crate::protocol::state::Txn;
use crate::protocol::worker::{Redirect, Reply, ReportHead};
use crate::storage::marks::Marks;
use crate::storage::records::{self, Final, LiveJob};
use crate::transport::clients::{Failure, Lane};
use crate::transport::listen;
use actix::prelude::*;
use actix_http::ConnectionType;
use actix_web::web::{Bytes, Data, PayloadConfig};
use actix_web::{web, App, HttpResponse};
use serde::Serialize;
use serde_json::json;
use std::rc::Rc;

/// Largest request body by the protocol.
const MAX_BODY: usize = 64 * 1024;

type Shared = Data<Rc<Node>>;

fn answer<T: Serialize>(status: u16, body: &T) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status)
        .unwrap_or(actix_web::http::StatusCode::SERVICE_UNAVAILABLE);
    HttpResponse::build(status).json(body)
}

fn refuse(status: u16, why: &str) -> HttpResponse {
    answer(status, &Refusal { error: why.into() })
}

/// What a user gets from a controller without contact: while others have it, the
/// connection is closed too, so that the next one leads to another controller.
fn elsewhere(node: &Node) -> HttpResponse {
    let mut response = unavailable();
    if node.health.borrow().away() {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// We cannot tell or record it now; the state service is usually back soon.
fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable()
        .insert_header(("retry-after", "1"))
        .json(json!({"error": "not available now"}))
}

/// Reads a body of at most 64 KiB.
async fn read_body(mut payload: web::Payload) -> Result<Bytes, HttpResponse> {
    use futures_util::StreamExt;
    // Most bodies come in one piece, which then need not be copied.
    let mut first = Bytes::new();
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Err(refuse(400, "unreadable body"));
        };
        if first.len().max(body.len()) + chunk.len() > MAX_BODY {
            return Err(refuse(400, "body over 64 KiB"));
        }
        if first.is_empty() {
            first = chunk;
        } else {
            if body.is_empty() {
                body.extend_from_slice(&first);
            }
            body.extend_from_slice(&chunk);
        }
    }
    Ok(if body.is_empty() { first } else { body.into() })
}

async fn submit(node: Shared, payload: web::Payload) -> HttpResponse {
    let began = node.now();
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    let spec = match parse_submission(&body) {
        Ok(spec) => spec,
        Err(why) => {
            // A known job is answered as known whatever its repetition holds.
            return match peek_id(&body) {
                Some(id) => match known(&node, &id).await {
                    Ok(Some(known)) => known,
                    Ok(None) => refuse(400, &why),
                    Err(_) => elsewhere(&node),
                },
                None => refuse(400, &why),
            };
        }
    };
    let id = spec.id.clone();
    match node.judge(&spec) {
        Some(Ok(())) => {}
        verdict => {
            return match known(&node, &id).await {
                Ok(Some(known)) => known,
                Ok(None) => match verdict {
                    Some(Err(why)) => refuse(422, &why),
                    _ => elsewhere(&node),
                },
                Err(_) => elsewhere(&node),
            };
        }
    }
    if let Some(last) = node.finals.borrow().get(&id) {
        return accepted(200, &id, last.state);
    }
    let record = LiveJob {
        spec: Rc::new(spec),
        at_ms: node.wall_ms(),
        done: String::new(),
    };
    let txn = Txn::default()
        .when(&records::live(&id), 0)
        .when(&records::fin(&id), 0)
        .put(&records::live(&id), &record);
    match node.state.txn(&txn, Lane::Data).await {
        Ok(version) => {
            {
                let spec = &record.spec;
                let due_s = spec.deadline_s.unwrap_or(0.0);
                tracing::info!(job = %id, class = %spec.class, team = %spec.team, tasks = spec.tasks, cpus = spec.cpus, estimate_s = spec.estimate_s, due_s, "accepted");
            }
            {
                let now = node.now();
                node.accepted_in(now - began);
                let read = Rc::new(record.clone());
                node.reads.borrow_mut().learnt(&read, version);
                if let Some(core) = node.core.borrow_mut().as_mut() {
                    core.job_added(record, version, Marks::default());
                    core.place_news(now);
                }
            }
            dispatch::drain(&node);
            accepted(201, &id, JobState::Pending)
        }
        Err(Failure::Conflict(_)) => match known(&node, &id).await {
            Ok(Some(known)) => known,
            _ => elsewhere(&node),
        },
        Err(_) => elsewhere(&node),
    }
}

fn accepted(status: u16, id: &str, state: JobState) -> HttpResponse {
    let id = id.into();
    answer(status, &Accepted { id, state })
}

/// The answer for a job that is known already.
async fn known(node: &Rc<Node>, id: &str) -> Result<Option<HttpResponse>, Failure> {
    Ok(match node.find(id).await? {
        Found::Live(..) => {
            let running = progress(node, id).await.is_some_and(|p| p.1 > 0);
            let state = if running {
                JobState::Running
            } else {
                JobState::Pending
            };
            Some(accepted(200, id, state))
        }
        Found::Unreadable(_) => Some(accepted(200, id, JobState::Pending)),
        Found::Final(last) => Some(accepted(200, id, last.state)),
        Found::Nothing => None,
    })
}

/// Done and running tasks, from the owner.
async fn progress(node: &Rc<Node>, id: &str) -> Option<(u32, u32)> {
    if let Some(core) = node.core.borrow().as_ref() {
        return core.progress(id);
    }
    let addr = node.peer(&node.other_owner()?)?;
    match node.mesh.ask(addr, &Ask::Progress(id.to_string())).await? {
        Answer::Progress { done, running } => Some((done, running)),
        _ => None,
    }
}

async fn query(node: Shared, path: web::Path<String>) -> HttpResponse {
    let id = path.into_inner();
    if !valid_id(&id) {
        return refuse(404, "no such job");
    }
    match node.find(&id).await {
        Ok(Found::Live(record, _)) => {
            let (done, running) = match progress(&node, &id).await {
                Some(progress) => progress,
                // The owner does not answer: what is in the record. Marks kept apart are
                // hundreds of KiB for the largest jobs, read for each poll while the
                // owner is away; the counts are for display and worth no 503.
                None => (record.marked(), 0),
            };
            let state = if running > 0 {
                JobState::Running
            } else {
                JobState::Pending
            };
            answer(
                200,
                &Progress {
                    id: id.as_str().into(),
                    state,
                    done,
                    running,
                },
            )
        }
        Ok(Found::Unreadable(_)) => answer(
            200,
            &Progress {
                id: id.as_str().into(),
                state: JobState::Pending,
                done: 0,
                running: 0,
            },
        ),
        Ok(Found::Final(last)) => answer(
            200,
            &Progress {
                id: id.as_str().into(),
                state: last.state,
                done: last.done,
                running: 0,
            },
        ),
        Ok(Found::Nothing) => refuse(404, "no such job"),
        Err(_) => elsewhere(&node),
    }
}

async fn cancel(node: Shared, path: web::Path<String>) -> HttpResponse {
    let id = path.into_inner();
    if !valid_id(&id) {
        return refuse(404, "no such job");
    }
    // Marks written meanwhile change the record's version: look again.
    for _ in 0..8 {
        let (record, version) = match node.find(&id).await {
            Ok(Found::Live(record, version)) => (Some(record), version),
            Ok(Found::Unreadable(version)) => (None, version),
            Ok(Found::Final(last)) => return accepted(200, &id, last.state),
            Ok(Found::Nothing) => return refuse(404, "no such job"),
            Err(_) => return elsewhere(&node),
        };
        let (tasks, done) = match &record {
            Some(record) => (record.spec.tasks, record.marked()),
            None => (0, 0),
        };
        let last = Final {
            state: JobState::Cancelled,
            tasks,
            done,
        };
        let txn = Txn::default()
            .when(&records::live(&id), version)
            .delete(&records::live(&id))
            .put(&records::fin(&id), &last);
        match node.state.txn(&txn, Lane::Data).await {
            Ok(_) => {
                tracing::info!(job = %id, "cancelled");
                node.learnt_final(&id, last);
                if node.core.borrow().is_none() {
                    tell_owner(&node, &id);
                }
                dispatch::drain(&node);
                ledger::sweep_marks(node.get_ref().clone(), id.as_str().into(), last.tasks);
                return accepted(200, &id, JobState::Cancelled);
            }
            Err(Failure::Conflict(_)) => continue,
            Err(_) => return elsewhere(&node),
        }
    }
    elsewhere(&node)
}

/// Tells the owner of a cancellation, which it learns from its watch as well, but
/// not while the state service is away or it is behind. It may be lost: what bounds
/// the time is `member::cover`.
fn tell_owner(node: &Rc<Node>, id: &str) {
    let Some(addr) = node.other_owner().and_then(|o| node.peer(&o)) else {
        return;
    };
    let (node, ask) = (node.clone(), Ask::Over(id.to_string()));
    actix_rt::spawn(async move {
        let _ = node.mesh.ask(addr, &ask).await;
    });
}

/// Live jobs at a glance, from whoever owns the share.
async fn overview(node: Shared) -> HttpResponse {
    let own = node.core.borrow().as_ref().map(|c| c.overview(node.now()));
    let text = match own {
        Some(text) => Some(text),
        None => {
            let owner = node.other_owner().and_then(|o| node.peer(&o));
            match owner {
                Some(addr) => match node.mesh.ask(addr, &Ask::Overview).await {
                    Some(Answer::Overview(text)) => Some(text),
                    _ => None,
                },
                None => None,
            }
        }
    };
    match text {
        Some(text) => HttpResponse::Ok()
            .content_type("text/plain; charset=utf-8")
            .body(text),
        None => unavailable(),
    }
}

/// Healthy once we know the cluster.
async fn up(node: Shared) -> HttpResponse {
    if node.tenure.borrow().view.loaded && !node.health.borrow().away() {
        answer(200, &json!({"up": true}))
    } else {
        unavailable()
    }
}

async fn hello(node: Shared, payload: web::Payload) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    if !node.entitled() {
        node.settled().await;
    }
    if !node.entitled() {
        let lately = node.turned_away.borrow_mut().add(node.now());
        if crate::coordination::reach::owner_unreached(lately) {
            node.moved().await;
        }
    }
    if !node.entitled() {
        let to = node.other_owner();
        return answer(421, &Redirect { to: to.as_deref() });
    }
    let Ok(head) = serde_json::from_slice::<ReportHead>(&body) else {
        return refuse(400, "not a report");
    };
    let now = node.now();
    if let Some(core) = node.core.borrow_mut().as_mut() {
        if let Some(token) = core.repeats(&head, now) {
            let commands = Vec::new();
            return answer(200, &Reply { token, commands });
        }
    }
    let tasks = head.tasks;
    let Some(report) = head.read() else {
        return refuse(400, "not a report");
    };
    let verdict = match node.core.borrow_mut().as_mut() {
        Some(core) => {
            let verdict = core.hello(&report, now);
            let order = (report.session, report.seq);
            core.remember(&report.machine, order, tasks.get());
            verdict
        }
        None => WorkerAnswer::Refuse,
    };
    match verdict {
        WorkerAnswer::Orders(reply) => {
            dispatch::drain(&node);
            answer(200, &reply)
        }
        WorkerAnswer::Refuse => unavailable(),
        WorkerAnswer::Superseded => {
            member::superseded(&node);
            unavailable()
        }
    }
}

async fn mesh_call(node: Shared, body: Bytes) -> HttpResponse {
    let Some(ask) = mesh::decode::<Ask>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Ask::Promise(term) = ask {
        member::promise(&node, term);
    }
    if let Ask::Over(id) = &ask {
        if let Some(core) = node.core.borrow_mut().as_mut() {
            core.job_over(id);
        }
        dispatch::drain(&node);
        return HttpResponse::Ok().body(mesh::encode(&Answer::Agreed));
    }
    let reply = match (ask, node.core.borrow().as_ref()) {
        (Ask::Progress(id), Some(core)) => match core.progress(&id) {
            Some((done, running)) => Answer::Progress { done, running },
            None => Answer::NotMine,
        },
        (Ask::Overview, Some(core)) => Answer::Overview(core.overview(node.now())),
        (Ask::Admin(topic), Some(core)) => match crate::admin::of_core(core, topic, node.now()) {
            Some(text) => Answer::Admin(core.term, text),
            None => Answer::NotMine,
        },
        (Ask::Vouch(term), _) if node.tenure.borrow().vouches_for(term) => Answer::Agreed,
        (Ask::Promise(_), _) => Answer::Agreed,
        (Ask::Contact, _) => {
            let steady_s = node.health.borrow().steady_s(node.now());
            Answer::Contact((steady_s.max(0.0) * 1000.0) as u64)
        }
        (Ask::TurnedAway, _) => {
            let recent = node.turned_away.borrow_mut().recent(node.now());
            Answer::TurnedAway(recent)
        }
        (Ask::Told(term, for_ms), _) if node.tenure.borrow().speaks_to(term) => {
            let for_s = for_ms as f64 / 1000.0;
            match node.told_over.borrow().within(for_s, node.now()) {
                Some(jobs) => Answer::Told(jobs),
                None => Answer::NotMine,
            }
        }
        _ => Answer::NotMine,
    };
    HttpResponse::Ok().body(mesh::encode(&reply))
}

/// Starts everything and serves until the process is killed.
pub async fn run(settings: Settings, policy: Policy) -> std::io::Result<()> {
    let node = Node::new(settings, policy);
    let sockets = node.workers.share();
    // Workers report and users poll several times in two leases.
    let idle_s = (2.0 * node.settings.cluster.workers.lease_s).max(30.0);
    let idle = std::time::Duration::from_secs_f64(idle_s);
    let data = Data::new(node.clone());
    let front = App::new()
        .app_data(data.clone())
        .app_data(PayloadConfig::new(MAX_BODY))
        .route("/up", web::get().to(up))
        .route("/overview", web::get().to(overview))
        .route("/hello", web::post().to(hello))
        .route("/work", web::post().to(submit))
        .route("/work/{id}", web::get().to(query))
        .route("/work/{id}/cancel", web::post().to(cancel));
    let (most, open) = (sockets.front(), sockets.incoming.clone());
    listen::serve(front, node.settings.front, most, open, idle).await?;
    let inner = App::new()
        .app_data(data)
        .app_data(PayloadConfig::new(MAX_BODY))
        .route("/mesh", web::post().to(mesh_call));
    let addr = node.settings.mesh_addr;
    listen::serve(inner, addr, sockets.mesh(), Rc::default(), listen::IDLE).await?;
    if let Some(addr) = node.policy.admin {
        actix_rt::spawn(crate::admin::run(node.clone(), addr));
    }
    Member { node: node.clone() }.start();
    Ledger { node: node.clone() }.start();
    Fleet { node: node.clone() }.start();
    Dispatcher {
        node: node.clone(),
        beats: 0,
    }
    .start();
    tracing::info!(
        host = %node.settings.host_name,
        version = env!("CARGO_PKG_VERSION"),
        "started"
    );
    std::future::pending().await
}
