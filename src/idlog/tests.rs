use super::*;
use std::cell::RefCell;

#[derive(Default)]
struct Memory(RefCell<Vec<u8>>);

impl Memory {
    fn write(&self, place: u64, bytes: &[u8]) {
        let (mut file, end) = (self.0.borrow_mut(), place as usize + bytes.len());
        let length = file.len().max(end);
        file.resize(length, 0);
        file[place as usize..end].copy_from_slice(bytes);
    }
}

impl Bytes for Memory {
    fn at(&self, place: u64, buffer: &mut [u8]) -> usize {
        let file = self.0.borrow();
        let rest = file.get(place as usize..).unwrap_or(&[]);
        let got = rest.len().min(buffer.len());
        buffer[..got].copy_from_slice(&rest[..got]);
        got
    }
}

const HEAD: Header = Header { records: 4, key: [7; 16] };

fn take(file: &Memory, number: u64, id: &str, at_ms: u64) {
    let record = Record { number, hash: HEAD.hash(id.as_bytes()), at_ms };
    file.write(HEAD.place(number), &record.encode());
}

fn known(reader: &Reader, ids: &[&str]) -> String {
    ids.iter().map(|id| if reader.has(id.as_bytes(), 10) { *id } else { "-" }).collect()
}

#[test]
fn a_reader_knows_what_was_taken_whenever_it_looks() {
    let ids = ["a", "b", "c", "d", "e", "f"];
    for looks in 0..1u32 << ids.len() {
        let (file, mut reader) = (Memory::default(), Reader::default());
        file.write(0, &HEAD.encode());
        for (place, id) in ids.iter().enumerate() {
            if looks >> place & 1 == 1 {
                reader.look(&file);
            }
            take(&file, place as u64 + 1, id, 10);
        }
        reader.look(&file);
        assert_eq!(known(&reader, &ids), "--cdef", "{looks:b}: the ring holds four");
        assert!(!reader.has(b"f", 11), "it was taken before that");
        assert_eq!(reader.next(), 7);
    }
}

#[test]
fn what_is_torn_foreign_or_rubbish_is_not_known_and_hides_nothing_that_is() {
    let (file, mut reader) = (Memory::default(), Reader::default());
    reader.look(&file);
    assert_eq!((known(&reader, &["a"]), reader.header()), ("-".into(), None), "no file yet");
    for rubbish in [&b"\xff\0 rubbish"[..], &[0xff; 512], &[0; 512], &HEAD.encode()[..39]] {
        *file.0.borrow_mut() = rubbish.to_vec();
        reader.look(&file);
        assert_eq!(reader.header(), None);
    }
    file.write(0, &HEAD.encode());
    take(&file, 1, "a", 10);
    // The second is half written, and is there with its end.
    let whole = Record { number: 2, hash: HEAD.hash(b"b"), at_ms: 10 }.encode();
    for cut in 0..RECORD {
        file.write(HEAD.place(2), &[&whole[..cut], &vec![0x5a; RECORD - cut][..]].concat());
        reader.look(&file);
        assert_eq!(known(&reader, &["a", "b"]), "a-", "{cut}");
    }
    file.write(HEAD.place(2), &whole);
    reader.look(&file);
    assert_eq!(known(&reader, &["a", "b"]), "ab");
    // Whoever begins the file anew has another key: nothing of before means anything.
    file.write(0, &Header { key: [8; 16], ..HEAD }.encode());
    reader.look(&file);
    assert_eq!(known(&reader, &["a", "b"]), "--");
    for changed in 0..HEADER {
        let mut bytes = HEAD.encode();
        bytes[changed] ^= 1;
        assert_eq!(Header::decode(&bytes), None, "{changed}");
    }
}

#[test]
fn of_two_that_take_one_id_in_any_order_of_steps_never_do_both_pass_it_on() {
    // Each writes, then looks at the other's: every order of the four steps.
    for order in ["AABB", "ABAB", "ABBA", "BAAB", "BABA", "BBAA"] {
        let files = [Memory::default(), Memory::default()];
        files.iter().for_each(|file| file.write(0, &HEAD.encode()));
        let (mut wrote, mut passed) = ([false; 2], [false; 2]);
        for who in order.bytes().map(|who| usize::from(who - b'A')) {
            if !std::mem::replace(&mut wrote[who], true) {
                take(&files[who], 1, "a", 10);
            } else {
                let mut other = Reader::default();
                other.look(&files[1 - who]);
                passed[who] = !other.has(b"a", 0);
            }
        }
        assert!(!(passed[0] && passed[1]), "{order}");
    }
}
