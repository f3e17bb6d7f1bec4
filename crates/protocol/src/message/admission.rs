//! Admission of prompts: an edge asks the leader which model server should prefill a prompt next, and when.

/// A candidate for a request, with its cost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionOption {
    /// The model server's incarnation.
    pub instance: String,
    /// Estimated prefill time of the prompt there, milliseconds.
    pub prefill_ms: u32,
    /// Other cost of this candidate, as milliseconds until the first token.
    pub other_cost_ms: u32,
}

/// Asks the leader which model server should prefill a prompt next, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request's number at the edge.
    pub request: u64,
    /// The candidates.
    pub options: Vec<AdmissionOption>,
    /// Urgency class among the requests of the backend; 0: the most urgent.
    pub urgency: u8,
}

/// The answer to an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionGrant {
    /// The request's number at the edge.
    pub request: u64,
    /// The position of the chosen candidate in the request's options.
    pub option: u32,
    /// Time after which the prompt should arrive there, milliseconds.
    pub wait_ms: u32,
}
