//! Generations of training steps, from Cap'n Proto.

use super::{Decoded, text};
use crate::internal_capnp as wire;
use crate::message::{DrawEnding, DrawGrant, DrawId, DrawResult, DrawTask, DrawnAnswer, ModelVersions};

fn read_id(id: wire::draw_id::Reader<'_>) -> Decoded<DrawId> {
    Ok(DrawId {
        step: id.get_step(),
        epoch: id.get_epoch(),
        prompt: id.get_prompt(),
        instance: text(id.get_instance()?)?,
        version: id.get_version(),
    })
}

fn read_task(task: wire::draw_task::Reader<'_>) -> Decoded<DrawTask> {
    Ok(DrawTask {
        id: read_id(task.get_id()?)?,
        address: text(task.get_address()?)?,
        model: text(task.get_model()?)?,
        path: text(task.get_path()?)?,
        body: text(task.get_body()?)?,
        input_tokens: task.get_input_tokens(),
        output_tokens: task.get_output_tokens(),
        prefix: text(task.get_prefix()?)?,
        timeout_ms: task.get_timeout_ms(),
        event_tokens: task.get_event_tokens(),
    })
}

pub(super) fn read_grant(grant: wire::draw_grant::Reader<'_>) -> Decoded<DrawGrant> {
    let tasks = grant.get_tasks()?.iter().map(read_task).collect::<Decoded<_>>()?;
    Ok(DrawGrant {
        requested_at: grant.get_requested_at(),
        start_timeout_ms: grant.get_start_timeout_ms(),
        tasks,
    })
}

fn read_answer(answer: wire::draw_result::complete::Reader<'_>) -> Decoded<DrawnAnswer> {
    Ok(DrawnAnswer {
        header_version: answer.get_has_header_version().then_some(answer.get_header_version()),
        event_versions: answer.get_event_versions()?.iter().collect(),
        tokens: answer.get_tokens(),
        text: text(answer.get_text()?)?,
        truncated: answer.get_truncated(),
    })
}

pub(super) fn read_result(result: wire::draw_result::Reader<'_>) -> Decoded<DrawResult> {
    use wire::draw_result::Which;
    let ending = match result.which()? {
        Which::Complete(answer) => DrawEnding::Complete(read_answer(answer)?),
        Which::Over(()) => DrawEnding::Over,
        Which::Unknown(()) => DrawEnding::Unknown,
    };
    Ok(DrawResult { id: read_id(result.get_id()?)?, timeout_ms: result.get_timeout_ms(), ending })
}

/// Version 0 stands for none: no step has it.
pub(super) fn read_model_versions(versions: wire::model_versions::Reader<'_>) -> Decoded<ModelVersions> {
    let known = |version: u64| (version > 0).then_some(version);
    Ok(ModelVersions {
        backend: text(versions.get_backend()?)?,
        model: text(versions.get_model()?)?,
        open: known(versions.get_open()),
        sealed: known(versions.get_sealed()),
    })
}
