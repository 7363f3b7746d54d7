//! Guards against decoders that accept bytes which are not exactly one message, or that panic on them.

use limpet_types::{
    codec,
    message::PeerRequest, //
};
use proptest::prelude::*;

limpet_testkit::cases! {
    assert_rejected:
    trailing_bytes => vec![5, 0],
    unknown_variant => vec![250],
    empty_input => vec![],
}

fn assert_rejected(bytes: Vec<u8>) {
    assert!(codec::decode::<PeerRequest>(&bytes).is_err());
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = codec::decode::<PeerRequest>(&bytes);
    }
}
