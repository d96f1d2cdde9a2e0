//! The fleet: rents what is wanted, returns what is broken, silent or idle.

use crate::coordination::fleet::scale_out::{wanted, Demand, Offer};
use crate::coordination::node::Node;
use crate::coordination::scheduler::machine::MachineStatus;
use crate::protocol::cloud::{Listed, ListedState, Rental, TypeList};
use crate::protocol::state::Txn;
use crate::storage::records::{self, MachineInfo};
use crate::transport::clients::{Failure, Lane};
use actix::prelude::*;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// Keeps the fleet.
pub struct FleetManager {
    pub node: Rc<Node>,
}

/// What the loop remembers.
#[derive(Default)]
struct FleetState {
    /// Rented and not reporting yet, since when.
    booting: HashMap<String, (MachineInfo, f64)>,
    /// Offers refused: not before this time.
    sold_out: HashMap<Offer, (f64, f64)>,
    /// To be returned until the cloud says so.
    returning: BTreeSet<String>,
    next_booking: u64,
    listed_at: f64,
    cloud_list: Vec<Listed>,
}

impl Actor for FleetManager {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let node = self.node.clone();
        actix_rt::spawn(async move { keep_types(node).await });
        let node = self.node.clone();
        actix_rt::spawn(async move {
            let mut books = FleetState::default();
            let mut base = 0;
            loop {
                // Silent machines hold up all placing after a takeover.
                let gate = node
                    .scheduler
                    .borrow()
                    .as_ref()
                    .is_none_or(|c| c.fence.open);
                let pause = if gate { 1.0 } else { 0.25 };
                actix_rt::time::sleep(Duration::from_secs_f64(pause)).await;
                let term = node.scheduler.borrow().as_ref().map(|c| c.fence.base_term);
                // Only while nobody can have taken the share: a deposed owner
                // would see all machines go silent and return them.
                let Some(term) = term.filter(|_| node.is_certain_leader()) else {
                    continue;
                };
                if term != base {
                    base = term;
                    books = FleetState {
                        next_booking: books.next_booking,
                        ..FleetState::default()
                    };
                }
                round(&node, &mut books).await;
            }
        });
    }
}

/// Learns the machine types, and keeps them where a restart finds them.
async fn keep_types(node: Rc<Node>) {
    loop {
        let known = node.leadership.borrow().view.types.is_some();
        let owner = node.scheduler.borrow().is_some();
        if !known || owner {
            if let Ok(list) = node.cloud.types().await {
                let news = node
                    .leadership
                    .borrow()
                    .view
                    .types
                    .as_ref()
                    .is_none_or(|old| {
                        // Prices wander; only what decides a fit is news.
                        old.len() != list.types.len()
                            || old.iter().zip(&list.types).any(|(a, b)| {
                                a.name != b.name
                                    || a.cpus != b.cpus
                                    || a.gpus != b.gpus
                                    || a.memory_gb != b.memory_gb
                                    || a.zones != b.zones
                            })
                    });
                node.leadership.borrow_mut().view.types = Some(list.types.clone());
                if news {
                    let value = TypeList {
                        types: list.types.clone(),
                    };
                    let txn = Txn::default().put(records::TYPES_KEY, &value);
                    if node.state.txn(&txn, Lane::Control).await.is_err() {
                        node.leadership.borrow_mut().view.types = None;
                    }
                }
            }
        }
        if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
            if scheduler.types.is_empty() {
                if let Some(types) = &node.leadership.borrow().view.types {
                    scheduler.set_types(types);
                }
            }
        }
        let known = node.leadership.borrow().view.types.is_some();
        let pause = if known { 30.0 } else { 1.0 };
        actix_rt::time::sleep(Duration::from_secs_f64(pause)).await;
    }
}

async fn round(node: &Rc<Node>, books: &mut FleetState) {
    let lag = node.settings.cluster.cloud.list_lag_s;
    let gate = node
        .scheduler
        .borrow()
        .as_ref()
        .is_some_and(|c| c.fence.open);
    if gate && node.now() - books.listed_at > lag / 2.0 {
        if let Ok(list) = node.cloud.machines().await {
            books.listed_at = node.now();
            books.cloud_list = list;
            compare(node, books);
        }
    }
    give_back(node, books).await;
    // Calls to rent take their time, and the share waits for what is returned.
    if gate {
        rent(node, books).await;
    }
}

