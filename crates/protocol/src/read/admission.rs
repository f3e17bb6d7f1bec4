//! Candidates of an admission request, from Cap'n Proto.

use super::{Decoded, text};
use crate::internal_capnp as wire;
use crate::message::AdmissionOption;

pub(super) fn read_option(option: wire::admission_option::Reader<'_>) -> Decoded<AdmissionOption> {
    let instance = text(option.get_instance()?)?;
    Ok(AdmissionOption {
        instance,
        prefill_ms: option.get_prefill_ms(),
        other_cost_ms: option.get_other_cost_ms(),
    })
}
