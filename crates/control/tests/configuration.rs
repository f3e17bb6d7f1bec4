//! Tests of operators' changes of the configuration.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by a panic")]

use pathbank_control::change_log::MAX_RECORDED_CHANGES;
use pathbank_control::command_outcome::CommandOutcome;
use pathbank_control::configuration::Rejection;
use pathbank_control::document::{AbsentLists, Document};
use pathbank_control::edge_document;
use pathbank_control::edge_update::{EdgeUpdate, EdgeUpdateReader};
use pathbank_control::result_code::ResultCode;
use pathbank_control::routes::RouteTable;
use pathbank_control::state::{Change, ChangeKind, Command, ControlState};
use serde_json::{Value, json};
use test_case::test_case;

fn route(name: &str, prefix: &str, backend: &str) -> Value {
    json!({ "name": name, "hostname": "shop.example", "path_prefix": prefix, "type": "idempotent",
            "timeout_ms": 2500, "priority": 1, "backend": backend, "max_attempts": 2 })
}

fn document(version: u64) -> Value {
    json!({ "version": version, "routes": [route("r1", "/a/", "one")],
            "backends": [{ "name": "one", "kept": { "as": "sent" } }, { "name": "two" }],
            "limits": { "max_body_bytes": 100 },
            "tenants": [{ "name": "t1", "api_keys": ["k1", "k2"], "priority": 1 }] })
}

fn replace(base: u64, body: &Value) -> Change {
    Change { kind: ChangeKind::Replace, base, body: body.to_string() }
}

fn update(base: u64, body: &Value) -> Change {
    Change { kind: ChangeKind::Update, base, body: body.to_string() }
}

fn as_document(value: &Value) -> Document {
    Document::from(value.as_object().expect("an object").clone())
}

fn updated(before: &Value, update: &Value) -> Value {
    as_document(before).updated(update, AbsentLists::StayAbsent).expect("an update").0.to_value()
}

fn difference(before: &Value, after: &Value) -> Value {
    edge_document::difference(&as_document(before), &as_document(after)).expect("all items have names")
}

struct Scenario {
    state: ControlState,
    index: u64,
}

impl Scenario {
    fn at_version_5() -> Scenario {
        let mut scenario = Scenario { state: ControlState::default(), index: 0 };
        assert_eq!(scenario.apply(replace(0, &document(5))), Ok(CommandOutcome::Applied));
        scenario
    }

    fn apply(&mut self, change: Change) -> Result<CommandOutcome, Rejection> {
        self.index += 1;
        self.state.apply(self.index, &Command::Change(change))
    }

    fn assert_rejected(&mut self, change: Change, code: ResultCode) {
        let before = self.state.encode();
        assert_eq!(self.apply(change).map_err(|rejection| rejection.code), Err(code));
        assert_eq!(self.state.encode(), before, "a rejected change changes nothing");
    }
}

#[test]
fn a_configuration_is_read_back_as_sent() {
    let scenario = Scenario::at_version_5();
    let (read_back, index) = scenario.state.document().unwrap();
    assert_eq!((read_back.to_value(), index), (document(5), 1));
}

#[test]
fn of_two_changes_on_one_base_the_first_wins() {
    let mut scenario = Scenario::at_version_5();
    assert_eq!(scenario.apply(replace(5, &document(8))), Ok(CommandOutcome::Applied));
    let mut other = document(9);
    other["limits"]["max_body_bytes"] = json!(7);
    scenario.assert_rejected(replace(5, &other), ResultCode::BaseMismatch);
}

#[test]
fn an_accepted_change_is_acknowledged_again_after_later_changes() {
    let mut scenario = Scenario::at_version_5();
    let first = update(5, &json!({ "version": 7, "delete": { "routes": ["r1"] } }));
    assert_eq!(scenario.apply(first.clone()), Ok(CommandOutcome::Applied));
    assert_eq!(scenario.apply(first.clone()), Ok(CommandOutcome::AlreadyApplied));
    assert_eq!(scenario.apply(replace(7, &document(9))), Ok(CommandOutcome::Applied));
    assert_eq!(scenario.apply(first), Ok(CommandOutcome::AlreadyApplied));
    assert_eq!(scenario.state.version(), 9, "the repeated change does not come into force again");
}

