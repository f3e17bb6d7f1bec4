use super::*;

const MIB: usize = 1_024 * 1_024;

#[test]
fn all_parts_together_fit_into_the_memory() {
    for memory_mib in [32, 48, 64, 192, 2_048] {
        for bits in 0..8 {
            let options = Options { files: bits & 1 != 0, calls: bits & 2 != 0, voter: bits & 4 != 0 };
            let plan = MemoryPlan::new(memory_mib * MIB, options);
            let ProxyMemory { heads, bodies, uploads, answers, streams, file_commands, calls, voter } =
                plan.shares();
            let leased = [&heads, &bodies, &uploads, &answers, &streams].map(MemoryShare::limit);
            let files = file_commands.limit() + plan.file_connections() * FILE_CONNECTION_BYTES;
            let all = leased.into_iter().sum::<usize>()
                + plan.client_connections() * CLIENT_CONNECTION_BYTES
                + plan.node_connections() * NODE_CONNECTION_BYTES
                + if options.files { files } else { 0 }
                + if options.calls { calls.limit() + 2 * plan.windows() } else { 0 }
                + if options.voter { voter.limit() } else { 0 };
            assert!(all <= plan.bytes / WHOLE * SHARED, "{all} bytes of {memory_mib} MiB, {options:?}");
        }
    }
}

#[test]
fn the_longest_call_to_a_voter_fits_into_the_usual_memory() {
    let options = Options { files: true, calls: true, voter: true };
    assert!(MemoryPlan::new(192 * MIB, options).shares().voter.limit() > 16 * MIB);
}
