use super::*;
use std::cell::RefCell;

#[derive(Default)]
struct Memory(RefCell<Vec<u8>>);

impl Memory {
    fn write(&self, offset: u64, bytes: &[u8]) {
        let (mut file, end) = (self.0.borrow_mut(), offset as usize + bytes.len());
        let length = file.len().max(end);
        file.resize(length, 0);
        file[offset as usize..end].copy_from_slice(bytes);
    }
}

impl Bytes for Memory {
    fn read_from(&self, offset: u64, buffer: &mut [u8]) -> usize {
        let file = self.0.borrow();
        let rest = file.get(offset as usize..).unwrap_or(&[]);
        let length = rest.len().min(buffer.len());
        buffer[..length].copy_from_slice(&rest[..length]);
        length
    }
}

const TEST_HEADER: Header = Header { records: 4, key: [7; 16] };

fn accept(file: &Memory, number: u64, id: &str, at_ms: u64) {
    let record = Record { number, hash: TEST_HEADER.hash(id.as_bytes()), at_ms };
    file.write(TEST_HEADER.offset(number), &record.encode());
}

fn known(reader: &Reader, ids: &[&str]) -> String {
    ids.iter().map(|id| if reader.has(id.as_bytes(), 10) { *id } else { "-" }).collect()
}

#[test]
fn a_reader_knows_the_accepted_ids_at_whatever_times_it_reads() {
    let ids = ["a", "b", "c", "d", "e", "f"];
    for reads in 0..1u32 << ids.len() {
        let (file, mut reader) = (Memory::default(), Reader::default());
        file.write(0, &TEST_HEADER.encode());
        for (place, id) in ids.iter().enumerate() {
            if reads >> place & 1 == 1 {
                reader.refresh(&file);
            }
            accept(&file, place as u64 + 1, id, 10);
        }
        reader.refresh(&file);
        assert_eq!(known(&reader, &ids), "--cdef", "{reads:b}: the ring holds four");
        assert!(!reader.has(b"f", 11), "it was accepted before that");
        assert_eq!(reader.next(), 7);
    }
}

#[test]
fn damaged_or_foreign_data_is_ignored_and_hides_no_valid_record() {
    let (file, mut reader) = (Memory::default(), Reader::default());
    reader.refresh(&file);
    assert_eq!((known(&reader, &["a"]), reader.header()), ("-".into(), None), "no file yet");
    for invalid in [&b"\xff\0 rubbish"[..], &[0xff; 512], &[0; 512], &TEST_HEADER.encode()[..39]] {
        *file.0.borrow_mut() = invalid.to_vec();
        reader.refresh(&file);
        assert_eq!(reader.header(), None);
    }
    file.write(0, &TEST_HEADER.encode());
    accept(&file, 1, "a", 10);
    // The second record is ignored while it is partly written, and known once it is complete.
    let whole = Record { number: 2, hash: TEST_HEADER.hash(b"b"), at_ms: 10 }.encode();
    for cut in 0..RECORD {
        file.write(TEST_HEADER.offset(2), &[&whole[..cut], &vec![0x5a; RECORD - cut][..]].concat());
        reader.refresh(&file);
        assert_eq!(known(&reader, &["a", "b"]), "a-", "{cut}");
    }
    file.write(TEST_HEADER.offset(2), &whole);
    reader.refresh(&file);
    assert_eq!(known(&reader, &["a", "b"]), "ab");
    // A file that is created again has another key: earlier records no longer match.
    file.write(0, &Header { key: [8; 16], ..TEST_HEADER }.encode());
    reader.refresh(&file);
    assert_eq!(known(&reader, &["a", "b"]), "--");
    for changed in 0..HEADER {
        let mut bytes = TEST_HEADER.encode();
        bytes[changed] ^= 1;
        assert_eq!(Header::decode(&bytes), None, "{changed}");
    }
}

#[test]
fn two_processes_that_accept_one_id_never_both_forward_it() {
    // Each process writes its record, then reads the other's: every order of the four steps.
    for order in ["AABB", "ABAB", "ABBA", "BAAB", "BABA", "BBAA"] {
        let files = [Memory::default(), Memory::default()];
        files.iter().for_each(|file| file.write(0, &TEST_HEADER.encode()));
        let (mut written, mut forwarded) = ([false; 2], [false; 2]);
        for process in order.bytes().map(|process| usize::from(process - b'A')) {
            if !std::mem::replace(&mut written[process], true) {
                accept(&files[process], 1, "a", 10);
            } else {
                let mut other = Reader::default();
                other.refresh(&files[1 - process]);
                forwarded[process] = !other.has(b"a", 0);
            }
        }
        assert!(!(forwarded[0] && forwarded[1]), "{order}");
    }
}
