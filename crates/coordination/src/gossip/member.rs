//! One head's part in the view: whom it asks, whom it takes for dead and when, and what it passes on.

use super::datagram::{Datagram, ENTRIES, Say};
use super::view::View;
use super::{About, Change, Incarnation, Micros, Number, Record, State, Why};
use std::collections::{BTreeMap, VecDeque};

/// The times that the promise rests on. All heads have to have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Each head asks one other in each of these.
    pub period: Micros,
    /// Heads that are asked to ask for one that did not answer.
    pub helpers: usize,
}

impl Default for Times {
    fn default() -> Self {
        Times { period: 150_000, helpers: 3 }
    }
}

impl Times {
    /// The promise: so long after the last fault all views are the same and true, with one datagram in ten
    /// lost. Whoever is dead is asked within 7 periods, doubted after 2 and dead after those in which it may
    /// speak up; all hear of it in one and a half for each doubling of the fleet.
    pub fn settled_within(&self, heads: usize) -> Micros {
        let doublings = f64::from(usize::BITS - heads.leading_zeros());
        let periods = 7.0 + PATIENCE as f64 + speak_up(heads) + 1.5 * doublings;
        (periods * self.period as f64) as Micros
    }
}

/// Periods in which a suspect of so many heads may speak up.
fn speak_up(heads: usize) -> f64 {
    SPEAK_UP * (1.0 + (heads as f64 / 10.0).log10().max(0.0))
}

/// A record is passed on so many times by each head, for each doubling of the fleet.
const TELLS: u32 = 3;
/// A suspect has so many periods to speak up, and as many again for each tenfold of the fleet beyond ten:
/// word of it has to reach it, and its own to come back.
const SPEAK_UP: f64 = 3.0;
/// Whoever has heard for so many periods, or heard nobody for as long, takes part like all others.
const JOINED: u64 = 10;
/// Who stood still for so many periods knows nothing of what was said meanwhile.
const STOOD_STILL: u64 = 3;
/// Periods that an answer may take: one lost datagram, or one lost round of them, is no death.
const PATIENCE: u64 = 2;
/// Its own health, from 0: each point makes it wait for one more period before it doubts others.
const WORST_HEALTH: u32 = 8;
/// Where some do not answer, more than one is asked in a period: so many at the most beside the first. Of
/// seven in ten heads that end at once the others are to find each within a few periods.
const HURRY: usize = 3;
/// Repairs to one other head, and to all, in one period.
const REPAIRS: u32 = 4;
/// Datagrams that answer one list of digests.
const REPAIR: usize = 4;
/// Questions that are asked for others at once.
const MOST_RELAYED: usize = 64;

/// What it asked of another one.
#[derive(Debug)]
struct Asked {
    whom: Number,
    serial: u32,
    /// The life that was asked: a later one is not to blame.
    incarnation: Incarnation,
    at: Micros,
    /// Tries beside the first one: others were asked to ask, then all was done once more.
    tries: u32,
}

/// A question that was asked for another head.
#[derive(Debug)]
struct Relayed {
    serial: u32,
    back: Number,
    back_serial: u32,
}

/// What a call asks its caller to do.
#[derive(Debug, Default)]
pub struct Output {
    /// To be sent.
    pub send: Vec<Datagram>,
    /// What came to be thought of heads, to be told to operators.
    pub changes: Vec<Change>,
}

/// What others tell of themselves, as it was last heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Heard {
    /// When it was heard.
    pub at: Micros,
    /// What it told.
    pub about: About,
    /// The digest of its view.
    pub digest: u64,
}

/// One head's part in the view.
#[derive(Debug)]
pub struct Member {
    own: Number,
    incarnation: Incarnation,
    leaving: bool,
    joined: bool,
    joined_at: Micros,
    times: Times,
    about: About,
    view: View,
    draw: fastrand::Rng,
    serial: u32,
    /// Whom to ask next: those that run in a drawn order, one after another; and those that do not, in
    /// another one.
    to_ask: VecDeque<Number>,
    to_knock: VecDeque<Number>,
    asked: Vec<Asked>,
    relayed: VecDeque<Relayed>,
    /// Suspects, and until when each may speak up.
    suspects: BTreeMap<Number, Micros>,
    /// Records that are being passed on, and how often each has been.
    telling: BTreeMap<Number, u32>,
    heard: BTreeMap<Number, Heard>,
    heard_at: Micros,
    health: u32,
    repairs: u32,
    repaired: Vec<Number>,
    period_at: Micros,
    ticked: Micros,
}

