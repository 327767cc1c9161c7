//! Calls to the cloud, and processing of the replies.

use super::{Leader, StepContext};
use crate::autoscaler::InstanceOffer;
use crate::rate_limit::TokenBucket;
use crate::types::{Duration, MachineId, MonotonicTime, RequestId};
use crate::wire::cloud::{CloudReply, CloudRequest, ListedMachine};
use std::collections::{BTreeMap, BTreeSet};

/// Machines per page of the cloud's list.
const LIST_PAGE_SIZE: u32 = 500;
/// Interval between reads of the catalogue of instance types.
const TYPES_INTERVAL: Duration = Duration::from_millis(60_000);
/// How long no machine is rented after a rental without an answer.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(2000);
/// Share of the cloud's rate limit that the leader's calls may use.
const RATE_SHARE: f64 = 0.7;
/// Maximum number of machines returned by one call.
const RELEASES_PER_CALL: usize = 100;

/// A call to the cloud whose reply is awaited.
#[derive(Debug)]
pub(super) enum CloudCall {
    /// Rents machines of an offer.
    Rent {
        /// The offer.
        offer: InstanceOffer,
        /// Number of machines.
        number: u32,
    },
    /// Returns machines.
    Release {
        /// The machines to return.
        machines: Vec<MachineId>,
    },
    /// Reads a page of the list of all machines.
    List,
}

/// A call to the cloud that has not been sent yet.
#[derive(Debug)]
pub(super) struct PlannedCall {
    /// The request.
    pub request: CloudRequest,
    /// The call to keep until the reply arrives.
    pub call: CloudCall,
}

/// Open calls to the cloud, their rate limit, and when the periodic calls are due.
#[derive(Debug)]
pub(super) struct CloudClient {
    open_calls: BTreeMap<RequestId, CloudCall>,
    budget: TokenBucket,
    /// Last machine of the newest page of the list, while more pages follow.
    list_cursor: Option<MachineId>,
    next_listing: MonotonicTime,
    next_types: MonotonicTime,
    rent_not_before: MonotonicTime,
    /// Machines whose return has been requested and not answered yet.
    releasing: BTreeSet<MachineId>,
}

impl CloudClient {
    /// Creates a client without open calls. `rate_limit`: calls per second that the cloud allows.
    pub fn new(rate_limit: f64, now: MonotonicTime) -> Self {
        Self {
            open_calls: BTreeMap::new(),
            budget: TokenBucket::new(rate_limit * RATE_SHARE),
            list_cursor: None,
            next_listing: now,
            next_types: now,
            rent_not_before: now,
            releasing: BTreeSet::new(),
        }
    }

    /// Takes one call from the rate limit. Returns false if none is left now.
    pub fn take_call(&mut self, now: MonotonicTime) -> bool {
        self.budget.take(1.0, now)
    }

    /// Whether the pause after the last rental without an answer is over.
    pub fn may_rent(&self, now: MonotonicTime) -> bool {
        now >= self.rent_not_before
    }

    /// Rentals whose reply is awaited: the offer and the number of machines of each.
    pub fn open_rentals(&self) -> impl Iterator<Item = (&InstanceOffer, u32)> {
        self.open_calls.values().filter_map(|call| match call {
            CloudCall::Rent { offer, number } => Some((offer, *number)),
            CloudCall::Release { .. } | CloudCall::List => None,
        })
    }

    /// The call that returns the first [`RELEASES_PER_CALL`] of `machines` whose return has not been
    /// requested yet; `None` if there are none or the rate limit does not allow a call.
    pub fn release(
        &mut self,
        machines: impl Iterator<Item = MachineId>,
        now: MonotonicTime,
    ) -> Option<PlannedCall> {
        let to_release: Vec<MachineId> =
            machines.filter(|id| !self.releasing.contains(id)).take(RELEASES_PER_CALL).collect();
        if to_release.is_empty() || !self.take_call(now) {
            return None;
        }
        self.releasing.extend(to_release.iter().cloned());
        Some(PlannedCall {
            request: CloudRequest::Release { machines: to_release.clone() },
            call: CloudCall::Release { machines: to_release },
        })
    }

    /// The call that returned the machine has succeeded or failed.
    pub fn release_ended(&mut self, id: &MachineId) {
        self.releasing.remove(id);
    }