/// Compares the machine list with what we know.
fn compare(node: &Rc<Node>, books: &mut FleetState) {
    let now = node.now();
    let mut scheduler = node.scheduler.borrow_mut();
    let Some(scheduler) = scheduler.as_mut() else {
        return;
    };
    let lease = scheduler.config.lease_s;
    let cut = scheduler.partitioned_zones(now);
    for listed in &books.cloud_list {
        let boot_s = scheduler.types.get(&listed.kind).map_or(60.0, |t| t.boot_s);
        let machine = scheduler.machines.get(listed.id.as_str());
        let give_up = match listed.state {
            ListedState::Failed => true,
            // Up to 1.5 times is usual; some take several times as long.
            ListedState::Booting => machine.is_none() && listed.age_s > 4.0 * boot_s,
            ListedState::Running => {
                machine.is_some_and(|m| {
                    // Past its lease nothing is lost by waiting a while for a
                    // cut to end; after twice a boot a new one would be up,
                    // but not where the whole zone is cut off.
                    // Nor where an operator switched it off.
                    // One that hears nobody is as good as silent.
                    let after_s = 2.0 * lease + boot_s;
                    let silent = m.status == MachineStatus::Expired && now - m.heard_at > after_s;
                    (silent || m.is_unreachable(now, after_s))
                        && !m.cordoned
                        && !cut.contains(&m.info.zone)
                })
            }
        };
        if give_up {
            books.returning.insert(listed.id.clone());
        }
        if listed.state == ListedState::Booting && machine.is_none() {
            let info = MachineInfo {
                id: listed.id.clone(),
                addr: String::new(),
                kind: listed.kind.clone(),
                zone: listed.zone.clone(),
                spot: listed.spot,
            };
            books
                .booting
                .entry(listed.id.clone())
                .or_insert((info, now - listed.age_s));
        }
    }
    let gone: Vec<String> = scheduler
        .machines
        .iter()
        .filter(|(n, m)| {
            m.status == MachineStatus::Expired
                && now - m.heard_at > 4.0 * node.settings.cluster.cloud.list_lag_s
                && !books.cloud_list.iter().any(|l| l.id == ***n)
        })
        .map(|(n, _)| n.to_string())
        .collect();
    for name in gone {
        scheduler.remove_machine(&name);
    }
}

/// Returns machines; only the cloud's 200 proves them gone.
async fn give_back(node: &Rc<Node>, books: &mut FleetState) {
    let now = node.now();
    {
        let mut scheduler = node.scheduler.borrow_mut();
        let Some(scheduler) = scheduler.as_mut() else {
            return;
        };
        retire_idle(node, scheduler, now);
        books.returning.extend(scheduler.machines_given_up(now));
        for (name, m) in &scheduler.machines {
            // A draining machine may save first, but not for ever.
            let empty = m.live_attempts().next().is_none();
            if m.status == MachineStatus::Draining && (empty || now - m.idle_since > 60.0) {
                books.returning.insert(name.to_string());
            }
        }
        for name in &books.returning {
            scheduler.retire_machine(name);
        }
    }
    if books.returning.is_empty() {
        return;
    }
    let names: Vec<String> = books.returning.iter().take(100).cloned().collect();
    if node.cloud.give_back(names.clone()).await.is_ok() {
        tracing::info!(machines = ?names, "returned");
        if let Some(scheduler) = node.scheduler.borrow_mut().as_mut() {
            for name in &names {
                scheduler.confirm_machine_returned(name);
            }
        }
        for name in names {
            books.returning.remove(&name);
            books.booting.remove(&name);
            books.cloud_list.retain(|l| l.id != name);
        }
        crate::coordination::agents::dispatcher::drain(node);
    }
}

