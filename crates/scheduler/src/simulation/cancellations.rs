//! Cancellations at chosen moments: while a job runs, while its machine hangs, and as the job completes.

use super::Simulation;
use super::events::Event;
use super::users::Stage;
use super::workers::Worker;
use rand::RngExt;

/// The largest number of machines that hang when their jobs are cancelled.
const MAX_HANGS: usize = 8;

/// A user whose job is running, and the first machine that runs a task of it.
struct RunningJob {
    user: usize,
    machine: usize,
}

impl Simulation {
    /// Handles the completion of a job's task. If it was the last, close reads and a cancellation may follow.
    pub(super) fn task_completed(&mut self, id: &str) {
        if !self.rules.all_done(id) {
            return;
        }
        let Some(user) = self.users.iter().position(|user| user.id == id) else { return };
        if self.faults.close_reads {
            self.send_close_reads(user);
        }
        if self.faults.cancel_at_end > 0.0
            && self.users[user].stage == Stage::Polling
            && self.rng.random_bool(self.faults.cancel_at_end)
        {
            self.count("cancelled at the end");
            self.cancel_within(user, 3);
        }
    }

    /// Makes a user cancel its job within `within_ms` milliseconds.
    fn cancel_within(&mut self, user: usize, within_ms: u64) {
        let at = self.now + self.rng_ms(0, within_ms);
        self.users[user].cancel_at = Some(at);
        self.at(at, Event::User(user));
    }

    /// Makes users cancel up to `count` running jobs. With `hang_ms` above 0, up to `MAX_HANGS` of their
    /// machines hang for that time.
    pub(super) fn cancel_now(&mut self, count: usize, hang_ms: u64) {
        let mut hangs_left = if hang_ms > 0 { MAX_HANGS } else { 0 };
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

    /// Returns the first `count` running jobs that no user is going to cancel.
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
