//! The routing table, which maps patterns of paths to values. A pattern is a whole path, or a prefix followed
//! by `*`. The longest pattern that matches wins, and a whole path wins over all prefixes.
//!
//! The table is a radix trie: a node's label holds the bytes that all paths below the node share. A look-up
//! reads the path once, whatever the number of routes: look-ups and insertions take O(length of the path).

use std::fmt;

/// Why a pattern is invalid.
#[derive(Debug, PartialEq, Eq)]
pub enum BadPattern {
    /// The pattern does not begin with `/`.
    NoSlash,
    /// The pattern has a `*` that is not its last character.
    MisplacedStar,
    /// The pattern is not of the form `/package.Service/Method` or a prefix of it, or has a byte that no path
    /// has.
    Malformed,
    /// Another route has the same pattern.
    Duplicate,
}

impl fmt::Display for BadPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BadPattern::NoSlash => "it must begin with /",
            BadPattern::MisplacedStar => "* may only be its last character",
            BadPattern::Malformed => {
                "it must be /package.Service/Method, or a beginning of that with * behind it"
            }
            BadPattern::Duplicate => "another route has the same path",
        })
    }
}

impl std::error::Error for BadPattern {}

#[derive(Debug, Default)]
struct Node {
    label: Box<[u8]>,
    /// The children's indices, sorted by the first byte of their labels.
    children: Vec<(u8, u32)>,
    /// The index of the value for the path that ends at this node.
    exact: Option<u32>,
    /// The index of the value for all paths that begin with the path of this node.
    prefix: Option<u32>,
}

/// A routing table.
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
    /// Adds a route.
    ///
    /// # Errors
    ///
    /// Fails if the pattern is invalid or already in the table.
    pub fn insert(&mut self, pattern: &str, value: T) -> Result<(), BadPattern> {
        let (path, is_prefix) = parse_pattern(pattern)?;
        let index = self.find_or_insert_node(path.as_bytes());
        let value_index = self.values.len() as u32;
        let node = &mut self.nodes[index];
        let slot = if is_prefix { &mut node.prefix } else { &mut node.exact };
        if slot.is_some() {
            return Err(BadPattern::Duplicate);
        }
        *slot = Some(value_index);
        self.values.push(value);
        Ok(())
    }

    /// Returns the index of the node at which this path ends, and creates the node if it is missing.
    fn find_or_insert_node(&mut self, mut rest: &[u8]) -> usize {
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
                // The path diverges within the child's label. A new parent takes the shared bytes, and the child
                // keeps the rest.
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

    /// Returns the value of the longest pattern that matches the path.
    pub fn find(&self, path: &str) -> Option<&T> {
        let (mut rest, mut at, mut best) = (path.as_bytes(), 0usize, None);
        loop {
            let node = &self.nodes[at];
            best = node.prefix.or(best);
            let Some(first) = rest.first() else {
                return node.exact.or(best).map(|index| &self.values[index as usize]);
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
        best.map(|index| &self.values[index as usize])
    }

    /// Returns the number of routes.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Iterates over the values, in the order of insertion.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.values.iter()
    }
}

/// Checks a pattern. Returns its path without `*`, and whether it is a prefix.
fn parse_pattern(pattern: &str) -> Result<(&str, bool), BadPattern> {
    let (path, is_prefix) = match pattern.strip_suffix('*') {
        Some(path) => (path, true),
        None => (pattern, false),
    };
    if !path.starts_with('/') {
        return Err(BadPattern::NoSlash);
    }
    if path.contains('*') {
        return Err(BadPattern::MisplacedStar);
    }
    let mut parts = path[1..].split('/');
    let (service, method, extra) = (parts.next().unwrap_or(""), parts.next(), parts.next());
    let complete = method.is_some_and(|method| !method.is_empty()) && !service.is_empty();
    let well_formed = extra.is_none()
        && (complete || is_prefix && !(service.is_empty() && method.is_some()))
        && path.bytes().all(|byte| byte.is_ascii_graphic());
    if well_formed { Ok((path, is_prefix)) } else { Err(BadPattern::Malformed) }
}

/// A routing table that compares the path with every route. Tests and benchmarks compare [`Routes`] with it.
#[derive(Debug)]
pub struct LinearRoutes<T>(Vec<(String, bool, T)>);

impl<T> Default for LinearRoutes<T> {
    fn default() -> Self {
        LinearRoutes(Vec::new())
    }
}

impl<T> LinearRoutes<T> {
    /// Adds a route.
    ///
    /// # Errors
    ///
    /// Fails if the pattern is invalid or already in the table.
    pub fn insert(&mut self, pattern: &str, value: T) -> Result<(), BadPattern> {
        let (path, is_prefix) = parse_pattern(pattern)?;
        if self.0.iter().any(|(known, known_prefix, _)| known == path && *known_prefix == is_prefix) {
            return Err(BadPattern::Duplicate);
        }
        self.0.push((path.to_string(), is_prefix, value));
        Ok(())
    }

    /// Returns the value of the longest pattern that matches the path.
    pub fn find(&self, path: &str) -> Option<&T> {
        let matches = |(known, is_prefix, _): &&(String, bool, T)| {
            if *is_prefix { path.starts_with(known.as_str()) } else { path == known }
        };
        let best =
            self.0.iter().filter(matches).max_by_key(|(known, is_prefix, _)| (!is_prefix, known.len()));
        best.map(|(.., value)| value)
    }
}

#[cfg(test)]
mod tests;
