//! Names of headers on the wire, and which of them go from one side to the other.

use hyper::header::{CONNECTION, HeaderMap, HeaderName};

/// The client's id of the request.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("x-pathbank-request-id");
/// How long the client waits, milliseconds.
pub(super) const DEADLINE: HeaderName = HeaderName::from_static("x-pathbank-deadline-ms");
/// The tenant's key.
pub(super) const CREDENTIAL: HeaderName = HeaderName::from_static("x-pathbank-credential");
/// The tenant's name, for model servers.
pub(super) const TENANT: HeaderName = HeaderName::from_static("x-pathbank-tenant");
/// The incarnation that is meant; another one answers 421.
pub(super) const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-pathbank-target-instance");
/// The model and its adapter.
pub(super) const MODEL: HeaderName = HeaderName::from_static("x-pathbank-model");
/// Tokens of the prompt, and of the answer at most.
pub(super) const TOKEN_COUNT: HeaderName = HeaderName::from_static("x-pathbank-token-count");
/// Digests of the parts of the prompt.
pub(super) const PROMPT_PREFIX: HeaderName = HeaderName::from_static("x-pathbank-prompt-prefix");
/// The model server's signature of its answer.
pub(super) const SIGNATURE: HeaderName = HeaderName::from_static("x-pathbank-response-signature");
/// The request did not run.
pub(super) const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-pathbank-not-executed");
/// Requests running and queued at the model server.
pub(super) const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-pathbank-instance-load");
/// The rank of a prompt at the model server; 0 goes first.
pub(super) const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// The version of the weights that has to answer.
pub(super) const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
/// The version of the weights that answers.
pub(super) const VERSIONS: HeaderName = HeaderName::from_static("versions");
/// Where a stream is to be resumed.
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

/// A header's text; `None`: it is missing or no text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The headers without those that concern one connection only (RFC 9110, 7.6.1).
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
