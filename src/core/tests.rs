use super::*;
use crate::clock::micros;
use crate::config::{ListedNode, ListedState, fnv};
use bytes::Bytes;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::oneshot;

/// A source of attempts with a set end, or none, that report when they are dropped.
struct ScriptedAttempts {
    end: Option<AttemptEnd>,
    panics: bool,
    starts_writing: bool,
    dropped: mpsc::UnboundedSender<()>,
}

struct DropReport(mpsc::UnboundedSender<()>);

impl Drop for DropReport {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl AttemptSource for ScriptedAttempts {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let (end, panics, dropped) = (self.end, self.panics, DropReport(self.dropped.clone()));
        if self.starts_writing {
            context.write_state.mark_started();
        }
        Box::pin(async move {
            let _dropped = dropped;
            assert!(!panics, "the attempt panics as the test requires");
            match end {
                Some(end) => end.into(),
                None => std::future::pending().await,
            }
        })
    }
}

fn with_core<T>(test: impl AsyncFnOnce(Handle) -> T) -> T {
    with_core_of(Settings::default(), nodes(ListedState::InService), test)
}

fn with_core_of<T>(settings: Settings, list: Input, test: impl AsyncFnOnce(Handle) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let class = Class { target: 5_000_000, deadline: 10_000_000, value: 1.0, ..Class::default() };
    let settings = Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..settings };
    runtime.block_on(async {
        let (core, _wanted) = Core::new(settings, 7, 10, Clock::start());
        let handle = core.handle();
        tokio::spawn(core.run());
        handle.send(list);
        // Fails a test that would never end.
        tokio::time::timeout(Duration::from_secs(20), test(handle))
            .await
            .expect("the test did not end within 20 s")
    })
}

#[test]
fn the_margin_is_at_most_a_tenth_of_the_wait() {
    let ms = Duration::from_millis;
    for (wait, remaining) in [(3_000, 2_975), (400, 375), (250, 225), (100, 90), (30, 27), (10, 9), (0, 0)] {
        assert_eq!(wait_less_margin(ms(wait), ms(25)), ms(remaining), "{wait}");
    }
}

fn nodes(state: ListedState) -> Input {
    let (id, addr) = ("s-1".to_string(), "127.0.0.1:1".to_string());
    let node = ListedNode { id, addr, zone: "a".into(), cell: 0, state, started_ms: 0 };
    Input::Nodes { update: ListUpdate::Changes, nodes: vec![node] }
}

/// Such as an attempt whose connection is not yet established when the node list becomes overdue.
#[test]
fn attempts_not_yet_written_are_dropped_when_the_node_list_becomes_overdue() {
    let settings = Settings {
        must_subscribe: true,
        max_unsubscribed: 100_000,
        drain_grace: 50_000,
        ..Settings::default()
    };
    let Input::Nodes { nodes: known, .. } = nodes(ListedState::InService) else { unreachable!() };
    with_core_of(settings, Input::Nodes { update: ListUpdate::Cached, nodes: known }, async |handle| {
        let (unsent_tx, mut unsent_dropped) = mpsc::unbounded_channel();
        let (started_tx, mut started_dropped) = mpsc::unbounded_channel();
        let work = |starts_writing, dropped| {
            Arc::new(ScriptedAttempts { end: None, panics: false, starts_writing, dropped })
        };
        let _started = handle.submit(arrival(LONG), work(true, started_tx)).unwrap();
        let unsent = handle.submit(arrival(Duration::from_secs(1)), work(false, unsent_tx)).unwrap();
        unsent_dropped.recv().await.expect("the attempt was dropped");
        assert!(matches!(unsent.await, Answer::Refused(_)));
        assert!(started_dropped.try_recv().is_err(), "the started attempt continues");
        assert!(unsent_dropped.try_recv().is_err(), "no other attempt was made");
    });
}

/// Reports the address of each attempt and answers at once.
struct AddressReport(mpsc::UnboundedSender<String>);

impl AttemptSource for AddressReport {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let _ = self.0.send(context.address);
        Box::pin(async { AttemptEnd::Answered.into() })
    }
}

