//! Generations of training steps, to Cap'n Proto.

use crate::internal_capnp as wire;
use crate::message::{DrawEnding, DrawGrant, DrawId, DrawResult, DrawTask, DrawnAnswer, ModelVersions};

fn write_id(id: &DrawId, mut out: wire::draw_id::Builder<'_>) {
    out.set_step(id.step);
    out.set_epoch(id.epoch);
    out.set_prompt(id.prompt);
    out.set_instance(&id.instance);
    out.set_version(id.version);
}

fn write_task(task: &DrawTask, mut out: wire::draw_task::Builder<'_>) {
    write_id(&task.id, out.reborrow().init_id());
    out.set_address(&task.address);
    out.set_model(&task.model);
    out.set_path(&task.path);
    out.set_body(&task.body);
    out.set_input_tokens(task.input_tokens);
    out.set_output_tokens(task.output_tokens);
    out.set_prefix(&task.prefix);
    out.set_timeout_ms(task.timeout_ms);
    out.set_event_tokens(task.event_tokens);
}

pub(super) fn write_grant(grant: &DrawGrant, mut out: wire::draw_grant::Builder<'_>) {
    out.set_requested_at(grant.requested_at);
    out.set_start_timeout_ms(grant.start_timeout_ms);
    let mut tasks = out.init_tasks(grant.tasks.len() as u32);
    for (position, task) in grant.tasks.iter().enumerate() {
        write_task(task, tasks.reborrow().get(position as u32));
    }
}

fn write_answer(answer: &DrawnAnswer, mut out: wire::draw_result::complete::Builder<'_>) {
    out.set_has_header_version(answer.header_version.is_some());
    out.set_header_version(answer.header_version.unwrap_or_default());
    out.set_tokens(answer.tokens);
    out.set_text(&answer.text);
    out.set_truncated(answer.truncated);
    let mut events = out.init_event_versions(answer.event_versions.len() as u32);
    for (position, version) in answer.event_versions.iter().enumerate() {
        events.set(position as u32, *version);
    }
}

pub(super) fn write_result(result: &DrawResult, mut out: wire::draw_result::Builder<'_>) {
    write_id(&result.id, out.reborrow().init_id());
    out.set_timeout_ms(result.timeout_ms);
    match &result.ending {
        DrawEnding::Complete(answer) => write_answer(answer, out.init_complete()),
        DrawEnding::Over => out.set_over(()),
        DrawEnding::Unknown => out.set_unknown(()),
    }
}

/// Version 0 stands for none: no step has it.
pub(super) fn write_model_versions(versions: &ModelVersions, mut out: wire::model_versions::Builder<'_>) {
    out.set_backend(&versions.backend);
    out.set_model(&versions.model);
    out.set_open(versions.open.unwrap_or_default());
    out.set_sealed(versions.sealed.unwrap_or_default());
}
