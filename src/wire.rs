//! The binary protocol between the simulator and its adapter: frames, records and the settings text. This
//! module only encodes and decodes.

use crate::config::settings::{SettingsError, settings};
use crate::interface::*;
use std::collections::BTreeMap;
use std::fmt;

/// An error in a frame and the byte at which it was found.
#[derive(Debug, PartialEq, Eq)]
pub struct FrameError {
    /// The offset in the frame, bytes.
    pub at: usize,
    /// A description of the error.
    pub message: String,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "byte {} of the frame: {}", self.at, self.message)
    }
}

impl std::error::Error for FrameError {}

/// One record of a batch, with the instance that it is for.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// Start an instance.
    Start { instance: u16, seed: u64, settings: Result<Settings, SettingsError> },
    /// Stop an instance.
    Stop { instance: u16 },
    /// Pass an event to an instance.
    Event { instance: u16, event: Event },
}

/// The size of a frame's length field, bytes.
pub const LENGTH_BYTES: usize = 4;
/// The size of a batch's header, bytes.
const HEADER_BYTES: usize = 12;

/// Reads big-endian values from a frame.
struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn fail<T>(&self, message: impl Into<String>) -> Result<T, FrameError> {
        Err(FrameError { at: self.at, message: message.into() })
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], FrameError> {
        match self.bytes.get(self.at..self.at.saturating_add(n)) {
            Some(slice) => {
                self.at += n;
                Ok(slice)
            }
            None => self.fail(format!("{n} bytes wanted, {} left", self.bytes.len() - self.at)),
        }
    }

    fn uint(&mut self, n: usize) -> Result<u64, FrameError> {
        Ok(self.take(n)?.iter().fold(0, |v, b| v << 8 | u64::from(*b)))
    }

    fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.uint(1)? as u8)
    }

    fn u16(&mut self) -> Result<u16, FrameError> {
        Ok(self.uint(2)? as u16)
    }

    fn u32(&mut self) -> Result<u32, FrameError> {
        Ok(self.uint(4)? as u32)
    }

    fn u64(&mut self) -> Result<u64, FrameError> {
        self.uint(8)
    }

    fn f32(&mut self) -> Result<f64, FrameError> {
        Ok(f64::from(f32::from_bits(self.u32()?)))
    }
}

/// Decodes batches. It keeps the numbered node lists, which all instances of the process share.
#[derive(Debug, Default)]
pub struct Decoder {
    lists: BTreeMap<u16, Vec<NodeEntry>>,
    /// For each instance, the number of values in a load report, and the index of the queue length among
    /// them.
    reports: BTreeMap<u16, (usize, Option<usize>)>,
}

impl Decoder {
    /// Decodes a whole batch, including its length field. Returns the time, and the records with their
    /// offsets.
    ///
    /// # Errors
    ///
    /// If the frame is malformed.
    pub fn batch(&mut self, frame: &[u8]) -> Result<(Micros, Vec<(usize, Record)>), FrameError> {
        let mut r = Reader { bytes: frame, at: 0 };
        let length = r.u32()? as usize;
        if length != frame.len() || length < HEADER_BYTES {
            return Err(FrameError { at: 0, message: format!("length {length}, content {}", frame.len()) });
        }
        let now = r.u64()?;
        let (mut records, mut instance) = (Vec::new(), None);
        while r.at < frame.len() {
            let start = r.at;
            let code = r.u8()?;
            // 16: start of an instance; 17: MEMBERSHIP, an update of the node list; 18: a request;
            // 19: an answer began; 20: the outcome of an attempt; 21: the client left; 22: a timer;
            // 23: the result of a probe; 24: a message from another host; 25: stop of an instance;
            // 26: a numbered node list; 27: INSTANCE, the instance of the records that follow.
            match code {
                27 => {
                    instance = Some(r.u16()?);
                    continue;
                }
                26 => {
                    self.inventory(&mut r)?;
                    continue;
                }
                16..=25 => {}
                _ => return Err(FrameError { at: start, message: format!("unknown event code {code}") }),
            }
            let Some(instance) = instance else {
                return Err(FrameError { at: start, message: "a record before any INSTANCE".into() });
            };
            let record = match code {
                16 => {
                    let (seed, n) = (r.u64()?, r.u32()? as usize);
                    let text = String::from_utf8_lossy(r.take(n)?);
                    self.reports.insert(instance, report_fields(&text));
                    Record::Start { instance, seed, settings: settings(&text) }
                }
                25 => Record::Stop { instance },
                _ => Record::Event { instance, event: self.event(instance, code, &mut r)? },
            };
            records.push((start, record));
        }
        Ok((now, records))
    }

