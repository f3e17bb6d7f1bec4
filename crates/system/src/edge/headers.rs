//! Names of HTTP headers, and which headers a proxy may forward.

use hyper::header::{CONNECTION, HeaderMap, HeaderName, HeaderValue};

/// The client's id of the request.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-pathbank-request-id");
/// How long the client waits for an answer, milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-pathbank-deadline-ms");
/// The tenant's key.
pub(super) const CREDENTIAL: HeaderName = HeaderName::from_static("x-pathbank-credential");
/// The tenant's name, for model servers.
pub(super) const TENANT: HeaderName = HeaderName::from_static("x-pathbank-tenant");
/// The instance of the model server that the request is for. Another instance answers 421.
pub(super) const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-pathbank-target-instance");
/// The model and its adapter.
pub(super) const MODEL: HeaderName = HeaderName::from_static("x-pathbank-model");
/// The number of tokens of the prompt, and the most tokens of the answer.
pub(super) const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-pathbank-token-count");
/// Digests of the parts of the prompt.
pub(super) const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-pathbank-prompt-prefix");
/// The model server's signature of its answer.
pub(super) const SIGNATURE: HeaderName = HeaderName::from_static("x-pathbank-response-signature");
/// In an answer: the request did not run.
pub(super) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-pathbank-not-executed");
/// The number of requests that run or are queued at the model server.
pub(super) const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-pathbank-instance-load");
/// The priority of a prompt at the model server; 0 is the most urgent.
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The version of the model's weights that has to answer.
pub(super) const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The version of the model's weights that answered.
pub(super) const VERSIONS: HeaderName = HeaderName::from_static("versions");
/// The event after which a stream is resumed.
pub(super) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
    HeaderName::from_static("transfer-encoding"),
    HeaderName::from_static("upgrade"),
    HeaderName::from_static("expect"),
];

/// A header's value; `None`: the header is missing or its value is not visible ASCII.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Copies headers, so that they do not keep the read buffer from which they came.
pub(super) fn copied(headers: &HeaderMap) -> HeaderMap {
    let mut copies = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            copies.append(name, value);
        }
    }
    copies
}

/// The bytes of all names and values.
pub(super) fn length(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

/// The headers without the hop-by-hop ones, which concern one connection only (RFC 9110, section 7.6.1).
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        passed.remove(name);
    }
    passed
}
