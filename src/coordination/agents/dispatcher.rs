//! Sends direct commands: works off the difference between what machines
//! should do and what they were told. Also drives the scheduler's clock.

use crate::coordination::agents::direct_calls::CallResult;
use crate::coordination::node::Node;
use crate::coordination::scheduler::job::Name;
use crate::transport::clients::DirectOutcome;
use actix::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Sends what the scheduler wants sent straight away.
pub fn drain(node: &Rc<Node>) {
    let now = node.now();
    let mut calls = Vec::new();
    if !node.may_answer_workers() {
        return;
    }
    if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
        let base = scheduler.fence.base_term;
        // More calls than sockets would wait for one and time out unsent,
        // which looks like a lost command.
        let spare = node.workers.sockets.saturating_sub(node.direct_calls.get());
        let due = spare.min(scheduler.outbox.len());
        let batch: Vec<Name> = scheduler.outbox.drain(..due).collect();
        for name in batch {
            if scheduler
                .machines
                .get(&name)
                .is_some_and(|m| m.call_in_flight)
            {
                scheduler.outbox.insert(name);
                continue;
            }
            if let Some((addr, call)) = scheduler.next_direct_call(&name, now) {
                node.direct_calls.set(node.direct_calls.get() + 1);
                calls.push((base, name, addr, call));
            }
        }
    }
    for (base, name, addr, call) in calls {
        let node = node.clone();
        actix_rt::spawn(async move {
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
                if scheduler.fence.base_term == base {
                    scheduler.direct_call_finished(&name, &call, result, now);
                    if scheduler.placement_due {
                        scheduler.place_changed(now);
                    }
                }
            }
            drain(&node);
        });
    }
}

/// Drives the scheduler's clock.
pub struct Dispatcher {
    pub node: Rc<Node>,
    pub beats: u64,
}

impl Actor for Dispatcher {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        // A third of a report interval: work found by time alone (ages,
        // silence, probes) then waits less than a worker's own pace.
        let report_s = self.node.settings.cluster.workers.report_s;
        let every = Duration::from_secs_f64((report_s / 3.0).clamp(0.1, 0.5));
        ctx.run_interval(every, |this, _| {
            this.beats += 1;
            let now = this.node.now();
            if let Some(scheduler) = this.node.scheduler.borrow_mut().as_mut() {
                scheduler.tick(now, this.node.leadership.borrow().confirmed_at());
                scheduler.probe_unfenced(now, this.node.workers.sockets / 2);
                scheduler.place_all(now);
                if this.beats % 4 == 0 {
                    if let Some(missing) = scheduler.unfenced_count() {
                        tracing::info!(
                            term = scheduler.term,
                            missing,
                            "machines not accounted for yet"
                        );
                    }
                }
                if this.beats % 32 == 0 {
                    scheduler.collect_garbage();
                    let workers = &this.node.workers;
                    let (open, kept) = (workers.share().incoming.get(), workers.kept());
                    tracing::info!(open, kept, "load {}", scheduler.summary());
                }
            }
            drain(&this.node);
        });
    }
}
