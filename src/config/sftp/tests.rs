use super::*;

const GOOD: &str = "enabled = true\nlisten = \"127.0.0.1:0\"\n[[paths]]\nprefix = \"/a/\"\nplan = \"p\"\n\
    shards = [3, 4]\nread_class = \"r\"\nwrite_class = \"w\"\n[[paths]]\nprefix = \"/a/b/\"\nplan = \"p\"\n\
    shards = [5]\nread_class = \"r\"\nwrite_class = \"w\"\nunit_bytes = 10\n";

fn read(text: &str) -> (Settings, Result<Option<SftpFront>, ConfigError>) {
    let class = |repeats| Class { deadline: 3_000_000, repeats, ..Class::default() };
    let classes = vec![class(Repeats::Safe), class(Repeats::Keyed)];
    let mut settings = Settings { classes, max_units: 8.0, ..Settings::default() };
    let names = Names { classes: vec!["r".into(), "w".into()], plans: vec!["p".into()], ..Names::default() };
    let front = SftpFront::read(text, &mut settings, &names);
    (settings, front)
}

#[test]
fn paths_lead_to_the_longest_prefix_and_a_customer_is_one_volume() {
    let (settings, front) = read(GOOD);
    let front = front.unwrap().unwrap();
    let (x, y) = (front.target("/a/c1/x").unwrap(), front.target("/a/c1/d/y").unwrap());
    assert_eq!(x.volume, y.volume);
    assert_ne!(x.key, y.key);
    assert_ne!(x.volume, front.target("/a/c2/x").unwrap().volume);
    let deep = front.target("/a/b/c1/x").unwrap();
    assert_eq!(
        (deep.shard, deep.rule.units(0), deep.rule.units(21), deep.rule.units(999)),
        (5, 1.0, 3.0, 8.0)
    );
    assert_eq!(settings.classes[deep.rule.non_repeatable.class].repeats, Repeats::Unsafe);
    assert_eq!(deep.rule.write.wait, Duration::from_secs(3));
    for path in ["", "a/c1/x", "/a/../x", "/a//x", "/a/./x", "/a/c1/\0"] {
        assert_eq!(front.target(path), Err(TargetError::MalformedPath), "{path:?}");
    }
    assert_eq!(front.target("/z/x"), Err(TargetError::Unmapped));
}

#[test]
fn the_file_may_be_off_and_its_faults_are_named() {
    assert_eq!(read("enabled = false\nlisten = \"127.0.0.1:0\"\n").1.unwrap(), None);
    assert_eq!(read("").1.unwrap(), None);
    for (from, to, fault) in [
        ("shards = [5]", "shards = []", "paths[1].shards"),
        ("plan = \"p\"", "plan = \"q\"", "paths[0].plan"),
        ("\"/a/b/\"", "\"/a/b\"", "paths[1].prefix"),
        ("unit_bytes = 10", "unit_bytes = -1", "paths[1].unit_bytes"),
        ("listen = \"127.0.0.1:0\"\n", "", "listen"),
    ] {
        let error = read(&GOOD.replace(from, to)).1.unwrap_err().to_string();
        assert!(error.contains(fault), "{error}");
    }
}
