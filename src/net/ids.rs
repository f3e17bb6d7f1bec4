//! The ids of requests that were taken of late. Every request has its own: a second one with the same id is not
//! passed on, for to a node it would be a further attempt of the first.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::{Duration, Instant};

#[derive(Clone)]
pub struct Ids(Arc<Mutex<Known>>);

struct Known {
    /// Ids by their hashes, under a key that nobody outside knows.
    hashes: HashSet<u64>,
    by_age: VecDeque<(Instant, u64)>,
    hasher: RandomState,
    most: usize,
    time: Duration,
}

impl Ids {
    /// Each id is known for that time, but never more of them than `most`.
    pub fn new(most: usize, time: Duration) -> Ids {
        let (hashes, by_age, hasher) = (HashSet::new(), VecDeque::new(), RandomState::new());
        Ids(Arc::new(Mutex::new(Known { hashes, by_age, hasher, most, time })))
    }

    /// Notes the id; false if it is known already.
    pub fn first_time(&self, id: &[u8], now: Instant) -> bool {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let known = &mut *known;
        while known
            .by_age
            .front()
            .is_some_and(|(at, _)| known.by_age.len() >= known.most || *at + known.time < now)
        {
            if let Some((_, hash)) = known.by_age.pop_front() {
                known.hashes.remove(&hash);
            }
        }
        let hash = known.hasher.hash_one(id);
        let first = known.hashes.insert(hash);
        if first {
            known.by_age.push_back((now, hash));
        }
        first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_id_is_known_for_its_time_and_no_more_than_so_many_are() {
        let (ids, start) = (Ids::new(3, Duration::from_secs(5)), Instant::now());
        for (second, id, first) in [
            (0, "a", true),
            (1, "a", false),
            (2, "b", true),
            (6, "a", true),
            (6, "b", false),
            (7, "c", true),
            (7, "d", true),
            (7, "b", true),
        ] {
            let now = start + Duration::from_secs(second);
            assert_eq!(ids.first_time(id.as_bytes(), now), first, "{second} {id}");
        }
    }
}
