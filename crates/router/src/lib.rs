//! The decisions of an edge, without I/O, clock or randomness: the caller passes the time and carries the
//! decisions out.
//!
//! * [`answer`]: what a model server's answer is, told from whatever else it sends.
//! * [`model_servers`]: the model servers that this edge knows, with ejection of those that fail.
//! * [`core_choice`]: to which core the edge is subscribed, and which core leads.
//! * [`dispatcher`]: which request goes to which model server next; load shedding.
//! * [`evacuation`]: when streams move away from a model server that announced when it ends.
//! * [`engine_estimates`]: prefill rate, decode pace and slot time, estimated from this edge's requests.
//! * [`prompt`]: the headers that name a request's model and prompt.
//! * [`request_log`]: the steps of recent requests, for operators.
//! * [`retry_budget`]: how many requests may be sent again.
//! * [`usage`]: requests by tenant and window.
//! * [`wall_clock`]: the system's wall clock, derived from the cores' clocks.

pub mod answer;
pub mod core_choice;
pub mod dispatcher;
pub mod draw;
pub mod engine_estimates;
pub mod evacuation;
pub mod model_servers;
pub mod prompt;
pub mod request_log;
pub mod retry_budget;
pub mod usage;
pub mod wall_clock;

/// Milliseconds of a monotonic clock that the caller supplies.
pub type Millis = u64;
/// Names one client request at this edge.
pub type RequestId = u64;
