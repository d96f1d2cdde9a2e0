//! Machines that operators set aside. A drain is a record in the state service,
//! written before anything is done about it; what is here works out, at each
//! beat, the difference between that wish and what is on the machine.
//!
//! - Nothing new starts on a machine that is set aside, from the moment its
//!   record is known; the next owner reads the records before it places.
//! - What runs there may finish in time, else it is moved, least loss first and
//!   a quarter of it at once, unless that would lose an aim which staying keeps.
//! - The machine is *drained* once it is proven empty, as in fencing, and the
//!   proof is recorded. It holds as long as the drain's record stands, since no
//!   owner starts anything there: so a machine that is switched off then holds
//!   up no takeover, and is not given back to the cloud.

use crate::coordination::scheduler::capacity::Resources;
use crate::coordination::scheduler::job::{AttemptId, Job, Name};
use crate::coordination::scheduler::machine::{Attempt, Machine, MachineStatus};
use crate::coordination::scheduler::preemption::loss;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::admin::{Drain, DrainRow, DrainState, Drained, Proof, Rest};
use crate::protocol::job::Shape;
use std::collections::HashMap;

/// One machine's drain as its owner carries it out.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainTarget {
    pub drain: Drain,
    /// Version of its record.
    pub version: u64,
    /// Its deadline in our steady time.
    deadline_at: Option<f64>,
}

/// What becomes of an attempt on a machine that is set aside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum DrainDecision {
    /// It ends by itself in time.
    Finishes,
    /// It is stopped and runs elsewhere: what that loses, in CPU seconds, and
    /// the grace to stop it with.
    Moves { lost: f64, grace_s: f64 },
    /// It stays for now, for this reason.
    Stays(&'static str),
}

/// What the verdict on an attempt follows from.
#[derive(Debug, Clone, Copy)]
pub struct AttemptOutlook {
    /// A replica that never ends by itself.
    pub endless: bool,
    pub ran_s: f64,
    pub predicted_s: f64,
    /// What it loses when it is stopped: CPU seconds, and the grace.
    pub loss: (f64, f64),
    /// How much longer it would run elsewhere.
    pub rerun_s: f64,
    /// Until its aims are due, nearest first.
    pub due_s: [Option<f64>; 2],
    /// Until the drain's deadline.
    pub until_deadline_s: Option<f64>,
    pub rest: Rest,
    /// Another machine may run it, and one has room for it now.
    pub elsewhere: (bool, bool),
}

/// How long an attempt still runs. One that has outrun its prediction is
/// expected to take as long again as it has taken.
fn remaining_s(predicted_s: f64, ran_s: f64) -> f64 {
    if ran_s < predicted_s {
        predicted_s - ran_s
    } else {
        ran_s
    }
}

/// The rule of a drain.
pub fn verdict(look: &AttemptOutlook) -> DrainDecision {
    let rest_s = remaining_s(look.predicted_s, look.ran_s);
    let moves = DrainDecision::Moves {
        lost: look.loss.0,
        grace_s: look.loss.1,
    };
    let over = look.until_deadline_s.is_some_and(|left| left <= 0.0);
    if over && look.rest == Rest::Stop {
        return moves;
    }
    if !look.endless && look.until_deadline_s.is_none_or(|left| rest_s <= left) {
        return DrainDecision::Finishes;
    }
    match look.elsewhere {
        (false, _) => return DrainDecision::Stays("no other machine may run it"),
        (_, false) => return DrainDecision::Stays("waits for room elsewhere"),
        _ => {}
    }
    let kept = |due: &f64| !look.endless && rest_s <= *due && *due < look.rerun_s;
    if look.due_s.iter().flatten().any(kept) {
        return DrainDecision::Stays("would miss its deadline elsewhere");
    }
    moves
}

/// Stands for a record that we cannot read: the machine is set aside, and
/// nothing is stopped.
pub fn unreadable(host: &str) -> Drain {
    Drain {
        host: host.into(),
        order: String::new(),
        by: String::new(),
        why: "a record that this version cannot read".into(),
        at_ms: 0,
        deadline_ms: None,
        rest: Rest::Leave,
        drained: None,
        roll: None,
    }
}

impl Scheduler {
    /// Whether the machine is set aside and recorded as proven empty.
    pub(crate) fn is_drained(&self, name: &str) -> bool {
        let wish = self.drains.get(name);
        wish.is_some_and(|w| w.drain.drained.is_some())
    }