    /// Reads a numbered node list.
    fn inventory(&mut self, r: &mut Reader) -> Result<(), FrameError> {
        let (list, n) = (r.u16()?, r.u32()?);
        let mut nodes = Vec::new();
        for _ in 0..n {
            let (node, zone, _kind, shard) = (r.u32()?, r.u16()?, r.u8()?, r.u16()?);
            let state = match r.u8()? {
                1 => NodeState::Ready,
                2 => NodeState::Draining,
                0 => NodeState::Gone,
                other => return r.fail(format!("unknown node state {other}")),
            };
            let (_weight, started) = (r.f32()?, r.u64()?);
            nodes.push(NodeEntry { node, zone, shard, state, started });
        }
        self.lists.insert(list, nodes);
        Ok(())
    }

    /// Reads an event record's content.
    fn event(&self, instance: u16, code: u8, r: &mut Reader) -> Result<Event, FrameError> {
        Ok(match code {
            17 => {
                let (_rev, list, form) = (r.u64()?, r.u16()?, r.u8()?);
                let update = match form {
                    1 => ListUpdate::Cached,
                    2 => ListUpdate::Changes,
                    3 => ListUpdate::Failed,
                    4 => ListUpdate::Full,
                    other => return r.fail(format!("unknown MEMBERSHIP form {other}")),
                };
                let nodes = match (update, self.lists.get(&list)) {
                    (ListUpdate::Failed, _) => Vec::new(),
                    (_, Some(nodes)) => nodes.clone(),
                    (_, None) => return r.fail(format!("list {list} was never given")),
                };
                Event::Nodes { update, nodes }
            }
            18 => {
                let (id, volume_hosts, volume, key) = (r.u64()?, r.f32()?, r.u64()?, r.u64()?);
                let (bits, class, units) = (r.u8()?, r.u8()? as usize, r.f32()?);
                let (time_left, plan, shard) = (r.u32()?.into(), r.u32()? as usize, r.f32()?);
                let shard = (shard >= 0.0).then_some(shard as u16);
                Event::Request(Request {
                    id,
                    volume,
                    key,
                    class,
                    plan,
                    units,
                    volume_hosts,
                    time_left,
                    repeat: bits & 2 != 0,
                    shard,
                })
            }
            19 => {
                let (request, _node, attempt, _took) = (r.u64()?, r.u32()?, r.u8()?.into(), r.u32()?);
                Event::AnswerBegan { request, attempt }
            }
            20 => {
                let (request, latency, _elsewhere) = (r.u64()?, r.u32()?.into(), r.u16()?);
                let (attempt, over, used) = (r.u8()?.into(), r.u8()? != 0, r.u16()?);
                let (result, node) = (result(r)?, r.u32()?);
                let load = self.load(instance, r)?;
                let used = (used > 0).then(|| f64::from(used - 1) / 100.0);
                Event::Outcome(Outcome { request, attempt, node, result, latency, over, used, load })
            }
            21 => Event::ClientLeft { request: r.u64()? },
            22 => Event::Timer { token: r.u64()? },
            23 => {
                let (node, result, latency) = (r.u32()?, result(r)?, r.u32()?.into());
                Event::Probed { node, result, latency, load: self.load(instance, r)? }
            }
            _ => {
                let (from, n) = (r.u16()?.into(), r.u16()? as usize);
                Event::Peer { from, bytes: r.take(n)?.to_vec() }
            }
        })
    }

