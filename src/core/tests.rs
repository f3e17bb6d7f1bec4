use super::*;
use crate::clock::micros;
use crate::config::{ListedNode, ListedState, fnv};
use bytes::Bytes;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::oneshot;

/// Attempts that end as told, or never, and that note when they are dropped.
struct Told {
    end: Option<AttemptEnd>,
    panics: bool,
    begins: bool,
    dropped: mpsc::UnboundedSender<()>,
}

struct Dropped(mpsc::UnboundedSender<()>);

impl Drop for Dropped {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

impl AttemptSource for Told {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let (end, panics, dropped) = (self.end, self.panics, Dropped(self.dropped.clone()));
        if self.begins {
            context.write_state.mark_started();
        }
        Box::pin(async move {
            let _dropped = dropped;
            assert!(!panics, "the attempt was told to panic");
            match end {
                Some(end) => end.into(),
                None => std::future::pending().await,
            }
        })
    }
}

fn with_core<T>(play: impl AsyncFnOnce(Handle) -> T) -> T {
    with_core_of(Settings::default(), nodes(ListedState::InService), play)
}

fn with_core_of<T>(settings: Settings, list: Input, play: impl AsyncFnOnce(Handle) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let class = Class { target: 5_000_000, deadline: 10_000_000, value: 1.0, ..Class::default() };
    let settings = Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..settings };
    runtime.block_on(async {
        let (core, _wanted) = Core::new(settings, 7, 10, Clock::start());
        let handle = core.handle();
        tokio::spawn(core.run());
        handle.send(list);
        // Only a test that would never end is ended by this.
        tokio::time::timeout(Duration::from_secs(20), play(handle)).await.expect("stuck")
    })
}

#[test]
fn a_short_wait_is_not_eaten_up_by_what_is_kept_back() {
    let ms = Duration::from_millis;
    for (wait, client_left) in [(3_000, 2_975), (400, 375), (250, 225), (100, 90), (30, 27), (10, 9), (0, 0)]
    {
        assert_eq!(less_margin(ms(wait), ms(25)), ms(client_left), "{wait}");
    }
}

fn nodes(state: ListedState) -> Input {
    let (id, addr) = ("s-1".to_string(), "127.0.0.1:1".to_string());
    let node = ListedNode { id, addr, zone: "a".into(), cell: 0, state, started_ms: 0 };
    Input::Nodes { news: ListUpdate::Changes, nodes: vec![node] }
}

/// As where a connection to a node is still coming up when the list becomes overdue.
#[test]
fn what_has_not_begun_never_does_once_the_list_is_overdue() {
    let asked =
        Settings { must_subscribe: true, ask_within: 100_000, stop_within: 50_000, ..Settings::default() };
    let Input::Nodes { nodes: known, .. } = nodes(ListedState::InService) else { unreachable!() };
    with_core_of(asked, Input::Nodes { news: ListUpdate::Cached, nodes: known }, async |handle| {
        let (tell, mut dropped) = mpsc::unbounded_channel();
        let (begun_tell, mut begun_dropped) = mpsc::unbounded_channel();
        let work = |begins, dropped| Arc::new(Told { end: None, panics: false, begins, dropped });
        let _begun = handle.submit(arrival(LONG), work(true, begun_tell)).unwrap();
        let waits = handle.submit(arrival(Duration::from_secs(1)), work(false, tell)).unwrap();
        dropped.recv().await.expect("the attempt was dropped");
        assert!(matches!(waits.await, Answer::Refused(_)));
        assert!(begun_dropped.try_recv().is_err(), "what has begun goes on");
        assert!(dropped.try_recv().is_err(), "no other attempt was made");
    });
}

/// Tells the address that it was started at.
struct Addressed(mpsc::UnboundedSender<String>);

impl AttemptSource for Addressed {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let _ = self.0.send(context.address);
        Box::pin(async { AttemptEnd::Answered.into() })
    }
}

