//! Cancellations at chosen moments: while a job runs, with its machine hanging, and as it ends.

use super::Simulation;
use super::events::Event;
use super::users::Stage;
use super::workers::Worker;
use rand::RngExt;

/// How many machines hang at most as their jobs are cancelled.
const MOST_HANGS: usize = 8;

/// A user whose job runs, and the first machine that it runs on.
struct RunningJob {
    user: usize,
    machine: usize,
}

impl Simulation {
    /// A job's task has completed; if it was the last, close reads and a cancellation may follow.
    pub(super) fn task_completed(&mut self, id: &str) {
        if !self.rules.all_done(id) {
            return;
        }
        let Some(user) = self.users.iter().position(|user| user.id == id) else { return };
        if self.faults.close_reads {
            self.read_closely(user);
        }
        if self.faults.cancel_at_end > 0.0
            && self.users[user].stage == Stage::Polling
            && self.rng.random_bool(self.faults.cancel_at_end)
        {
            self.count("cancelled at the end");
            self.cancel_within(user, 3);
        }
    }

    /// A user cancels its job within so many milliseconds.
    fn cancel_within(&mut self, user: usize, within_ms: u64) {
        let at = self.now + self.rng_ms(0, within_ms);
        self.users[user].cancel_at = Some(at);
        self.at(at, Event::User(user));
    }

    /// Users cancel up to `count` jobs that run; machines of some of them hang for `hang_ms`, if that is not 0.
    pub(super) fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let mut hangs_left = if hang_ms > 0 { MOST_HANGS } else { 0 };
        for RunningJob { user, machine } in self.running_jobs(count) {
            self.count("cancelled now");
            self.cancel_within(user, 200);
            if hangs_left > 0 && self.workers[machine].hung_until <= self.now {
                hangs_left -= 1;
                self.count("cancelled and hung");
                self.workers[machine].hung_until = self.now + hang_ms;
            }
        }
    }

    /// The first `count` jobs that run and that nobody means to cancel.
    fn running_jobs(&self, count: usize) -> Vec<RunningJob> {
        let machine_of = |id: &str| {
            let runs_job =
                |worker: &Worker| worker.tasks.iter().any(|task| task.job() == id && task.present());
            self.workers.iter().position(runs_job)
        };
        let users = self.users.iter().enumerate();
        users
            .filter(|(_, user)| user.stage == Stage::Polling && user.cancel_at.is_none())
            .filter_map(|(index, user)| Some(RunningJob { user: index, machine: machine_of(&user.id)? }))
            .take(count)
            .collect()
    }
}
