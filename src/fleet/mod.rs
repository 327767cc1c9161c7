//! The fleet: what to rent for work that fits nowhere, and what to return.

use crate::placement::TaskAsk;
use crate::types::{Room, Span, Time, TypeName, Zone};
use crate::wire::cloud::MachineType;
use std::collections::BTreeMap;

/// A type in a zone, ordinary or spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offer {
    pub type_name: TypeName,
    pub zone: Zone,
    pub spot: bool,
}

/// A machine on its way, with the room that is not yet promised.
#[derive(Debug, Clone)]
pub struct Coming {
    pub offer: Offer,
    pub free: Room,
}

#[derive(Debug, Default)]
pub struct Market {
    pub types: Vec<MachineType>,
    /// Offers refused lately, and until when they are left alone.
    refused: BTreeMap<Offer, Time>,
    next_claim: u64,
}

impl Market {
    pub fn new(types: Vec<MachineType>) -> Self {
        Self { types, ..Self::default() }
    }

    pub fn type_of(&self, name: &TypeName) -> Option<&MachineType> {
        self.types.iter().find(|t| t.name == *name)
    }

    pub fn refuse(&mut self, offer: Offer, until: Time) {
        self.refused.insert(offer, until);
    }

    /// A request name that no other request has: fences are unique to one leadership.
    pub fn claim(&mut self, fence: crate::types::Fence) -> String {
        self.next_claim += 1;
        format!("pf-{fence}-{}", self.next_claim)
    }

    /// What to rent so that `asks` fit, given the machines that are `coming` already. `per_zone`
    /// counts the machines in each zone: of equal offers, the emptiest zone is taken.
    pub fn plan(
        &mut self,
        asks: &[TaskAsk],
        mut coming: Vec<Coming>,
        per_zone: &BTreeMap<Zone, u32>,
        now: Time,
    ) -> Vec<(Offer, u32)> {
        self.refused.retain(|_, until| *until > now);
        let mut per_zone = per_zone.clone();
        let mut out: BTreeMap<Offer, u32> = BTreeMap::new();
        let mut left: u32 = asks.iter().map(|a| a.tasks.len() as u32).sum();
        for ask in asks {
            let mut zones = ask.zones.clone();
            for _ in &ask.tasks {
                let allowed = |o: &Offer, zones: &[(Zone, u32)]| {
                    (ask.spot || !o.spot)
                        && ask.types.as_ref().is_none_or(|t| t.contains(&o.type_name))
                        && zones.iter().any(|(z, n)| *z == o.zone && *n > 0)
                };
                let found =
                    coming.iter().position(|c| allowed(&c.offer, &zones) && ask.room.fits_in(&c.free));
                let i = match found {
                    Some(i) => i,
                    None => {
                        let best = self
                            .types
                            .iter()
                            .filter(|t| ask.room.fits_in(&t.room()))
                            .flat_map(|t| {
                                t.zones.iter().flat_map(move |z| {
                                    [false, true].map(|spot| Offer {
                                        type_name: t.name.clone(),
                                        zone: z.clone(),
                                        spot,
                                    })
                                })
                            })
                            .filter(|o| allowed(o, &zones) && !self.refused.contains_key(o))
                            .min_by(|a, b| {
                                let cost = |o: &Offer| {
                                    self.type_of(&o.type_name).map_or(f64::MAX, |t| {
                                        let slots = t.room().count_of(&ask.room).min(left.max(1));
                                        t.hourly(o.spot) / f64::from(slots.max(1))
                                    })
                                };
                                let machines = |o: &Offer| per_zone.get(&o.zone).copied().unwrap_or(0);
                                cost(a).total_cmp(&cost(b)).then(machines(a).cmp(&machines(b)))
                            });
                        let Some(offer) = best else { break };
                        let Some(t) = self.type_of(&offer.type_name) else { break };
                        coming.push(Coming { offer: offer.clone(), free: t.room() });
                        *per_zone.entry(offer.zone.clone()).or_default() += 1;
                        *out.entry(offer).or_default() += 1;
                        coming.len() - 1
                    }
                };
                coming[i].free = coming[i].free.minus(&ask.room);
                let zone = coming[i].offer.zone.clone();
                if ask.together {
                    zones.retain(|(z, _)| *z == zone);
                }
                for (_, n) in zones.iter_mut().filter(|(z, _)| *z == zone) {
                    *n = n.saturating_sub(1);
                }
                left = left.saturating_sub(1);
            }
        }
        out.into_iter().collect()
    }
}

/// How long a machine of this type may take to come up before it is given up.
pub fn boot_limit(t: &MachineType, patience: f64) -> Span {
    t.boot().times(patience) + Span::secs(10.0)
}

impl std::ops::Add for Span {
    type Output = Span;
    fn add(self, o: Span) -> Span {
        Span(self.0 + o.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::jobs::Shape;

    fn market() -> Market {
        let types = serde_json::from_str(
            r#"[{"name":"small","vcpus":8,"accelerators":2,"memory_gb":8,"hourly":6.0,"low_price":2.0,"regions":["a","b"]},
                {"name":"big","vcpus":32,"accelerators":8,"memory_gb":32,"hourly":16.0,"low_price":8.0,"regions":["a"]}]"#,
        )
        .expect("valid");
        Market::new(types)
    }

    fn ask(tasks: u32, gpus: f64, spot: bool) -> TaskAsk {
        TaskAsk {
            job: "req-1".into(),
            kind: "k".into(),
            shape: Shape::Array,
            tasks: (0..tasks).collect(),
            room: Room { cpus: 1.0, gpus, memory_gb: 1.0 },
            types: None,
            spot,
            zones: vec![("a".into(), 99), ("b".into(), 99)],
            together: false,
            image: "i".into(),
            image_gb: 1.0,
        }
    }

    #[test]
    fn the_cheapest_adequate_offer_is_rented_and_what_is_coming_counts() {
        let mut m = market();
        let now = Time::from_ms(0);
        let plan = |m: &mut Market, a: TaskAsk, c: Vec<Coming>| m.plan(&[a], c, &BTreeMap::new(), now);
        let offer = |t: &str, z: &str, spot| Offer { type_name: t.into(), zone: z.into(), spot };
        assert_eq!(plan(&mut m, ask(1, 1.0, false), vec![]), [(offer("small", "a", false), 1)]);
        assert_eq!(plan(&mut m, ask(8, 1.0, false), vec![]), [(offer("big", "a", false), 1)]);
        assert_eq!(plan(&mut m, ask(1, 8.0, true), vec![]), [(offer("big", "a", true), 1)]);
        let room = Room { cpus: 8.0, gpus: 2.0, memory_gb: 8.0 };
        let coming = vec![Coming { offer: offer("small", "b", false), free: room }];
        assert_eq!(plan(&mut m, ask(2, 1.0, false), coming), []);
        m.refuse(offer("small", "a", false), Time::from_ms(9));
        assert_eq!(plan(&mut m, ask(1, 1.0, false), vec![]), [(offer("small", "b", false), 1)]);
    }
}