    /// Takes in the records of all drains.
    pub fn set_drains(&mut self, wanted: &HashMap<String, (Drain, u64)>) {
        let ended: Vec<Name> = self
            .drains
            .keys()
            .filter(|n| !wanted.contains_key(&***n))
            .cloned()
            .collect();
        for name in ended {
            self.drains.swap_remove(&name);
            if let Some(m) = self.machines.get_mut(&name) {
                tracing::info!(machine = %name, term = self.term, "back in use");
                m.cordoned = false;
                m.idle_since = self.now;
            }
            self.update_capacity(&name);
            self.placement_due = true;
        }
        let mut hosts: Vec<&String> = wanted.keys().collect();
        hosts.sort();
        for host in hosts {
            let (drain, version) = &wanted[host];
            let known = self.drains.get(host.as_str()).map(|w| w.version);
            if known == Some(*version) {
                continue;
            }
            let deadline = drain
                .deadline_ms
                .map(|ms| ms as f64 / 1000.0 - self.wall_clock_offset_s);
            let wish = DrainTarget {
                drain: drain.clone(),
                version: *version,
                deadline_at: deadline,
            };
            self.drains.insert(host.as_str().into(), wish);
            self.cordon(host);
        }
    }

    /// Nothing new on the machine from now on; what it was told to start but is
    /// not seen to have is stopped, lest a repeated command starts it later.
    fn cordon(&mut self, host: &str) {
        let Some((name, m)) = self.machines.get_key_value(host) else {
            return;
        };
        let name = name.clone();
        let unseen: Vec<AttemptId> = m
            .live_attempts()
            .filter(|(_, a)| a.phase.is_none())
            .map(|(k, _)| k.clone())
            .collect();
        if let Some(m) = self.machines.get_mut(&name) {
            if m.cordoned {
                return;
            }
            m.cordoned = true;
            m.repeatable_tasks = None;
        }
        tracing::info!(machine = %name, term = self.term, "set aside");
        self.clear_queue(&name);
        for key in &unseen {
            self.stop_attempt(&name, key, 0.0);
        }
        self.remove_unstarted(&name);
        self.placement_due = true;
    }

    /// What the verdict on an attempt follows from; `None` for one whose job is
    /// over, which is being stopped anyway.
    fn attempt_outlook(
        &self,
        m: &Machine,
        wish: &DrainTarget,
        key: &AttemptId,
        a: &Attempt,
    ) -> Option<AttemptOutlook> {
        let job = self.jobs.get(&key.task.job).filter(|j| !j.finished)?;
        let now = self.now;
        let ran_s = a.running_since.map_or(0.0, |t| now - t);
        let predicted_s = self.predict(job);
        let spec = &job.spec;
        let lost = loss(spec, ran_s, false);
        // Elsewhere it fetches its image, and does again what it did not save.
        let fetch_s = self
            .types
            .get(&m.info.kind)
            .map_or(0.0, |t| spec.image_gb / t.fetch_gb_per_s.max(1e-3));
        let kept_s = if spec.checkpoint_s > 0.0 {
            ran_s - ran_s % spec.checkpoint_s
        } else {
            0.0
        };
        let again_s = fetch_s + lost.1 + (predicted_s - kept_s).max(0.0);
        let zones = self.zone_constraint(job);
        let pools = self
            .capacity_index
            .pools_for(spec, &self.types, |z| zones.allows(z));
        let need = Resources::of_task(spec);
        let room = self.capacity_index.count_with_cpus(&pools, spec.cpus) > 0
            && !self.capacity_index.is_exhausted(&pools, &need);
        Some(AttemptOutlook {
            endless: spec.shape == Shape::Service,
            ran_s,
            predicted_s,
            loss: lost,
            rerun_s: again_s,
            due_s: self.next_due_times(job, now),
            until_deadline_s: wish.deadline_at.map(|d| d - now),
            rest: wish.drain.rest,
            elsewhere: (!pools.is_empty(), room),
        })
    }

    /// What becomes of each attempt on the machine that is not being stopped.
    fn drain_decisions(&self, m: &Machine, wish: &DrainTarget) -> Vec<(AttemptId, DrainDecision)> {
        m.live_attempts()
            .filter(|(_, a)| a.stop_grace_s.is_none())
            .filter_map(|(key, a)| {
                let look = self.attempt_outlook(m, wish, key, a)?;
                Some((key.clone(), verdict(&look)))
            })
            .collect()
    }

