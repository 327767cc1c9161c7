//! Preemption: which running work makes room for more urgent work.
//!
//! Work makes way for a job of higher priority, and work beyond its own team's guarantee makes
//! way for another team's job within its guarantee. Replicas of services never do.

use crate::types::{MachineId, Room, TaskId};

/// A task that may be stopped, and what that loses in seconds of work.
#[derive(Debug, Clone)]
pub struct Victim {
    pub task: TaskId,
    pub room: Room,
    pub loss_s: f64,
}

/// A machine that could hold the waiting task if some victims left.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub machine: MachineId,
    pub free: Room,
    pub victims: Vec<Victim>,
    /// What the waiting task would still wait for there.
    pub fetch_s: f64,
}

/// The machine on which making room for `need` loses least, and who has to leave it.
pub fn choose(candidates: Vec<Candidate>, need: &Room) -> Option<(MachineId, Vec<TaskId>)> {
    let mut best: Option<(f64, MachineId, Vec<TaskId>)> = None;
    for mut c in candidates {
        c.victims.sort_by(|a, b| a.loss_s.total_cmp(&b.loss_s));
        let (mut free, mut cost, mut leave) = (c.free, c.fetch_s, Vec::new());
        for v in &c.victims {
            if need.fits_in(&free) {
                break;
            }
            free = free.plus(&v.room);
            cost += v.loss_s;
            leave.push(v.clone());
        }
        if !need.fits_in(&free) {
            continue;
        }
        // Some taken first may prove unnecessary once larger ones are in.
        let mut i = 0;
        while i < leave.len() {
            let without = free.minus(&leave[i].room);
            if need.fits_in(&without) {
                free = without;
                cost -= leave[i].loss_s;
                leave.remove(i);
            } else {
                i += 1;
            }
        }
        if !leave.is_empty() && best.as_ref().is_none_or(|(b, ..)| cost < *b) {
            best = Some((cost, c.machine, leave.into_iter().map(|v| v.task).collect()));
        }
    }
    best.map(|(_, machine, tasks)| (machine, tasks))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(id: &str, free: f64, victims: &[(f64, f64)], fetch_s: f64) -> Candidate {
        let room = |gpus| Room { cpus: 0.0, gpus, memory_gb: 0.0 };
        Candidate {
            machine: id.into(),
            free: room(free),
            victims: victims
                .iter()
                .enumerate()
                .map(|(i, (gpus, loss_s))| Victim {
                    task: TaskId { job: id.into(), index: i as u32 },
                    room: room(*gpus),
                    loss_s: *loss_s,
                })
                .collect(),
            fetch_s,
        }
    }

    #[test]
    fn the_least_loss_is_chosen_and_nobody_leaves_in_vain() {
        let need = Room { cpus: 0.0, gpus: 2.0, memory_gb: 0.0 };
        let all = vec![
            candidate("a", 0.0, &[(1.0, 9.0), (1.0, 9.0)], 0.0),
            candidate("b", 0.0, &[(1.0, 1.0), (2.0, 5.0)], 0.0),
            candidate("c", 1.0, &[(1.0, 0.5)], 25.0),
            candidate("d", 0.0, &[(1.0, 0.1)], 0.0),
        ];
        let (machine, tasks) = choose(all, &need).expect("b can make room");
        assert_eq!((machine.as_str(), tasks.len(), tasks[0].index), ("b", 1, 1));
    }
}
