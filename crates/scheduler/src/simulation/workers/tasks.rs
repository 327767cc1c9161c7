//! Tasks on the workers: the commands that start, stop and forget them, and their own state changes.

use super::Worker;
use crate::simulation::{MISTAKEN_IMAGE, Simulation};
use serde_json::{Value, json};

/// How long a task takes to save its progress, in milliseconds.
const SAVE_MS: u64 = 1_000;
/// The shortest grace period in which a task saves its progress; with less it exits at once. In seconds.
const SAVES_WITHIN_S: f64 = 1.0;
/// How long a member of a gang waits for the other members, in milliseconds.
const GANG_WAIT_MS: u64 = 35_000;
/// The longest time from a task's state change to the heartbeat that reports it, in milliseconds.
const CHANGE_REPORTED_MS: u64 = 300;
/// A heartbeat due later than this, in milliseconds, is brought forward for any state change, not only for an
/// exit.
const NEXT_HEARTBEAT_FAR_MS: u64 = 500;

/// A task's state. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq)]
pub enum State {
    Fetching {
        until: u64,
    },
    /// A member of a gang waits for the other members.
    Waiting {
        since: u64,
    },
    /// The task runs; `left` is its remaining time at the change to this state.
    Running {
        left: u64,
    },
    Saving {
        until: u64,
    },
    /// The attempt has ended; `kept`: the progress was saved.
    Exited {
        cause: &'static str,
        kept: bool,
    },
}

/// An attempt of a task.
#[derive(Debug, Clone)]
pub struct Task {
    /// The job's ID, a slash, and the task's index.
    pub name: String,
    pub attempt: u64,
    pub state: State,
    /// When the state last changed, in milliseconds.
    changed_at: u64,
}

impl Task {
    /// Returns the ID of the task's job.
    pub fn job(&self) -> &str {
        job_of(&self.name)
    }

    /// Whether the task is present on its machine: it has its image and has not exited.
    pub fn present(&self) -> bool {
        !matches!(self.state, State::Fetching { .. } | State::Exited { .. })
    }

    /// Whether the attempt has ended.
    pub fn has_exited(&self) -> bool {
        matches!(self.state, State::Exited { .. })
    }

    /// Returns the task's status in a heartbeat, in the protocol's format.
    pub(super) fn status(&self) -> Value {
        let (phase, cause, kept) = match &self.state {
            State::Fetching { .. } => ("fetching", None, false),
            State::Waiting { .. } => ("waiting", None, false),
            State::Running { .. } => ("running", None, false),
            State::Saving { .. } => ("flushing", None, false),
            State::Exited { cause, kept } => ("ended", Some(*cause), *kept),
        };
        json!({"shard": self.name, "try": self.attempt, "phase": phase, "cause": cause, "kept": kept})
    }

    fn is_of_same_attempt(&self, other: &Task) -> bool {
        self.job() == other.job() && self.attempt == other.attempt
    }

    /// Whether the task waits for its gang or runs.
    fn is_ready(&self) -> bool {
        matches!(self.state, State::Waiting { .. } | State::Running { .. })
    }

    /// Whether the task counts as a member of its gang, so that the others may keep running: it is present,
    /// or it ended for a reason that does not end the gang.
    fn counts_as_member(&self) -> bool {
        !matches!(
            self.state,
            State::Fetching { .. } | State::Exited { cause: "peers" | "stopped" | "incomplete", .. }
        )
    }

    /// Returns the state after a stop command; `None` if the task has already exited.
    fn stopped(&self, grace_s: f64, now: u64) -> Option<State> {
        match self.state {
            State::Exited { .. } => None,
            State::Running { .. } if grace_s >= SAVES_WITHIN_S => {
                Some(State::Saving { until: now + SAVE_MS })
            }
            State::Saving { until } if grace_s > 0.0 => Some(State::Saving { until }),
            _ => Some(State::Exited { cause: "stopped", kept: false }),
        }
    }
}

/// Returns the ID of a task's job.
pub(super) fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

/// What a submission specifies about a job's tasks.
struct JobTraits {
    is_gang: bool,
    is_daemon: bool,
    /// Whether the tasks fail on every machine.
    is_mistaken: bool,
    /// How many tasks the job has.
    tasks: u64,
    /// How long a task runs, in milliseconds.
    total_ms: u64,
}

impl JobTraits {
    fn of(body: &Value) -> Self {
        Self {
            is_gang: body["shape"] == "ensemble",
            is_daemon: body["shape"] == "daemon",
            is_mistaken: body["bundle"] == MISTAKEN_IMAGE,
            tasks: body["shards"].as_u64().unwrap_or(1),
            total_ms: (body["expected_s"].as_f64().unwrap_or(1.0) * 1000.0) as u64,
        }
    }
}

impl Worker {
    /// Changes a task's state, and brings the next heartbeat forward if it is far away or the task has
    /// exited.
    fn change_state(&mut self, index: usize, state: State, now: u64) {
        let task = &mut self.tasks[index];
        task.state = state;
        task.changed_at = now;
        if task.has_exited() || now + NEXT_HEARTBEAT_FAR_MS < self.next_heartbeat {
            self.next_heartbeat = self.next_heartbeat.min(now + CHANGE_REPORTED_MS);
        }
    }

    /// Returns the protocol's name of the reason why the worker refuses to start a task, if it does.
    fn start_refusal(
        &self,
        name: &str,
        body: Option<&Value>,
        bodies: impl Fn(&str) -> Option<Value>,
    ) -> Option<&'static str> {
        let Some(body) = body else { return Some("unknown") };
        if self.tasks.iter().any(|task| task.name == name && !task.has_exited()) {
            return Some("busy");
        }
        let total = self.resources();
        let used = self.used_resources(bodies);
        let too_much = used.cpus + body["vcpus"].as_f64().unwrap_or(0.0) > total.cpus
            || used.gpus + body["accelerators"].as_f64().unwrap_or(0.0) > total.gpus;
        too_much.then_some("no_room")
    }
}

