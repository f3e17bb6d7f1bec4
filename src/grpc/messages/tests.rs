use super::*;
use proptest::prelude::*;

fn message(flag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len()).unwrap().to_be_bytes();
    [&[flag], length.as_slice(), body].concat()
}

fn read(bytes: &[u8], chunk_size: usize) -> Result<(), MessageError> {
    let mut boundaries = MessageBoundaries::default();
    bytes.chunks(chunk_size).try_for_each(|chunk| boundaries.scan(chunk))?;
    boundaries.finish()
}

#[test]
fn a_flag_that_is_none_shows_bytes_that_are_no_message() {
    let sound = message(1, b"compressed");
    let garbage = [sound.as_slice(), b"HTTP/1.1 500"].concat();
    for chunk_size in 1..=garbage.len() {
        assert_eq!(read(&garbage, chunk_size), Err(MessageError::UnknownFlag(b'H')));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_response_is_complete_only_after_a_whole_message(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..6),
        cut in any::<prop::sample::Index>(),
        chunk_size in 1_usize..50,
    ) {
        let messages: Vec<Vec<u8>> = bodies.iter().map(|body| message(0, body)).collect();
        let response = messages.concat();
        let mut ends = vec![0];
        ends.extend(messages.iter().scan(0, |end, message| {
            *end += message.len();
            Some(*end)
        }));
        let cut = cut.index(response.len() + 1);
        prop_assert_eq!(read(&response[..cut], chunk_size).is_ok(), ends.contains(&cut));
    }

    #[test]
    fn any_bytes_are_read_alike_however_they_are_split(
        bytes in prop::collection::vec(prop_oneof![Just(0_u8), Just(1), any::<u8>()], 0..64),
        chunk_size in 1_usize..64,
    ) {
        prop_assert_eq!(read(&bytes, chunk_size), read(&bytes, 64));
    }
}
