//! Random samples of machines, from which the best machine for a task is chosen. Sampling two
//! machines instead of one shortens waiting times considerably, and sampling more than two
//! improves them little (section 1 of the paper named in `placement`). The size of the sample
//! is a setting.

use crate::coordination::scheduler::failed_machines::FailedMachines;
use crate::coordination::scheduler::job::{Name, TaskId};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;
use rand::Rng;

/// Maximum number of random draws per machine of a sample. Most machines with enough free CPUs
/// also have enough memory, so a few draws suffice.
const DRAWS_PER_PICK: usize = 4;

/// What to do if none of the drawn candidates is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fallback {
    /// Return an empty sample.
    None,
    /// Examine all candidates in turn, starting at a random one.
    Exhaustive,
}

/// Which machines a search accepts of those on which a task of the job failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Choice {
    /// None that the job remembers.
    First,
    /// All but those that the job must not try again yet.
    Later,
}

impl Scheduler {
    /// Samples machines with enough free capacity and returns the best of the sample; `None` if
    /// no machine is suitable. Machines that have the job's image are sampled first, and other
    /// machines only if no machine with the image is suitable. See `best_candidate` for how
    /// machines are compared.
    pub(crate) fn sample_with_capacity(
        &mut self,
        spec: &JobSpec,
        task: &TaskId,
        pools: &[usize],
        now: f64,
    ) -> Option<Name> {
        let count = self.capacity_index.count_with_cpus(pools, spec.cpus);
        if count > 0 {
            let picks = self.sample_image_holders(spec, task, pools, now);
            if let Some(best) = self.best_candidate(picks, spec) {
                return Some(best);
            }
        }
        let need = Resources::of_task(spec);
        let mut any_fits = false;
        let picks = self.sample(
            count,
            task,
            Fallback::Exhaustive,
            now,
            |scheduler, candidate| {
                let index = &scheduler.capacity_index;
                let name = index.nth_with_cpus(pools, spec.cpus, candidate)?;
                let machine = scheduler.machines.get(name)?;
                let fits = machine.free_capacity.fits(&need);
                any_fits |= fits;
                // A machine refuses to start a task while it remembers an earlier attempt of the
                // task.
                let accepts = scheduler.is_usable(machine, now) && !machine.has_attempt_of(task);
                (fits && accepts).then(|| name.clone())
            },
        );
        if !any_fits {
            // Every machine was examined and none has the capacity, so the search is not
            // repeated before the free capacity of some machine grows.
            self.capacity_index.set_exhausted(pools, need);
        }
        self.best_candidate(picks, spec)
    }

    /// Samples machines with enough free capacity that have the job's image.
    fn sample_image_holders(
        &mut self,
        spec: &JobSpec,
        task: &TaskId,
        pools: &[usize],
        now: f64,
    ) -> Vec<Name> {
        let need = Resources::of_task(spec);
        let holders = self.image_holders.remove(&spec.image).unwrap_or_default();
        let picks = self.sample(
            holders.len(),
            task,
            Fallback::None,
            now,
            |scheduler, candidate| {
                let name = holders.get(candidate)?;
                let machine = scheduler.machines.get(name)?;
                let pool = scheduler.capacity_index.pool_of(name)?;
                let fits = machine.free_capacity.fits(&need) && machine.has_image(&spec.image);
                let accepts = pools.contains(&pool)
                    && scheduler.is_usable(machine, now)
                    && !machine.has_attempt_of(task);
                (fits && accepts).then(|| name.clone())
            },
        );
        if !holders.is_empty() {
            self.image_holders.insert(spec.image.clone(), holders);
        }
        picks
    }

