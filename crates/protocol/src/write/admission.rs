//! Candidates of an admission request, to Cap'n Proto.

use crate::internal_capnp as wire;
use crate::message::AdmissionOption;

pub(super) fn write_option(option: &AdmissionOption, mut out: wire::admission_option::Builder<'_>) {
    out.set_instance(&option.instance);
    out.set_prefill_ms(option.prefill_ms);
    out.set_other_cost_ms(option.other_cost_ms);
}