/// Drains one machine that has been idle for long while much is free.
fn retire_idle(
    node: &Rc<Node>,
    scheduler: &mut crate::coordination::scheduler::state::Scheduler,
    now: f64,
) {
    let used: f64 = scheduler.usage().cpus();
    let waiting = scheduler.jobs.values().any(|j| j.waiting_tasks() > 0);
    let have: f64 = scheduler
        .machines
        .values()
        .filter(|m| m.status == MachineStatus::Up && !m.cordoned)
        .filter_map(|m| scheduler.types.get(&m.info.kind))
        .map(|t| t.cpus)
        .sum();
    if waiting || used * (1.0 + 2.0 * node.policy.headroom) > have {
        return;
    }
    let idle = scheduler
        .machines
        .iter()
        .filter(|(_, m)| m.status == MachineStatus::Up && !m.cordoned)
        .filter(|(_, m)| m.attempts.is_empty() && m.queue.is_empty())
        .find(|(_, m)| {
            let boot_s = scheduler.types.get(&m.info.kind).map_or(60.0, |t| t.boot_s);
            now - m.idle_since > node.policy.idle_boots * boot_s
        })
        .map(|(n, _)| n.clone());
    if let Some(name) = idle {
        scheduler.retire_machine(&name);
    }
}

/// Rents what is wanted.
async fn rent(node: &Rc<Node>, books: &mut FleetState) {
    let now = node.now();
    let plan = {
        let scheduler = node.scheduler.borrow();
        let Some(scheduler) = scheduler.as_ref() else {
            return;
        };
        if scheduler.types.is_empty() {
            return;
        }
        let types = &scheduler.types;
        books.booting.retain(|id, (info, since)| {
            let boot_s = types.get(&info.kind).map_or(60.0, |t| t.boot_s);
            // A machine that takes this long is no help to count on.
            !scheduler.machines.contains_key(id.as_str()) && now - *since < 2.0 * boot_s
        });
        let mut demand = Demand {
            used_cpus: scheduler.usage().cpus(),
            ..Demand::default()
        };
        for job in scheduler.jobs.values() {
            let n = job.unplaced_tasks();
            if !job.finished && n > 0 {
                demand.waiting.push((job.spec.clone(), n));
            }
        }
        let cut = scheduler.partitioned_zones(now);
        let deaf_s = scheduler.config.silent_s();
        demand.have_cpus = scheduler
            .machines
            .values()
            .filter(|m| {
                m.status == MachineStatus::Up && !m.cordoned && !m.is_unreachable(now, deaf_s)
            })
            .map(|m| &m.info)
            .chain(books.booting.values().map(|b| &b.0))
            .filter(|info| !cut.contains(&info.zone))
            .filter_map(|info| types.get(&info.kind))
            .map(|t| t.cpus)
            .sum();
        wanted(&demand, types, node.policy.headroom, |offer| {
            books.sold_out.get(offer).is_none_or(|c| now >= c.0) && !cut.contains(&offer.zone)
        })
    };
    for (offer, count) in plan {
        books.next_booking += 1;
        let rental = Rental {
            request: format!(
                "{}-{:x}-{}",
                node.settings.host_name,
                node.leadership.borrow().incarnation(),
                books.next_booking
            ),
            kind: offer.kind.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
        };
        let given = match node.cloud.rent(&rental).await {
            Ok(names) => names.machines,
            Err(Failure::Refused) => Vec::new(),
            Err(error) => {
                // It may come true later: unexpected machines are adopted.
                tracing::info!(%error, "rental without an answer");
                Vec::new()
            }
        };
        if (given.len() as u32) < count {
            // Sold out: ask again after a boot time or so, then more rarely.
            let first = node.settings.cluster.cloud.list_lag_s;
            let pause = books
                .sold_out
                .get(&offer)
                .map_or(first, |c| (c.1 * 1.5).min(first * 4.0));
            books.sold_out.insert(offer.clone(), (now + pause, pause));
        } else {
            books.sold_out.remove(&offer);
        }
        if !given.is_empty() {
            tracing::info!(kind = %offer.kind, zone = %offer.zone, spot = offer.spot, asked = count, got = given.len(), "rented");
        }
        for id in given {
            let info = MachineInfo {
                id: id.clone(),
                addr: String::new(),
                kind: offer.kind.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
            };
            books.booting.insert(id, (info, now));
        }
    }
}
