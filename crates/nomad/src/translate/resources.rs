//! What each task takes of a machine.

use super::{MAX_AMOUNT, MAX_TASKS, Translator};
use crate::decode::Section;
use pearford_scheduler::types::Resources;

const DEFAULT_MEMORY_MB: i64 = 300;
/// CPUs of a task whose request has a fault, so that further faults can be found.
const ASSUMED_CPUS: f64 = 1.0;

/// What a task requests.
#[derive(Debug, Default)]
pub struct TaskResources {
    /// What each task takes.
    pub per_task: Resources,
    /// For each device with a model, the machine types that have it.
    pub machine_types: Vec<Vec<String>>,
}

/// The devices that a task requests.
#[derive(Debug, Default)]
struct Devices {
    gpus: i64,
    machine_types: Vec<Vec<String>>,
}

impl Translator<'_> {
    pub(super) fn resources(&mut self, task: &Section) -> TaskResources {
        let missing = Section::empty(task.at, task.path_of("resources"));
        let section = match task.block("resources") {
            Some(section) => section,
            None if task.is_bad("resources") => return TaskResources::default(),
            None => &missing,
        };
        for name in ["cores", "cpu", "memory"] {
            if let Some(amount) = section.whole(name)
                && (amount < 1 || amount as f64 > MAX_AMOUNT)
            {
                self.fault(section, name, format!("must be at least 1, is {amount}"));
            }
        }
        let cpus = self.cpus(section);
        let memory_mb = section.whole("memory").unwrap_or(DEFAULT_MEMORY_MB);
        let devices = self.devices(section);
        let memory_gb = memory_mb as f64 / self.context.settings.mb_per_gb;
        let per_task = Resources { cpus, gpus: devices.gpus as f64, memory_gb };
        TaskResources { per_task, machine_types: devices.machine_types }
    }

    /// CPUs, requested as `cores`, or in MHz as `cpu` where the operators have said how many MHz make a CPU.
    fn cpus(&mut self, section: &Section) -> f64 {
        match (section.whole("cores"), section.whole("cpu")) {
            (Some(_), Some(_)) => {
                self.fault(section, "cpu", "stands beside `cores`; keep one of them");
                ASSUMED_CPUS
            }
            (Some(cores), None) => cores as f64,
            (None, Some(mhz)) => match self.context.settings.mhz_per_cpu {
                Some(mhz_per_cpu) => mhz as f64 / mhz_per_cpu,
                None => {
                    let reason = "MHz can't be told from CPUs here; write `cores`, or have the operators set mhz_per_cpu";
                    self.fault(section, "cpu", reason);
                    ASSUMED_CPUS
                }
            },
            (None, None) => {
                if !section.is_bad("cpu") {
                    self.fault(section, "cores", "is missing; say how many CPUs a task takes");
                }
                ASSUMED_CPUS
            }
        }
    }

    fn devices(&mut self, section: &Section) -> Devices {
        let mut devices = Devices::default();
        for device in section.blocks("device") {
            let name = device.label.as_deref().or(device.text("Name")).unwrap_or_default();
            let count = device.whole("count").unwrap_or(1);
            if !(1..=MAX_TASKS).contains(&count) {
                self.fault(device, "count", format!("must be from 1 to {MAX_TASKS}, is {count}"));
            }
            if let Some(machine_types) = self.context.settings.devices.get(name) {
                devices.machine_types.push(machine_types.clone());
            } else if !matches!(name, "gpu" | "nvidia/gpu") {
                let reason = format!(
                    "`{name}` is no device here; write \"nvidia/gpu\", or have the operators map it in `devices`"
                );
                self.section_fault(device, reason);
            }
            // Every block counts: a request of which a part is lost runs on the wrong machines.
            devices.gpus = devices.gpus.saturating_add(count);
        }
        devices
    }
}
