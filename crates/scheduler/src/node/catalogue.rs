//! The cloud's machine types, as last read.

use super::outbox::Outbox;
use crate::types::{Duration, MonotonicTime, RequestId};
use crate::wire::cloud::{CloudReply, CloudRequest, MachineType};

const RETRY: Duration = Duration::from_millis(1000);

#[derive(Debug, Default)]
pub(super) struct Catalogue {
    types: Vec<MachineType>,
    request_id: Option<RequestId>,
    next: MonotonicTime,
}

impl Catalogue {
    /// Empty until they are known.
    pub fn types(&self) -> &[MachineType] {
        &self.types
    }

    pub fn tick(&mut self, now: MonotonicTime, out: &mut Outbox) {
        if self.types.is_empty() && self.request_id.is_none() && now >= self.next {
            self.next = now + RETRY;
            self.refresh(out);
        }
    }

    pub fn refresh(&mut self, out: &mut Outbox) {
        if self.request_id.is_none() {
            self.request_id = Some(out.request_cloud(CloudRequest::Types));
        }
    }

    pub fn owns(&self, request_id: RequestId) -> bool {
        self.request_id == Some(request_id)
    }

    /// Takes the answer to its own request; whether the types are new.
    pub fn reply(&mut self, reply: CloudReply) -> bool {
        self.request_id = None;
        let CloudReply::Types(types) = reply else { return false };
        self.types = types;
        true
    }
}
