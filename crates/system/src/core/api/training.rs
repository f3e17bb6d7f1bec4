//! The trainers' calls, `/api/v1/steps`: JSON bodies, and answers with numbered results.

use super::answer::{CallContext, ask_holding, body_of, result_answer};
use crate::core::event::Event;
use crate::core::training::call::{self, MAX_RESULTS, OpenBody, SealBody, TrainingCall};
use crate::memory::plan::MAX_CALL_BYTES;
use pathbank_control::configuration::Rejection;
use pathbank_control::result_code::ResultCode;
use pathbank_rollout::StepNumber;
use std::str::FromStr;
use viz::{Request, RequestExt, Response, Router};

const STEPS: &str = "/api/v1/steps";

/// Adds the calls of trainers to a router.
pub fn routes(router: Router, context: &CallContext) -> Router {
    let [open, list, read, submit, results, seal, abort, explain] = std::array::from_fn(|_| context.clone());
    router
        .post(STEPS, move |request| answer(open.clone(), request, Kind::Open))
        .get(STEPS, move |request| answer(list.clone(), request, Kind::List))
        .get("/api/v1/steps/:step", move |request| answer(read.clone(), request, Kind::Read))
        .post("/api/v1/steps/:step/prompts", move |request| answer(submit.clone(), request, Kind::Submit))
        .get("/api/v1/steps/:step/results", move |request| answer(results.clone(), request, Kind::Results))
        .post("/api/v1/steps/:step/seal", move |request| answer(seal.clone(), request, Kind::Seal))
        .post("/api/v1/steps/:step/abort", move |request| answer(abort.clone(), request, Kind::Abort))
        .get("/api/v1/steps/:step/explain", move |request| answer(explain.clone(), request, Kind::Explain))
}

/// Which call it is.
#[derive(Clone, Copy)]
enum Kind {
    Open,
    List,
    Read,
    Submit,
    Results,
    Seal,
    Abort,
    Explain,
}

async fn answer(context: CallContext, mut request: Request, kind: Kind) -> viz::Result<Response> {
    let body = match body_of(&context, &mut request, MAX_CALL_BYTES).await {
        Ok(body) => body,
        Err(answer) => return Ok(answer),
    };
    let lease = match context.admit(&body).await {
        Ok(lease) => lease,
        Err(answer) => return Ok(answer),
    };
    let body = body.into_vec();
    let path = request.uri().path_and_query().map_or(STEPS, |path| path.as_str()).to_owned();
    match read_call(&request, kind, &body) {
        Ok(call) => ask_holding(context, &path, lease, |reply| Event::Training(call, reply)).await,
        Err(rejection) => Ok(result_answer(rejection.code, &rejection.message)),
    }
}

fn read_call(request: &Request, kind: Kind, body: &[u8]) -> Result<TrainingCall, Rejection> {
    Ok(match kind {
        Kind::Open => TrainingCall::Open(call::read::<OpenBody>(body)?),
        Kind::List => TrainingCall::List,
        Kind::Read => TrainingCall::Read { step: step(request)?, seen: query(request, "seen")? },
        Kind::Submit => TrainingCall::Submit(step(request)?, call::read_prompts(body)?),
        Kind::Results => {
            let most = query(request, "most")?.unwrap_or(MAX_RESULTS);
            TrainingCall::Results { step: step(request)?, after: query(request, "after")?, most }
        }
        Kind::Seal => TrainingCall::Seal(step(request)?, call::read::<SealBody>(body)?),
        Kind::Abort => TrainingCall::Abort(step(request)?),
        Kind::Explain => TrainingCall::Explain(step(request)?),
    })
}

fn step(request: &Request) -> Result<StepNumber, Rejection> {
    let named: String = request.param("step").unwrap_or_default();
    let unknown = |_| Rejection::new(ResultCode::UnknownStep, format!("{named} is no step's number"));
    named.parse().map_err(unknown)
}

/// A number of the query; `None`: it is not there.
fn query<T: FromStr>(request: &Request, name: &str) -> Result<Option<T>, Rejection> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, value)) = pairs.into_iter().find(|(key, _)| *key == name) else { return Ok(None) };
    let bad = |_| Rejection::new(ResultCode::BadStep, format!("{name}: a number"));
    value.parse().map(Some).map_err(bad)
}