impl Simulation {
    /// Carries out a leader's commands on a machine.
    pub(super) fn run_commands(&mut self, machine: usize, commands: &Value) {
        let now = self.now;
        for command in commands.as_array().into_iter().flatten() {
            let name = command["shard"].as_str().unwrap_or_default().to_string();
            let attempt = command["try"].as_u64().unwrap_or(0);
            let worker = &mut self.workers[machine];
            let index = worker.tasks.iter().position(|task| task.name == name && task.attempt == attempt);
            match (command["verb"].as_str(), index) {
                (Some("start"), None) => self.start(machine, name, attempt),
                (Some("stop"), Some(index)) => {
                    let grace_s = command["drain_s"].as_f64().unwrap_or(0.0);
                    let task = &mut worker.tasks[index];
                    task.changed_at = now;
                    if let Some(state) = task.stopped(grace_s, now) {
                        task.state = state;
                    }
                }
                (Some("forget"), Some(index)) if worker.tasks[index].has_exited() => {
                    worker.tasks.remove(index);
                }
                _ => {}
            }
        }
    }

    /// Starts a task. If the worker refuses, the task's first state is an exit with the reason.
    fn start(&mut self, machine: usize, name: String, attempt: u64) {
        let now = self.now;
        let job = job_of(&name).to_string();
        let body = self.rules.body(&job);
        let refusal = self.workers[machine].start_refusal(&name, body.as_ref(), |job| self.rules.body(job));
        if now < self.workers[machine].boots_at + 3_000 {
            self.count("a start within three seconds of the boot");
        }
        let drawn_fetch_ms = self.rng_ms(200, 2500);
        let image = body.as_ref().and_then(|body| body["bundle"].as_str()).unwrap_or_default().to_string();
        let has_image = !self.workers[machine].images.insert(image) && self.keeps_images;
        let fetch_ms = if has_image { 0 } else { drawn_fetch_ms };
        let state = match refusal {
            Some(cause) => State::Exited { cause, kept: false },
            None => State::Fetching { until: now + fetch_ms },
        };
        if refusal.is_none() && self.rules.known(&job).terminal_status.as_deref() == Some("withdrawn") {
            self.count("start after a confirmed cancellation");
        }
        self.workers[machine].tasks.push(Task { name, attempt, state, changed_at: now });
        if has_image {
            self.advance(machine);
        }
    }

    /// Applies the due state changes of a worker's tasks.
    pub(super) fn advance(&mut self, machine: usize) {
        let now = self.now;
        for index in 0..self.workers[machine].tasks.len() {
            let task = self.workers[machine].tasks[index].clone();
            if let Some(state) = self.next_state(machine, &task) {
                self.workers[machine].change_state(index, state, now);
            }
        }
    }

    /// Returns the state that a task changes to now, if it changes.
    fn next_state(&mut self, machine: usize, task: &Task) -> Option<State> {
        let now = self.now;
        let body = self.rules.body(task.job()).unwrap_or(Value::Null);
        let job = JobTraits::of(&body);
        match task.state {
            State::Fetching { until } if until <= now => Some(self.state_after_fetching(machine, task, &job)),
            State::Waiting { since } => self.state_after_waiting(task, &job, since),
            State::Running { left } if !job.is_daemon => self.state_after_running(task, &job, left),
            State::Saving { until } if until <= now => Some(State::Exited { cause: "stopped", kept: true }),
            _ => None,
        }
    }

    /// Checks the start of a task that has its image, and returns the task's next state.
    fn state_after_fetching(&mut self, machine: usize, task: &Task, job: &JobTraits) -> State {
        let now = self.now;
        self.rules.check_start(now, &self.workers[machine], &task.name, &self.workers);
        if self.rules.task_done(&task.name) {
            State::Exited { cause: "done", kept: false }
        } else if job.is_mistaken {
            State::Exited { cause: "error", kept: false }
        } else if job.is_gang {
            State::Waiting { since: now }
        } else {
            State::Running { left: job.total_ms }
        }
    }

    /// A member of a gang runs once all members are present, and exits if some are missing after
    /// `GANG_WAIT_MS`.
    fn state_after_waiting(&self, task: &Task, job: &JobTraits, since: u64) -> Option<State> {
        if self.gang_members(task, Task::is_ready) >= job.tasks {
            return Some(State::Running { left: job.total_ms });
        }
        (self.now > since + GANG_WAIT_MS).then_some(State::Exited { cause: "incomplete", kept: false })
    }

    /// A running task exits when it is done, or when its gang lacks a member.
    fn state_after_running(&mut self, task: &Task, job: &JobTraits, left: u64) -> Option<State> {
        let lacks_members = job.is_gang && self.gang_members(task, Task::counts_as_member) < job.tasks;
        if lacks_members && !self.rules.task_done(&task.name) {
            return Some(State::Exited { cause: "peers", kept: false });
        }
        if self.now - task.changed_at < left {
            return None;
        }
        self.rules.record_completion(&task.name, job.is_gang);
        self.task_completed(task.job());
        Some(State::Exited { cause: "done", kept: false })
    }

    /// Returns how many tasks of the same attempt of a gang satisfy a condition, over all machines.
    fn gang_members(&self, task: &Task, condition: impl Fn(&Task) -> bool) -> u64 {
        let tasks = self.workers.iter().flat_map(|worker| &worker.tasks);
        tasks.filter(|other| other.is_of_same_attempt(task) && condition(other)).count() as u64
    }
}