#[test]
fn an_accepted_change_is_recognised_after_a_restart_from_a_snapshot() {
    let mut scenario = Scenario::at_version_5();
    let change = replace(5, &document(6));
    scenario.apply(change.clone()).unwrap();
    scenario.state = ControlState::decode(&scenario.state.encode()).unwrap();
    assert_eq!(scenario.apply(change), Ok(CommandOutcome::AlreadyApplied));
}

#[test]
fn another_content_under_the_same_version_is_another_change() {
    let mut scenario = Scenario::at_version_5();
    scenario.apply(replace(5, &document(6))).unwrap();
    let mut other = document(6);
    other["routes"] = json!([]);
    scenario.assert_rejected(replace(5, &other), ResultCode::BaseMismatch);
}

#[test_case("/backends", json!([{ "name": "two" }]), ResultCode::UnknownBackend; "unknown service")]
#[test_case("/routes", json!([route("r1", "/a/", "one"), route("r2", "/a/", "two")]), ResultCode::DuplicateRoute; "same host and prefix")]
#[test_case("/routes/0/timeout_ms", json!(0), ResultCode::NoTimeout; "no timeout")]
#[test_case("/routes/0/traffic_split", json!([{ "backend": "one", "weight": 0 }]), ResultCode::NoWeight; "no weight")]
#[test_case("/version", json!(5), ResultCode::VersionNotAbove; "same version")]
#[test_case("/version", json!(4), ResultCode::VersionNotAbove; "old version")]
#[test_case("/tenants", json!([{ "name": "t1", "api_keys": ["k"] }, { "name": "t2", "api_keys": ["k"] }]), ResultCode::SharedKey; "shared key")]
#[test_case("/routes/0/type", json!("strange"), ResultCode::UnreadableDocument; "unknown type")]
#[test_case("/routes", json!("none"), ResultCode::UnreadableDocument; "routes are no list")]
fn an_invalid_configuration_is_rejected(pointer: &str, value: Value, code: ResultCode) {
    let mut scenario = Scenario::at_version_5();
    let mut body = document(6);
    match body.pointer_mut(pointer) {
        Some(found) => *found = value,
        None => body["routes"][0][pointer.rsplit('/').next().unwrap()] = value,
    }
    scenario.assert_rejected(replace(5, &body), code);
}

#[test]
fn a_truncated_document_is_rejected_at_any_byte() {
    let mut scenario = Scenario::at_version_5();
    let full = document(6).to_string();
    for length in (0..full.len()).step_by(7) {
        let change = Change { kind: ChangeKind::Replace, base: 5, body: full[..length].to_owned() };
        scenario.assert_rejected(change, ResultCode::UnreadableDocument);
    }
}

#[test]
fn an_update_replaces_named_items_and_keeps_the_rest() {
    let mut scenario = Scenario::at_version_5();
    let changed = json!({ "version": 6, "upsert": {
        "routes": [route("r1", "/b/", "two"), route("r2", "/c/", "one")],
        "tenants": [{ "name": "t2", "api_keys": ["k3"] }],
        "limits": { "max_body_bytes": 200 } }, "delete": { "tenants": ["t1", "never there"] } });
    assert_eq!(scenario.apply(update(5, &changed)), Ok(CommandOutcome::Applied));
    let document = scenario.state.document().unwrap().0.to_value();
    assert_eq!(document["version"], 6);
    assert_eq!(document["routes"][0]["path_prefix"], "/b/");
    assert_eq!(document["routes"].as_array().unwrap().len(), 2);
    assert_eq!(document["backends"][0]["kept"]["as"], "sent");
    assert_eq!(document["tenants"], json!([{ "name": "t2", "api_keys": ["k3"] }]));
    assert_eq!(document["limits"]["max_body_bytes"], 200);
}

