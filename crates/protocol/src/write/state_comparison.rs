//! Comparisons of the replicated state, to Cap'n Proto.

use crate::internal_capnp as wire;
use pathbank_coordination::state_comparison::{ComparisonReport, ComparisonRequest};

pub(super) fn write_request(request: &ComparisonRequest, mut out: wire::comparison_request::Builder<'_>) {
    out.set_term(request.id.term);
    out.set_number(request.id.number);
    out.set_index(request.index);
}

pub(super) fn write_report(report: &ComparisonReport, mut out: wire::comparison_report::Builder<'_>) {
    out.set_store(report.store.0);
    out.set_format(report.state.format);
    out.set_digest_high((report.state.digest >> 64) as u64);
    out.set_digest_low(report.state.digest as u64);
    write_request(&report.request, out.init_request());
}