    /// Reads a load report. The queue length is ignored if the report's length differs from the announced
    /// one, or if the value is negative or not finite.
    fn load(&self, instance: u16, r: &mut Reader) -> Result<Load, FrameError> {
        let n = r.u8()? as usize;
        let mut values = Vec::with_capacity(n);
        for _ in 0..n {
            values.push(r.f32()?);
        }
        let queue_index =
            self.reports.get(&instance).and_then(|(length, queue)| queue.filter(|_| *length == n));
        Ok(Load {
            queue: queue_index.map(|index| values[index]).filter(|queue| queue.is_finite() && *queue >= 0.0),
        })
    }
}

/// Reads an attempt's result.
fn result(r: &mut Reader) -> Result<AttemptResult, FrameError> {
    Ok(match r.u8()? {
        0 => AttemptResult::Served,
        255 => AttemptResult::Error,
        254 => AttemptResult::Overloaded,
        253 => AttemptResult::TimedOut,
        252 => AttemptResult::ConnectFailed,
        251 => AttemptResult::Reset,
        250 => AttemptResult::Cancelled,
        249 => AttemptResult::NotSent,
        other => return r.fail(format!("unknown ending {other}")),
    })
}

/// Returns the number of values in an instance's load reports, and the index of the queue length among them.
fn report_fields(text: &str) -> (usize, Option<usize>) {
    let line = text.lines().find_map(|line| line.strip_prefix("report.fields=")).unwrap_or("");
    let names: Vec<&str> = line.split(',').collect();
    (names.len(), names.iter().position(|name| *name == "backlog"))
}

/// A reply under construction.
#[derive(Debug)]
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
    source: Option<u16>,
}

impl Default for Reply {
    fn default() -> Self {
        Reply { bytes: vec![0; 8], records: 0, source: None }
    }
}

impl Reply {
    /// Begins a record, preceded by a record that names the instance if that changed.
    fn record(&mut self, instance: u16, code: u8) -> &mut Vec<u8> {
        if self.source != Some(instance) {
            self.source = Some(instance);
            self.records += 1;
            self.bytes.push(28);
            self.bytes.extend(instance.to_be_bytes());
        }
        self.records += 1;
        self.bytes.push(code);
        &mut self.bytes
    }

    /// Appends a record with a text, cut to the longest that fits its length field.
    fn text(&mut self, instance: u16, code: u8, text: &str) {
        let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        let out = self.record(instance, code);
        out.extend((text.len() as u16).to_be_bytes());
        out.extend(text);
    }

    /// Appends a report that the instance's policy failed.
    pub fn bug(&mut self, instance: u16, text: &str) {
        self.text(instance, 25, text);
    }

    /// Appends an action of an instance.
    pub fn action(&mut self, instance: u16, action: &Action) {
        match action {
            Action::Send { request, node, time_out, .. } => {
                let out = self.record(instance, 16);
                out.extend(request.to_be_bytes());
                out.extend(node.to_be_bytes());
                out.extend(micros(*time_out));
            }
            Action::Refuse { request, retry_in } => {
                let out = self.record(instance, 17);
                out.extend(request.to_be_bytes());
                out.extend(micros(*retry_in));
            }
            Action::Fail { request } => self.record(instance, 18).extend(request.to_be_bytes()),
            Action::Cancel { request, attempt } => {
                let out = self.record(instance, 19);
                out.extend(request.to_be_bytes());
                out.push(*attempt as u8);
            }
            Action::Timer { after, token } => {
                let out = self.record(instance, 20);
                out.extend(micros(*after));
                out.extend(token.to_be_bytes());
            }
            Action::Probe { node } => self.record(instance, 21).extend(node.to_be_bytes()),
            Action::SendToPeer { peer, bytes } => {
                let out = self.record(instance, 23);
                out.extend(peer.map_or(u16::MAX, |p| p as u16).to_be_bytes());
                out.extend((bytes.len() as u16).to_be_bytes());
                out.extend(bytes);
            }
            Action::Log(text) => self.text(instance, 24, text),
            Action::Subscribe => self.record(instance, 26).push(1),
        }
    }

    /// Completes the header and returns the reply's bytes.
    pub fn finish(mut self) -> Vec<u8> {
        let length = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&length.to_be_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_be_bytes());
        self.bytes
    }
}

/// Encodes a duration, at most `u32::MAX` microseconds.
fn micros(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_be_bytes()
}
