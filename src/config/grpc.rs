//! The gRPC front's file: whether it is on, where it listens, its bounds, and what calls mean. Errors name the key
//! and its line.

use super::{ClientLimits, Config, ConfigError, Names, fnv, operators_file, unreadable};
use crate::grpc::channels::ChannelLimits;
use crate::grpc::routes::Routes;
use crate::interface::{Micros, Settings, VolumeId};
use hyper::header::{HeaderMap, HeaderName};
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;
use toml::Spanned;

const PATH: &str = "deploy/grpc.toml";
const CLIENTS: usize = 64;
const MOST_CLIENTS: usize = 4096;
const STREAMS: usize = 256;
/// The preface must come within this; and a request whose route wants it whole, from its first byte to its last.
const REQUEST_TIME: Duration = Duration::from_millis(2_200);
const IDLE: Duration = Duration::from_secs(600);
const IDLE_IF_MANY: Duration = Duration::from_secs(60);
/// Calls that may be open for each MB of memory: each costs some KB in the head.
const CALLS_PER_MB: usize = 32;
const STREAM_WINDOW: usize = 16 * 1024;
const MOST_STREAM_WINDOW: usize = 64 * 1024;
const MOST_CLIENT_WINDOW: usize = 1024 * 1024;
const PATIENCE_MS: u64 = 10_000;
const HOLD: usize = 64 * 1024;
/// Metadata's most bytes, encoded, either way.
const HEADER_BYTES: usize = 16 * 1024;
/// A value that decides something holds this much at most.
const MOST_VALUE: usize = 128;

#[derive(Debug)]
pub struct GrpcFront {
    pub listen: SocketAddr,
    pub node_port: Option<u16>,
    pub clients: ClientLimits,
    /// Calls at once: on one client's connection, and over all.
    pub streams: usize,
    pub calls: usize,
    /// Bytes of one call's request that are held so that it can be sent again.
    pub hold: usize,
    /// Bytes that may be under way unread: on one stream, and on one client's connection.
    pub stream_window: u32,
    pub client_window: u32,
    pub header_bytes: usize,
    pub request_time: Duration,
    /// A client whose socket takes nothing for so long is let go.
    pub patience: Duration,
    pub channels: ChannelLimits,
    /// The same on a stream from a node; on a channel it is as much for each stream.
    pub node_window: u32,
    pub sources: Sources,
    pub routes: Routes<Route>,
}

/// What a call is to the module.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Route {
    pub class: usize,
    pub plan: usize,
    pub units: f64,
    /// How long a client of the class waits at most.
    pub wait: Duration,
    /// The request goes to a node as it comes; otherwise once it is whole.
    pub streams_request: bool,
    /// The answer begins with its first metadata, not with its first message.
    pub early_headers: bool,
}

/// Where volume, key, shard and hosts come from.
#[derive(Debug)]
pub struct Sources {
    volume: Source,
    key: Source,
    shard: Source,
    hosts: Source,
    units: Source,
    /// Where metadata names none, one of these by the key.
    shards: Vec<u16>,
    max_units: f64,
    most_hosts: f64,
}

#[derive(Debug)]
struct Source {
    metadata: HeaderName,
    default: Option<String>,
}

