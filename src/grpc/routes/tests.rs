use super::*;

#[test]
fn the_longest_pattern_wins_and_a_whole_path_wins_over_prefixes() {
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
    assert_eq!(routes.insert("/a.B/*", 9), Err(BadPattern::Duplicate));
    assert_eq!(routes.len(), 7);
}

#[test]
fn patterns_that_no_path_can_match_are_rejected() {
    for (pattern, error) in [
        ("", BadPattern::NoSlash),
        ("*", BadPattern::NoSlash),
        ("a.B/Get", BadPattern::NoSlash),
        ("/a.*/Get", BadPattern::MisplacedStar),
        ("/a.B/G**", BadPattern::MisplacedStar),
        ("/", BadPattern::Malformed),
        ("/a.B", BadPattern::Malformed),
        ("/a.B/", BadPattern::Malformed),
        ("//Get", BadPattern::Malformed),
        ("//*", BadPattern::Malformed),
        ("/a.B/Get/x", BadPattern::Malformed),
        ("/a.B/G t", BadPattern::Malformed),
        ("/a.B/G\u{e9}", BadPattern::Malformed),
    ] {
        assert_eq!(Routes::default().insert(pattern, ()), Err(error), "{pattern:?}");
    }
}

#[test]
fn the_trie_finds_the_same_routes_as_a_linear_scan() {
    let mut random = fastrand::Rng::with_seed(7);
    let mut word =
        |most: usize| -> String { (0..random.usize(1..=most)).map(|_| random.char('a'..='c')).collect() };
    let (mut routes, mut scan) = (Routes::default(), LinearRoutes::default());
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
