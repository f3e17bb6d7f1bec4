use super::*;

const GOOD: &str = "enabled = true\nlisten = \"127.0.0.1:0\"\nclients = 8\n\
    [metadata]\nshards = [3, 4]\nvolume = { name = \"x-app-store\" }\n\
    hosts = { name = \"x-hosts\", default = \"2\" }\n\
    [channels]\nmost = 5\nidle_ms = 700\n\
    [[routes]]\npath = \"/a.B/*\"\nclass = \"r\"\nplan = \"p\"\n\
    [[routes]]\npath = \"/a.B/Put\"\nclass = \"w\"\nplan = \"p\"\nunits = 3\nrequest = \"stream\"\n";

fn config() -> Config {
    let text = r#"{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","limits":{"memory_mb":32,"sockets":256},
        "settings":{"balancers":3,"position":0,"membership_mode":"subscribe","policy_limits":{"send_cap":3},"domain":{"max_units":8},"profiles":[
        {"name":"r","target":1,"worth":1,"hard_limit":3000000,"idempotency":"idempotent"},
        {"name":"w","target":1,"worth":1,"hard_limit":5000000,"idempotency":"at_most_once"}],"plans":[{"name":"p","nominal":2.7}]}}"#;
    Config::read(text, |_| None).unwrap()
}

#[test]
fn a_file_is_read_and_its_bounds_come_from_the_limits() {
    let mut config = config();
    let (clients, connections) = (config.clients.most, config.node_connections.most);
    let front = GrpcFront::read(GOOD, &mut config).unwrap().unwrap();
    assert_eq!((front.clients.most, config.clients.most), (8, clients - 8));
    assert_eq!((front.channels.max_channels, config.node_connections.most), (5, connections - 5));
    assert_eq!((front.channels.idle_timeout, front.calls, front.hold), (700_000, 1024, 64 * 1024));
    let most = front.channels.max_channels * front.channels.max_streams * front.node_window as usize;
    assert!(most <= config.memory_plan.windows(), "{most}");
    assert!(front.clients.most * front.client_window as usize <= config.memory_plan.windows());
    let put = front.routes.find("/a.B/Put").unwrap();
    assert_eq!((put.class, put.units, put.streams_request, put.wait), (1, 3.0, true, Duration::from_secs(5)));
    let other = front.routes.find("/a.B/Get").unwrap();
    assert_eq!((other.class, other.units, other.streams_request), (0, 1.0, false));
    assert!(GrpcFront::read("enabled = false", &mut config).unwrap().is_none());
    assert!(GrpcFront::read("", &mut config).unwrap().is_none());
}

#[test]
fn the_file_as_shipped_is_sound_and_off() {
    let shipped = include_str!("../../../deploy/grpc.toml");
    let mut config = config();
    assert!(GrpcFront::read(shipped, &mut config).unwrap().is_none());
    config.names.classes = ["token-read", "receipt-write"].map(String::from).to_vec();
    config.names.plans = ["starter", "business", "enterprise"].map(String::from).to_vec();
    let on = shipped.replacen("enabled = false", "enabled = true", 1).replace("report-export", "token-read");
    let front = GrpcFront::read(&on, &mut config).unwrap().unwrap();
    assert!(front.routes.find("/push.store.v1.Receipts/Upload").unwrap().streams_request);
    assert!(!front.routes.find("/push.store.v1.Receipts/Put").unwrap().streams_request);
}

#[test]
fn faults_name_the_key_and_the_line() {
    for (from, to, key, line) in [
        ("\"/a.B/Put\"", "\"/a.B\"", "routes[1].path", 16),
        ("\"/a.B/Put\"", "\"/a.B/*\"", "routes[1].path", 16),
        ("class = \"w\"", "class = \"x\"", "routes[1].class", 17),
        ("plan = \"p\"\nunits", "plan = \"q\"\nunits", "routes[1].plan", 18),
        ("units = 3", "units = 9", "routes[1].units", 19),
        ("\"stream\"", "\"streams\"", "routes[1].request", 20),
        ("units = 3", "unit = 3", "routes[1].unit", 19),
        ("clients = 8", "clients = 0", "clients", 3),
        ("clients = 8", "clients = \"8\"", "clients", 3),
        ("x-app-store", "grpc-timeout", "metadata.volume.name", 6),
        ("default = \"2\"", "default = \"4\"", "metadata.hosts.default", 7),
        ("idle_ms = 700", "idle_ms = 0", "channels.idle_ms", 10),
        ("idle_ms = 700", "idle_ms = ", "", 10),
    ] {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let error = GrpcFront::read(&text, &mut config()).unwrap_err().to_string();
        assert!(error.contains(key) && error.contains(&format!("line {line} ")), "{to}: {error}");
    }
    for (from, to) in
        [("listen = \"127.0.0.1:0\"\n", ""), ("enabled = true", "enabled = true\nroutes = []\n#")]
    {
        let text = if to.is_empty() {
            GOOD.replacen(from, to, 1)
        } else {
            "enabled = true\nlisten = \"127.0.0.1:0\"\n".to_string()
        };
        let error = GrpcFront::read(&text, &mut config()).unwrap_err().to_string();
        assert!(error.contains("is missing"), "{error}");
    }
}

#[test]
fn metadata_tell_what_a_call_is_and_nonsense_is_named() {
    let front = GrpcFront::read(GOOD, &mut config()).unwrap().unwrap();
    let route = front.routes.find("/a.B/Get").unwrap();
    let told = |fields: &[(&'static str, &str)]| {
        let mut metadata = HeaderMap::new();
        for (name, value) in fields {
            metadata.append(HeaderName::from_static(name), value.parse().unwrap());
        }
        front.sources.read(route, "/a.B/Get", &metadata)
    };
    let whole = told(&[
        ("x-app-store", "00000003b4d60021"),
        ("x-key", "7f3a9c21e0b4d655"),
        ("x-shard", "5"),
        ("x-hosts", "3"),
        ("x-units", "2.5"),
    ]);
    let wanted = CallMetadata {
        volume: 0x3b4d60021,
        key: 0x7f3a_9c21_e0b4_d655,
        shard: Some(5),
        hosts: 3.0,
        units: 2.5,
    };
    assert_eq!(whole, Ok(wanted));
    let least = told(&[("x-app-store", "acme")]).unwrap();
    assert_eq!((least.volume, least.hosts, least.units), (fnv(b"acme"), 2.0, 1.0));
    assert_eq!(least.shard, Some(front.sources.shards[(least.key % 2) as usize]));
    assert_eq!(told(&[("x-app-store", "acme"), ("x-shard", "-1")]).unwrap().shard, None);
    for fields in [
        &[][..],
        &[("x-app-store", "")],
        &[("x-app-store", "a b")],
        &[("x-app-store", "a"), ("x-app-store", "b")],
        &[("x-app-store", "a"), ("x-shard", "-2")],
        &[("x-app-store", "a"), ("x-shard", "65536")],
        &[("x-app-store", "a"), ("x-hosts", "0")],
        &[("x-app-store", "a"), ("x-hosts", "4")],
        &[("x-app-store", "a"), ("x-units", "NaN")],
        &[("x-app-store", "a"), ("x-units", "9")],
    ] {
        assert!(told(fields).is_err(), "{fields:?}");
    }
}