/// What metadata tell of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallMetadata {
    pub volume: VolumeId,
    pub key: u64,
    pub shard: Option<u16>,
    pub hosts: f64,
    pub units: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    enabled: bool,
    listen: Option<SocketAddr>,
    node_port: Option<u16>,
    clients: Option<Spanned<usize>>,
    streams: Option<Spanned<usize>>,
    calls: Option<Spanned<usize>>,
    hold_bytes: Option<Spanned<usize>>,
    patience_ms: Option<Spanned<u64>>,
    #[serde(default)]
    channels: ChannelKeys,
    #[serde(default)]
    metadata: MetadataKeys,
    #[serde(default)]
    routes: Vec<RouteKeys>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChannelKeys {
    most: Option<Spanned<usize>>,
    per_node: Option<Spanned<usize>>,
    streams: Option<Spanned<usize>>,
    idle_ms: Option<Spanned<u64>>,
    keepalive_ms: Option<Spanned<u64>>,
    patience_ms: Option<Spanned<u64>>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct MetadataKeys {
    volume: Option<SourceKeys>,
    key: Option<SourceKeys>,
    shard: Option<SourceKeys>,
    hosts: Option<SourceKeys>,
    units: Option<SourceKeys>,
    #[serde(default)]
    shards: Vec<u16>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SourceKeys {
    name: Spanned<String>,
    default: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteKeys {
    path: Spanned<String>,
    class: Spanned<String>,
    plan: Spanned<String>,
    units: Option<Spanned<f64>>,
    #[serde(default)]
    request: Option<Spanned<String>>,
    #[serde(default)]
    early_headers: bool,
}

impl GrpcFront {
    /// The file that `PATHBANK_GRPC` names, which must be there, or the one under `deploy/`. `None`: off.
    pub fn from_environment(config: &mut Config) -> Result<Option<GrpcFront>, ConfigError> {
        match operators_file("PATHBANK_GRPC", PATH)? {
            Some(text) => GrpcFront::read(&text, config),
            None => Ok(None),
        }
    }

    /// Whether that file switches the front on; a file that cannot be read does not.
    pub fn is_switched_on() -> bool {
        let text = operators_file("PATHBANK_GRPC", PATH).ok().flatten().unwrap_or_default();
        let file: Option<toml::Table> = text.parse().ok();
        file.is_some_and(|file| file.get("enabled").and_then(toml::Value::as_bool) == Some(true))
    }

    /// Takes its clients' places and its connections to nodes from the first front's.
    pub fn read(text: &str, config: &mut Config) -> Result<Option<GrpcFront>, ConfigError> {
        let reader = toml::Deserializer::parse(text).map_err(|e| {
            unreadable(format!("line {} of the gRPC front's file", line(text, e.span())), e.message())
        })?;
        let file: File = serde_path_to_error::deserialize(reader).map_err(|error| {
            let at = line(text, error.inner().span());
            let what = format!("key {} in line {at} of the gRPC front's file", error.path());
            unreadable(what, error.inner().message())
        })?;
        if !file.enabled {
            return Ok(None);
        }
        let faults = Faults(text);
        let listen = file.listen.ok_or(ConfigError::Missing("listen of the gRPC front's file"))?;
        let mut clients = ClientLimits {
            most: faults.bounded("clients", file.clients.as_ref(), CLIENTS, 1..=MOST_CLIENTS)?,
            spare: 0,
            most_idle: MOST_CLIENTS,
            request: REQUEST_TIME,
            idle: IDLE,
            idle_if_many: IDLE_IF_MANY,
        };
        config.share_places(&mut clients);
        let mut channels = faults.channels(&file.channels)?;
        channels.max_channels = config.share_node_connections(channels.max_channels);
        let windows = config.memory_plan.windows();
        let client_window =
            (windows / (clients.most + clients.spare)).clamp(STREAM_WINDOW, MOST_CLIENT_WINDOW);
        // What windows allow on all channels together must fit: with little memory, streams are fewer.
        channels.max_streams =
            channels.max_streams.min(windows / channels.max_channels / STREAM_WINDOW).max(1);
        let node_window =
            (windows / channels.max_channels / channels.max_streams).clamp(STREAM_WINDOW, MOST_STREAM_WINDOW);
        let most_calls = config.memory / (1024 * 1024) * CALLS_PER_MB;
        let mut routes = Routes::default();
        for (i, route) in file.routes.iter().enumerate() {
            let read = faults.route(i, route, &config.settings, &config.names)?;
            let path = route.path.get_ref();
            routes.insert(path, read).map_err(|wrong| {
                faults.at(format!("routes[{i}].path"), &route.path, format!("{path:?}: {wrong}"))
            })?;
        }
        if routes.is_empty() {
            return Err(ConfigError::Missing("routes of the gRPC front's file"));
        }
        Ok(Some(GrpcFront {
            listen,
            node_port: file.node_port,
            clients,
            streams: faults.bounded("streams", file.streams.as_ref(), STREAMS, 1..=100_000)?,
            calls: faults.bounded("calls", file.calls.as_ref(), most_calls, 1..=usize::MAX)?.min(most_calls),
            hold: faults
                .bounded("hold_bytes", file.hold_bytes.as_ref(), HOLD, 1..=usize::MAX)?
                .min(config.most_held),
            stream_window: STREAM_WINDOW as u32,
            client_window: client_window as u32,
            header_bytes: HEADER_BYTES,
            request_time: REQUEST_TIME,
            patience: Duration::from_millis(faults.bounded(
                "patience_ms",
                file.patience_ms.as_ref(),
                PATIENCE_MS,
                1..=86_400_000,
            )?),
            channels,
            node_window: node_window as u32,
            sources: faults.sources(file.metadata, &config.settings)?,
            routes,
        }))
    }
}

/// Words faults with the line at which a value stands.
struct Faults<'a>(&'a str);

fn line(text: &str, span: Option<std::ops::Range<usize>>) -> usize {
    let start = span.map_or(0, |span| span.start).min(text.len());
    text.as_bytes()[..start].iter().filter(|byte| **byte == b'\n').count() + 1
}

impl Faults<'_> {
    fn at<T>(&self, key: String, value: &Spanned<T>, why: impl ToString) -> ConfigError {
        let at = line(self.0, Some(value.span()));
        unreadable(format!("key {key} in line {at} of the gRPC front's file"), why)
    }

    fn bounded<T: PartialOrd + Copy + std::fmt::Display>(
        &self,
        key: &str,
        value: Option<&Spanned<T>>,
        default: T,
        range: std::ops::RangeInclusive<T>,
    ) -> Result<T, ConfigError> {
        match value {
            None => Ok(default),
            Some(value) if range.contains(value.get_ref()) => Ok(*value.get_ref()),
            Some(value) => {
                let why = format!("{} is not from {} to {}", value.get_ref(), range.start(), range.end());
                Err(self.at(key.to_string(), value, why))
            }
        }
    }

    fn channels(&self, keys: &ChannelKeys) -> Result<ChannelLimits, ConfigError> {
        let time = |key: &str, value: &Option<Spanned<u64>>, default: u64| {
            let ms = self.bounded(&format!("channels.{key}"), value.as_ref(), default, 1..=86_400_000)?;
            Ok::<Micros, ConfigError>(ms * 1000)
        };
        let ping_after = time("keepalive_ms", &keys.keepalive_ms, 2_000)?;
        Ok(ChannelLimits {
            max_channels: self.bounded("channels.most", keys.most.as_ref(), 64, 1..=65_536)?,
            max_per_node: self.bounded("channels.per_node", keys.per_node.as_ref(), 2, 1..=64)?,
            max_streams: self.bounded("channels.streams", keys.streams.as_ref(), 32, 1..=10_000)?,
            idle_timeout: time("idle_ms", &keys.idle_ms, 60_000)?,
            ping_after,
            ping_timeout: time("patience_ms", &keys.patience_ms, 1_000)?,
            backoff: 100_000,
            max_backoff: 5_000_000,
        })
    }

    fn source(
        &self,
        key: &str,
        given: Option<SourceKeys>,
        name: &'static str,
        default: Option<&str>,
    ) -> Result<Source, ConfigError> {
        let Some(given) = given else {
            return Ok(Source {
                metadata: HeaderName::from_static(name),
                default: default.map(str::to_string),
            });
        };
        let metadata = given.name.get_ref().parse::<HeaderName>();
        let sound = metadata.ok().filter(|name| !name.as_str().starts_with("grpc-"));
        let metadata = sound.ok_or_else(|| {
            let why = format!("{:?} is no name of metadata for this", given.name.get_ref());
            self.at(format!("metadata.{key}.name"), &given.name, why)
        })?;
        Ok(Source { metadata, default: given.default.map(Spanned::into_inner) })
    }

    fn sources(&self, keys: MetadataKeys, settings: &Settings) -> Result<Sources, ConfigError> {
        let spans: Vec<(&str, Option<Spanned<String>>)> = vec![
            ("shard", keys.shard.as_ref().and_then(|k| k.default.clone())),
            ("hosts", keys.hosts.as_ref().and_then(|k| k.default.clone())),
            ("units", keys.units.as_ref().and_then(|k| k.default.clone())),
        ];
        let sources = Sources {
            volume: self.source("volume", keys.volume, "x-volume", None)?,
            key: self.source("key", keys.key, "x-key", None)?,
            shard: self.source("shard", keys.shard, "x-shard", None)?,
            hosts: self.source("hosts", keys.hosts, "x-hosts", Some("1"))?,
            units: self.source("units", keys.units, "x-units", None)?,
            shards: keys.shards,
            max_units: settings.max_units.max(1.0),
            most_hosts: f64::from(settings.hosts.max(1)),
        };
        for (name, default) in spans {
            if let Some(default) = default {
                let text = default.get_ref();
                let sound = match name {
                    "shard" => shard(text).is_some(),
                    "hosts" => sources.hosts_in(text).is_some(),
                    _ => sources.units_in(text).is_some(),
                };
                if !sound {
                    let why = format!("{text:?} is none");
                    return Err(self.at(format!("metadata.{name}.default"), &default, why));
                }
            }
        }
        Ok(sources)
    }

    fn route(
        &self,
        i: usize,
        keys: &RouteKeys,
        settings: &Settings,
        names: &Names,
    ) -> Result<Route, ConfigError> {
        let place = |list: &[String], key: &str, value: &Spanned<String>| {
            let found = list.iter().position(|known| known == value.get_ref());
            found.ok_or_else(|| {
                let why = format!("the settings have no {:?}", value.get_ref());
                self.at(format!("routes[{i}].{key}"), value, why)
            })
        };
        let class = place(&names.classes, "class", &keys.class)?;
        let most = settings.max_units.max(1.0);
        let units = self.bounded(&format!("routes[{i}].units"), keys.units.as_ref(), 1.0, 0.0..=most)?;
        let streams = match &keys.request {
            None => false,
            Some(kind) => match kind.get_ref().as_str() {
                "whole" => false,
                "stream" => true,
                _ => {
                    let key = format!("routes[{i}].request");
                    return Err(self.at(key, kind, "it must be \"whole\" or \"stream\""));
                }
            },
        };
        Ok(Route {
            class,
            plan: place(&names.plans, "plan", &keys.plan)?,
            units,
            wait: Duration::from_micros(settings.classes[class].deadline),
            streams_request: streams,
            early_headers: keys.early_headers,
        })
    }
}

fn shard(text: &str) -> Option<Option<u16>> {
    if text == "-1" { Some(None) } else { text.parse().ok().map(Some) }
}

/// 16 hex digits stand for themselves, as on the platform; any other text for its hash.
fn number(text: &str) -> u64 {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits).unwrap_or_else(|| fnv(text.as_bytes()))
}

