//! The HTTP calls of the controller. Each runs in its own task, concurrently with the event loop, and its
//! reply becomes an input.

use super::cloud_client::CloudClient;
use super::http_client::HttpClient;
use super::store_client::StoreClient;
use super::worker_client::WorkerClient;
use pearford_scheduler::node::Input;
use pearford_scheduler::settings::Settings;
use pearford_scheduler::types::{Duration, RequestId};
use pearford_scheduler::wire::cloud::CloudRequest;
use pearford_scheduler::wire::state::StoreRequest;
use tokio::sync::mpsc;

/// Unused connections kept to the key-value store and to the cloud, each.
const IDLE_CONNECTIONS_PER_SERVICE: usize = 8;

/// Starts calls and sends their replies to the event loop.
pub(super) struct OutboundCalls {
    store: StoreClient,
    cloud: CloudClient,
    workers: WorkerClient,
    inputs: mpsc::Sender<Input>,
}

impl OutboundCalls {
    /// Clients for the services in `settings`; replies are sent to `inputs`.
    pub(super) fn new(settings: &Settings, inputs: mpsc::Sender<Input>) -> Self {
        let services = HttpClient::new(IDLE_CONNECTIONS_PER_SERVICE);
        Self {
            store: StoreClient { http: services.clone(), addr: settings.state_addr },
            cloud: CloudClient { http: services, addr: settings.cloud_addr },
            workers: WorkerClient::new(settings.limits.max_concurrent_commands()),
            inputs,
        }
    }

    /// Starts a request to the key-value store.
    pub(super) fn call_store(&self, request_id: RequestId, request: StoreRequest, timeout: Duration) {
        let store = self.store.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let reply = store.call(&request, timeout).await;
            deliver(&inputs, Input::Store { request_id, reply }).await;
        });
    }

    /// Starts a request to the cloud.
    pub(super) fn call_cloud(&self, request_id: RequestId, request: CloudRequest, timeout: Duration) {
        let cloud = self.cloud.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let reply = cloud.call(&request, timeout).await;
            deliver(&inputs, Input::Cloud { request_id, reply }).await;
        });
    }

    /// Starts a request with commands to a worker. Without a response, the input has status 0 and an empty
    /// body.
    pub(super) fn call_worker(&self, request_id: RequestId, addr: String, body: String, timeout: Duration) {
        let workers = self.workers.clone();
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            let (status, body) = match workers.call(&addr, body, timeout).await {
                Some(response) => (response.status, response.body.to_vec()),
                None => (0, Vec::new()),
            };
            deliver(&inputs, Input::Worker { request_id, status, body }).await;
        });
    }
}

/// Sends a call's reply to the event loop; waits while its queue is full.
async fn deliver(inputs: &mpsc::Sender<Input>, input: Input) {
    // Sending fails only after the event loop has ended, when replies are no longer needed.
    let _ = inputs.send(input).await;
}