impl Member {
    /// `own` of so many heads; `seconds`: the day's time, by which an incarnation is told from earlier ones.
    pub fn new(own: Number, heads: usize, times: Times, now: Micros, seconds: u64, seed: u64) -> Member {
        let mut draw = fastrand::Rng::with_seed(seed);
        let incarnation = Incarnation::began(seconds);
        let mut view = View::new(heads);
        view.learn(now, own, Record { incarnation, state: State::Joining }, Why::Heard);
        let alone = heads < 2;
        let mut member = Member {
            own,
            incarnation,
            leaving: false,
            joined: false,
            joined_at: now + JOINED * times.period,
            times,
            about: About::default(),
            view,
            // Not in step with heads that start at the same moment.
            period_at: now + draw.u64(0..times.period.max(1)),
            draw,
            serial: 0,
            to_ask: VecDeque::new(),
            to_knock: VecDeque::new(),
            asked: Vec::new(),
            relayed: VecDeque::new(),
            suspects: BTreeMap::new(),
            telling: BTreeMap::new(),
            heard: BTreeMap::new(),
            heard_at: now,
            health: 0,
            repairs: 0,
            repaired: Vec::new(),
            ticked: now,
        };
        if alone {
            member.join(now, &mut Output::default());
        }
        member
    }

    /// What it knows of all heads.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Its own incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// What that head last told of itself.
    pub fn heard(&self, member: Number) -> Option<&Heard> {
        self.heard.get(&member)
    }

    /// From here on it tells this of itself.
    pub fn tell(&mut self, about: About) {
        self.about = about;
    }

    /// When it wants to be asked for its times again.
    pub fn next(&self) -> Micros {
        let tries = self.asked.iter().map(|asked| self.try_at(asked));
        tries.chain(self.suspects.values().copied()).fold(self.period_at, Micros::min)
    }

    /// How long an answer may take, by its own health.
    fn patience(&self) -> Micros {
        self.times.period * (PATIENCE + u64::from(self.health))
    }

    /// When the next thing is done about it: two more tries, then the verdict.
    fn try_at(&self, asked: &Asked) -> Micros {
        let patience = self.patience();
        asked.at + [patience / 4, patience / 2, patience][asked.tries.min(2) as usize]
    }

    /// How long a suspect may take to speak up.
    fn speak_up(&self) -> Micros {
        (speak_up(self.view.heads()) * self.times.period as f64) as Micros
            + self.times.period * u64::from(self.health)
    }

    fn most_tells(&self) -> u32 {
        TELLS * (usize::BITS - self.view.heads().leading_zeros())
    }

    /// Its times: questions, verdicts.
    pub fn tick(&mut self, now: Micros) -> Output {
        let mut out = Output::default();
        let still = now.saturating_sub(self.ticked);
        self.ticked = now;
        if still > STOOD_STILL * self.times.period {
            // It was away: whoever did not answer may have, and whoever was to speak up did so to others.
            self.asked.clear();
            self.suspects.values_mut().for_each(|until| *until += still);
            self.health = (self.health + 1).min(WORST_HEALTH);
        }
        self.judge(now, &mut out);
        if now >= self.period_at {
            self.period_at = now + self.times.period;
            self.repairs = 0;
            self.repaired.clear();
            if now >= self.joined_at {
                self.join(now, &mut out);
            }
            let doubtful = self.asked.iter().filter(|asked| asked.tries == 2).count();
            for _ in 0..=doubtful.min(HURRY) {
                self.ask_next(now, &mut out);
            }
            self.ask_suspects(&mut out);
            self.knock_next(&mut out);
        }
        out
    }

    fn judge(&mut self, now: Micros, out: &mut Output) {
        for at in 0..self.asked.len() {
            let Asked { whom, serial, tries, .. } = self.asked[at];
            if tries < 2 && now >= self.try_at(&self.asked[at]) {
                self.asked[at].tries += 1;
                if tries == 1 {
                    let records = self.records_for(whom);
                    self.say(whom, serial, Say::Ask(records), out);
                }
                for helper in self.drawn(self.times.helpers, whom) {
                    let records = self.records_for(helper);
                    self.say(helper, serial, Say::AskFor { whom, records }, out);
                }
            }
        }
        let patience = self.patience();
        let over: Vec<Asked> = self.asked.extract_if(.., |asked| now >= asked.at + patience).collect();
        for Asked { whom, incarnation, at, .. } in over {
            // It may be at fault itself: so it looks where nobody was heard since.
            self.health = (self.health + u32::from(self.heard_at <= at)).min(WORST_HEALTH);
            if self.view.record(whom).is_some_and(|known| known.incarnation == incarnation) {
                self.learn(now, whom, Record { incarnation, state: State::Suspect }, Why::Unanswered, out);
            }
        }
        let silent: Vec<Number> =
            self.suspects.iter().filter(|(_, until)| now >= **until).map(|(member, _)| *member).collect();
        for member in silent {
            let Some(known) = self.view.record(member) else { continue };
            self.learn(now, member, Record { state: State::Dead, ..known }, Why::Silent, out);
            self.suspects.remove(&member);
        }
    }

