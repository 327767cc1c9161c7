//! The network between nodes, stand-ins and users: delays, cuts, and links that hold messages back.

use super::events::Event;
use super::{Simulation, nodes};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// How late a message may arrive a second time, in milliseconds.
const DUPLICATE_WITHIN_MS: u64 = 20_000;
/// The share of messages that take long.
const SLOW_SHARE: f64 = 0.01;
/// How many messages that were held back arrive within one millisecond.
const RELEASED_PER_MS: u64 = 50;

/// An end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Host {
    /// A node, by its index.
    Node(usize),
    /// The key-value store.
    Store,
    Cloud,
    /// A machine with its worker, by its number.
    Machine(usize),
    /// All users.
    User,
}

/// How long a message is on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delay {
    /// A time drawn by the seed.
    Drawn,
    /// One millisecond, without a draw, so that the rest of the simulation draws what it would without the message.
    Fixed,
}

/// What becomes of a message on a link that is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    HeldBack,
    Lost,
}

#[derive(Debug)]
struct HeldMessage {
    from: Host,
    to: Host,
    event: Event,
}

/// The links that don't work as usual; all others do.
#[derive(Debug, Default)]
pub(super) struct Links {
    /// Cut both ways, by the ordered pair of their ends.
    cuts: BTreeMap<(Host, Host), Cut>,
    /// Held back one way: from the first end to the second.
    holds: BTreeSet<(Host, Host)>,
    /// Messages held back by a cut or a hold, in the order in which they were sent.
    held: Vec<HeldMessage>,
}

fn both_ways(a: Host, b: Host) -> (Host, Host) {
    (a.min(b), a.max(b))
}

impl Links {
    fn cut(&self, a: Host, b: Host) -> Option<Cut> {
        self.cuts.get(&both_ways(a, b)).copied()
    }

    /// Whether the link is cut, whatever becomes of its messages.
    pub(super) fn is_cut(&self, a: Host, b: Host) -> bool {
        self.cut(a, b).is_some()
    }

    /// Whether a new connection over the link fails at once.
    pub(super) fn refuses(&self, a: Host, b: Host) -> bool {
        self.cut(a, b) == Some(Cut::Lost)
    }

    fn take_held(&mut self, is_released: impl Fn(Host, Host) -> bool) -> Vec<HeldMessage> {
        let (released, kept) = std::mem::take(&mut self.held)
            .into_iter()
            .partition(|message| is_released(message.from, message.to));
        self.held = kept;
        released
    }
}

impl Simulation {
    /// Sends over a link: with a delay, held back by a cut, or lost in it.
    pub fn send(&mut self, from: Host, to: Host, event: Event) {
        self.send_with_delay(from, to, event, Delay::Drawn);
    }

    pub(super) fn send_with_delay(&mut self, from: Host, to: Host, event: Event, delay: Delay) {
        match self.links.cut(from, to) {
            Some(Cut::Lost) => {}
            Some(Cut::HeldBack) => self.links.held.push(HeldMessage { from, to, event }),
            None if self.links.holds.contains(&(from, to)) => {
                self.links.held.push(HeldMessage { from, to, event });
            }
            None => {
                let ms = self.delay_ms(delay);
                self.after(ms, event);
            }
        }
    }

    fn delay_ms(&mut self, delay: Delay) -> u64 {
        if delay == Delay::Fixed {
            return 1;
        }
        if self.rng.random_bool(SLOW_SHARE) {
            return self.rng_ms(100, 600);
        }
        self.rng_ms(1, 8)
    }

    /// Now and then schedules a second arrival of a message, however long ago the first was handled.
    pub(super) fn maybe_duplicate(&mut self, copy: impl FnOnce() -> Event) {
        if self.duplicate_share > 0.0 && self.rng.random_bool(self.duplicate_share) {
            let ms = self.rng_ms(1, DUPLICATE_WITHIN_MS);
            self.after(ms, copy());
        }
    }

    /// Cuts a link both ways; what is sent meanwhile arrives after (`late`) or is lost.
    pub(super) fn cut_link(&mut self, a: Host, b: Host, late: bool) {
        let cut = if late { Cut::HeldBack } else { Cut::Lost };
        self.links.cuts.insert(both_ways(a, b), cut);
    }

    /// Mends a link that was cut; what it held back arrives.
    pub(super) fn mend_link(&mut self, a: Host, b: Host) {
        let link = both_ways(a, b);
        self.links.cuts.remove(&link);
        self.release(|from, to| both_ways(from, to) == link);
    }

    /// Holds back what goes one way over a link.
    pub(super) fn hold_link(&mut self, from: Host, to: Host) {
        self.links.holds.insert((from, to));
    }

    /// Ends a hold, if there is one; what it held back arrives.
    pub(super) fn release_link(&mut self, from: Host, to: Host) {
        if self.links.holds.remove(&(from, to)) {
            self.release(|start, end| (start, end) == (from, to));
        }
    }

    /// Messages that were held back arrive, in the order in which they were sent.
    fn release(&mut self, is_released: impl Fn(Host, Host) -> bool) {
        let released = self.links.take_held(is_released);
        for (position, message) in released.into_iter().enumerate() {
            self.after(1 + position as u64 / RELEASED_PER_MS, message.event);
        }
    }

    /// Whether a machine is cut off from any of the nodes.
    pub(super) fn is_cut_from_a_node(&self, machine: usize) -> bool {
        nodes::hosts(self.nodes.len()).any(|node| self.links.is_cut(node, Host::Machine(machine)))
    }
}
