//! Where a group's tasks may run: constraints, datacenters, spread.

use super::Translator;
use super::meta::Meta;
use crate::decode::Section;
use crate::operator::AttributeMeaning;

const ZONE: &str = "${node.datacenter}";
const MACHINE_TYPE: &str = "${node.class}";

/// Where a group's tasks may run.
#[derive(Debug)]
pub struct Placement {
    /// The machine types that are allowed; none: all.
    pub machine_types: Option<Vec<String>>,
    /// The zone that is required; none: any.
    pub zone: Option<String>,
    /// Whether all tasks are to be in one zone.
    pub together: bool,
    /// Whether the tasks are to be spread over zones.
    pub spread: bool,
}

/// What constraints leave.
#[derive(Debug, Default)]
struct Constrained {
    zone: Option<String>,
    machine_types: Option<Vec<String>>,
}

impl Constrained {
    /// Allows only machine types that are in `allowed` too.
    fn restrict_types(&mut self, allowed: Vec<String>) {
        match &mut self.machine_types {
            None => self.machine_types = Some(allowed),
            Some(types) => types.retain(|name| allowed.contains(name)),
        }
    }
}

impl Translator<'_> {
    /// Where a group's tasks may run; `device_types` are the machine types that have each requested device.
    pub(super) fn placement(
        &mut self,
        job: &Section,
        group: &Section,
        task: &Section,
        meta: &Meta,
        device_types: Vec<Vec<String>>,
    ) -> Placement {
        let mut constrained = self.constraints([job, group, task]);
        for allowed in device_types {
            constrained.restrict_types(allowed);
        }
        let Constrained { zone, machine_types } = constrained;
        if machine_types.as_ref().is_some_and(Vec::is_empty) {
            let path = group.path_of("constraint");
            self.faults.add(group.at, &path, "leaves no machine type; loosen one");
        }
        let zone = self.zone(job, zone);
        let spread = self.spread(job, group);
        let together = meta.flag("together");
        if spread && together {
            let reason = "pearford_together wants one zone and `spread` several; keep one of them";
            self.fault(group, "spread", reason);
        }
        Placement { machine_types, zone, together, spread }
    }

    fn constraints(&mut self, sections: [&Section; 3]) -> Constrained {
        let mut constrained = Constrained::default();
        for constraint in sections.into_iter().flat_map(|section| section.blocks("constraint")) {
            if !constraint.has_bad() {
                self.constraint(constraint, &mut constrained);
            }
        }
        constrained
    }

    fn constraint(&mut self, constraint: &Section, constrained: &mut Constrained) {
        let attribute = constraint.text("attribute").unwrap_or_default();
        let Some(meaning) = self.meaning(attribute) else {
            let reason = format!(
                "`{attribute}` says nothing here; constrain {MACHINE_TYPE} or {ZONE}, or have the operators map it in `attributes`"
            );
            return self.fault(constraint, "attribute", reason);
        };
        let value = constraint.text("value").unwrap_or_default();
        if value.is_empty() {
            return self.fault(constraint, "value", "is missing; name a zone or a machine type");
        }
        let operator = constraint.text("operator").unwrap_or("=");
        match meaning {
            AttributeMeaning::Zone => self.zone_constraint(constraint, operator, value, constrained),
            AttributeMeaning::MachineType => self.type_constraint(constraint, operator, value, constrained),
        }
    }

    fn meaning(&self, attribute: &str) -> Option<AttributeMeaning> {
        match attribute {
            ZONE => Some(AttributeMeaning::Zone),
            MACHINE_TYPE => Some(AttributeMeaning::MachineType),
            other => self.context.settings.attributes.get(other).copied(),
        }
    }

    fn zone_constraint(
        &mut self,
        constraint: &Section,
        operator: &str,
        value: &str,
        constrained: &mut Constrained,
    ) {
        if !matches!(operator, "=" | "==" | "is") {
            let reason = format!("`{operator}` can't be checked for zones; write \"=\" and one zone");
            return self.fault(constraint, "operator", reason);
        }
        match &constrained.zone {
            Some(other) if other != value => {
                let reason = format!("wants zone `{value}`, another constraint `{other}`");
                self.fault(constraint, "value", reason);
            }
            _ => constrained.zone = Some(value.into()),
        }
    }

    fn type_constraint(
        &mut self,
        constraint: &Section,
        operator: &str,
        value: &str,
        constrained: &mut Constrained,
    ) {
        match operator {
            "=" | "==" | "is" => constrained.restrict_types(vec![value.into()]),
            "set_contains_any" => {
                let names = value.split(',').map(str::trim).filter(|name| !name.is_empty());
                constrained.restrict_types(names.map(ToString::to_string).collect());
            }
            other => {
                let reason = format!(
                    "`{other}` can't be checked for machine types; write \"=\" or \"set_contains_any\" and name them"
                );
                self.fault(constraint, "operator", reason);
            }
        }
    }

    /// The zone that a job requires by its datacenters, or by constraints.
    fn zone(&mut self, job: &Section, constrained: Option<String>) -> Option<String> {
        let named = job.texts("datacenters").unwrap_or_default();
        let zone = match named.as_slice() {
            [] | ["*"] => None,
            [one] => Some(one.to_string()),
            several => {
                let zones = &self.context.zones;
                let all = !zones.is_empty() && zones.iter().all(|zone| several.contains(&zone.as_str()));
                if !all {
                    let reason = "a job runs in one zone or in any; name one, or write [\"*\"]";
                    self.fault(job, "datacenters", reason);
                }
                None
            }
        };
        if let (Some(named), Some(constrained)) = (&zone, &constrained)
            && named != constrained
        {
            self.fault(job, "datacenters", format!("names `{named}`, a constraint `{constrained}`"));
        }
        constrained.or(zone)
    }

    /// Whether the tasks are to be spread over zones.
    fn spread(&mut self, job: &Section, group: &Section) -> bool {
        let spreads: Vec<&Section> = job.blocks("spread").iter().chain(group.blocks("spread")).collect();
        for spread in &spreads {
            if spread.text("attribute").is_none() {
                self.fault(spread, "attribute", format!("is missing; write \"{ZONE}\""));
            }
        }
        if let [_, second, ..] = spreads.as_slice() {
            self.section_fault(second, "is the second; one is enough");
        }
        !spreads.is_empty()
    }
}
