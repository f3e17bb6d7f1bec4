//! What a process says of itself, to Cap'n Proto.

use super::replica::write_member;
use crate::internal_capnp as wire;
use crate::message::{CoreStatus, Hello, ProcessRole};

pub(super) fn write_hello(hello: &Hello, mut out: wire::hello::Builder<'_>) {
    out.set_role(match hello.role {
        ProcessRole::Edge => wire::Role::Edge,
        ProcessRole::Core => wire::Role::Core,
    });
    out.set_name(&hello.name);
    out.set_zone(&hello.zone);
    out.set_incarnation(hello.incarnation);
    out.set_accepts_compression(hello.accepts_compression);
    out.set_compares_states(hello.compares_states);
    out.set_command_format(hello.command_format);
}

pub(super) fn write_core(status: &CoreStatus, mut out: wire::core::Builder<'_>) {
    write_list!(status.members, out.reborrow().init_members(status.members.len() as u32), write_member);
    out.set_leader(&status.leader);
    out.set_edges(status.edges);
    out.set_wall_clock_ms(status.wall_clock_ms);
    out.set_zone(&status.zone);
    out.set_configuration_index(status.configuration_index);
    out.set_current(status.current);
}
