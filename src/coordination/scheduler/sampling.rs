//! Random samples of machines, of which a task takes the best: two choices in place of one
//! shorten waits a lot, more choices hardly more (the paper's section 1). The size of the
//! sample is a setting.

use crate::coordination::scheduler::job::{Name, Names, TaskId};
use crate::coordination::scheduler::resources::Resources;
use crate::coordination::scheduler::state::Scheduler;
use crate::protocol::job::JobSpec;
use rand::Rng;

/// Draws for each machine of a sample: candidates are drawn by free CPUs alone, and most
/// of them have the memory too.
const DRAWS_PER_PICK: usize = 4;

/// What to do if no drawn candidate is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fallback {
    /// Nothing.
    None,
    /// Examine all candidates, from a random one on.
    Exhaustive,
}

impl Scheduler {
    /// Samples machines with enough free capacity, first among those that have the image,
    /// and takes the best of the sample: one that has the image, then the one with the
    /// shorter queue, then the tighter fit, which leaves whole machines to large tasks.
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
        let picks = self.sample(count, task, pools, Fallback::Exhaustive, |scheduler, at| {
            let index = &scheduler.capacity_index;
            let name = index.nth_with_cpus(pools, spec.cpus, at)?;
            let machine = scheduler.machines.get(name)?;
            let fits = machine.free_capacity.fits(&need);
            any_fits |= fits;
            // An attempt that the machine has not forgotten yet would refuse the start.
            let accepts = scheduler.is_usable(machine, now) && !machine.has_attempt_of(task);
            (fits && accepts).then(|| name.clone())
        });
        if !any_fits {
            // Every machine was examined: not again before one has more free capacity.
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
            pools,
            Fallback::None,
            |scheduler, at| {
                let name = holders.get(at)?;
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

    fn best_candidate(&self, picks: Vec<Name>, spec: &JobSpec) -> Option<Name> {
        picks.into_iter().min_by(|a, b| {
            let (a, b) = (&self.machines[a], &self.machines[b]);
            b.has_image(&spec.image)
                .cmp(&a.has_image(&spec.image))
                .then(a.queue.len().cmp(&b.queue.len()))
                .then(a.free_capacity.cpus.total_cmp(&b.free_capacity.cpus))
        })
    }

    /// Samples machines with a place in their queue, and takes the shorter queue by count of
    /// tasks (the paper's section 4.2: robust where predictions are poor).
    pub(crate) fn sample_queues(
        &mut self,
        task: &TaskId,
        pools: &[usize],
        now: f64,
    ) -> Option<Name> {
        let count = self.capacity_index.count_short_queues(pools);
        let picks = self.sample(count, task, pools, Fallback::Exhaustive, |scheduler, at| {
            let name = scheduler.capacity_index.nth_short_queue(pools, at)?;
            let machine = scheduler.machines.get(name)?;
            scheduler.is_usable(machine, now).then(|| name.clone())
        });
        picks.into_iter().min_by_key(|name| {
            let machine = &self.machines[name];
            (machine.queue.len(), name.clone())
        })
    }

    /// Draws a sample of different machines among `count` candidates, each as `accept` gives
    /// it; a machine on which a task of the job failed is taken only if it has failed on all
    /// machines of the pools.
    fn sample(
        &mut self,
        count: usize,
        task: &TaskId,
        pools: &[usize],
        fallback: Fallback,
        mut accept: impl FnMut(&Scheduler, usize) -> Option<Name>,
    ) -> Vec<Name> {
        let size = self.config.policy.sample.min(count);
        let mut picks: Vec<Name> = Vec::with_capacity(size);
        if size == 0 {
            return picks;
        }
        let failed_on = self.machines_to_avoid(task, pools);
        let mut examine = |at: usize, picks: &[Name]| {
            accept(self, at).filter(|name| {
                !picks.contains(name) && failed_on.is_none_or(|failed| !failed.contains(name))
            })
        };
        let mut rng = self.rng.clone();
        for _ in 0..size * DRAWS_PER_PICK {
            if picks.len() == size {
                break;
            }
            let at = rng.random_range(0..count);
            picks.extend(examine(at, &picks));
        }
        if picks.is_empty() && fallback == Fallback::Exhaustive {
            let from = rng.random_range(0..count);
            for step in 0..count {
                picks.extend(examine((from + step) % count, &picks));
                if picks.len() == size {
                    break;
                }
            }
        }
        self.rng = rng;
        picks
    }

    /// Machines on which tasks of the job failed, unless there are no others.
    fn machines_to_avoid(&self, task: &TaskId, pools: &[usize]) -> Option<&Names> {
        let failed_on = self.jobs.get(&task.job).map(|job| &job.failed_on)?;
        if failed_on.is_empty() {
            return None;
        }
        let usable = |&at: &usize| self.capacity_index.pool(at).usable();
        let usable: usize = pools.iter().map(usable).sum();
        (failed_on.len() < usable).then_some(failed_on)
    }
}
