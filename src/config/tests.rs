use super::*;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1000},"odd":[1],
    "known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.2:7070","zone":"a","kind":"m2",
      "cell":3,"state":"in_service","weight":1.0,"started_ms":7}]},
    "settings":{"balancers":3,"position":0,"membership_mode":"subscribe","odd":{"x":[]},
      "policy_limits":{"send_cap":3.0,"keepalive":30000000,"connect_timeout":250000},
      "profiles":[{"name":"r","target":400000.0,"hard_limit":3000000,"worth":2.0,"idempotency":"idempotent"}],
      "plans":[{"name":"p","nominal":2.7}]}}"#;

#[test]
fn a_whole_configuration_is_read_and_what_is_unknown_ignored() {
    let config = Config::read(GOOD, |_| None).unwrap();
    assert_eq!((config.seed, config.clients.most), (0x8c1f_30d2_7a5b_e964, 580));
    assert_eq!((config.max_open, config.node_connections.most), (450, 220));
    assert_eq!((config.most_held, config.most_ids), (24 * 1024 * 1024, 98_304));
    assert_eq!(config.node_connections.idle, Duration::from_secs(12));
    assert_eq!(config.names.classes, ["r"]);
    assert_eq!((config.settings.max_attempts, config.settings.plans[0].rate), (3, 2.7));
    assert_eq!(config.known.servers[0].state, ListedState::InService);
}

#[test]
fn a_later_file_is_taken_whole_or_not_at_all() {
    let running = Config::read(GOOD, |_| None).unwrap();
    // What the file lacks is not taken from the environment.
    let env = |key: &str| key.starts_with("GW_L").then(|| "127.0.0.1:1".to_string());
    let again = |text: &str| Config::read(text, env).and_then(|later| running.complete(&later));
    assert!(again(GOOD).is_ok());
    // Cut at any byte but its last blanks, it is no file.
    for end in 0..GOOD.len() {
        assert!(again(&GOOD[..end]).is_err(), "cut at {end}");
    }
    let second = r#"{"name":"w","target":9,"hard_limit":10,"worth":1.0,"idempotency":"at_most_once"}"#;
    for (from, to, key) in [
        ("\"idempotent\"}", &format!("\"idempotent\"}},{second}")[..], ""),
        ("\"known\":", "\"knows\":", "known is missing"),
        ("\"discovery\":\"127.0.0.1:8500\",", "", "GW_DISCOVERY is missing"),
        ("\"listen\":\"127.0.0.1:7070\",", "", "listen is missing"),
        ("\"seed\":\"8c1f30d27a5be964\",", "", "seed is missing"),
        ("\"sockets\":1000", "\"sockts\":1000", "limits.sockets is missing"),
        ("\"keepalive\":30000000,", "", "settings.policy_limits.keepalive is missing"),
        ("\"nominal\":2.7", "\"nominel\":2.7", "settings.plans.*.nominal is missing"),
        ("\"worth\":2.0,", "", "profiles.0.worth is missing"),
        ("\"name\":\"r\",", "", "profiles.0.name is missing"),
        ("\"name\":\"r\",", "\"name\":\"\",", "profiles.0.name is empty"),
        ("\"hard_limit\":3000000,", "", "profiles.0.hard_limit is missing"),
        ("\"hard_limit\":3000000", "\"hard_limit\":0", "profiles.0.hard_limit is out of range"),
        ("\"hard_limit\":3000000", "\"hard_limit\":-1", "profiles.0.hard_limit is out of range"),
        ("\"hard_limit\":3000000", "\"hard_limit\":\"soon\"", "profiles.0.hard_limit is unreadable"),
        ("\"hard_limit\":3000000", "\"hard_limit\":\"NaN\"", "profiles.0.hard_limit is out of range"),
        ("\"hard_limit\":3000000", "\"hard_limit\":null", "profiles.0.hard_limit is unreadable"),
        ("\"hard_limit\":3000000", "\"hard_limit\":1e300", "profiles.0.hard_limit is out of range"),
        ("\"target\":400000.0", "\"target\":0", "profiles.0.target is out of range"),
        ("\"send_cap\":3.0", "\"send_cap\":0", "send_cap is out of range"),
        ("\"send_cap\":3.0", "\"send_cap\":0.5", "send_cap is out of range"),
        ("\"send_cap\":3.0", "\"send_cap\":-3", "send_cap is out of range"),
        ("\"send_cap\":3.0", "\"send_cap\":true", "send_cap is unreadable"),
        ("\"send_cap\":3.0,", "", "send_cap is missing"),
        ("\"idempotent\"", "\"maybe\"", "profiles.0.idempotency is unreadable"),
        ("[{\"name\":\"r\"", "[{\"name\":\"r\"},{\"name\":\"q\"", "profiles.0.idempotency is missing"),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let done = again(&GOOD.replace(from, to)).map_err(|error| error.to_string());
        match key {
            "" => assert_eq!(done, Ok(())),
            _ => assert!(done.as_ref().is_err_and(|e| e.contains(key)), "{to}: {done:?}"),
        }
    }
}