#[test]
fn attempts_use_the_latest_address_of_a_node_that_did_not_restart() {
    with_core(async |handle| {
        let (address_tx, mut addresses) = mpsc::unbounded_channel();
        for (update, address) in [
            (ListUpdate::Changes, "127.0.0.1:2"),
            (ListUpdate::Full, "127.0.0.1:3"),
            (ListUpdate::Cached, "127.0.0.1:4"),
        ] {
            let Input::Nodes { mut nodes, .. } = nodes(ListedState::InService) else { unreachable!() };
            nodes[0].addr = address.to_string();
            handle.send(Input::Nodes { update, nodes });
            let pending = handle.submit(arrival(LONG), Arc::new(AddressReport(address_tx.clone()))).unwrap();
            assert!(matches!(pending.await, Answer::Served(_)), "{update:?}");
            assert_eq!(addresses.recv().await.as_deref(), Some(address), "{update:?}");
        }
        assert!(addresses.try_recv().is_err(), "one attempt each");
    });
}

fn arrival(wait: Duration) -> Arrival {
    let answer_by = Instant::now() + wait;
    let (volume, key, class, plan) = (1, 1, 0, 0);
    Arrival {
        volume,
        key,
        class,
        plan,
        units: 1.0,
        volume_hosts: 1.0,
        repeat: false,
        shard: Some(0),
        answer_by,
        body_time: None,
    }
}

const LONG: Duration = Duration::from_secs(3600);

/// Returns the answer to a request whose attempts end as given.
fn answer_to(end: Option<AttemptEnd>, panics: bool, wait: Duration) -> Answer {
    with_core(async |handle| {
        let (dropped, _kept) = mpsc::unbounded_channel();
        let work = Arc::new(ScriptedAttempts { end, panics, starts_writing: true, dropped });
        handle.submit(arrival(wait), work).unwrap().await
    })
}

#[test]
fn every_request_gets_exactly_one_answer_however_its_attempt_ends() {
    let served = Answer::Served(Bytes::new());
    assert_eq!(answer_to(Some(AttemptEnd::Answered), false, LONG), served);
    // The class forbids retries: a request that may have run fails.
    assert_eq!(answer_to(Some(AttemptEnd::Broke), false, LONG), Answer::Failed);
    assert_eq!(answer_to(None, true, LONG), Answer::Failed);
    assert_eq!(answer_to(None, false, Duration::from_millis(50)), Answer::Failed);
    assert!(matches!(answer_to(Some(AttemptEnd::TurnedAway), false, LONG), Answer::Refused(_)));
}

#[test]
fn an_attempt_of_which_nothing_was_written_is_dropped_when_its_client_or_node_leaves() {
    for node_leaves in [false, true] {
        with_core(async |handle| {
            let (dropped, mut drops) = mpsc::unbounded_channel();
            let work =
                Arc::new(ScriptedAttempts { end: None, panics: false, starts_writing: false, dropped });
            let pending = handle.submit(arrival(LONG), work).unwrap();
            tokio::task::yield_now().await;
            if node_leaves {
                handle.send(nodes(ListedState::Terminating));
                assert_eq!(drops.recv().await, Some(()), "dropped while its client still waits");
            }
            drop(pending);
            // The channel closes when the core has removed the request, so no further attempt can follow.
            while drops.recv().await.is_some() {}
            assert_eq!(handle.open(), 0);
        });
    }
}

/// A node starts a request with its last byte: if the client leaves before that byte is written, the attempt
/// is dropped.
#[test]
fn only_an_attempt_that_is_not_written_completely_is_dropped_when_its_client_leaves() {
    for whole in [false, true] {
        with_core(async |handle| {
            let (dropped, mut drops) = mpsc::unbounded_channel();
            let work = Arc::new(SilentAttempt { whole, dropped });
            let pending = handle.submit(arrival(LONG), work).unwrap();
            tokio::task::yield_now().await;
            drop(pending);
            // The next request is handled after the event that the client left.
            let (address_tx, mut addresses) = mpsc::unbounded_channel();
            let next = handle.submit(arrival(LONG), Arc::new(AddressReport(address_tx))).unwrap();
            assert!(matches!(next.await, Answer::Served(_)));
            assert!(addresses.recv().await.is_some());
            assert_eq!(drops.try_recv().is_ok(), !whole);
        });
    }
}

/// Writes a part of the request or all of it, and gets no answer.
struct SilentAttempt {
    whole: bool,
    dropped: mpsc::UnboundedSender<()>,
}

impl AttemptSource for SilentAttempt {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let dropped = DropReport(self.dropped.clone());
        context.write_state.mark_started();
        if self.whole {
            context.write_state.mark_complete();
        }
        Box::pin(async move {
            let _dropped = dropped;
            std::future::pending().await
        })
    }
}