#[test]
fn an_update_that_removes_a_routes_service_is_rejected() {
    let mut scenario = Scenario::at_version_5();
    let body = json!({ "version": 6, "delete": { "backends": ["one"] } });
    scenario.assert_rejected(update(5, &body), ResultCode::UnknownBackend);
}

#[test]
fn commands_are_decoded_as_encoded() {
    let command = Command::Change(update(5, &json!({ "version": 6 })));
    assert_eq!(Command::decode(&command.encode()).unwrap(), command);
    let unknown =
        Command::decode(b"{\"Later\":1}").expect_err("a command of a newer program is never skipped");
    assert!(unknown.to_string().contains("Later"), "{unknown}");
}

#[test]
fn sealed_usage_is_final() {
    let mut state = ControlState::default();
    let seal = |window, count| Command::SealUsage { window, counts: [("t".to_owned(), count)].into() };
    state.apply(1, &seal(10, 3)).unwrap();
    state.apply(2, &seal(10, 4)).unwrap();
    state.apply(3, &seal(9, 4)).unwrap();
    assert_eq!(state.last_sealed(), 10);
    assert_eq!(state.sealed().len(), 1);
    assert_eq!(state.sealed()[&10]["t"], 3);
}

#[test]
fn a_request_matches_the_longest_prefix_of_its_host() {
    let mut body = document(6);
    body["routes"] = json!([route("short", "/a/", "one"), route("long", "/a/b/", "two")]);
    let table =
        RouteTable::default().with_update(1, EdgeUpdate::read(body.to_string().as_bytes(), true).unwrap());
    let name = |host: &str, path: &str| table.route(host, path).map(|route| route.name.clone());
    assert_eq!(name("shop.example", "/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("SHOP.example:8080", "/a/c").as_deref(), Some("short"));
    assert_eq!(name("shop.example", "/ab/"), None);
    assert_eq!(name("other.example", "/a/b/"), None);
    assert_eq!(table.tenant("k2").map(|tenant| tenant.name.as_str()), Some("t1"));
    assert!(table.tenant("k9").is_none());
}

#[test_case("/routes/0/timeout_ms", json!(900); "a changed route")]
#[test_case("/routes", json!([route("r2", "/c/", "two")]); "another route")]
#[test_case("/tenants", json!([]); "no tenants")]
#[test_case("/limits", json!({ "max_body_bytes": 7 }); "other limits")]
#[test_case("/backends", json!([{ "name": "two" }, { "name": "one", "runtime": { "models": [] } }]); "other services")]
fn a_difference_turns_the_earlier_configuration_into_the_later(pointer: &str, value: Value) {
    let before = document(5);
    let mut after = document(6);
    *after.pointer_mut(pointer).unwrap() = value;
    let update = difference(&before, &after);
    let made = updated(&before, &update);
    let sorted = |document: &Value| {
        let mut document = document.clone();
        for section in ["routes", "backends", "tenants"] {
            let items = document[section].as_array_mut().unwrap();
            items.sort_by_key(|item| item["name"].to_string());
        }
        document
    };
    assert_eq!(sorted(&made), sorted(&after));
    assert!(update.to_string().len() < after.to_string().len());
}

#[test]
fn edges_get_only_the_load_times_of_models() {
    let mut body = document(5);
    body["backends"][0]["runtime"] = json!({ "capacity": 8, "weights_mb": 9.0, "models": [
        { "name": "m", "weights_mb": 3.0, "load_s": 4.5, "adapters": 3, "adapter_mb": 1.0 }] });
    let reduced = edge_document::full(&as_document(&body));
    assert_eq!((&reduced["routes"], &reduced["tenants"]), (&body["routes"], &body["tenants"]));
    assert!(reduced.to_string().len() < body.to_string().len());
    let read = EdgeUpdate::read(reduced.to_string().as_bytes(), true).unwrap();
    let runtime = read.backends.upsert.iter().find_map(|backend| backend.runtime.as_ref()).unwrap();
    assert_eq!(runtime.models[0].load_s, 4.5);
}

// ---- what is sent to edges ----

fn many_routes(first: usize, count: usize) -> Vec<Value> {
    (first..first + count)
        .map(|number| route(&format!("r{number}"), &format!("/p{number}/"), "one"))
        .collect()
}

#[test]
fn a_table_updated_by_differences_equals_one_of_the_full_configuration() {
    let mut before = document(5);
    before["routes"] = many_routes(0, 30).into();
    let mut after = document(6);
    let mut routes = many_routes(10, 40);
    // Two routes swap prefixes, one moves to another host, and a key moves to another tenant.
    routes[0]["path_prefix"] = json!("/p11/");
    routes[1]["path_prefix"] = json!("/p10/");
    routes[2]["hostname"] = json!("Other.example");
    after["routes"] = routes.into();
    after["tenants"] = json!([{ "name": "t1", "api_keys": ["k1"] }, { "name": "t2", "api_keys": ["k2"] }]);
    let change = difference(&before, &after).to_string();
    let read = |text: &str, is_whole| EdgeUpdate::read(text.as_bytes(), is_whole).unwrap();
    let full = RouteTable::default().with_update(2, read(&after.to_string(), true));
    let changed = RouteTable::default()
        .with_update(1, read(&before.to_string(), true))
        .with_update(2, read(&change, false));
    for host in ["shop.example", "other.example"] {
        for number in 0..60 {
            let path = format!("/p{number}/x");
            let name = |table: &RouteTable| table.route(host, &path).map(|route| route.name.clone());
            assert_eq!(name(&full), name(&changed), "{host}{path}");
        }
    }
    for key in ["k1", "k2"] {
        let name = |table: &RouteTable| table.tenant(key).map(|tenant| tenant.name.clone());
        assert_eq!(name(&full), name(&changed), "{key}");
    }
    assert_eq!((changed.index, changed.version), (2, 6));
    assert!(changed.route("shop.example", "/p0/").is_none(), "the route was removed");
}

/// The table of an edge that receives a full configuration.
fn table_of(document: &Value) -> RouteTable {
    let sent = edge_document::full(&as_document(document)).to_string();
    RouteTable::default().with_update(1, EdgeUpdate::read(sent.as_bytes(), true).unwrap())
}

/// The table of an edge that has `before` and is sent what it lacks of `after`.
fn changed_table(table: &RouteTable, before: &Value, after: &Value) -> RouteTable {
    let [before, after] = [before, after].map(as_document);
    let (sent, is_full) = match edge_document::difference(&before, &after) {
        Some(difference) => (difference, false),
        None => (edge_document::full(&after), true),
    };
    table.with_update(table.index + 1, EdgeUpdate::read(sent.to_string().as_bytes(), is_full).unwrap())
}

fn without(section: &str, mut document: Value) -> Value {
    document.as_object_mut().unwrap().remove(section);
    document
}

fn with(section: &str, value: Value, mut document: Value) -> Value {
    document[section] = value;
    document
}

/// Guards against routes that are open to every key once the last tenant is taken away: an empty list of tenants has
/// no keys, while without a list no key is needed.
#[test]
fn an_empty_list_of_tenants_lets_no_key_pass() {
    let (listed, emptied) = (document(5), with("tenants", json!([]), document(6)));
    let absent = without("tenants", document(6));
    for before in [&listed, &with("tenants", json!([]), document(5)), &without("tenants", document(5))] {
        let table = table_of(before);
        let to_empty = changed_table(&table, before, &emptied);
        assert!(to_empty.requires_keys() && to_empty.tenant("k1").is_none(), "from {before}");
        assert!(!changed_table(&table, before, &absent).requires_keys(), "from {before}");
        assert!(changed_table(&table, before, &document(6)).tenant("k1").is_some(), "from {before}");
    }
    assert!(table_of(&emptied).requires_keys() && !table_of(&absent).requires_keys());
}

#[test]
fn the_last_tenant_that_an_update_takes_away_leaves_an_empty_list_also_after_a_restart() {
    let mut scenario = Scenario::at_version_5();
    let known = scenario.state.document().unwrap().0.to_value();
    let change = update(5, &json!({ "version": 6, "delete": { "tenants": ["t1"] } }));
    assert_eq!(scenario.apply(change), Ok(CommandOutcome::Applied));
    for state in [scenario.state.clone(), ControlState::decode(&scenario.state.encode()).unwrap()] {
        let document = state.document().unwrap().0.to_value();
        assert_eq!(document["tenants"], json!([]));
        assert!(changed_table(&table_of(&known), &known, &document).requires_keys());
        assert!(table_of(&document).requires_keys(), "an edge that fetches the whole configuration");
    }
}

/// Guards against a list of tenants, and with it the need for a key, that comes into being by an update that adds no
/// tenant.
#[test_case(json!({ "upsert": { "tenants": [] } }); "nothing to add")]
#[test_case(json!({ "delete": { "tenants": [] } }); "nothing to remove")]
#[test_case(json!({ "delete": { "tenants": ["t1"], "routes": ["none"] }, "upsert": { "labels": [] } }); "unknown names")]
fn a_list_that_is_absent_stays_absent_unless_an_item_is_added(change: Value) {
    let before = without("tenants", document(5));
    let change = with("version", json!(6), change);
    let after = updated(&before, &change);
    assert_eq!(after, with("version", json!(6), before.clone()));
    assert!(!changed_table(&table_of(&before), &before, &after).requires_keys());
    // Members of the version before make an empty list of it, so the same change is then another kind.
    let before = as_document(&before);
    let (with_empty_lists, _) = before.updated(&change, AbsentLists::Appear).unwrap();
    assert_ne!(with_empty_lists.to_value(), after);
}

#[test]
fn an_update_is_of_the_kind_that_all_members_decode() {
    let mut scenario = Scenario::at_version_5();
    assert_eq!(scenario.state.update_kind(), ChangeKind::Update);
    for (format, kind) in [(1, ChangeKind::Update), (2, ChangeKind::UpdateItems)] {
        scenario.state.apply(scenario.index, &Command::RaiseFormat { format }).unwrap();
        assert_eq!(scenario.state.update_kind(), kind);
    }
    // The same call, sent again after the format has risen, is the same change.
    let first = update(5, &json!({ "version": 7, "delete": { "routes": ["r1"] } }));
    assert_eq!(scenario.apply(first.clone()), Ok(CommandOutcome::Applied));
    let again = Change { kind: ChangeKind::UpdateItems, ..first };
    assert_eq!(scenario.apply(again), Ok(CommandOutcome::AlreadyApplied));
}

/// Guards against edges that keep former limits when an update sets them to `null`.
#[test]
fn limits_of_null_are_no_limits_at_the_edges() {
    let before = document(5);
    let after = with("limits", Value::Null, document(6));
    assert_eq!(changed_table(&table_of(&before), &before, &after).limits.max_body_bytes, None);
    assert_eq!(table_of(&after).limits.max_body_bytes, None);
}

#[test_case("routes")]
#[test_case("tenants")]
#[test_case("backends")]
#[test_case("limits")]
fn a_removed_section_is_removed_at_the_edges(section: &str) {
    let before = document(5);
    let after = without(section, document(6));
    let table = changed_table(&table_of(&before), &before, &after);
    let left = [
        ("routes", table.route("shop.example", "/a/").is_some()),
        ("tenants", table.tenant("k1").is_some()),
        ("tenants", table.requires_keys()),
        ("backends", table.backend("one").is_some()),
        ("limits", table.limits.max_body_bytes.is_some()),
    ];
    for (name, is_left) in left {
        assert_eq!(is_left, name != section, "{name}");
    }
}

#[test]
fn an_update_is_parsed_a_few_items_at_a_time() {
    let mut body = document(5);
    body["routes"] = many_routes(0, 20).into();
    let text = body.to_string();
    let mut reader = EdgeUpdateReader::new(text.as_bytes(), true).unwrap();
    let mut rounds = 0;
    while !reader.read_some(8).unwrap() {
        rounds += 1;
        assert!(rounds < 10);
    }
    let update = reader.finish();
    assert_eq!(rounds, 2, "23 items, 8 at a time");
    assert_eq!(
        (update.routes.upsert.len(), update.backends.upsert.len(), update.tenants.upsert.len()),
        (20, 2, 1)
    );
}

#[test]
fn an_unreadable_update_is_an_error() {
    assert!(EdgeUpdate::read(b"{\"version\":7,\"upsert\":{\"routes\":[{\"name\":1}]}}", false).is_err());
    assert!(EdgeUpdate::read(b"{\"version\":7,\"upsert\":", false).is_err());
}

#[test]
fn an_update_of_many_items_finds_each_by_its_name() {
    let mut before = document(5);
    before["routes"] = many_routes(0, 4_000).into();
    let update = json!({ "version": 6, "upsert": { "routes": many_routes(2_000, 4_000) },
                         "delete": { "routes": ["r0", "r1"] } });
    let after = updated(&before, &update);
    let routes = after["routes"].as_array().unwrap();
    assert_eq!(routes.len(), 5_998);
    assert_eq!((&routes[0]["name"], &routes[5_997]["name"]), (&json!("r2"), &json!("r5999")));
}

#[test_case(0, 5, 0, true; "the first full configuration")]
#[test_case(0, 5, 3, false; "a difference to a configuration that the edge never had")]
#[test_case(5, 6, 5, true; "the next difference")]
#[test_case(5, 9, 0, true; "a newer full configuration")]
#[test_case(5, 9, 4, false; "a difference to an older configuration")]
#[test_case(5, 9, 6, false; "a difference to a newer configuration that the edge does not have")]
#[test_case(5, 5, 0, false; "the same configuration again")]
#[test_case(5, 4, 0, false; "an older full configuration")]
fn an_edge_never_returns_to_an_older_configuration(known: u64, index: u64, base: u64, accepted: bool) {
    let table = RouteTable::default().with_update(known, EdgeUpdate::default());
    assert_eq!(table.accepts(index, base), accepted);
}

#[test]
fn a_removed_key_is_unknown() {
    let before = EdgeUpdate::read(document(5).to_string().as_bytes(), true).unwrap();
    let lost = json!({ "version": 6, "upsert": { "tenants": [{ "name": "t1", "api_keys": ["k2"] }] }, "delete": {} });
    let lost = EdgeUpdate::read(lost.to_string().as_bytes(), false).unwrap();
    let table = RouteTable::default().with_update(1, before).with_update(2, lost);
    assert!(table.tenant("k1").is_none());
    assert!(table.tenant("k2").is_some());
}

#[test]
fn a_full_update_replaces_everything() {
    let mut next = document(6);
    next["routes"] = json!([route("r2", "/b/", "two")]);
    next["tenants"] = json!([{ "name": "t2", "api_keys": ["k9"] }]);
    let read = |body: &Value| EdgeUpdate::read(body.to_string().as_bytes(), true).unwrap();
    let table = RouteTable::default().with_update(1, read(&document(5))).with_update(2, read(&next));
    assert!(table.route("shop.example", "/a/").is_none());
    assert!(table.tenant("k1").is_none());
    assert!(table.route("shop.example", "/b/").is_some() && table.tenant("k9").is_some());
}

#[test]
fn changes_are_recorded_up_to_a_bound_and_an_evicted_one_is_unclear() {
    let mut scenario = Scenario { state: ControlState::default(), index: 0 };
    let nth = |version: u64| {
        let body = json!({ "version": version, "upsert": { "limits": { "max_body_bytes": version } } });
        update(version - 1, &body)
    };
    let count = MAX_RECORDED_CHANGES as u64 + 10;
    (1..=count).for_each(|version| assert_eq!(scenario.apply(nth(version)), Ok(CommandOutcome::Applied)));
    let after_a_restart = ControlState::decode(&scenario.state.encode()).unwrap();
    assert_eq!(after_a_restart.encode(), scenario.state.encode());
    scenario.state = after_a_restart;
    (11..=count)
        .for_each(|version| assert_eq!(scenario.apply(nth(version)), Ok(CommandOutcome::AlreadyApplied)));
    scenario.assert_rejected(nth(10), ResultCode::Unclear);
    let mut never_sent = nth(11);
    never_sent.body = json!({ "version": 11, "delete": { "routes": ["r"] } }).to_string();
    scenario.assert_rejected(never_sent, ResultCode::BaseMismatch);
    let bytes_a_change = scenario.state.encode().len() / MAX_RECORDED_CHANGES;
    assert!(bytes_a_change < 100, "{bytes_a_change} bytes a change in each snapshot");
}

#[test]
fn a_snapshot_of_format_1_is_read_and_its_changes_are_unclear() {
    let first = json!({ "document": document(5), "index": 3, "version": 5,
        "taken": [{ "version": 5, "digest": 77 }], "sealed": {}, "last_sealed": 0 });
    let mut scenario =
        Scenario { state: ControlState::decode(first.to_string().as_bytes()).unwrap(), index: 3 };
    scenario.assert_rejected(replace(0, &document(5)), ResultCode::Unclear);
    assert_eq!(scenario.apply(replace(5, &document(6))), Ok(CommandOutcome::Applied));
}

#[test_case(b"{\"document\":", "cannot be read"; "cut short")]
#[test_case(b"{\"format\":9,\"document\":null,\"index\":0,\"version\":0,\"sealed\":{},\"last_sealed\":0}", "format 9"; "of a newer program")]
fn a_snapshot_that_cannot_be_read_is_an_error_and_never_an_empty_state(bytes: &[u8], message: &str) {
    let error = ControlState::decode(bytes).expect_err("unreadable").to_string();
    assert!(error.contains(message), "{error}");
}

// Two items may have the same name, and a change by that name removes both. Edges kept only one item for each
// name: when two routes or tenants were removed, the edges went on serving one of the routes and accepting a
// key of one of the tenants.
#[test_case(json!({ "delete": { "routes": ["twin"], "tenants": ["twin"] } }); "both are removed")]
#[test_case(json!({ "upsert": { "routes": [route("twin", "/c/", "two")], "tenants": [{ "name": "twin", "api_keys": ["k3"] }] } }); "the first is replaced")]
#[test_case(json!({ "upsert": { "limits": { "max_body_bytes": 5 } } }); "another section is changed")]
fn items_with_the_same_name_are_the_same_at_edges_as_in_the_document(change: Value) {
    let mut before = document(5);
    before["routes"] =
        json!([route("twin", "/a/", "one"), route("twin", "/b/", "two"), route("r", "/d/", "one")]);
    before["tenants"] =
        json!([{ "name": "twin", "api_keys": ["k1"] }, { "name": "twin", "api_keys": ["k2"] }]);
    let mut update = change;
    update["version"] = json!(6);
    let after = updated(&before, &update);
    let read = |text: Value, is_whole| EdgeUpdate::read(text.to_string().as_bytes(), is_whole).unwrap();
    let full = |document: &Value| read(edge_document::full(&as_document(document)), true);
    let sent = as_document(&before).updated(&update, AbsentLists::StayAbsent).unwrap().0;
    let sent = edge_document::difference(&as_document(&before), &sent).expect("all items have names");
    let changed = RouteTable::default().with_update(1, full(&before)).with_update(2, read(sent, false));
    let expected = |list: &str, key: &str, wanted: &str| {
        let items = after[list].as_array().unwrap();
        items.iter().any(|item| {
            item[key] == wanted || item[key].as_array().is_some_and(|keys| keys.contains(&json!(wanted)))
        })
    };
    for path in ["/a/", "/b/", "/c/", "/d/"] {
        let is_served = changed.route("shop.example", path).is_some();
        assert_eq!(is_served, expected("routes", "path_prefix", path), "{path}");
    }
    for key in ["k1", "k2", "k3"] {
        assert_eq!(changed.tenant(key).is_some(), expected("tenants", "api_keys", key), "{key}");
    }
}
