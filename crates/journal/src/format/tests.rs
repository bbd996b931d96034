use super::*;

const AT: Place = Place { journal: 7, segment: 3, offset: 96 };

#[test]
fn a_record_passes_at_its_place_and_nowhere_else() {
    let mut bytes = Vec::new();
    put_record(&mut bytes, AT, Kind::Note, 9, 42, b"payload");
    let head = take_head(&bytes, AT, 100).expect("sound");
    assert_eq!((head.length, head.kind, head.tag, head.key), (7, Kind::Note, 9, 42));
    assert!(is_payload(&head, &bytes, b"payload") && !is_payload(&head, &bytes, b"paYload"));
    assert_eq!(take_head(&bytes, AT, 6), None, "longer than any may be");
    for place in [Place { journal: 8, ..AT }, Place { segment: 4, ..AT }, Place { offset: 97, ..AT }] {
        assert_eq!(take_head(&bytes, place, 100), None, "{place:?}");
    }
}

#[test]
fn no_bit_of_a_record_can_turn() {
    let mut bytes = Vec::new();
    put_record(&mut bytes, AT, Kind::Open, 1, 5, b"hello");
    for bit in 0..bytes.len() * 8 {
        let mut spoilt = bytes.clone();
        spoilt[bit / 8] ^= 1 << (bit % 8);
        let passes = take_head(&spoilt, AT, 100)
            .is_some_and(|head| is_payload(&head, &spoilt, &spoilt[RECORD_HEAD..]));
        assert!(!passes, "bit {bit}");
    }
}

#[test]
fn a_file_says_what_it_is() {
    let head = segment_head(7, 3, 96, 5);
    assert_eq!(head.len(), SEGMENT_HEAD);
    assert_eq!(
        read_segment_head(&head),
        SegmentHead::Segment { journal: 7, segment: 3, before: 96, next: 5 }
    );
    let mut newer = head.clone();
    newer[8] = 2;
    assert_eq!(read_segment_head(&newer), SegmentHead::Newer(2));
    for wrong in [&head[..20], b"", b"{\"Taken\":1}\n, and so on and so on and on"] {
        assert_eq!(read_segment_head(wrong), SegmentHead::Nothing);
    }
    let manifest = Manifest { journal: 1, first: 9 };
    assert_eq!(Manifest::read(&manifest.bytes()), Ok(Some(manifest)));
}