    /// So many others that run, drawn, without that one.
    fn drawn(&mut self, most: usize, without: Number) -> Vec<Number> {
        let others = self.view.running().filter(|other| *other != self.own && *other != without);
        let others: Vec<Number> = others.collect();
        self.draw.choose_multiple(others, most)
    }

    fn ask_next(&mut self, now: Micros, out: &mut Output) {
        if self.to_ask.is_empty() {
            let mut others: Vec<Number> = self.view.running().filter(|other| *other != self.own).collect();
            self.draw.shuffle(&mut others);
            self.to_ask = others.into();
        }
        while let Some(whom) = self.to_ask.pop_front() {
            let known =
                self.view.record(whom).filter(|known| !known.incarnation.none() && known.state.runs());
            let Some(Record { incarnation, .. }) = known else { continue };
            self.serial = self.serial.wrapping_add(1);
            let serial = self.serial;
            self.asked.push(Asked { whom, serial, incarnation, at: now, tries: 0 });
            let records = self.records_for(whom);
            return self.say(whom, serial, Say::Ask(records), out);
        }
    }

    /// Those that it took for suspect itself hear of it in every period: one lost answer is no death.
    fn ask_suspects(&mut self, out: &mut Output) {
        let own =
            |member: &Number| self.view.evidence(*member).is_some_and(|(_, why)| why == Why::Unanswered);
        let accused: Vec<Number> = self.suspects.keys().copied().filter(own).collect();
        for whom in accused {
            let records = self.records_for(whom);
            self.say(whom, 0, Say::Ask(records), out);
        }
    }

    /// Asks one that is not thought to run: it may have come, or come back, or be on the other side of a cut
    /// that has healed.
    fn knock_next(&mut self, out: &mut Output) {
        let runs = |record: Record| !record.incarnation.none() && record.state.runs();
        if self.to_knock.is_empty() {
            let others = self.view.records().filter(|(other, record)| *other != self.own && !runs(*record));
            let mut others: Vec<Number> = others.map(|(other, _)| other).collect();
            self.draw.shuffle(&mut others);
            self.to_knock = others.into();
        }
        while let Some(whom) = self.to_knock.pop_front() {
            if self.view.record(whom).is_some_and(|record| !runs(record)) {
                let records = self.records_for(whom);
                return self.say(whom, 0, Say::Ask(records), out);
            }
        }
    }

    /// What is passed on with something that is said to that head: what it is thought to be itself, where it
    /// might object, then what has been passed on least.
    fn records_for(&mut self, to: Number) -> Vec<(Number, Record)> {
        let mut records = Vec::with_capacity(ENTRIES);
        let of_it = self.view.record(to).filter(|known| !known.incarnation.none());
        records.extend(of_it.filter(|known| known.state > State::Alive).map(|known| (to, known)));
        let mut least: Vec<(u32, Number)> =
            self.telling.iter().map(|(member, told)| (*told, *member)).collect();
        least.sort_unstable();
        let (most, room) = (self.most_tells(), ENTRIES - records.len());
        for (told, member) in least.into_iter().take(room) {
            records.extend(self.view.record(member).map(|record| (member, record)));
            if told + 1 >= most {
                self.telling.remove(&member);
            } else {
                self.telling.insert(member, told + 1);
            }
        }
        records
    }

    fn say(&mut self, to: Number, serial: u32, say: Say, out: &mut Output) {
        let (from, incarnation, digest, about) = (self.own, self.incarnation, self.view.digest(), self.about);
        out.send.push(Datagram { from, to, incarnation, joined: self.joined, serial, digest, about, say });
    }

    /// Takes a record that is greater than what is known, and passes it on.
    fn learn(&mut self, now: Micros, member: Number, record: Record, why: Why, out: &mut Output) {
        let Some(change) = self.view.learn(now, member, record, why) else { return };
        self.telling.insert(member, 0);
        self.suspects.remove(&member);
        if record.state == State::Suspect {
            self.suspects.insert(member, now + self.speak_up());
        }
        if record.incarnation > change.before.incarnation {
            self.asked.retain(|asked| asked.whom != member);
        }
        out.changes.push(change);
    }

    /// What others tell, of itself too: a verdict on it, or word of a later incarnation than its own, it
    /// answers with a later one.
    fn learn_all(&mut self, now: Micros, from: Number, records: &[(Number, Record)], out: &mut Output) {
        for (member, record) in records {
            if *member != self.own {
                self.learn(now, *member, *record, Why::Told(from), out);
                continue;
            }
            let own = self.view.record(self.own).unwrap_or_default();
            let verdict =
                record.incarnation == self.incarnation && record.state > State::Alive && !self.leaving;
            if record.incarnation > self.incarnation || verdict {
                self.incarnation = record.incarnation.next();
                let state = if self.leaving { State::Left } else { own.state.min(State::Alive) };
                self.learn(now, self.own, Record { incarnation: self.incarnation, state }, Why::Heard, out);
            }
        }
    }