#[test]
fn the_parts_of_descriptors_and_memory_fit_into_the_limits() {
    for (sockets, memory_mb) in [(256, 32), (256, 192), (384, 48), (576, 64), (1000, 192), (1024, 32)] {
        let limits = format!("\"memory_mb\":{memory_mb},\"sockets\":{sockets}");
        let text = GOOD.replace("\"memory_mb\":192,\"sockets\":1000", &limits);
        let text = text.replace("\"odd\":[1]", "\"peer_listen\":\"127.0.0.1:1\"");
        let text = text.replace("\"policy_limits\":{", "\"policy_limits\":{\"peers\":true,");
        let passed = |key: &str| (key == "GW_PASSED_SOCKET").then(|| "7".to_string());
        let config = Config::read(&text, passed).unwrap();
        assert!(config.talk.is_some() && config.passed_socket.is_some());
        let clients = config.clients.most + config.clients.spare;
        let held = FIXED + ID_FILES + TALK_SOCKET;
        let all = clients + config.node_connections.most + config.ops_callers + held;
        assert!(all <= sockets, "{all} of {sockets} descriptors");
        // A client's place for every open request, and more than the third that clients hold for them.
        assert!(config.max_open < config.clients.most && config.clients.most > sockets / 3);
        // Requests' bodies, uploads, and 64 bytes an id.
        let held = 2 * config.most_held + 64 * config.most_ids;
        assert!(held < config.memory / 3, "{held} of {} bytes", config.memory);
    }
}

#[test]
fn errors_name_the_key_at_fault() {
    for (from, to, key) in [
        ("\"127.0.0.1:7070\"", "7", "key listen of the configuration"),
        ("\"listen\"", "\"lisen\"", "GW_LISTEN is missing"),
        ("\"cell\":3", "\"cell\":-3", "known.servers[0].cell"),
        ("\"seed\"", "\"ops\":\"7\",\"seed\"", "key ops of the configuration"),
        ("\"position\":0,", "", "position is missing"),
        ("\"balancers\":3", "\"balancers\":0", "balancers is out of range: 0 (1 to 65535)"),
        ("\"balancers\":3", "\"balancers\":4e9", "balancers is out of range"),
        ("\"balancers\":3,", "", "balancers is missing"),
        ("\"odd\":{\"x\":[]}", "\"domain\":{\"young_limit\":-3}", "domain.young_limit is out of range: -3"),
        ("\"odd\":{\"x\":[]}", "\"domain\":{\"young_limit\":1e30}", "domain.young_limit is out of range"),
        ("\"odd\":{\"x\":[]}", "\"contract\":{\"cold_from\":2}", "contract.cold_from is out of range"),
        ("\"send_cap\":3.0", "\"send_cap\":\"x\"", "policy_limits.send_cap is unreadable"),
    ] {
        let error = Config::read(&GOOD.replace(from, to), |_| None).unwrap_err().to_string();
        assert!(error.contains(key), "{error}");
    }
}
