//! What heads say to each other about the fleet, and its bytes, big-endian: a form, a check, then the
//! figures. Decoded once; whatever is cut, foreign, changed or of a later form is none.

use super::view::BLOCKS;
use super::{About, Incarnation, Number, Record, State};
use ring::digest;

/// No datagram is longer.
pub const MOST_BYTES: usize = 256;
/// Its first byte, by which it is told from what the module says.
pub const FORM: u8 = 0xf1;
const HEAD: usize = 40;
const ENTRY: usize = 9;
/// Records in one datagram.
pub const ENTRIES: usize = (MOST_BYTES - HEAD) / ENTRY;
const CHECK: usize = 4;

/// By which the heads of one fleet know each other: against accidents, not against whoever wants to be heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key([u8; 16]);

impl Key {
    /// Of what all heads of a fleet are given alike.
    pub fn of(text: &str) -> Key {
        let mut key = [0; 16];
        key.copy_from_slice(&digest::digest(&digest::SHA256, text.as_bytes()).as_ref()[..16]);
        Key(key)
    }

    fn check(&self, bytes: &[u8]) -> [u8; CHECK] {
        let mut context = digest::Context::new(&digest::SHA256);
        context.update(&self.0);
        context.update(bytes);
        let mut check = [0; CHECK];
        check.copy_from_slice(&context.finish().as_ref()[..CHECK]);
        check
    }
}

/// What is said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Say {
    /// To be answered under the same serial.
    Ask(Vec<(Number, Record)>),
    /// `of`: who answered, maybe by way of the sender.
    Answer {
        /// Who answered.
        of: Number,
        /// Records that are passed on.
        records: Vec<(Number, Record)>,
    },
    /// To be passed on as a question of the sender's, and its answer back.
    AskFor {
        /// Who is to be asked.
        whom: Number,
        /// Records that are passed on.
        records: Vec<(Number, Record)>,
    },
    /// Digests of the parts of a view that differs from the receiver's.
    Blocks(Vec<u32>),
    /// Records of parts that differ.
    Records(Vec<(Number, Record)>),
}

/// One head's word to another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The sender.
    pub from: Number,
    /// The receiver.
    pub to: Number,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The sender has heard all that others know.
    pub joined: bool,
    /// Of a question, and of the answer to it.
    pub serial: u32,
    /// Of the sender's whole view.
    pub digest: u64,
    /// What the sender tells of itself.
    pub about: About,
    /// What is said.
    pub say: Say,
}

/// Why bytes are no datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Of a form that is not known here.
    Form,
    /// Too short or too long.
    Cut,
    /// Of another fleet, or changed on the way.
    Foreign,
    /// Its figures fit nothing.
    Figures,
}

impl Datagram {
    /// Its bytes, checked by the fleet's key.
    pub fn bytes(&self, key: &Key) -> Vec<u8> {
        let nobody = Number::MAX;
        let (kind, subject) = match &self.say {
            Say::Ask(_) => (1, nobody),
            Say::Answer { of, .. } => (2, *of),
            Say::AskFor { whom, .. } => (3, *whom),
            Say::Blocks(_) => (4, nobody),
            Say::Records(_) => (5, nobody),
        };
        let mut out = vec![FORM, 0, 0, 0, 0, kind];
        for number in [self.to, self.from, subject] {
            out.extend(number.to_be_bytes());
        }
        out.extend(&self.incarnation.bits().to_be_bytes()[2..]);
        out.extend(self.serial.to_be_bytes());
        out.extend(self.digest.to_be_bytes());
        out.extend(self.about.list.to_be_bytes());
        out.extend(self.about.revision.to_be_bytes());
        out.push(
            u8::from(self.about.draining) << 7 | u8::from(self.joined) << 6 | self.about.pressure.min(3),
        );
        match &self.say {
            Say::Ask(records)
            | Say::Answer { records, .. }
            | Say::AskFor { records, .. }
            | Say::Records(records) => {
                let records = &records[..records.len().min(ENTRIES)];
                out.push(records.len() as u8);
                for (member, record) in records {
                    out.extend(member.to_be_bytes());
                    out.extend(&record.incarnation.bits().to_be_bytes()[2..]);
                    out.push(record.state as u8);
                }
            }
            Say::Blocks(blocks) => {
                let blocks = &blocks[..blocks.len().min(BLOCKS)];
                out.push(blocks.len() as u8);
                blocks.iter().for_each(|block| out.extend(&block.to_be_bytes()[1..]));
            }
        }
        let check = key.check(&out[1 + CHECK..]);
        out[1..=CHECK].copy_from_slice(&check);
        out
    }

    /// Reads bytes that came.
    ///
    /// # Errors
    ///
    /// They are cut, foreign, changed, or of a form that is not known here.
    pub fn read(bytes: &[u8], key: &Key) -> Result<Datagram, Bad> {
        let (form, rest) = bytes.split_first().ok_or(Bad::Cut)?;
        if *form != FORM {
            return Err(Bad::Form);
        }
        if bytes.len() < HEAD || bytes.len() > MOST_BYTES {
            return Err(Bad::Cut);
        }
        let (check, told) = rest.split_at(CHECK);
        if check != key.check(told) {
            return Err(Bad::Foreign);
        }
        let mut told = Figures(told);
        let (kind, to, from, subject) =
            (told.take(1) as u8, told.take(2) as Number, told.take(2) as Number, told.take(2) as Number);
        let (incarnation, serial, digest) =
            (Incarnation::of(told.take(6)), told.take(4) as u32, told.take(8));
        let (list, revision, flags) = (told.take(4) as u32, told.take(4) as u32, told.take(1) as u8);
        let about = About { list, revision, draining: flags >> 7 == 1, pressure: flags & 3 };
        let joined = flags >> 6 & 1 == 1;
        let count = told.take(1) as usize;
        let size = if kind == 4 { 3 } else { ENTRY };
        if told.0.len() != count * size || incarnation.none() {
            return Err(Bad::Figures);
        }
        let say = if kind == 4 {
            Say::Blocks((0..count).map(|_| told.take(3) as u32).collect())
        } else {
            let mut records = Vec::with_capacity(count);
            for _ in 0..count {
                let (member, incarnation) = (told.take(2) as Number, Incarnation::of(told.take(6)));
                let state = State::ALL.get(told.take(1) as usize).copied().ok_or(Bad::Figures)?;
                records.push((member, Record { incarnation, state }));
            }
            match kind {
                1 => Say::Ask(records),
                2 => Say::Answer { of: subject, records },
                3 => Say::AskFor { whom: subject, records },
                5 => Say::Records(records),
                _ => return Err(Bad::Figures),
            }
        };
        Ok(Datagram { from, to, incarnation, joined, serial, digest, about, say })
    }
}

/// Bytes whose number was checked before; beyond their end there are zeroes.
struct Figures<'a>(&'a [u8]);

impl Figures<'_> {
    fn take(&mut self, bytes: usize) -> u64 {
        let (these, rest) = self.0.split_at(bytes.min(self.0.len()));
        self.0 = rest;
        these.iter().fold(0, |all, byte| all << 8 | u64::from(*byte))
    }
}

#[cfg(test)]
mod tests;
