//! The simulated network: message delays, partitioned links, and links that hold messages back.

use super::events::Event;
use super::{Simulation, nodes};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};

/// The longest time until a duplicated message arrives again, in milliseconds.
const DUPLICATE_WITHIN_MS: u64 = 20_000;
/// The share of messages with a long delay.
const SLOW_SHARE: f64 = 0.01;
/// How many of the messages that were held back arrive per millisecond once they are released.
const RELEASED_PER_MS: u64 = 50;

/// An endpoint of a link.
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

/// The delay of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delay {
    /// A random time.
    Drawn,
    /// One millisecond, without a draw, so that the message does not change the random numbers of the rest of
    /// the run.
    Fixed,
}

/// What happens to messages on a partitioned link.
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

/// The links with a fault; all others work.
#[derive(Debug, Default)]
pub(super) struct Links {
    /// Links partitioned in both directions, by the ordered pair of their endpoints.
    cuts: BTreeMap<(Host, Host), Cut>,
    /// Links that hold back messages in one direction, from the first endpoint to the second.
    holds: BTreeSet<(Host, Host)>,
    /// Messages held back by a partition or a hold, in the order in which they were sent.
    held: Vec<HeldMessage>,
}

fn both_ways(a: Host, b: Host) -> (Host, Host) {
    (a.min(b), a.max(b))
}

impl Links {
    fn cut(&self, a: Host, b: Host) -> Option<Cut> {
        self.cuts.get(&both_ways(a, b)).copied()
    }

    /// Whether the link is partitioned, no matter whether its messages are lost or held back.
    pub(super) fn is_partitioned(&self, a: Host, b: Host) -> bool {
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
    /// Sends a message over a link. A fault of the link may hold it back or lose it.
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

    /// Schedules a second arrival of a message with the probability `duplicate_share`.
    pub(super) fn duplicate_at_random(&mut self, copy: impl FnOnce() -> Event) {
        if self.duplicate_share > 0.0 && self.rng.random_bool(self.duplicate_share) {
            let ms = self.rng_ms(1, DUPLICATE_WITHIN_MS);
            self.after(ms, copy());
        }
    }

    /// Partitions a link in both directions. Messages sent during the partition arrive after it (`late`) or
    /// are lost.
    pub(super) fn partition_link(&mut self, a: Host, b: Host, late: bool) {
        let cut = if late { Cut::HeldBack } else { Cut::Lost };
        self.links.cuts.insert(both_ways(a, b), cut);
    }

    /// Heals a partitioned link and delivers the messages that it held back.
    pub(super) fn heal_link(&mut self, a: Host, b: Host) {
        let link = both_ways(a, b);
        self.links.cuts.remove(&link);
        self.release(|from, to| both_ways(from, to) == link);
    }

    /// Holds back messages in one direction of a link.
    pub(super) fn hold_link(&mut self, from: Host, to: Host) {
        self.links.holds.insert((from, to));
    }

    /// Ends a hold, if there is one, and delivers the messages that it held back.
    pub(super) fn release_link(&mut self, from: Host, to: Host) {
        if self.links.holds.remove(&(from, to)) {
            self.release(|start, end| (start, end) == (from, to));
        }
    }

    /// Delivers messages that were held back, in the order in which they were sent.
    fn release(&mut self, is_released: impl Fn(Host, Host) -> bool) {
        let released = self.links.take_held(is_released);
        for (position, message) in released.into_iter().enumerate() {
            self.after(1 + position as u64 / RELEASED_PER_MS, message.event);
        }
    }

    /// Whether a machine is partitioned from any of the nodes.
    pub(super) fn is_partitioned_from_a_node(&self, machine: usize) -> bool {
        nodes::hosts(self.nodes.len()).any(|node| self.links.is_partitioned(node, Host::Machine(machine)))
    }
}
