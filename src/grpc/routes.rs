//! The routing table: patterns of paths to whatever they lead to. A pattern is a whole path, or a beginning of paths
//! with `*` behind it; the longest that fits wins, and a whole path wins over all beginnings.
//!
//! A radix trie: each node holds the bytes that all below it share, so that a look-up reads the path once, whatever
//! the number of routes. O(length of the path) for a look-up, and as much for an insertion.

use std::fmt;

#[derive(Debug, PartialEq, Eq)]
pub enum BadPattern {
    /// It does not begin with `/`.
    NoSlash,
    /// `*` elsewhere than at the end.
    StarInside,
    /// A byte that no path has, or none at all between `/` and `*` and elsewhere.
    Unsound,
    /// Another route has the same.
    Twice,
}

impl fmt::Display for BadPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadPattern::NoSlash => "it must begin with /",
            BadPattern::StarInside => "* may only be its last character",
            BadPattern::Unsound => {
                "it must be /package.Service/Method, or a beginning of that with * behind it"
            }
            BadPattern::Twice => "another route has the same path",
        })
    }
}

impl std::error::Error for BadPattern {}

#[derive(Debug, Default)]
struct Node {
    label: Box<[u8]>,
    /// By their labels' first byte, in order.
    children: Vec<(u8, u32)>,
    /// What the path that ends here leads to, and what all that go on from here do.
    exact: Option<u32>,
    prefix: Option<u32>,
}

#[derive(Debug)]
pub struct Routes<T> {
    nodes: Vec<Node>,
    values: Vec<T>,
}

impl<T> Default for Routes<T> {
    fn default() -> Self {
        Routes { nodes: vec![Node::default()], values: Vec::new() }
    }
}

impl<T> Routes<T> {
    pub fn insert(&mut self, pattern: &str, value: T) -> Result<(), BadPattern> {
        let (path, is_prefix) = check(pattern)?;
        let at = self.place(path.as_bytes());
        let number = self.values.len() as u32;
        let node = &mut self.nodes[at];
        let slot = if is_prefix { &mut node.prefix } else { &mut node.exact };
        if slot.is_some() {
            return Err(BadPattern::Twice);
        }
        *slot = Some(number);
        self.values.push(value);
        Ok(())
    }

    /// The node at which this path ends, made where there is none.
    fn place(&mut self, mut rest: &[u8]) -> usize {
        let mut at = 0;
        loop {
            let Some(&first) = rest.first() else { return at };
            let slot = match self.nodes[at].children.binary_search_by_key(&first, |child| child.0) {
                Ok(slot) => slot,
                Err(slot) => {
                    let new = self.add(Node { label: rest.into(), ..Node::default() });
                    self.nodes[at].children.insert(slot, (first, new));
                    return new as usize;
                }
            };
            let child = self.nodes[at].children[slot].1;
            let label = &self.nodes[child as usize].label;
            let shared = label.iter().zip(rest).take_while(|(a, b)| a == b).count();
            if shared < label.len() {
                // The child's label parts here: a new node takes what is shared, the child keeps the rest.
                let (head, tail) = label.split_at(shared);
                let (head, tail): (Box<[u8]>, Box<[u8]>) = (head.into(), tail.into());
                let middle = Node { label: head, children: vec![(tail[0], child)], ..Node::default() };
                self.nodes[child as usize].label = tail;
                let middle = self.add(middle);
                self.nodes[at].children[slot].1 = middle;
                at = middle as usize;
            } else {
                at = child as usize;
            }
            rest = &rest[shared..];
        }
    }

    fn add(&mut self, node: Node) -> u32 {
        self.nodes.push(node);
        (self.nodes.len() - 1) as u32
    }

    pub fn find(&self, path: &str) -> Option<&T> {
        let (mut rest, mut at, mut best) = (path.as_bytes(), 0usize, None);
        loop {
            let node = &self.nodes[at];
            best = node.prefix.or(best);
            let Some(first) = rest.first() else {
                return node.exact.or(best).map(|number| &self.values[number as usize]);
            };
            let child = match node.children.binary_search_by_key(first, |child| child.0) {
                Ok(slot) => node.children[slot].1 as usize,
                Err(_) => break,
            };
            match rest.strip_prefix(&*self.nodes[child].label) {
                Some(below) => (rest, at) = (below, child),
                None => break,
            }
        }
        best.map(|number| &self.values[number as usize])
    }

    pub fn len(&self) -> usize {
        self.values.len()
    }

    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.values.iter()
    }
}

/// The path without its star, and whether it had one.
fn check(pattern: &str) -> Result<(&str, bool), BadPattern> {
    let (path, is_prefix) = match pattern.strip_suffix('*') {
        Some(path) => (path, true),
        None => (pattern, false),
    };
    if !path.starts_with('/') {
        return Err(BadPattern::NoSlash);
    }
    if path.contains('*') {
        return Err(BadPattern::StarInside);
    }
    let mut parts = path[1..].split('/');
    let (service, method, more) = (parts.next().unwrap_or(""), parts.next(), parts.next());
    let whole = method.is_some_and(|method| !method.is_empty()) && !service.is_empty();
    let sound = more.is_none()
        && (whole || is_prefix && !(service.is_empty() && method.is_some()))
        && path.bytes().all(|byte| byte.is_ascii_graphic());
    if sound { Ok((path, is_prefix)) } else { Err(BadPattern::Unsound) }
}

/// The plain twin: looks at every route. For tests and the measurement.
#[derive(Debug)]
pub struct Scan<T>(Vec<(String, bool, T)>);

impl<T> Default for Scan<T> {
    fn default() -> Self {
        Scan(Vec::new())
    }
}

impl<T> Scan<T> {
    pub fn insert(&mut self, pattern: &str, value: T) -> Result<(), BadPattern> {
        let (path, is_prefix) = check(pattern)?;
        if self.0.iter().any(|(known, star, _)| known == path && *star == is_prefix) {
            return Err(BadPattern::Twice);
        }
        self.0.push((path.to_string(), is_prefix, value));
        Ok(())
    }

    pub fn find(&self, path: &str) -> Option<&T> {
        let fits = |(known, star, _): &&(String, bool, T)| {
            if *star { path.starts_with(known.as_str()) } else { path == known }
        };
        let best = self.0.iter().filter(fits).max_by_key(|(known, star, _)| (!star, known.len()));
        best.map(|(.., value)| value)
    }
}

#[cfg(test)]
mod tests;
