//! Comparisons of the replicated state, from Cap'n Proto.

use super::Decoded;
use crate::internal_capnp as wire;
use pathbank_coordination::state_comparison::{
    ComparisonId, ComparisonReport, ComparisonRequest, StateDigest,
};
use pathbank_coordination::types::StoreId;

pub(super) fn read_request(request: wire::comparison_request::Reader<'_>) -> ComparisonRequest {
    let id = ComparisonId { term: request.get_term(), number: request.get_number() };
    ComparisonRequest { id, index: request.get_index() }
}

pub(super) fn read_report(report: wire::comparison_report::Reader<'_>) -> Decoded<ComparisonReport> {
    let request = read_request(report.get_request()?);
    let digest = u128::from(report.get_digest_high()) << 64 | u128::from(report.get_digest_low());
    let state = StateDigest { format: report.get_format(), digest };
    Ok(ComparisonReport { store: StoreId(report.get_store()), request, state })
}
