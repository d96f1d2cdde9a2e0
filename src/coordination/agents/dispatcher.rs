//! Sends the direct calls that are due to workers, and runs the scheduler's periodic work.

use crate::coordination::agents::direct_calls::CallResult;
use crate::coordination::node::Node;
use crate::coordination::scheduler::job::Name;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::worker::DirectCommands;
use crate::transport::clients::DirectOutcome;
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Ticks between two log lines on machines that block placement after a takeover.
const UNFENCED_LOG_TICKS: u64 = 4;
/// Ticks between two garbage collections, each with a log line on the load.
const GARBAGE_COLLECTION_TICKS: u64 = 32;

/// A delay of the event loop of this many seconds or more is logged: health checks and polls then
/// time out.
const LOGGED_LOOP_DELAY_S: f64 = 1.0;

/// A direct call to be sent.
struct OutgoingCall {
    /// Base term of the scheduler that created the call.
    base_term: u64,
    machine: Name,
    addr: String,
    call: DirectCommands,
}

/// Sends all direct calls that are due, without waiting for their results.
pub fn send_due_calls(node: &Rc<Node>) {
    for outgoing in take_due_calls(node) {
        let node = node.clone();
        actix_rt::spawn(async move { send(node, outgoing).await });
    }
}

/// Takes the due calls from the scheduler's outbox, at most one per free socket.
fn take_due_calls(node: &Node) -> Vec<OutgoingCall> {
    let mut calls = Vec::new();
    if !node.may_answer_workers() {
        return calls;
    }
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return calls;
    };
    // Calls beyond the free sockets would wait for a socket and could time out unsent,
    // which is indistinguishable from a lost command.
    let free_sockets = node
        .workers
        .max_concurrent_calls
        .saturating_sub(node.direct_calls.get());
    let due = free_sockets.min(scheduler.outbox.len());
    let batch: Vec<Name> = scheduler.outbox.drain(..due).collect();
    for machine in batch {
        let recipient = scheduler.machines.get(&machine);
        if recipient.is_some_and(|m| m.call_in_flight) {
            scheduler.outbox.insert(machine);
            continue;
        }
        if let Some((addr, call)) = scheduler.next_direct_call(&machine, now) {
            node.direct_calls.set(node.direct_calls.get() + 1);
            calls.push(OutgoingCall {
                base_term: scheduler.fence.base_term,
                machine,
                addr,
                call,
            });
        }
    }
    calls
}

/// Sends the call, and passes its result to the scheduler unless a takeover has replaced the
/// scheduler since.
async fn send(node: Rc<Node>, outgoing: OutgoingCall) {
    let OutgoingCall {
        base_term,
        machine,
        addr,
        call,
    } = outgoing;
    let result = match addr.parse() {
        Ok(addr) => match node.workers.send(addr, &call).await {
            DirectOutcome::Executed(report) => CallResult::Executed(report),
            DirectOutcome::Rejected(report) => CallResult::Rejected(report),
            DirectOutcome::NotSent => CallResult::NotSent,
            DirectOutcome::Unknown => CallResult::Unknown,
        },
        Err(_) => CallResult::NotSent,
    };
    node.direct_calls.set(node.direct_calls.get() - 1);
    let now = node.now();
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        if scheduler.fence.base_term == base_term {
            scheduler.direct_call_finished(&machine, &call, result, now);
            if scheduler.placement_due {
                scheduler.place_changed(now);
            }
        }
    }
    send_due_calls(&node);
}

/// The actor that runs the scheduler's periodic work.
pub struct Dispatcher {
    /// The controller whose scheduler this actor runs.
    pub node: Rc<Node>,
    /// Number of ticks since the actor started.
    pub ticks: u64,
}

/// Time between two ticks: a third of a heartbeat interval, but between 0.1 and 0.5 s. Work that
/// becomes due at a certain time, such as probes and lease expiry, then waits only for a short
/// time.
fn tick_interval(node: &Node) -> Duration {
    let heartbeat_s = node.settings.cluster.workers.report_s;
    Duration::from_secs_f64((heartbeat_s / 3.0).clamp(0.1, 0.5))
}

impl Dispatcher {
    /// Runs the scheduler's periodic checks, probes and placement.
    fn tick(&mut self) {
        self.ticks += 1;
        let now = self.node.now();
        self.record_loop_delay(now);
        if let Some(scheduler) = self.node.scheduler.borrow_mut().as_mut() {
            scheduler.tick(now, self.node.leadership.borrow().confirmed_at());
            scheduler.probe_unfenced(now, self.node.workers.max_concurrent_calls / 2);
            scheduler.place_all(now);
            self.log_status_and_collect_garbage(scheduler);
        }
        send_due_calls(&self.node);
    }

    /// Records by how much this tick is late, and logs a long delay with the largest amounts of
    /// work in one step.
    fn record_loop_delay(&self, now: f64) {
        let interval_s = tick_interval(&self.node).as_secs_f64();
        let mut loop_delay = self.node.loop_delay.get();
        let delay_s = loop_delay.record_tick(now, interval_s);
        self.node.loop_delay.set(loop_delay);
        if delay_s < LOGGED_LOOP_DELAY_S {
            return;
        }
        let scheduler = self.node.scheduler.borrow();
        let work = scheduler.as_ref().map(|scheduler| scheduler.work);
        tracing::warn!(delay_s, ?work, "event loop was delayed");
    }

    fn log_status_and_collect_garbage(&self, scheduler: &mut Scheduler) {
        if self.ticks.is_multiple_of(UNFENCED_LOG_TICKS) {
            if let Some(missing) = scheduler.machines_blocking_placement() {
                tracing::info!(
                    term = scheduler.term,
                    missing,
                    "machines still block placement"
                );
            }
        }
        if self.ticks.is_multiple_of(GARBAGE_COLLECTION_TICKS) {
            scheduler.collect_garbage();
            let workers = &self.node.workers;
            let (incoming_connections, worker_connections) = (
                workers.socket_budget().incoming.get(),
                workers.kept_connections(),
            );
            tracing::info!(
                incoming_connections,
                worker_connections,
                messages = ?scheduler.messages,
                "load {}",
                scheduler.load_summary()
            );
        }
    }
}

impl Actor for Dispatcher {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(tick_interval(&self.node), |this, _| this.tick());
    }
}
