//! The catalogue of machine types that the cloud offers. The controller reads it once at startup; the leader
//! refreshes it.

use super::outbox::Outbox;
use crate::types::{Duration, MonotonicTime, RequestId};
use crate::wire::cloud::{CloudReply, CloudRequest, MachineType};

/// Minimum time between reads at startup, until one succeeds.
const RETRY_INTERVAL: Duration = Duration::from_millis(1000);

/// The machine types, as last read from the cloud.
#[derive(Debug, Default)]
pub(super) struct Catalogue {
    types: Vec<MachineType>,
    /// The read in flight.
    request_id: Option<RequestId>,
    next_read: MonotonicTime,
}

impl Catalogue {
    /// The machine types; empty until they are known.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// Reads the types if they are not known yet.
    pub fn tick(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        if self.types.is_empty() && self.request_id.is_none() && now >= self.next_read {
            self.next_read = now + RETRY_INTERVAL;
            self.refresh(outbox);
        }
    }

    /// Reads the types again, unless a read is in flight.
    pub fn refresh(&mut self, outbox: &mut Outbox) {
        if self.request_id.is_none() {
            self.request_id = Some(outbox.request_cloud(CloudRequest::Types));
        }
    }

    /// Whether this is the id of the read in flight.
    pub fn owns(&self, request_id: RequestId) -> bool {
        self.request_id == Some(request_id)
    }

    /// Processes the reply to the read in flight. Returns whether the reply contained the types.
    pub fn reply(&mut self, reply: CloudReply) -> bool {
        self.request_id = None;
        let CloudReply::Types(types) = reply else { return false };
        self.types = types;
        true
    }
}