/// The first attempt breaks at once. The second writes as much as `written` says and answers after the retry
/// window.
struct SlowRetry {
    written: Written,
    attempted: AtomicBool,
}

#[derive(Clone, Copy, Debug)]
enum Written {
    Nothing,
    Some,
    All,
}

const WINDOW: Duration = Duration::from_secs(1);

impl AttemptSource for SlowRetry {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let (written, again) = (self.written, self.attempted.swap(true, Ordering::Relaxed));
        Box::pin(async move {
            if !again {
                context.write_state.mark_started();
                context.write_state.mark_complete();
                return AttemptEnd::Broke.into();
            }
            if !matches!(written, Written::Nothing) {
                context.write_state.mark_started();
            }
            if matches!(written, Written::All) {
                context.write_state.mark_complete();
            }
            tokio::time::sleep(WINDOW).await;
            AttemptEnd::Answered.into()
        })
    }
}

/// If the connection of a retry were established after the window, the node would no longer recognize the
/// retry and would run the request a second time.
#[test]
fn a_retry_that_is_not_written_within_its_window_is_never_written() {
    for written in [Written::Nothing, Written::Some, Written::All] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let answer = runtime.block_on(async {
            let class = Class {
                target: 5_000_000,
                deadline: 10_000_000,
                value: 1.0,
                repeats: Repeats::Keyed,
                window: micros(WINDOW),
                ..Class::default()
            };
            let settings =
                Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
            let (core, _wanted) = Core::new(settings, 7, 10, Clock::start());
            let handle = core.handle();
            tokio::spawn(core.run());
            handle.send(nodes(ListedState::InService));
            let work = Arc::new(SlowRetry { written, attempted: AtomicBool::new(false) });
            handle.submit(arrival(LONG), work).unwrap().await
        });
        let served = answer == Answer::Served(Bytes::new());
        assert_eq!(served, matches!(written, Written::All), "{written:?}: {answer:?}");
    }
}

#[test]
fn requests_beyond_the_limit_on_open_requests_are_rejected() {
    with_core(async |handle| {
        let (dropped, _kept) = mpsc::unbounded_channel();
        let submit = || {
            let work =
                ScriptedAttempts { end: None, panics: false, starts_writing: true, dropped: dropped.clone() };
            handle.submit(arrival(LONG), Arc::new(work))
        };
        let mut held: Vec<_> = (0..10).map(|_| submit().unwrap()).collect();
        assert!(submit().is_none());
        held.pop();
        assert!(submit().is_some());
    });
}

#[test]
fn a_removed_node_is_released_with_its_number_once_it_has_no_attempt_in_flight() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let class = Class { deadline: 10_000_000, value: 1.0, ..Class::default() };
        let settings = Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
        let (mut core, _wanted) = Core::new(settings, 7, 10, Clock::start());
        let node = |i: u32, state| {
            let (id, addr) = (format!("s-{i}"), "127.0.0.1:1".to_string());
            ListedNode { id, addr, zone: "a".into(), cell: 0, state, started_ms: 0 }
        };
        let (dropped, _kept) = mpsc::unbounded_channel();
        let work = Arc::new(ScriptedAttempts { end: None, panics: false, starts_writing: true, dropped });
        core.on_input(Input::Nodes {
            update: ListUpdate::Full,
            nodes: vec![node(0, ListedState::InService)],
        });
        core.request(1, arrival(LONG), work, oneshot::channel().0);
        for i in 1..100 {
            let nodes = vec![node(i - 1, ListedState::Terminated), node(i, ListedState::InService)];
            core.on_input(Input::Nodes { update: ListUpdate::Changes, nodes });
        }
        // The first node still has an attempt in flight, the last one is in service.
        let held = |core: &Core| (core.nodes.len(), core.ids.texts.len(), core.known.len());
        assert_eq!(held(&core), (2, 2, 1));
        core.on_input(Input::Report { id: 1, attempt: 0, report: AttemptEnd::Broke.into() });
        assert_eq!(held(&core), (1, 1, 1));
        core.on_input(Input::Nodes { update: ListUpdate::Full, nodes: Vec::new() });
        assert_eq!(held(&core), (0, 0, 0));
    });
}

