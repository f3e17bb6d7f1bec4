//! The cases named `syslog-*`: a head that tells its events, and collectors that go about them in their own
//! ways.

use super::cases::Case;
use super::stage::{Discovery, Head, HttpClient, Setup, entry};
use super::storage_node::{Act, StandInNode, answer};
use super::syslog::{Manner, Message, Syslog};
use super::{Failure, Outcome, STUCK, check, expect};
use crate::config::syslog::SpoolLimits;
use crate::logging::spool::Spool;
use crate::logging::tls::Fingerprint;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};
use rustls::server::WebPkiClientVerifier;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

pub const CASES: &[Case] = &[
    Case {
        name: "syslog-requests",
        about: "a request is told with its attempts and its end",
        play: requests,
    },
    Case {
        name: "syslog-odd-names",
        about: "brackets, quotes, other scripts, 10 KB of a name",
        play: odd_names,
    },
    Case {
        name: "syslog-transports",
        about: "UDP, TCP and TLS, each to a strict collector",
        play: transports,
    },
    Case {
        name: "syslog-tls-refused",
        about: "a certificate that is not the one is refused",
        play: tls_refused,
    },
    Case { name: "syslog-failover", about: "the next collector while the first is gone", play: failover },
    Case { name: "syslog-frozen", about: "a collector that stops inside a frame harms nobody", play: frozen },
    Case { name: "syslog-one-frame", about: "a collector that closes after every frame", play: one_frame },
    Case { name: "syslog-dropped", about: "what has no room is dropped and told to the line", play: dropped },
    Case { name: "syslog-spool", about: "lines on disk outlive a head that is killed", play: spool },
    Case { name: "syslog-stderr", about: "a standard error that nobody reads stops nothing", play: unread },
    Case { name: "syslog-reload", about: "collector and certificate change with no line lost", play: reload },
];

struct Stage {
    storage_node: StandInNode,
    _discovery: Discovery,
    head: Head,
}

impl Stage {
    fn start(program: &Path, log: &str) -> Outcome<Stage> {
        Stage::with(program, log, "s-1")
    }

    fn with(program: &Path, log: &str, node: &str) -> Outcome<Stage> {
        let storage_node = StandInNode::start("b")?;
        let nodes = vec![entry(node, storage_node.address, 0, "in_service")];
        let discovery = Discovery::start(nodes.clone())?;
        let setup = Setup { log: format!("{log}[requests]\nserved_one_in = 1\n"), ..Setup::default() };
        let head = Head::start(program, &setup, discovery.address, nodes)?;
        Ok(Stage { storage_node, _discovery: discovery, head })
    }

    /// So many requests, each served.
    fn serve(&self, count: usize) -> Outcome {
        let mut client = HttpClient::connect(self.head.http)?;
        for _ in 0..count {
            expect(client.ask("token-read", 20_000, b"")?.0, 200, "a request's status")?;
        }
        Ok(())
    }
}

fn collector(transport: &str, syslog: &Syslog) -> String {
    format!("[[collectors]]\ntransport = \"{transport}\"\naddress = \"{}\"\n", syslog.address)
}

/// The messages up to the one that fits; none of them may be malformed.
fn until(syslog: &Syslog, what: &str, fits: impl Fn(&Message) -> bool) -> Outcome<Vec<Message>> {
    let (start, mut messages) = (Instant::now(), Vec::new());
    loop {
        let left = STUCK.saturating_sub(start.elapsed());
        match syslog.messages.recv_timeout(left) {
            Ok(Ok(message)) => {
                let found = fits(&message);
                messages.push(message);
                if found {
                    return Ok(messages);
                }
            }
            Ok(Err(wrong)) => return Err(Failure::Unmet(wrong)),
            Err(_) => {
                return Err(Failure::Unmet(format!("never came: {what}, after {} messages", messages.len())));
            }
        }
    }
}

