//! A case of many heads and one list: watches that fall silent, then nodes that leave.

use super::cases::Case;
use super::stage::{Discovery, Head, HttpClient, Setup, Site, entry};
use super::storage_node::{Seen, StandInNode};
use super::{Outcome, check, expect};
use std::path::Path;

pub const CASES: &[Case] = &[Case {
    name: "leaving",
    about: "heads whose watches fall silent give a leaving node no work, with the list in time or without",
    play: leaving,
}];

/// Few enough to ask at once: a crowd's draws are played in virtual time.
const HEADS: u32 = 8;
const ASKED: usize = 6;

fn requests(storage_node: &StandInNode) -> usize {
    storage_node.seen.try_iter().filter(|seen| matches!(seen, Seen::Request { .. })).count()
}

/// Every head's clients ask; all answers have this status.
fn ask(clients: &mut [HttpClient], timeout_ms: u64, status: u16) -> Outcome {
    for client in clients {
        for _ in 0..ASKED {
            let (got, head, _) = client.ask("token-read", timeout_ms, b"")?;
            expect(got, status, "the answer's status")?;
            let later = HttpClient::retry_after(&head).is_some();
            check(status != 503 || later, "a refusal says when to come back")?;
        }
    }
    Ok(())
}

fn logged(heads: &[Head], text: &str) -> Outcome {
    heads.iter().try_for_each(|head| head.logged(text).map(drop))
}

fn leaving(program: &Path) -> Outcome {
    let storage_nodes = [StandInNode::start("b-1")?, StandInNode::start("b-2")?, StandInNode::start("b-3")?];
    let [first, second, third] = &storage_nodes;
    let nodes =
        vec![entry("s-1", first.address, 0, "in_service"), entry("s-2", second.address, 0, "in_service")];
    let discovery = Discovery::start(nodes.clone())?;
    let head = |number| {
        let setup = Setup { name: format!("n{number}"), number, heads: HEADS, ..Setup::default() };
        Head::start(program, &setup, discovery.address, nodes.clone())
    };
    let heads = (0..HEADS).map(head).collect::<Outcome<Vec<Head>>>()?;
    let mut clients =
        heads.iter().map(|head| HttpClient::connect(head.http)).collect::<Outcome<Vec<HttpClient>>>()?;
    ask(&mut clients, 5_000, 200)?;
    check(requests(first) + requests(second) == HEADS as usize * ASKED, "each request went out once")?;

    // Renewed in time: the node's leaving is heard of on the new watch alone.
    discovery.fall_silent();
    discovery.change(entry("s-1", first.address, 0, "terminating"));
    logged(&heads, "silent past its beat")?;
    logged(&heads, "node=\"s-1\" address=")?;
    requests(first);
    ask(&mut clients, 5_000, 200)?;
    expect(requests(first), 0, "requests at a node that leaves")?;

    // Not renewed: nobody answers any more.
    discovery.fall_silent();
    discovery.fall_deaf(true);
    discovery.change(entry("s-2", second.address, 0, "terminating"));
    discovery.change(entry("s-3", third.address, 0, "in_service"));
    logged(&heads, "silent past its beat")?;
    let pushed = Setup::default().site == Site::Pushed;
    if !pushed {
        logged(&heads, " LIST_OVERDUE ")?;
        requests(second);
        ask(&mut clients, 500, 503)?;
        expect(requests(second), 0, "requests by an overdue list")?;
    }
    // Where lists are pushed an agent that is silent has nothing to tell, and the list that is held is good.
    discovery.fall_deaf(false);
    logged(&heads, "node=\"s-3\" address=")?;
    requests(second);
    ask(&mut clients, 5_000, 200)?;
    expect(requests(second), 0, "requests at the second node that leaves")?;
    check(requests(third) == HEADS as usize * ASKED, "all went to the node that stays")
}