#[test]
fn the_policys_probes_and_messages_to_peers_are_sent() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        for probing in [true, false] {
            // With 40 hosts each one alone sees too little of a node.
            let class = Class { target: 1_000_000, deadline: 10_000_000, value: 1.0, ..Class::default() };
            let settings = Settings {
                hosts: 40,
                classes: vec![class],
                max_attempts: 3,
                peers: true,
                probing,
                reports: Reports::Probes,
                ..Settings::default()
            };
            let (mut core, _wanted) = Core::new(settings, 7, 10, Clock::start());
            let ((peer_sender, mut messages), (address_tx, mut probed)) =
                (PeerSender::new(), mpsc::unbounded_channel());
            core.set_peer_sender(peer_sender);
            core.set_probes(Box::new(AddressReport(address_tx)));
            core.on_input(nodes(ListedState::InService));
            let (dropped, _kept) = mpsc::unbounded_channel();
            let work = Arc::new(ScriptedAttempts { end: None, panics: false, starts_writing: true, dropped });
            core.request(1, arrival(LONG), work, oneshot::channel().0);
            if probing {
                assert_eq!(probed.try_recv().as_deref(), Ok("127.0.0.1:1"));
                let Some(Input::Probed { node, report, .. }) = core.inputs.recv().await else {
                    panic!("a probe reports its result")
                };
                core.on_input(Input::Probed { node, latency: 1, report });
                assert!(probed.try_recv().is_err(), "one is enough");
            } else {
                assert!(probed.try_recv().is_err(), "the settings forbid it");
                core.on_input(Input::Report { id: 1, attempt: 0, report: AttemptEnd::TurnedAway.into() });
                let Message { to, bytes } = messages.try_recv().unwrap();
                assert_eq!(to, None);
                // The message is accepted as it was sent; truncated, repeated and foreign ones have no
                // visible effect.
                for bytes in [&bytes[..], &bytes, &bytes[..2], &[], &[0xff; 256]] {
                    core.on_input(Input::Peer { from: 3, bytes: bytes.to_vec() });
                }
            }
        }
    });
}

#[test]
fn a_request_bound_to_an_attempt_gets_no_other_attempt() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let class = Class { deadline: 10_000_000, value: 1.0, repeats: Repeats::Safe, ..Class::default() };
        let settings = Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
        let (mut core, _wanted) = Core::new(settings, 7, 10, Clock::start());
        let (dropped, _kept) = mpsc::unbounded_channel();
        core.on_input(nodes(ListedState::InService));
        for (id, bind_first) in [(1, false), (2, true)] {
            let work = Arc::new(ScriptedAttempts {
                end: None,
                panics: false,
                starts_writing: true,
                dropped: dropped.clone(),
            });
            let (answer, mut answered) = oneshot::channel();
            core.request(id, arrival(LONG), work, answer);
            let mut bind = |attempt| {
                let (granted, mut answer) = oneshot::channel();
                core.on_input(Input::Bind { id, attempt, granted });
                answer.try_recv().unwrap()
            };
            if bind_first {
                assert!(bind(0) && bind(0), "the same attempt may bind again");
                assert!(!bind(1), "there is no such attempt");
            }
            core.on_input(Input::Report { id, attempt: 0, report: AttemptEnd::Broke.into() });
            // The class allows a retry, but a part of the answer may have been sent to the client.
            assert_eq!(answered.try_recv().is_ok(), bind_first);
            let (granted, mut answer) = oneshot::channel();
            core.on_input(Input::Bind { id, attempt: 0, granted });
            assert!(!answer.try_recv().unwrap(), "an attempt that has ended cannot bind");
            core.on_input(Input::ClientLeft { id });
        }
    });
}

#[test]
fn node_ids_are_stable_and_survive_a_collision() {
    let mut ids = NodeIds::default();
    let first = ids.of("s-5be2a07c");
    assert_eq!(first, NodeIds::default().of("s-5be2a07c"));
    ids.texts.insert(fnv(b"s-2") as NodeId, "another".to_string());
    let moved = ids.of("s-2");
    assert_eq!(moved, (fnv(b"s-2") as NodeId).wrapping_add(1));
    assert_eq!((ids.of("s-2"), ids.of("s-5be2a07c")), (moved, first));
}

/// A client that leaves at a given point of its request while the core is not notified. Counts the attempts
/// that are made, and those that write.
#[derive(Default)]
struct LeavingClient {
    client_left: Arc<AtomicBool>,
    /// Notified when the connection that an attempt waits for is established.
    connected: Arc<tokio::sync::Notify>,
    attempts: Arc<AtomicUsize>,
    written: Arc<AtomicUsize>,
    /// Number of attempts that fail before one succeeds.
    fails: usize,
}

