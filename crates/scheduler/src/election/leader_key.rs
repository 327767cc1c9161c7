//! The leader key of the key-value store, and the record that its holder writes under it.

use crate::types::{FencingToken, LeaseId, NodeName, Revision};
use crate::wire::state::{Change, Pair, StoreRequest};
use serde::{Deserialize, Serialize};

/// The key that the leader holds. Every commit of the leader is conditional on its revision.
pub const LEADER_KEY: &str = "leader";

/// The value of the leader key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    /// The node that is leader.
    pub(super) node: NodeName,
    /// The lease that the key is attached to.
    #[serde(rename = "permit")]
    pub(super) lease: LeaseId,
}

impl LeaderRecord {
    /// The record stored in `pair`, or `None` if it is unreadable.
    pub(super) fn parse(pair: &Pair) -> Option<Self> {
        serde_json::from_str(&pair.value).ok()
    }

    /// A commit of this record that succeeds only if the leader key still has the revision `replaces`.
    pub(super) fn commit_request(&self, replaces: Revision) -> StoreRequest {
        let put = Change::Put {
            key: LEADER_KEY.into(),
            value: serde_json::to_string(self).unwrap_or_default(),
            lease: Some(self.lease),
        };
        StoreRequest::Commit { conditions: vec![(LEADER_KEY.to_string(), replaces)], changes: vec![put] }
    }
}

/// A read of the leader key.
pub(super) fn read_request() -> StoreRequest {
    StoreRequest::Get { key: LEADER_KEY.into() }
}

/// The fencing token of the term that began when the leader key got this revision.
pub(super) fn fencing_token(revision: Revision) -> FencingToken {
    FencingToken(revision.0)
}
