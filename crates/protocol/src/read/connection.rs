//! What a process says of itself, from Cap'n Proto.

use super::replica::read_members;
use super::{Decoded, text};
use crate::internal_capnp as wire;
use crate::message::{CoreStatus, Hello, ProcessRole};

pub(super) fn read_hello(hello: wire::hello::Reader<'_>) -> Decoded<Hello> {
    let role = match hello.get_role()? {
        wire::Role::Edge => ProcessRole::Edge,
        wire::Role::Core => ProcessRole::Core,
    };
    let (name, zone) = (text(hello.get_name()?)?, text(hello.get_zone()?)?);
    let accepts_compression = hello.get_accepts_compression();
    let compares_states = hello.get_compares_states();
    Ok(Hello {
        role,
        name,
        zone,
        incarnation: hello.get_incarnation(),
        accepts_compression,
        compares_states,
        command_format: hello.get_command_format(),
    })
}

pub(super) fn read_core(status: wire::core::Reader<'_>) -> Decoded<CoreStatus> {
    Ok(CoreStatus {
        members: read_members(status.get_members()?)?,
        leader: text(status.get_leader()?)?,
        edges: status.get_edges(),
        wall_clock_ms: status.get_wall_clock_ms(),
        zone: text(status.get_zone()?)?,
        configuration_index: status.get_configuration_index(),
        current: status.get_current(),
    })
}