/// Reads on until all sequence ids from 1 to the one of the message that fits have come, in whatever order
/// and however often; returns the messages, each once.
fn whole(syslogs: &[&Syslog], what: &str, fits: impl Fn(&Message) -> bool) -> Outcome<Vec<Message>> {
    let (start, mut seen, mut last) = (Instant::now(), std::collections::BTreeMap::new(), None);
    loop {
        for syslog in syslogs {
            while let Ok(received) = syslog.messages.try_recv() {
                let message = received.map_err(Failure::Unmet)?;
                if fits(&message) {
                    last = last.max(Some(message.sequence));
                }
                seen.insert(message.sequence, message);
            }
        }
        if last.is_some_and(|last| (1..=last).all(|id| seen.contains_key(&id))) {
            return Ok(seen.into_values().collect());
        }
        if start.elapsed() > STUCK {
            let missing = (1..=last.unwrap_or(0)).find(|id| !seen.contains_key(id));
            let came = seen.len();
            return Err(Failure::Unmet(format!(
                "{what}: {came} lines came, last {last:?}, missing {missing:?}"
            )));
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

fn requests(program: &Path) -> Outcome {
    let syslog = Syslog::start()?;
    let stage = Stage::start(program, &collector("tcp", &syslog))?;
    stage.serve(1)?;
    stage.storage_node.next(Act::Answer(answer("500 Oops", "", "")));
    stage.serve(1)?;
    stage.storage_node.next(Act::Answer(answer("500 Oops", "", "")));
    let mut client = HttpClient::connect(stage.head.http)?;
    let status = client.ask("once", 20_000, b"x")?.0;
    expect(status, 502, "an unsafe request that may have run")?;
    let messages =
        until(&syslog, "the failed request", |m| m.id == "REQUEST" && m.get("outcome") == "failed")?;
    let told: Vec<Vec<&str>> = messages
        .iter()
        .filter(|message| message.id == "REQUEST")
        .map(|m| ["volume", "plan", "class", "attempts", "outcome", "late"].map(|name| m.get(name)).to_vec())
        .collect();
    let volume = "00000003b4d60021";
    let wanted = [
        [volume, "starter", "token-read", "1", "served", "no"],
        [volume, "starter", "token-read", "2", "served", "no"],
        [volume, "starter", "once", "1", "failed", "no"],
    ];
    expect(told, wanted.iter().map(|w| w.to_vec()).collect(), "the requests")?;
    let tried: Vec<[&str; 4]> = messages
        .iter()
        .filter(|message| message.id == "ATTEMPT")
        .map(|m| ["attempt", "why", "node", "ending"].map(|name| m.get(name)))
        .collect();
    let wanted = vec![
        ["0", "first", "s-1", "served"],
        ["0", "first", "s-1", "error"],
        ["1", "another after error", "s-1", "served"],
        ["0", "first", "s-1", "error"],
    ];
    expect(tried, wanted, "the attempts")?;
    let sequence: Vec<u64> = messages.iter().map(|message| message.sequence).collect();
    expect(sequence, (1..=messages.len() as u64).collect(), "the sequence ids")
}

fn odd_names(program: &Path) -> Outcome {
    let syslog = Syslog::start()?;
    let odd = "a]\"\\b\n\u{d83}\u{dca}\u{1f3cf}";
    let stage = Stage::with(program, &collector("tcp", &syslog), odd)?;
    stage.serve(1)?;
    let messages = until(&syslog, "the request", |message| message.id == "REQUEST")?;
    let wanted = crate::syslog::encode::shown(odd);
    for id in ["NODE", "ATTEMPT"] {
        let message = messages.iter().find(|message| message.id == id);
        expect(message.map(|m| m.get("node")), Some(wanted.as_str()), id)?;
    }
    // 10 KB are cut, and the line says so.
    let long = "\u{e9}]".repeat(3_500);
    let syslog = Syslog::start()?;
    let _stage = Stage::with(program, &collector("tcp", &syslog), &long)?;
    let messages = until(&syslog, "the node", |message| message.id == "NODE")?;
    let node = messages.last().ok_or_else(|| Failure::Unmet("no message".into()))?;
    check(
        long.starts_with(node.get("node")) && node.get("node").len() <= 255,
        "the name is not cut at its bound",
    )?;
    expect(node.get("cut"), "1", "values that were cut")
}

/// An authority, a collector's certificate by it, and a client's.
struct Certificates {
    directory: PathBuf,
    server: Arc<rustls::ServerConfig>,
    print: Fingerprint,
}

impl Drop for Certificates {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory); // only left-overs
    }
}

impl Certificates {
    fn new(program: &Path) -> Outcome<Certificates> {
        static SERIAL: AtomicU64 = AtomicU64::new(0);
        let odd = |error: rcgen::Error| Failure::Unmet(format!("certificates: {error}"));
        let of_rustls = |error: rustls::Error| Failure::Unmet(format!("certificates: {error}"));
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        let name = program.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        let directory = std::env::temp_dir().join(format!("{name}-tls-{}-{serial}", std::process::id()));
        std::fs::create_dir_all(&directory)?;
        let mut params = CertificateParams::new(Vec::new()).map_err(odd)?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let authority =
            CertifiedIssuer::self_signed(params, KeyPair::generate().map_err(odd)?).map_err(odd)?;
        let signed = |name: &str| {
            let key = KeyPair::generate()?;
            let certificate = CertificateParams::new(vec![name.to_string()])?.signed_by(&key, &authority)?;
            Ok((certificate, key))
        };
        let (server, server_key) = signed("collector.test").map_err(odd)?;
        let (client, client_key) = signed("head.test").map_err(odd)?;
        for (name, text) in [
            ("ca.pem", authority.pem()),
            ("client.pem", client.pem()),
            ("key.pem", client_key.serialize_pem()),
        ] {
            std::fs::write(directory.join(name), text)?;
        }
        std::fs::set_permissions(directory.join("key.pem"), std::fs::Permissions::from_mode(0o600))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = rustls::RootCertStore::empty();
        roots.add(authority.der().clone()).map_err(of_rustls)?;
        let clients = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
        let clients = clients.map_err(|error| Failure::Unmet(error.to_string()))?;
        let key = PrivateKeyDer::from(PrivatePkcs8KeyDer::from(server_key.serialize_der()));
        let certificate: CertificateDer = server.der().clone();
        let print = Fingerprint::of(&certificate);
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(of_rustls)?
            .with_client_cert_verifier(clients)
            .with_single_cert(vec![certificate], key)
            .map_err(of_rustls)?;
        Ok(Certificates { directory, server: Arc::new(config), print })
    }

    fn path(&self, name: &str) -> String {
        self.directory.join(name).display().to_string()
    }

    /// A collector's keys, with the client's certificate.
    fn collector(&self, syslog: &Syslog, check: &str) -> String {
        format!(
            "{}{check}\ncertificate = \"{}\"\nkey = \"{}\"\n",
            collector("tls", syslog),
            self.path("client.pem"),
            self.path("key.pem")
        )
    }

    fn by_authority(&self) -> String {
        format!("server_name = \"collector.test\"\nca = \"{}\"", self.path("ca.pem"))
    }
}

fn transports(program: &Path) -> Outcome {
    let certificates = Certificates::new(program)?;
    let (udp, tcp) = (Syslog::udp()?, Syslog::start()?);
    let (by_name, by_print) =
        (Syslog::tls(certificates.server.clone())?, Syslog::tls(certificates.server.clone())?);
    let print = format!("fingerprints = [\"{}\"]", certificates.print);
    for (syslog, keys) in [
        (&udp, collector("udp", &udp)),
        (&tcp, collector("tcp", &tcp)),
        (&by_name, certificates.collector(&by_name, &certificates.by_authority())),
        (&by_print, certificates.collector(&by_print, &print)),
    ] {
        let stage = Stage::start(program, &keys)?;
        stage.serve(20)?;
        let served = |m: &Message| m.id == "REQUEST" && m.get("request") == "20";
        let messages = whole(&[syslog], &keys, served)?;
        let up = messages.iter().find(|message| message.id == "UP");
        expect(up.map(|up| up.get("listen").to_string()), Some(stage.head.http.to_string()), "the event UP")?;
        check(
            messages.iter().filter(|message| message.id == "REQUEST").count() >= 20,
            "requests are missing",
        )?;
    }
    Ok(())
}

fn tls_refused(program: &Path) -> Outcome {
    let (own, other) = (Certificates::new(program)?, Certificates::new(program)?);
    let another_name = format!("server_name = \"else.test\"\nca = \"{}\"", own.path("ca.pem"));
    let another_print = format!("fingerprints = [\"{}\"]", other.print);
    for check_by in [another_name, another_print, other.by_authority()] {
        let (syslog, next) = (Syslog::tls(own.server.clone())?, Syslog::start()?);
        let log = own.collector(&syslog, &check_by) + &collector("tcp", &next);
        let _stage = Stage::start(program, &log)?;
        let messages = until(&next, "the refusal", |message| {
            message.id == "COLLECTOR" && message.get("collector") == "0" && message.get("state") == "failed"
        })?;
        let reason = messages.last().map(|message| message.get("reason").to_string()).unwrap_or_default();
        check(reason.contains("certificate"), format!("{check_by}: refused for {reason:?}"))?;
        check(syslog.messages.try_recv().is_err(), "a line went to a collector that is not the one")?;
    }
    // A key that others can read, or none of the authority's clients: the head does not start, or is not let
    // in.
    std::fs::set_permissions(own.directory.join("key.pem"), std::fs::Permissions::from_mode(0o644))?;
    let syslog = Syslog::tls(own.server.clone())?;
    let started = Stage::start(program, &own.collector(&syslog, &own.by_authority()));
    check(started.is_err(), "a head started with a key that others can read")
}

fn failover(program: &Path) -> Outcome {
    let first = Syslog::start()?;
    let second = Syslog::start()?;
    let address = first.address;
    let log = format!("come_back_ms = 100\n{}{}", collector("tcp", &first), collector("tcp", &second));
    let stage = Stage::start(program, &log)?;
    stage.serve(5)?;
    until(&first, "requests at the first", |m| m.id == "REQUEST" && m.get("request") == "5")?;
    check(second.messages.try_recv().is_err(), "the second got lines while the first was there")?;
    // With the first gone, its connection ends at the next line, which must go to the second.
    drop(first);
    let mut client = HttpClient::connect(stage.head.http)?;
    let told = |m: &Message| m.id == "REQUEST" && m.get("class") == "once";
    expect(client.ask("once", 20_000, b"x")?.0, 200, "a request's status")?;
    until(&second, "the request at the second", told)?;
    // It is back, and is preferred again.
    let again = Syslog::at(address, Manner::Good)?;
    until(&again, "the first one's return", |m| {
        m.id == "COLLECTOR" && m.get("state") == "up" && m.get("collector") == "0"
    })?;
    stage.serve(1)?;
    until(&again, "a request at the first again", |m| m.id == "REQUEST").map(drop)
}

fn frozen(program: &Path) -> Outcome {
    // It stops in the middle of a frame; the head gives it up after a while and tries again.
    let syslog = Syslog::with(Manner::StopsAfter(1_000))?;
    let stage = Stage::start(program, &format!("stall_ms = 200\n{}", collector("tcp", &syslog)))?;
    stage.serve(300)?;
    syslog.go_on();
    stage.serve(5)?;
    whole(&[&syslog], "all lines", |m| m.id == "REQUEST" && m.get("request") == "305").map(drop)
}

fn one_frame(program: &Path) -> Outcome {
    let syslog = Syslog::with(Manner::OneFrame)?;
    let stage = Stage::start(program, &collector("tcp", &syslog))?;
    stage.serve(20)?;
    let messages = whole(&[&syslog], "all lines", |m| m.id == "REQUEST" && m.get("request") == "20")?;
    let ids: BTreeSet<&str> =
        messages.iter().filter(|m| m.id == "REQUEST").map(|message| message.get("request")).collect();
    expect(ids.len(), 20, "requests that were told")
}

fn dropped(program: &Path) -> Outcome {
    let syslog = Syslog::with(Manner::StopsAfter(100))?;
    let stage = Stage::start(program, &format!("queue_kb = 16\n{}", collector("tcp", &syslog)))?;
    // Far more than sockets and the queue hold.
    stage.serve(5_000)?;
    syslog.go_on();
    // The last word on what was dropped comes behind all of it.
    let (mut ids, mut told, start) = (BTreeSet::new(), 0, Instant::now());
    loop {
        while let Ok(received) = syslog.messages.try_recv() {
            let message = received.map_err(Failure::Unmet)?;
            if ids.insert(message.sequence) && message.id == "DROPPED" && message.get("where") == "queue" {
                check(message.get("msgid") != "UP", "a notice went before what weighs less")?;
                told += message.get("count").parse::<u64>().unwrap_or(0);
            }
        }
        let missing = ids.last().map_or(0, |last| last - ids.len() as u64);
        if told > 0 && told == missing {
            return Ok(());
        }
        let came = ids.len();
        check(
            start.elapsed() < STUCK,
            format!("{told} lines told as dropped, {missing} missing, {came} came"),
        )?;
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn spool(program: &Path) -> Outcome {
    let directory = std::env::temp_dir().join(format!("pathbank-spooled-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let played = spooled(program, &directory);
    std::fs::remove_dir_all(&directory)?;
    played
}

fn spooled(program: &Path, directory: &Path) -> Outcome {
    // The collector's port is nobody's until the head has died: on an address of its own, where no other case
    // listens.
    let process = std::process::id().to_le_bytes();
    let own_address = SocketAddr::from(([127, 77, process[0], process[1].max(1)], 0));
    let taken = Syslog::at(own_address, Manner::Good)?;
    let address = taken.address;
    let keys = collector("tcp", &taken) + &format!("[spool]\ndirectory = \"{}\"\n", directory.display());
    drop(taken);
    let stage = Stage::start(program, &keys)?;
    stage.serve(50)?;
    while spooled_requests(directory)? < 50 {
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(stage); // SIGKILL
    let syslog = Syslog::at(address, Manner::Good)?;
    let stage = Stage::start(program, &keys)?;
    let messages = until(&syslog, "the new head's first event", |m| {
        m.id == "UP" && m.get("listen") == stage.head.http.to_string()
    })?;
    let ids: BTreeSet<&str> =
        messages.iter().filter(|m| m.id == "REQUEST").map(|message| message.get("request")).collect();
    expect(ids.len(), 50, "the dead head's requests, before the new one's first event")
}

/// Requests in a copy of the spool, which is as a crash at this moment would leave it.
fn spooled_requests(directory: &Path) -> Outcome<usize> {
    let copy = directory.join("copy");
    std::fs::create_dir_all(&copy)?;
    std::fs::copy(directory.join("spool.redb"), copy.join("spool.redb"))?;
    let limits = SpoolLimits { directory: copy.clone(), bytes: u64::MAX, age: STUCK * 1000 };
    let lines = Spool::open(&limits).read(0, usize::MAX);
    std::fs::remove_dir_all(&copy)?;
    Ok(lines.iter().filter(|(_, line)| line.windows(9).any(|part| part == b" REQUEST ")).count())
}

fn unread(program: &Path) -> Outcome {
    let stage = Stage::start(program, "")?;
    stage.head.deaf();
    // Two lines each: many times what a pipe holds.
    stage.serve(3_000)
}

fn reload(program: &Path) -> Outcome {
    let (old, new) = (Certificates::new(program)?, Certificates::new(program)?);
    let (first, second) = (Syslog::tls(old.server.clone())?, Syslog::tls(new.server.clone())?);
    let requests = "[requests]\nserved_one_in = 1\n";
    let stage = Stage::start(program, &old.collector(&first, &old.by_authority()))?;
    stage.serve(20)?;
    stage.head.reload_log(&(new.collector(&second, &new.by_authority()) + requests))?;
    stage.head.logged(" RELOADED ")?;
    stage.serve(20)?;
    // A bad file changes nothing.
    stage.head.reload_log("collectors = 7\n")?;
    let line = stage.head.logged(" RELOAD_FAILED ")?;
    check(line.contains("collectors"), line)?;
    stage.serve(1)?;
    let served = |m: &Message| m.id == "REQUEST" && m.get("request") == "41";
    let messages = whole(&[&first, &second], "all lines at either", served)?;
    check(messages.iter().any(|message| message.id == "RELOAD_FAILED"), "the bad file was not told")
}