    /// The best of the sampled machines; `None` if the sample is empty. Machines with the job's
    /// image are preferred, then machines with a shorter queue, then machines with fewer free
    /// CPUs. Preferring fewer free CPUs keeps whole machines free for large tasks.
    fn best_candidate(&self, picks: Vec<Name>, spec: &JobSpec) -> Option<Name> {
        picks.into_iter().min_by(|a, b| {
            let (a, b) = (&self.machines[a], &self.machines[b]);
            b.has_image(&spec.image)
                .cmp(&a.has_image(&spec.image))
                .then(a.queue.len().cmp(&b.queue.len()))
                .then(a.free_capacity.cpus.total_cmp(&b.free_capacity.cpus))
        })
    }

    /// Samples machines whose queue is not full, and returns the one with the fewest queued
    /// tasks; `None` if there is no suitable machine. Queues are compared by their number of
    /// tasks, because this works well even if run times are predicted poorly (section 4.2 of
    /// the paper).
    pub(crate) fn sample_queues(
        &mut self,
        task: &TaskId,
        pools: &[usize],
        now: f64,
    ) -> Option<Name> {
        let count = self.capacity_index.count_short_queues(pools);
        let picks = self.sample(
            count,
            task,
            Fallback::Exhaustive,
            now,
            |scheduler, candidate| {
                let name = scheduler.capacity_index.nth_short_queue(pools, candidate)?;
                let machine = scheduler.machines.get(name)?;
                scheduler.is_usable(machine, now).then(|| name.clone())
            },
        );
        picks.into_iter().min_by_key(|name| {
            let machine = &self.machines[name];
            (machine.queue.len(), name.clone())
        })
    }

    /// Draws a sample of distinct machines from `count` candidates. `accept` takes the index of a
    /// candidate and returns the name of its machine, or `None` if the machine is not suitable.
    /// Machines on which a task of the job failed recently are left out; an exhaustive search that
    /// finds no other machine accepts them as well, after a pause (see `failed_machines`).
    fn sample(
        &mut self,
        count: usize,
        task: &TaskId,
        fallback: Fallback,
        now: f64,
        mut accept: impl FnMut(&Scheduler, usize) -> Option<Name>,
    ) -> Vec<Name> {
        let size = self.config.policy.sample.min(count);
        let mut picks: Vec<Name> = Vec::with_capacity(size);
        if size == 0 {
            return picks;
        }
        let failed_machines = self.recently_failed_machines(task, now);
        let mut examined = 0;
        let mut examine = |candidate: usize, picks: &[Name], choice: Choice| {
            examined += 1;
            let name = accept(self, candidate)?;
            let is_left_out = failed_machines.is_some_and(|failed_machines| {
                let machine = &self.machines[&name];
                match choice {
                    Choice::First => machine.is_remembered_by(failed_machines, now),
                    Choice::Later => machine.pauses_until(failed_machines, now).is_some(),
                }
            });
            (!is_left_out && !picks.contains(&name)).then_some(name)
        };
        let mut rng = self.rng.clone();
        for _ in 0..size * DRAWS_PER_PICK {
            if picks.len() == size {
                break;
            }
            let candidate = rng.random_range(0..count);
            picks.extend(examine(candidate, &picks, Choice::First));
        }
        let choices: &[Choice] = match (fallback, failed_machines.is_some()) {
            (Fallback::None, _) => &[],
            (Fallback::Exhaustive, false) => &[Choice::First],
            (Fallback::Exhaustive, true) => &[Choice::First, Choice::Later],
        };
        for &choice in choices {
            if !picks.is_empty() {
                break;
            }
            let first = rng.random_range(0..count);
            for step in 0..count {
                picks.extend(examine((first + step) % count, &picks, choice));
                if picks.len() == size {
                    break;
                }
            }
        }
        self.rng = rng;
        self.work.examined += examined;
        picks
    }

    /// The machines on which tasks of the job failed; `None` if no failure is recent.
    fn recently_failed_machines(&self, task: &TaskId, now: f64) -> Option<&FailedMachines> {
        let job = self.jobs.get(&task.job)?;
        let failed_machines = &job.failed_machines;
        (!failed_machines.is_empty(now)).then_some(failed_machines)
    }
}