    /// Works off what is on machines that are set aside.
    pub(crate) fn advance_drains(&mut self, _now: f64) {
        if self.drains.is_empty() || !self.fence.open {
            return;
        }
        let names: Vec<Name> = self.drains.keys().cloned().collect();
        for name in names {
            let (Some(m), Some(wish)) = (self.machines.get(&name), self.drains.get(&name)) else {
                continue;
            };
            if m.status != MachineStatus::Up || !m.fenced || m.attempts.is_empty() {
                continue;
            }
            let over =
                wish.deadline_at.is_some_and(|d| self.now >= d) && wish.drain.rest == Rest::Stop;
            let holding = m.live_attempts().count();
            let stopping = m
                .live_attempts()
                .filter(|(_, a)| a.stop_grace_s.is_some())
                .count();
            // A quarter at once: the next ones are weighed with the room that is
            // left when these have found theirs.
            let most = if over { holding } else { holding.div_ceil(4) };
            let mut moves: Vec<(f64, f64, AttemptId)> = self
                .drain_decisions(m, wish)
                .into_iter()
                .filter_map(|(key, v)| match v {
                    DrainDecision::Moves { lost, grace_s } => Some((lost, grace_s, key)),
                    _ => None,
                })
                .collect();
            moves.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.2.cmp(&b.2)));
            for (lost, grace_s, key) in moves.into_iter().take(most.saturating_sub(stopping)) {
                tracing::info!(task = %key.task.wire(), machine = %name, lost, "moved off a drained machine");
                self.stop_attempt(&name, &key, grace_s);
            }
        }
    }

    /// What proves the machine empty now, and its session.
    fn proof_of_emptiness(&self, m: &Machine) -> Option<Proof> {
        if !m.cordoned || !m.attempts.is_empty() || m.unknown_attempts > 0 {
            return None;
        }
        match m.status {
            MachineStatus::Expired => Some(Proof::LeaseOver),
            MachineStatus::Up | MachineStatus::Draining if m.fenced => Some(Proof::Reported),
            _ => None,
        }
    }

    /// Drains whose machine is proven empty while their record does not say so
    /// yet: the record to write, and the version that it replaces.
    pub fn proven_drains(&self, now_ms: u64, most: usize) -> Vec<(Drain, u64)> {
        if !self.fence.open {
            return Vec::new();
        }
        let proven = self.drains.iter().filter_map(|(name, wish)| {
            let m = self.machines.get(name)?;
            let proof = self
                .proof_of_emptiness(m)
                .filter(|_| wish.drain.drained.is_none())?;
            let drained = Some(Drained {
                at_ms: now_ms,
                term: self.term,
                proof,
                session: m.last_message.session,
            });
            let drain = wish.drain.clone();
            Some((Drain { drained, ..drain }, wish.version))
        });
        // An unreadable record is not ours to overwrite.
        proven
            .filter(|d| !d.0.order.is_empty())
            .take(most)
            .collect()
    }

    /// All drains with their progress, by machine.
    pub fn drain_rows(&self, now: f64) -> Vec<DrainRow> {
        let mut rows: Vec<DrainRow> = self
            .drains
            .iter()
            .map(|(name, wish)| {
                let m = self.machines.get(name);
                let tasks = m.map_or(0, |m| m.live_attempts().count() as u32);
                let stays = m.map_or(Vec::new(), |m| self.drain_decisions(m, wish));
                let stays = stays.into_iter().find_map(|(key, v)| match v {
                    DrainDecision::Stays(why) => Some(format!("{}: {why}", key.task.wire())),
                    _ => None,
                });
                let late = wish.deadline_at.is_some_and(|d| now > d);
                let state = match m {
                    None if self.fence.open => DrainState::Gone,
                    _ if wish.drain.drained.is_some() && tasks == 0 => DrainState::Drained,
                    _ if late => DrainState::Overdue,
                    _ => DrainState::Draining,
                };
                DrainRow {
                    drain: wish.drain.clone(),
                    state,
                    tasks,
                    stays: stays.unwrap_or_default(),
                }
            })
            .collect();
        rows.sort_by(|a, b| a.drain.host.cmp(&b.drain.host));
        rows
    }

    /// Until the job's next aims are due, nearest first: two, since the nearest
    /// is often lost already.
    fn next_due_times(&self, job: &Job, now: f64) -> [Option<f64>; 2] {
        let mut dues: Vec<f64> = self.due_times(job, now).filter(|d| *d > 0.0).collect();
        dues.sort_by(f64::total_cmp);
        [dues.first().copied(), dues.get(1).copied()]
    }
}
