//! The client of a node's Nomad API, for `pearford nomad`: one request at a time.

use bytes::Bytes;
use clap::Args;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::time::Duration;

/// How long a request may take, with its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// The longest response that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// The environment variable with the client's token.
const TOKEN_VARIABLE: &str = "NOMAD_TOKEN";

/// The node that a command talks to.
#[derive(Args)]
pub struct Server {
    /// A node's Nomad API: `nomad.listen` in its operators' file.
    #[arg(long, value_name = "URL", default_value = "http://127.0.0.1:4646")]
    address: String,
    /// The namespace, where the job names none.
    #[arg(long, default_value = "default")]
    namespace: String,
}

/// A response, read in full.
struct TextResponse {
    status: StatusCode,
    body: String,
}

impl Server {
    /// Sends a request, without a body if `body` is null, and reads the JSON that comes back.
    ///
    /// # Errors
    ///
    /// The lines of the node's refusal, or why there was no usable response.
    pub(super) fn call(&self, method: Method, path: &str, body: &Value) -> Result<Value, Vec<String>> {
        let failed = |reason: String| vec![format!("{}: {reason}", self.address)];
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| failed(error.to_string()))?;
        let response = runtime.block_on(self.exchange(method, path, body)).map_err(failed)?;
        if response.status.is_success() {
            return serde_json::from_str(&response.body)
                .map_err(|error| failed(format!("answers what is not JSON: {error}")));
        }
        Err(response.body.lines().map(|line| format!("{line} ({})", response.status)).collect())
    }

    async fn exchange(&self, method: Method, path: &str, body: &Value) -> Result<TextResponse, String> {
        let request = self.request(method, path, body)?;
        let client: Client<HttpConnector, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let exchange = async {
            let response =
                client.request(request).await.map_err(|error| format!("can't be reached: {error}"))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
                .collect()
                .await
                .map_err(|error| format!("its answer broke off: {error}"))?
                .to_bytes();
            Ok(TextResponse { status, body: String::from_utf8_lossy(&body).into_owned() })
        };
        tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.unwrap_or(Err("does not answer".into()))
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
            .map_err(|error| format!("is no address: {error}; write http://IP:PORT"))
    }
}

/// `text` as it goes into a URL's path or query: all but RFC 3986's unreserved characters are escaped.
pub(super) fn percent_encoded(text: &str) -> String {
    text.bytes().map(percent_encoded_byte).collect()
}

fn percent_encoded_byte(byte: u8) -> String {
    let unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    if unreserved { char::from(byte).to_string() } else { format!("%{byte:02X}") }
}
