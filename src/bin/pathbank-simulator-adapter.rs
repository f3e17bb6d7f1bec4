//! The simulator adapter: reads batches of events from standard input, passes each event to the `Policy` of
//! its instance, and writes and flushes one reply for each batch.

use pathbank::Policy;
use pathbank::interface::Action;
use pathbank::wire::{Decoder, FrameError, LENGTH_BYTES, Record, Reply};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

/// Policies by instance. `None` if the settings could not be read or the policy panicked: its events are
/// ignored.
type Instances = BTreeMap<u16, Option<Policy>>;

fn main() -> ExitCode {
    match run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("pathbank-simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the end of the input.
fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let (mut decoder, mut instances) = (Decoder::default(), Instances::new());
    while let Some(frame) = next_frame(input)? {
        let reply = answer(&mut decoder, &mut instances, &frame)?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the next frame, including its length field; `None` at the end of the input between frames.
fn next_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, Box<dyn std::error::Error>> {
    let mut frame = Vec::new();
    input.by_ref().take(LENGTH_BYTES as u64).read_to_end(&mut frame)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let Ok(length) = <[u8; LENGTH_BYTES]>::try_from(frame.as_slice()) else {
        return Err(FrameError { at: frame.len(), message: "the length is cut short".into() }.into());
    };
    let length = u64::from(u32::from_be_bytes(length));
    input.by_ref().take(length.saturating_sub(LENGTH_BYTES as u64)).read_to_end(&mut frame)?;
    if (frame.len() as u64) < length {
        let message = format!("cut short: length {length}, content {}", frame.len());
        return Err(io::Error::new(ErrorKind::UnexpectedEof, FrameError { at: frame.len(), message }).into());
    }
    Ok(Some(frame))
}

/// Handles the records of a batch and returns the encoded reply.
fn answer(decoder: &mut Decoder, instances: &mut Instances, frame: &[u8]) -> Result<Vec<u8>, FrameError> {
    let (now, records) = decoder.batch(frame)?;
    let (mut reply, mut actions) = (Reply::default(), Vec::<Action>::new());
    // The actions are written after the whole batch was handled: if an instance stops within the batch, its
    // actions are dropped.
    let mut pending = Vec::<(u16, Action)>::new();
    for (at, record) in records {
        match record {
            Record::Start { instance, seed, settings } => match settings {
                Ok(settings) => {
                    instances.insert(instance, Some(Policy::new(settings, seed)));
                }
                Err(problem) => {
                    reply.bug(instance, &problem.to_string());
                    instances.insert(instance, None);
                }
            },
            Record::Stop { instance } => {
                instances.remove(&instance);
                pending.retain(|(source, _)| *source != instance);
            }
            Record::Event { instance, event } => {
                let Some(slot) = instances.get_mut(&instance) else {
                    return Err(FrameError { at, message: format!("instance {instance} was never started") });
                };
                let Some(policy) = slot else { continue };
                let outcome = catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions)));
                pending.extend(actions.drain(..).map(|action| (instance, action)));
                if let Err(panic) = outcome {
                    let text = panic.downcast_ref::<String>().map(String::as_str);
                    let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
                    reply.bug(instance, text.unwrap_or("the module panicked"));
                    *slot = None;
                }
            }
        }
    }
    for (instance, action) in &pending {
        reply.action(*instance, action);
    }
    Ok(reply.finish())
}
