//! The head's part in the fleet's view on real sockets: carried by the datagrams between heads (`net/peers`),
//! shown on the operators' line.

pub mod command;

use crate::config::fleet::FleetView;
use crate::event;
use pathbank_coordination::gossip::datagram::{Datagram, FORM, Key};
use pathbank_coordination::gossip::member::{Member, Output};
use pathbank_coordination::gossip::{About, Change, Micros, Number, State, Why};
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::{Duration, Instant};

/// What is to be sent, and to whom.
pub type Sends = Vec<(u32, Vec<u8>)>;

/// Cheap to copy: the datagrams' task keeps it, the operators' line reads it.
#[derive(Clone, Debug)]
pub struct Fleet {
    member: Arc<Mutex<Member>>,
    own: Number,
    key: Key,
    start: Instant,
}

pub fn why(why: Why) -> String {
    match why {
        Why::Heard => "heard".into(),
        Why::Unanswered => "unanswered".into(),
        Why::Silent => "silent".into(),
        Why::Told(by) => format!("told-by-{by}"),
    }
}

impl Fleet {
    /// `None`: it has no place among so many heads.
    pub fn new(config: &FleetView, own: u32, heads: usize, seed: u64) -> Option<Fleet> {
        let own = Number::try_from(own).ok().filter(|own| usize::from(*own) < heads)?;
        if heads >= usize::from(Number::MAX) {
            return None;
        }
        let day = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let member = Member::new(own, heads, config.times, 0, day, seed);
        // Heads that are given another number of heads are of another fleet.
        let key = Key::of(&format!("{} {heads}", config.fleet));
        Some(Fleet { member: Arc::new(Mutex::new(member)), own, key, start: Instant::now() })
    }

    fn member(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub fn next(&self) -> Instant {
        self.start + Duration::from_micros(self.member().next())
    }

    pub fn tick(&self) -> Sends {
        let out = self.member().tick(self.now());
        self.carry_out(out)
    }

    /// Whether a datagram is of the view at all: whatever else heads say goes to the module.
    pub fn takes(bytes: &[u8]) -> bool {
        bytes.first() == Some(&FORM)
    }

    /// `None`: it is cut, foreign, changed, of a later form, or not the sender's own.
    pub fn hear(&self, from: u32, bytes: &[u8]) -> Option<Sends> {
        let said = Datagram::read(bytes, &self.key).ok().filter(|said| u32::from(said.from) == from)?;
        let out = self.member().hear(self.now(), said);
        Some(self.carry_out(out))
    }

    pub fn leave(&self) -> Sends {
        let out = self.member().leave(self.now());
        self.carry_out(out)
    }

    /// From here on it tells that it drains, or no longer does.
    pub fn drains(&self, draining: bool) {
        self.member().tell(About { draining, ..About::default() });
    }

    fn carry_out(&self, out: Output) -> Sends {
        for Change { member, before, now, why: reason } in out.changes {
            let (state, was) = (now.state.name(), before.state.name());
            let (start, spoke_up) = (now.incarnation.start(), now.incarnation.bits() & 0xffff);
            let why = why(reason);
            match now.state {
                State::Suspect => event!(DOUBT, member, start, spoke_up, why),
                _ => event!(MEMBER, member, state, was, start, spoke_up, why),
            }
        }
        out.send.into_iter().map(|said| (u32::from(said.to), said.bytes(&self.key))).collect()
    }

    /// For the operators' line: the view, or what is known of one head.
    pub fn text(&self, only: Option<Number>) -> Result<String, String> {
        let (member, now) = (self.member(), self.now());
        let view = member.view();
        if let Some(only) = only.filter(|only| usize::from(*only) >= view.heads()) {
            return Err(format!("there is no head {only}; there are {}", view.heads()));
        }
        let mut text = format!(
            "OK view {:016x} running {} of {} own {}\n",
            view.digest(),
            view.count(),
            view.heads(),
            self.own
        );
        for (number, record) in view.records().filter(|(number, _)| only.is_none_or(|only| only == *number)) {
            let (state, start, up) =
                (record.state.name(), record.incarnation.start(), record.incarnation.bits() & 0xffff);
            let told = match view.evidence(number) {
                None => format!("head {number} unknown"),
                Some((at, reason)) => {
                    let since_ms = now.saturating_sub(at) / 1_000;
                    format!(
                        "head {number} {state} start {start} spoke_up {up} since_ms {since_ms} why {}",
                        why(reason)
                    )
                }
            };
            let heard = member.heard(number).map_or(String::new(), |heard| {
                let (ago, same) = (now.saturating_sub(heard.at) / 1_000, heard.digest == view.digest());
                let (same, draining) = (if same { "same" } else { "other" }, u8::from(heard.about.draining));
                format!(" heard_ms {ago} view {same} draining {draining}")
            });
            let _ = writeln!(text, "{told}{heard}"); // a text takes whatever is written to it
        }
        text.push_str("END\n");
        Ok(text)
    }
}
