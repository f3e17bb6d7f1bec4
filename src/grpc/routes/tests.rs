use super::*;

#[test]
fn the_longest_pattern_wins_and_a_whole_path_over_all() {
    let mut routes = Routes::default();
    for (i, pattern) in
        ["/*", "/a.*", "/a.B/*", "/a.B/Get", "/a.B/Get*", "/a.B/GetAll", "/a.Bc/Put"].iter().enumerate()
    {
        routes.insert(pattern, i).unwrap();
    }
    for (path, wanted) in [
        ("/a.B/Get", 3),
        ("/a.B/Gets", 4),
        ("/a.B/GetAll", 5),
        ("/a.B/GetAllx", 4),
        ("/a.B/Ge", 2),
        ("/a.B/", 2),
        ("/a.B", 1),
        ("/a.Bc/Put", 6),
        ("/a.Bc/Pu", 1),
        ("/a", 0),
        ("/", 0),
    ] {
        assert_eq!(routes.find(path), Some(&wanted), "{path}");
    }
    assert_eq!(routes.find(""), None);
    assert_eq!(routes.find("x"), None);
    assert_eq!(routes.insert("/a.B/*", 9), Err(BadPattern::Twice));
    assert_eq!(routes.len(), 7);
}

#[test]
fn patterns_that_no_call_could_have_are_refused() {
    for (pattern, wrong) in [
        ("", BadPattern::NoSlash),
        ("*", BadPattern::NoSlash),
        ("a.B/Get", BadPattern::NoSlash),
        ("/a.*/Get", BadPattern::StarInside),
        ("/a.B/G**", BadPattern::StarInside),
        ("/", BadPattern::Unsound),
        ("/a.B", BadPattern::Unsound),
        ("/a.B/", BadPattern::Unsound),
        ("//Get", BadPattern::Unsound),
        ("//*", BadPattern::Unsound),
        ("/a.B/Get/x", BadPattern::Unsound),
        ("/a.B/G t", BadPattern::Unsound),
        ("/a.B/G\u{e9}", BadPattern::Unsound),
    ] {
        assert_eq!(Routes::default().insert(pattern, ()), Err(wrong), "{pattern:?}");
    }
}

#[test]
fn the_trie_finds_what_the_plain_scan_finds() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut word =
        |most: usize| -> String { (0..random.usize(1..=most)).map(|_| random.char('a'..='c')).collect() };
    let (mut routes, mut scan) = (Routes::default(), Scan::default());
    for i in 0..600 {
        let mut pattern = format!("/{}.{}/{}", word(3), word(3), word(4));
        if i % 3 == 0 {
            pattern.truncate(1 + i % pattern.len());
            pattern.push('*');
        }
        assert_eq!(routes.insert(&pattern, i), scan.insert(&pattern, i), "{pattern}");
    }
    let mut found = 0;
    for _ in 0..5_000 {
        let path = format!("/{}.{}/{}", word(3), word(3), word(4));
        assert_eq!(routes.find(&path), scan.find(&path), "{path}");
        found += usize::from(routes.find(&path).is_some());
    }
    assert!(found > 1_000, "only {found} paths had a route");
}