impl Sources {
    fn hosts_in(&self, text: &str) -> Option<f64> {
        text.parse().ok().filter(|hosts| (1.0..=self.most_hosts).contains(hosts))
    }

    fn units_in(&self, text: &str) -> Option<f64> {
        text.parse().ok().filter(|units| (0.0..=self.max_units).contains(units))
    }

    /// `Err`: the metadata at fault.
    pub fn read(
        &self,
        route: &Route,
        path: &str,
        metadata: &HeaderMap,
    ) -> Result<CallMetadata, &'static str> {
        let volume =
            self.volume.text(metadata, "volume's metadata")?.ok_or("volume's metadata is missing")?;
        let key = match self.key.text(metadata, "key's metadata")? {
            Some(text) => number(text),
            None => fnv(format!("{path}\n{volume}").as_bytes()),
        };
        let shard = match self.shard.text(metadata, "shard's metadata")? {
            Some(text) => shard(text).ok_or("shard's metadata is no shard")?,
            None if self.shards.is_empty() => None,
            None => Some(self.shards[(key % self.shards.len() as u64) as usize]),
        };
        let hosts = match self.hosts.text(metadata, "hosts' metadata")? {
            Some(text) => self.hosts_in(text).ok_or("hosts' metadata is no number of hosts")?,
            None => 1.0,
        };
        let units = match self.units.text(metadata, "units' metadata")? {
            Some(text) => self.units_in(text).ok_or("units' metadata is no number of units")?,
            None => route.units,
        };
        Ok(CallMetadata { volume: number(volume), key, shard, hosts, units })
    }
}

impl Source {
    /// The only value of that name, or the default. Of two it could not be said which one holds.
    fn text<'a>(
        &'a self,
        metadata: &'a HeaderMap,
        what: &'static str,
    ) -> Result<Option<&'a str>, &'static str> {
        let mut values = metadata.get_all(&self.metadata).iter();
        match (values.next(), values.next()) {
            (None, _) => Ok(self.default.as_deref()),
            (Some(value), None) => {
                let text = value.to_str().ok().filter(|text| {
                    (1..=MOST_VALUE).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
                });
                text.map(Some).ok_or(what)
            }
            _ => Err(what),
        }
    }
}

#[cfg(test)]
mod tests;
