use super::*;
use crate::catalog::{Name, Record, Signed, ZoneRecord};

fn zone(n: u32) -> Record {
    Record::Zone(ZoneRecord { name: Name::new(&format!("z{}", n % 7)).expect("a name"), bears: n + 1 })
}

/// Whatever is kept comes back: the newest version, and those that can be gone back to.
#[test]
fn a_snapshot_holds_the_configuration_and_its_history() {
    let mut history = History::new(Catalog::default(), KEEPS);
    assert_eq!(
        close(b"book".to_vec(), &history).expect("bytes"),
        b"book",
        "nothing is written where nothing is"
    );
    for n in 0..KEEPS.changes as u32 + 20 {
        let change =
            Change::draft(history.now(), vec![zone(n)], Vec::new(), Signed::default()).expect("good");
        history.apply(&change).expect("it fits");
    }
    let bytes = close(b"book".to_vec(), &history).expect("bytes");
    let back = open(&bytes[4..]).expect("good");
    assert_eq!((back.now(), back.oldest()), (history.now(), history.oldest()));
    assert!(back.oldest().revision() > Revision(0), "the oldest are dropped");
    assert!(back.changes().eq(history.changes()));
    assert_eq!(open(&[]).expect("none").now(), &Catalog::default());
    for damage in [5, bytes.len() / 2, bytes.len() - 2] {
        let mut bad = bytes[4..].to_vec();
        let at = damage.min(bad.len() - 1);
        bad[at] ^= 0x55;
        assert!(open(&bad).is_err(), "byte {at}");
    }
}