#[test]
fn a_node_under_a_new_address_without_a_new_start_is_reached_there_alone() {
    with_core(async |handle| {
        let (tell, mut dispatching) = mpsc::unbounded_channel();
        for (news, address) in [
            (ListUpdate::Changes, "127.0.0.1:2"),
            (ListUpdate::Full, "127.0.0.1:3"),
            (ListUpdate::Cached, "127.0.0.1:4"),
        ] {
            let Input::Nodes { mut nodes, .. } = nodes(ListedState::InService) else { unreachable!() };
            nodes[0].addr = address.to_string();
            handle.send(Input::Nodes { news, nodes });
            let pending = handle.submit(arrival(LONG), Arc::new(Addressed(tell.clone()))).unwrap();
            assert!(matches!(pending.await, Answer::Served(_)), "{news:?}");
            assert_eq!(dispatching.recv().await.as_deref(), Some(address), "{news:?}");
        }
        assert!(dispatching.try_recv().is_err(), "one attempt each");
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

/// The answer to a request whose attempts end so.
fn answer_to(end: Option<AttemptEnd>, panics: bool, wait: Duration) -> Answer {
    with_core(async |handle| {
        let (dropped, _kept) = mpsc::unbounded_channel();
        let work = Arc::new(Told { end, panics, begins: true, dropped });
        handle.submit(arrival(wait), work).unwrap().await
    })
}

#[test]
fn every_request_gets_its_one_answer_whatever_becomes_of_its_attempt() {
    let served = Answer::Served(Bytes::new());
    assert_eq!(answer_to(Some(AttemptEnd::Answered), false, LONG), served);
    // The class forbids a repeat: what may have run fails.
    assert_eq!(answer_to(Some(AttemptEnd::Broke), false, LONG), Answer::Failed);
    assert_eq!(answer_to(None, true, LONG), Answer::Failed);
    assert_eq!(answer_to(None, false, Duration::from_millis(50)), Answer::Failed);
    assert!(matches!(answer_to(Some(AttemptEnd::TurnedAway), false, LONG), Answer::Refused(_)));
}

#[test]
fn an_attempt_that_nothing_was_written_of_goes_with_its_client_or_its_node() {
    for node_leaves in [false, true] {
        with_core(async |handle| {
            let (dropped, mut drops) = mpsc::unbounded_channel();
            let work = Arc::new(Told { end: None, panics: false, begins: false, dropped });
            let pending = handle.submit(arrival(LONG), work).unwrap();
            tokio::task::yield_now().await;
            if node_leaves {
                handle.send(nodes(ListedState::Terminating));
                assert_eq!(drops.recv().await, Some(()), "dropped while its client still waits");
            }
            drop(pending);
            // Once the request is forgotten nothing holds its work, so that no further attempt can follow.
            while drops.recv().await.is_some() {}
            assert_eq!(handle.open(), 0);
        });
    }
}

/// A node begins with a request's last byte: of a client that has gone, what is not whole by then goes no
/// further.
#[test]
fn an_attempt_that_is_not_written_whole_goes_with_its_client_and_one_that_is_goes_on() {
    for whole in [false, true] {
        with_core(async |handle| {
            let (dropped, mut drops) = mpsc::unbounded_channel();
            let work = Arc::new(HalfWritten { whole, dropped });
            let pending = handle.submit(arrival(LONG), work).unwrap();
            tokio::task::yield_now().await;
            drop(pending);
            // What follows is decided behind the word that its client has gone.
            let (tell, mut dispatching) = mpsc::unbounded_channel();
            let next = handle.submit(arrival(LONG), Arc::new(Addressed(tell))).unwrap();
            assert!(matches!(next.await, Answer::Served(_)));
            assert!(dispatching.recv().await.is_some());
            assert_eq!(drops.try_recv().is_ok(), !whole);
        });
    }
}

/// Writes some, or all, and hears nothing.
struct HalfWritten {
    whole: bool,
    dropped: mpsc::UnboundedSender<()>,
}

impl AttemptSource for HalfWritten {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let dropped = Dropped(self.dropped.clone());
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

/// Breaks at once, then answers behind the window for repeats, with so much written by then.
struct Late {
    written: Written,
    tried: AtomicBool,
}

#[derive(Clone, Copy, Debug)]
enum Written {
    Nothing,
    Some,
    All,
}

const WINDOW: Duration = Duration::from_secs(1);

impl AttemptSource for Late {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let (written, again) = (self.written, self.tried.swap(true, Ordering::Relaxed));
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

/// As where a repeat's connection comes up so late that its node would carry it out once more.
#[test]
fn a_repeat_that_is_not_written_within_its_window_never_is() {
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
            let work = Arc::new(Late { written, tried: AtomicBool::new(false) });
            handle.submit(arrival(LONG), work).unwrap().await
        });
        let served = answer == Answer::Served(Bytes::new());
        assert_eq!(served, matches!(written, Written::All), "{written:?}: {answer:?}");
    }
}

#[test]
fn beyond_the_bound_on_open_requests_nothing_is_taken() {
    with_core(async |handle| {
        let (dropped, _kept) = mpsc::unbounded_channel();
        let submit = || {
            let work = Told { end: None, panics: false, begins: true, dropped: dropped.clone() };
            handle.submit(arrival(LONG), Arc::new(work))
        };
        let mut held: Vec<_> = (0..10).map(|_| submit().unwrap()).collect();
        assert!(submit().is_none());
        held.pop();
        assert!(submit().is_some());
    });
}

#[test]
fn a_node_that_is_gone_is_released_with_its_number_once_nothing_is_out_there() {
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
        let work = Arc::new(Told { end: None, panics: false, begins: true, dropped });
        core.on_input(Input::Nodes { news: ListUpdate::Full, nodes: vec![node(0, ListedState::InService)] });
        core.request(1, arrival(LONG), work, oneshot::channel().0);
        for i in 1..100 {
            let nodes = vec![node(i - 1, ListedState::Terminated), node(i, ListedState::InService)];
            core.on_input(Input::Nodes { news: ListUpdate::Changes, nodes });
        }
        // The first one still has an attempt out, the last one is in service.
        let held = |core: &Core| (core.nodes.len(), core.ids.texts.len(), core.known.len());
        assert_eq!(held(&core), (2, 2, 1));
        core.on_input(Input::Report { id: 1, attempt: 0, report: AttemptEnd::Broke.into() });
        assert_eq!(held(&core), (1, 1, 1));
        core.on_input(Input::Nodes { news: ListUpdate::Full, nodes: Vec::new() });
        assert_eq!(held(&core), (0, 0, 0));
    });
}