impl AttemptSource for LeavingClient {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let before = self.attempts.fetch_add(1, Ordering::Relaxed);
        let (connected, written, fails, client_left) =
            (self.connected.clone(), self.written.clone(), before < self.fails, self.client_left.clone());
        Box::pin(async move {
            if fails {
                // The client leaves between this attempt and the next.
                client_left.store(true, Ordering::Relaxed);
                return AttemptEnd::NoConnection.into();
            }
            connected.notified().await;
            if !context.write_state.may_start_writing() {
                return AttemptEnd::BrokeUnsent.into();
            }
            context.write_state.mark_started();
            written.fetch_add(1, Ordering::Relaxed);
            AttemptEnd::Answered.into()
        })
    }

    fn client_left(&self) -> bool {
        self.client_left.load(Ordering::Relaxed)
    }
}

#[test]
fn a_request_is_not_written_after_its_client_left_though_the_core_is_not_notified() {
    for (when, fails, attempts) in [
        ("before the policy decides", 0, 1),
        ("while an attempt connects", 0, 1),
        ("between two attempts", 1, 2),
    ] {
        with_core(async |handle| {
            let work = Arc::new(LeavingClient { fails, ..LeavingClient::default() });
            let (early, between) = (when.starts_with("before"), fails > 0);
            work.client_left.store(early, Ordering::Relaxed);
            if early || between {
                work.connected.notify_one();
            }
            let pending = handle.submit(arrival(LONG), work.clone()).unwrap();
            if !early && !between {
                while work.attempts.load(Ordering::Relaxed) == 0 {
                    tokio::task::yield_now().await;
                }
                // The connection is established in the same turn in which the client leaves.
                work.client_left.store(true, Ordering::Relaxed);
                work.connected.notify_one();
            }
            assert_eq!(pending.await, Answer::Failed, "{when}: the client does not get the answer");
            // The next request is handled after all events that were queued.
            let next = Arc::new(LeavingClient::default());
            let pending = handle.submit(arrival(LONG), next.clone()).unwrap();
            next.connected.notify_one();
            assert!(matches!(pending.await, Answer::Served(_)), "{when}");
            let seen = (work.attempts.load(Ordering::Relaxed), work.written.load(Ordering::Relaxed));
            assert_eq!(seen, (attempts, 0), "{when}");
            assert_eq!(handle.open(), 0, "{when}");
        });
    }
}

/// The attempt's answer and its time-out, or the client's deadline, are both pending when the event loop
/// runs.
#[test]
fn an_answer_takes_precedence_over_a_time_out_in_the_same_turn() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for (answers, late) in [(true, false), (true, true), (false, true)] {
        let got = runtime.block_on(async {
            let class = Class { target: 5_000_000, deadline: 10_000_000, value: 1.0, ..Class::default() };
            let settings =
                Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
            let (mut core, _wanted) = Core::new(settings, 7, 10, Clock::start());
            let (dropped, _kept) = mpsc::unbounded_channel();
            let work = Arc::new(ScriptedAttempts { end: None, panics: false, starts_writing: true, dropped });
            let (answer, answered) = oneshot::channel();
            core.on_input(nodes(ListedState::InService));
            let wait = Duration::from_millis(if late { 20 } else { 3_600_000 });
            core.request(1, arrival(wait), work, answer);
            if late {
                tokio::time::sleep(wait * 2).await;
            }
            if answers {
                core.handle().send(Input::Report { id: 1, attempt: 0, report: AttemptEnd::Answered.into() });
            }
            // A second report of the same attempt has no effect, nor has one of an attempt that does not
            // exist.
            core.handle().send(Input::Report { id: 1, attempt: 0, report: AttemptEnd::TimedOut.into() });
            core.handle().send(Input::Report { id: 1, attempt: 1, report: AttemptEnd::Answered.into() });
            let running = tokio::spawn(core.run());
            let got = tokio::time::timeout(Duration::from_secs(20), answered)
                .await
                .expect("no answer within 20 s")
                .unwrap();
            running.abort();
            got
        });
        let wanted = if answers { Answer::Served(Bytes::new()) } else { Answer::Failed };
        assert_eq!(got, wanted, "answers {answers}, late {late}");
    }
}