    /// Whether a new listing of all machines is due and no further pages of the last one are to be read. If
    /// so, schedules the next one.
    fn begin_listing(&mut self, interval: Duration, now: MonotonicTime) -> bool {
        let is_due = now >= self.next_listing && self.list_cursor.is_none();
        if is_due {
            self.next_listing = now + interval;
        }
        is_due
    }

    /// Whether a read of the catalogue of instance types is due. If so, schedules the next one.
    fn begin_types_read(&mut self, now: MonotonicTime) -> bool {
        let is_due = now >= self.next_types;
        if is_due {
            self.next_types = now + TYPES_INTERVAL;
        }
        is_due
    }

    fn send(&mut self, context: &mut StepContext, planned: PlannedCall) {
        let request_id = context.outbox.request_cloud(planned.request);
        self.open_calls.insert(request_id, planned.call);
    }

    fn send_listing(&mut self, context: &mut StepContext, after: Option<MachineId>) {
        let request = CloudRequest::List { after, limit: LIST_PAGE_SIZE };
        self.send(context, PlannedCall { request, call: CloudCall::List });
    }
}

impl Leader {
    /// Sends the calls that are due: lists, returns and rents machines, and reads the instance types.
    pub(super) fn call_cloud(&mut self, context: &mut StepContext) {
        let now = context.now;
        let list_interval = Duration::from_secs_f64(self.settings.operator.list_every_s);
        let list = self.cloud.begin_listing(list_interval, now);
        if self.cloud.begin_types_read(now) {
            context.catalogue.refresh(context.outbox);
        }
        let returns = self.plan_returns(now);
        let rentals = if self.rental_pacer.is_due(now) { self.plan_rentals(now) } else { Vec::new() };
        if list {
            self.cloud.send_listing(context, None);
        }
        for planned in returns.into_iter().chain(rentals) {
            self.cloud.send(context, planned);
        }
    }

    /// Processes the cloud's reply to one of this leader's calls.
    pub(in crate::node) fn cloud_reply(
        &mut self,
        context: &mut StepContext,
        request_id: RequestId,
        reply: CloudReply,
    ) {
        let now = context.now;
        let Some(call) = self.cloud.open_calls.remove(&request_id) else { return };
        match (call, reply) {
            (CloudCall::Rent { offer, number }, CloudReply::Rented(ids)) => {
                self.machines_rented(offer, number, ids, now);
            }
            (CloudCall::Rent { offer, .. }, CloudReply::NoCapacity) => self.pause_offer(offer, now),
            // No usable answer. Machines that were rented nevertheless are found by the list or by their
            // heartbeats.
            (CloudCall::Rent { .. }, _) => self.cloud.rent_not_before = now + UNAVAILABLE_PAUSE,
            (CloudCall::Release { machines }, CloudReply::Released) => {
                machines.iter().for_each(|id| self.process_released_machine(id, now));
            }
            (CloudCall::Release { machines }, _) => {
                machines.iter().for_each(|id| self.cloud.release_ended(id));
            }
            (CloudCall::List, CloudReply::Listed { machines, more }) => {
                self.page_listed(context, machines, more);
            }
            (CloudCall::List, _) => self.cloud.list_cursor = None,
        }
    }

    fn machines_rented(
        &mut self,
        offer: InstanceOffer,
        wanted: u32,
        ids: Vec<MachineId>,
        now: MonotonicTime,
    ) {
        tracing::info!(machine_type = %offer.type_name, zone = %offer.zone, spot = offer.spot,
            wanted, got = ids.len(), "rented machines");
        if (ids.len() as u32) < wanted {
            self.pause_offer(offer.clone(), now);
        }
        for id in ids {
            self.add_rented_machine(id, &offer, now);
        }
    }

    /// Excludes the offer from rentals for `refusal_pause_s`.
    fn pause_offer(&mut self, offer: InstanceOffer, now: MonotonicTime) {
        let pause = Duration::from_secs_f64(self.settings.operator.refusal_pause_s);
        self.instance_offers.refuse(offer, now + pause);
    }

    fn page_listed(&mut self, context: &mut StepContext, machines: Vec<ListedMachine>, more: bool) {
        let last = machines.last().map(|machine| machine.id.clone());
        for listed in machines {
            self.process_listed_machine(listed, context.now);
        }
        self.cloud.list_cursor = last.filter(|_| more);
        if let Some(last) = self.cloud.list_cursor.clone() {
            self.cloud.send_listing(context, Some(last));
        }
    }
}
