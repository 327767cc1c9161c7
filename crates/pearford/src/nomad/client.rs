//! The client of a node's Nomad API for `pearford nomad`. It sends one request at a time.

use bytes::Bytes;
use clap::Args;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::time::Duration;

/// Timeout for a request and its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// The environment variable that holds the client's token.
const TOKEN_VARIABLE: &str = "NOMAD_TOKEN";

/// The node that a command sends its requests to.
#[derive(Args)]
pub struct Server {
    /// URL of a node's Nomad API: `nomad.listen` in the node's operators' file.
    #[arg(long, value_name = "URL", default_value = "http://127.0.0.1:4646")]
    address: String,
    /// The namespace of a job that names none.
    #[arg(long, default_value = "default")]
    namespace: String,
}

/// A complete response.
struct TextResponse {
    status: StatusCode,
    body: String,
}

impl Server {
    /// Sends a request, without a body if `body` is null, and parses the JSON of the response.
    ///
    /// # Errors
    ///
    /// The lines of the node's error answer, or the reason why there is no usable response.
    pub(super) fn call(&self, method: Method, path: &str, body: &Value) -> Result<Value, Vec<String>> {
        let failed = |reason: String| vec![format!("{}: {reason}", self.address)];
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| failed(error.to_string()))?;
        let response = runtime.block_on(self.exchange(method, path, body)).map_err(failed)?;
        if response.status.is_success() {
            return serde_json::from_str(&response.body)
                .map_err(|error| failed(format!("the response is not valid JSON: {error}")));
        }
        Err(response.body.lines().map(|line| format!("{line} ({})", response.status)).collect())
    }

    async fn exchange(&self, method: Method, path: &str, body: &Value) -> Result<TextResponse, String> {
        let request = self.request(method, path, body)?;
        let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let exchange = async {
            let response =
                client.request(request).await.map_err(|error| format!("the request failed: {error}"))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| format!("reading the response failed: {error}"))?
                .to_bytes();
            Ok(TextResponse { status, body: String::from_utf8_lossy(&body).into_owned() })
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange)
            .await
            .unwrap_or(Err("no response before the timeout".into()))
    }

    fn request(&self, method: Method, path: &str, body: &Value) -> Result<Request<Full<Bytes>>, String> {
        let separator = if path.contains('?') { '&' } else { '?' };
        let namespace = percent_encoded(&self.namespace);
        let uri = format!("{}{path}{separator}namespace={namespace}", self.address.trim_end_matches('/'));
        let mut request = Request::builder().method(method).uri(uri);
        if let Ok(token) = std::env::var(TOKEN_VARIABLE) {
            request = request.header("x-nomad-token", token);
        }
        let bytes = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
        request
            .body(Full::new(bytes))
            .map_err(|error| format!("the address is not a valid URL: {error}; use http://IP:PORT"))
    }
}

/// Percent-encodes `text` for a URL's path or query: all characters except RFC 3986's unreserved ones.
pub(super) fn percent_encoded(text: &str) -> String {
    text.bytes().map(percent_encoded_byte).collect()
}

fn percent_encoded_byte(byte: u8) -> String {
    let unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    if unreserved { char::from(byte).to_string() } else { format!("%{byte:02X}") }
}