#[test]
fn what_the_module_asks_of_nodes_and_says_to_heads_is_carried_out() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        for probing in [true, false] {
            // Heads of a crowd: each sees too little of a node by itself.
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
            let ((peer_sender, mut said), (tell, mut probed)) =
                (PeerSender::new(), mpsc::unbounded_channel());
            core.set_peer_sender(peer_sender);
            core.set_probes(Box::new(Addressed(tell)));
            core.on_input(nodes(ListedState::InService));
            let (dropped, _kept) = mpsc::unbounded_channel();
            let work = Arc::new(Told { end: None, panics: false, begins: true, dropped });
            core.request(1, arrival(LONG), work, oneshot::channel().0);
            if probing {
                assert_eq!(probed.try_recv().as_deref(), Ok("127.0.0.1:1"));
                let Some(Input::Probed { node, report, .. }) = core.inputs.recv().await else {
                    panic!("a probe tells its end")
                };
                core.on_input(Input::Probed { node, latency: 1, report });
                assert!(probed.try_recv().is_err(), "one is enough");
            } else {
                assert!(probed.try_recv().is_err(), "the settings forbid it");
                core.on_input(Input::Report { id: 1, attempt: 0, report: AttemptEnd::TurnedAway.into() });
                let Message { to, bytes } = said.try_recv().unwrap();
                assert_eq!(to, None);
                // It is heard as it was said; cut, repeated and foreign ones change nothing that shows.
                for bytes in [&bytes[..], &bytes, &bytes[..2], &[], &[0xff; 256]] {
                    core.on_input(Input::Peer { from: 3, bytes: bytes.to_vec() });
                }
            }
        }
    });
}

