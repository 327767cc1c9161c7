//! Calls to the cloud, and what their answers say of the fleet.

use super::*;

const LIST_PAGE: u32 = 500;
const TYPES_EVERY: Duration = Duration::from_millis(60_000);
/// Nothing is rented for so long after a call without an answer.
const AWAY_PAUSE: Duration = Duration::from_millis(2000);

#[derive(Debug)]
pub(super) enum CloudCall {
    Rent { offer: InstanceOffer, number: u32 },
    Release { machines: Vec<MachineId> },
    List,
}

impl Leader {
    fn call(&mut self, context: &mut StepContext, request: CloudRequest, request_id: CloudCall) {
        self.cloud_calls_open.insert(context.out.request_cloud(request), request_id);
    }

    /// Lists, returns and rents what is due.
    pub(super) fn call_cloud(&mut self, context: &mut StepContext) {
        let now = context.now;
        let list = now >= self.next_listing && self.list_after.is_none();
        if list {
            self.next_listing = now + Duration::from_secs_f64(self.settings.operator.list_every_s);
        }
        if now >= self.next_types {
            self.next_types = now + TYPES_EVERY;
            context.catalogue.refresh(context.out);
        }
        let returns = self.returns(now);
        let rentals = if self.plans.due(now) { self.rentals(now) } else { Vec::new() };
        if list {
            self.call(context, CloudRequest::List { after: None, most: LIST_PAGE }, CloudCall::List);
        }
        for (request, request_id) in returns.into_iter().chain(rentals) {
            self.call(context, request, request_id);
        }
    }

    pub(in crate::node) fn cloud(
        &mut self,
        context: &mut StepContext,
        request_id: RequestId,
        reply: CloudReply,
    ) {
        let now = context.now;
        let pause = Duration::from_secs_f64(self.settings.operator.refusal_pause_s);
        let Some(what) = self.cloud_calls_open.remove(&request_id) else { return };
        match (what, reply) {
            (CloudCall::Rent { offer, number, .. }, CloudReply::Rented(ids)) => {
                tracing::info!(machine_type = %offer.type_name, zone = %offer.zone, spot = offer.spot,
                    wanted = number, got = ids.len(), "rented");
                if (ids.len() as u32) < number {
                    self.instance_offers.refuse(offer.clone(), now + pause);
                }
                for id in ids {
                    self.rented(id, &offer, now);
                }
            }
            (CloudCall::Rent { offer, .. }, CloudReply::NoCapacity) => {
                self.instance_offers.refuse(offer, now + pause);
            }
            // Away or no answer: what was rented after all shows in the list or by its reports.
            (CloudCall::Rent { .. }, _) => self.rent_not_before = now + AWAY_PAUSE,
            (CloudCall::Release { machines }, CloudReply::Released) => {
                for id in machines {
                    self.released(&id, now);
                }
            }
            (CloudCall::Release { machines }, _) => {
                for id in machines {
                    self.releasing.remove(&id);
                }
            }
            (CloudCall::List, CloudReply::Listed { machines, more }) => {
                let last = machines.last().map(|m| m.id.clone());
                for listed in machines {
                    self.listed(listed, now);
                }
                self.list_after = last.filter(|_| more);
                if let Some(last) = self.list_after.clone() {
                    let request = CloudRequest::List { after: Some(last), most: LIST_PAGE };
                    self.call(context, request, CloudCall::List);
                }
            }
            (CloudCall::List, _) => self.list_after = None,
        }
    }
}