    fn join(&mut self, now: Micros, out: &mut Output) {
        if !std::mem::replace(&mut self.joined, true) && !self.leaving {
            self.learn(
                now,
                self.own,
                Record { incarnation: self.incarnation, state: State::Alive },
                Why::Heard,
                out,
            );
        }
    }

    /// What another head says. Whoever carries it out has seen to it that the sender is who it says it is, by
    /// its address.
    pub fn hear(&mut self, now: Micros, said: Datagram) -> Output {
        let mut out = Output::default();
        let Datagram { from, to, incarnation, joined, serial, digest, about, say } = said;
        // What was meant for whoever had this address before, and what this head said itself.
        if to != self.own || from == self.own || usize::from(from) >= self.view.heads() {
            return out;
        }
        self.heard_at = now;
        let known = self.view.record(from).unwrap_or_default();
        // A verdict on this incarnation weighs more: it has to speak up against that in a later one.
        let state = if joined { State::Alive } else { State::Joining };
        self.learn(now, from, Record { incarnation, state }, Why::Heard, &mut out);
        // What a former life said late tells nothing of this one.
        if incarnation >= known.incarnation {
            self.heard.insert(from, Heard { at: now, about, digest });
        }
        match say {
            Say::Ask(records) => {
                self.learn_all(now, from, &records, &mut out);
                let (of, records) = (self.own, self.records_for(from));
                self.say(from, serial, Say::Answer { of, records }, &mut out);
            }
            Say::Answer { of, records } => {
                self.learn_all(now, from, &records, &mut out);
                self.answered(of, serial, &mut out);
            }
            Say::AskFor { whom, records } => {
                self.learn_all(now, from, &records, &mut out);
                if whom != self.own && usize::from(whom) < self.view.heads() {
                    self.serial = self.serial.wrapping_add(1);
                    if self.relayed.len() >= MOST_RELAYED {
                        self.relayed.pop_front();
                    }
                    self.relayed.push_back(Relayed { serial: self.serial, back: from, back_serial: serial });
                    let (serial, records) = (self.serial, self.records_for(whom));
                    self.say(whom, serial, Say::Ask(records), &mut out);
                }
            }
            Say::Blocks(blocks) => {
                let differing = self.view.differing(&blocks);
                // Only a part of a large difference goes at once: drawn, so that the rest comes with the next
                // ones.
                let mut parts: Vec<Vec<(Number, Record)>> =
                    differing.chunks(ENTRIES).map(<[(Number, Record)]>::to_vec).collect();
                self.draw.shuffle(&mut parts);
                for records in parts.into_iter().take(REPAIR) {
                    self.say(from, 0, Say::Records(records), &mut out);
                }
            }
            Say::Records(records) => self.learn_all(now, from, &records, &mut out),
        }
        if digest == self.view.digest() {
            self.join(now, &mut out);
        } else {
            self.repair(from, &mut out);
        }
        out
    }

    fn answered(&mut self, of: Number, serial: u32, out: &mut Output) {
        if let Some(at) = self.asked.iter().position(|asked| asked.serial == serial && asked.whom == of) {
            self.asked.remove(at);
            self.health = self.health.saturating_sub(1);
        } else if let Some(at) = self.relayed.iter().position(|relayed| relayed.serial == serial)
            && let Some(Relayed { back, back_serial, .. }) = self.relayed.remove(at)
        {
            let records = self.records_for(back);
            self.say(back, back_serial, Say::Answer { of, records }, out);
        }
    }

    /// Views differ: tells the other one how, so that it sends what differs; no more than so often.
    fn repair(&mut self, with: Number, out: &mut Output) {
        if self.repairs < REPAIRS && !self.repaired.contains(&with) {
            self.repairs += 1;
            self.repaired.push(with);
            let blocks = self.view.blocks();
            self.say(with, 0, Say::Blocks(blocks), out);
        }
    }

    /// It ends: a few others hear of it at once.
    pub fn leave(&mut self, now: Micros) -> Output {
        let mut out = Output::default();
        self.leaving = true;
        self.learn(
            now,
            self.own,
            Record { incarnation: self.incarnation, state: State::Left },
            Why::Heard,
            &mut out,
        );
        for other in self.drawn(2 * self.times.helpers, self.own) {
            let records = self.records_for(other);
            self.say(other, 0, Say::Ask(records), &mut out);
        }
        out
    }
}