#[test]
fn a_request_that_is_bound_to_its_attempt_goes_nowhere_else() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let class = Class { deadline: 10_000_000, value: 1.0, repeats: Repeats::Safe, ..Class::default() };
        let settings = Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
        let (mut core, _wanted) = Core::new(settings, 7, 10, Clock::start());
        let (dropped, _kept) = mpsc::unbounded_channel();
        core.on_input(nodes(ListedState::InService));
        for (id, binds) in [(1, false), (2, true)] {
            let work = Arc::new(Told { end: None, panics: false, begins: true, dropped: dropped.clone() });
            let (answer, mut answered) = oneshot::channel();
            core.request(id, arrival(LONG), work, answer);
            let mut bind = |attempt| {
                let (granted, mut answer) = oneshot::channel();
                core.on_input(Input::Bind { id, attempt, granted });
                answer.try_recv().unwrap()
            };
            if binds {
                assert!(bind(0) && bind(0), "the same one may ask again");
                assert!(!bind(1), "there is no such attempt");
            }
            core.on_input(Input::Report { id, attempt: 0, report: AttemptEnd::Broke.into() });
            // Its class allows a repeat, but some of the answer may be out.
            assert_eq!(answered.try_recv().is_ok(), binds);
            let (granted, mut answer) = oneshot::channel();
            core.on_input(Input::Bind { id, attempt: 0, granted });
            assert!(!answer.try_recv().unwrap(), "an attempt that has ended binds nothing");
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

/// A client that goes at a stated point of its request, of which no word comes to the core. `tries` says what
/// its attempts did: how many were made, and how many wrote.
#[derive(Default)]
struct Goes {
    client_left: Arc<AtomicBool>,
    /// Its attempts, which wait for their connection until this says go on.
    up: Arc<tokio::sync::Notify>,
    made: Arc<AtomicUsize>,
    wrote: Arc<AtomicUsize>,
    /// The end of every attempt but the last, which is good.
    fails: usize,
}

impl AttemptSource for Goes {
    fn attempt(&self, context: AttemptContext) -> Attempt {
        let before = self.made.fetch_add(1, Ordering::Relaxed);
        let (up, wrote, fails, client_left) =
            (self.up.clone(), self.wrote.clone(), before < self.fails, self.client_left.clone());
        Box::pin(async move {
            if fails {
                // It goes between this attempt and the next.
                client_left.store(true, Ordering::Relaxed);
                return AttemptEnd::NoConnection.into();
            }
            up.notified().await;
            if !context.write_state.may_start_writing() {
                return AttemptEnd::BrokeUnsent.into();
            }
            context.write_state.mark_started();
            wrote.fetch_add(1, Ordering::Relaxed);
            AttemptEnd::Answered.into()
        })
    }

    fn client_left(&self) -> bool {
        self.client_left.load(Ordering::Relaxed)
    }
}

#[test]
fn a_client_that_has_gone_is_sent_nowhere_though_the_core_has_not_heard_of_it() {
    for (when, fails, made) in [
        ("before its request is decided on", 0, 1),
        ("while an attempt connects", 0, 1),
        ("between two", 1, 2),
    ] {
        with_core(async |handle| {
            let work = Arc::new(Goes { fails, ..Goes::default() });
            let (early, between) = (when.starts_with("before"), fails > 0);
            work.client_left.store(early, Ordering::Relaxed);
            if early || between {
                work.up.notify_one();
            }
            let pending = handle.submit(arrival(LONG), work.clone()).unwrap();
            if !early && !between {
                while work.made.load(Ordering::Relaxed) == 0 {
                    tokio::task::yield_now().await;
                }
                // Its connection comes up in the turn in which the client goes.
                work.client_left.store(true, Ordering::Relaxed);
                work.up.notify_one();
            }
            assert_eq!(pending.await, Answer::Failed, "{when}: nobody hears the answer");
            // What follows is decided behind everything that was on its way.
            let next = Arc::new(Goes::default());
            let pending = handle.submit(arrival(LONG), next.clone()).unwrap();
            next.up.notify_one();
            assert!(matches!(pending.await, Answer::Served(_)), "{when}");
            let seen = (work.made.load(Ordering::Relaxed), work.wrote.load(Ordering::Relaxed));
            assert_eq!(seen, (made, 0), "{when}");
            assert_eq!(handle.open(), 0, "{when}");
        });
    }
}

/// Both are there when the core has its turn: its attempt's answer, and its time-out or the end of its
/// client's time.
#[test]
fn an_answer_and_a_time_out_in_one_turn_are_one_answer_the_nodes_own() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    for (answers, late) in [(true, false), (true, true), (false, true)] {
        let got = runtime.block_on(async {
            let class = Class { target: 5_000_000, deadline: 10_000_000, value: 1.0, ..Class::default() };
            let settings =
                Settings { hosts: 1, classes: vec![class], max_attempts: 3, ..Settings::default() };
            let (mut core, _wanted) = Core::new(settings, 7, 10, Clock::start());
            let (dropped, _kept) = mpsc::unbounded_channel();
            let work = Arc::new(Told { end: None, panics: false, begins: true, dropped });
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
            // A second word on the same attempt changes nothing, nor does one on an attempt that never was.
            core.handle().send(Input::Report { id: 1, attempt: 0, report: AttemptEnd::TimedOut.into() });
            core.handle().send(Input::Report { id: 1, attempt: 1, report: AttemptEnd::Answered.into() });
            let running = tokio::spawn(core.run());
            let got = tokio::time::timeout(Duration::from_secs(20), answered).await.expect("stuck").unwrap();
            running.abort();
            got
        });
        let wanted = if answers { Answer::Served(Bytes::new()) } else { Answer::Failed };
        assert_eq!(got, wanted, "answers {answers}, late {late}");
    }
}
