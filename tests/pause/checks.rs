//! The checks after each event, and the digest of the history.

use super::*;

impl Simulation {
    pub(crate) fn check(&self, seed: u64) {
        let is_awake = |controller: &&Controller| {
            controller.paused_until <= self.now && controller.down_until <= self.now
        };
        let fenced_term = |controller: &Controller| {
            let acting = controller.acting?;
            acting
                .former_leaders_stopped_since
                .map(|_| acting.base_term)
        };
        let awake = self.controllers.iter().filter(is_awake);
        let highest_fenced = awake.filter_map(fenced_term).max();
        for (node, controller) in self.controllers.iter().enumerate() {
            let Some(acting) = controller.acting.filter(|_| is_awake(&controller)) else {
                continue;
            };
            let context = format!("seed {seed}, {:.2}: {}", self.now, host_name(node));
            let base_term = acting.base_term;
            let answers = controller
                .leadership
                .may_answer_workers(self.local_time(node));
            assert!(
                !answers || highest_fenced.is_none_or(|term| term <= base_term),
                "{context} answers workers under term {base_term}, although the leader of term \
                 {highest_fenced:?} assumes that former leaders have stopped answering",
            );
            let unknown = self.unknown_cancellation(controller);
            assert!(
                !answers || unknown.is_none(),
                "{context} answers workers without knowing the confirmed cancellation of job \
                 {unknown:?}",
            );
            Self::check_acting_term(controller, &context);
            self.check_confirmation(controller, base_term, &context);
        }
    }

    /// A job whose cancellation the controller should know but does not know; `None` if there is
    /// none. A leader that answers workers must know each cancellation that was confirmed longer
    /// ago than the staleness bound.
    fn unknown_cancellation(&self, controller: &Controller) -> Option<u64> {
        let must_be_known_before = self.now - self.staleness_bound_s * 1.002 - 0.01;
        let newest_first = self.confirmed.iter().rev();
        let must_be_known = newest_first
            .skip_while(|cancellation| cancellation.confirmed_at >= must_be_known_before);
        must_be_known
            .take(9)
            .map(|cancellation| cancellation.job)
            .find(|job| !controller.known_cancellations.contains(job))
    }

    /// Checks that no leader acts under a lower term than that of its own shard record: under
    /// such a term no controller would extend its lease.
    fn check_acting_term(controller: &Controller, context: &str) {
        let leadership = &controller.leadership;
        let own_shard = leadership
            .own_shard_version()
            .and(leadership.view.shard.as_ref());
        let own_term = own_shard.map(|(shard, _)| shard.term);
        let acting_term = leadership.acting_term();
        assert!(
            own_term <= acting_term,
            "{context} acts under term {acting_term:?}, but its shard record has term {own_term:?}",
        );
    }

    /// Checks that no confirmation of the leadership is dated after the takeover by which the
    /// shard was lost.
    fn check_confirmation(&self, controller: &Controller, base_term: u64, context: &str) {
        let later_takeovers = self
            .takeovers
            .iter()
            .filter(|takeover| takeover.term > base_term);
        let lost_at = later_takeovers
            .map(|takeover| takeover.carried_out_at)
            .fold(f64::MAX, f64::min);
        let confirmed_at = (controller.leadership.confirmed_at() - controller.clock_offset_s)
            / (1.0 + controller.clock_drift);
        assert!(
            confirmed_at <= lost_at + 1e-3,
            "{context} of term {base_term} dates its confirmation at {confirmed_at:.2}, but lost \
             the shard at {lost_at:.2}",
        );
    }

    /// The controllers that would answer workers as leader now.
    pub(crate) fn answering_leaders(&self) -> impl Iterator<Item = &Controller> {
        let answers = |(node, controller): &(usize, &Controller)| {
            let now = self.local_time(*node);
            controller.acting.is_some() && controller.leadership.may_answer_workers(now)
        };
        let controllers = self.controllers.iter().enumerate();
        controllers
            .filter(answers)
            .map(|(_, controller)| controller)
    }

    /// Checks that at the end exactly one leader answers workers and knows that all former leaders
    /// have stopped answering workers.
    pub(crate) fn check_one_leader(&self, seed: u64) {
        let leaders = self.answering_leaders().filter(|controller| {
            controller
                .acting
                .is_some_and(|acting| acting.former_leaders_stopped_since.is_some())
        });
        assert_eq!(
            leaders.count(),
            1,
            "seed {seed}: number of leaders at the end"
        );
    }

    /// Adds each controller's own leadership state to the digest.
    pub(crate) fn record(&mut self) {
        self.digest.time(self.now);
        self.digest.number(self.events.len() as u64);
        for node in 0..self.controllers.len() {
            let now = self.local_time(node);
            let leadership = &self.controllers[node].leadership;
            let may_answer = u64::from(leadership.may_answer_workers(now));
            let certain = u64::from(leadership.is_confirmed_leader(now));
            self.digest.number(2 * may_answer + certain);
            self.digest.number(leadership.acting_term().unwrap_or(0));
            self.digest.number(leadership.incarnation());
            self.digest.time(leadership.confirmed_at());
        }
    }
}
