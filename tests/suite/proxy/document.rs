//! Tests of the operator's document and of the notices about it between hosts.

use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::delta::Delta;
use radishstair_core::proxy::document::{Document, INLINE_BYTES, Update};
use radishstair_core::store::Entry;
use radishstair_core::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::at_ms(1_000_000 + ms)
}

fn text(version: u64, length: usize) -> Arc<Entry> {
    Arc::new(Entry {
        key: "document".into(),
        version,
        value: "x".repeat(length),
    })
}

fn host(version: u64, length: usize, as_of: Moment) -> Document {
    let mut document = Document::default();
    document.replace(as_of, text(version, length));
    document
}

/// Guards against confirmations that grow with the document: a host that has the text gets only
/// the version.
#[test]
fn a_host_that_has_the_text_is_told_its_version_only() {
    let mut reader = host(7, 1_000, at(0));
    let notice = reader.notice(at(100), 7, INLINE_BYTES).expect("it has a text");
    assert_eq!((notice.version, notice.text.as_deref()), (7, None));
    let mut asker = host(7, 1_000, at(0));
    assert_eq!(asker.receive(at(600), notice), Update::Current(at(500)));
}

/// Guards against readers' links being saturated by a large text that is sent to each host that
/// asks.
#[test]
fn a_large_text_is_not_told_along_with_its_version() {
    let mut asker = host(6, 1_000, at(0));
    let short = host(7, 1_000, at(400))
        .notice(at(500), 6, INLINE_BYTES)
        .expect("a text");
    assert!(matches!(asker.clone().receive(at(500), short), Update::Text(as_of, 7, _) if as_of == at(400)));
    let mut reader = host(7, 500_000, at(400));
    let large = reader.notice(at(500), 6, INLINE_BYTES).expect("a text");
    assert_eq!(asker.receive(at(500), large), Update::Newer(7));
    assert!(asker.is_behind() && asker.version() == 6);
    let asked_for = reader.notice(at(600), 6, usize::MAX).expect("a text");
    assert!(matches!(asker.receive(at(600), asked_for), Update::Text(..)));
}

/// Guards against a confirmation of a newer version being counted for the older text.
#[test]
fn a_version_that_has_to_be_read_proves_nothing_of_the_known_one() {
    let mut asker = host(6, 10, at(0));
    let notice = host(7, 500_000, at(900))
        .notice(at(1_000), 6, INLINE_BYTES)
        .expect("a text");
    asker.receive(at(1_000), notice);
    assert_eq!(asker.age(at(1_500)), Some(Duration::from_millis(1_500)));
    assert!(asker.replace(at(1_200), text(7, 500_000)));
    assert!(!asker.is_behind());
    assert_eq!(asker.age(at(1_500)), Some(Duration::from_millis(300)));
}

/// Guards against an older text coming back, from a late read or an outdated peer.
#[test]
fn an_older_text_is_not_taken() {
    let mut document = host(7, 10, at(500));
    assert!(!document.replace(at(600), text(6, 10)));
    let notice = host(6, 10, at(700))
        .notice(at(700), 0, INLINE_BYTES)
        .expect("a text");
    assert_eq!(document.receive(at(700), notice), Update::Outdated);
    assert_eq!(
        (document.version(), document.age(at(700))),
        (7, Some(Duration::from_millis(200)))
    );
}

/// Guards against a host without a text sending notices.
#[test]
fn a_host_without_a_text_tells_nothing() {
    let mut document = Document::default();
    assert!(document.is_behind());
    assert!(
        document.notice(at(0), 0, INLINE_BYTES).is_none() && document.notice(at(0), 0, usize::MAX).is_none()
    );
}

/// A document with `count` rows, as the operator writes them.
fn rows(version: u64, count: u32, changed: Option<u32>) -> String {
    let row = |at| {
        let timeout = if changed == Some(at) { 900 } else { 2_000 };
        format!("{{\"name\":\"r-{at}\",\"host\":\"books.example\",\"timeout\":{timeout}}}")
    };
    let rows: Vec<String> = (0..count).map(row).collect();
    format!("{{\"version\":{version},\"routes\":[{}]}}", rows.join(","))
}

/// Guards against a difference that yields a wrong text, or that is applied to another old text.
#[test]
fn a_difference_makes_the_new_text_of_the_former_one_only() {
    let texts = [
        rows(1, 2_000, None),
        rows(2, 2_000, Some(700)),
        rows(3, 2_400, None),
        rows(4, 30, Some(3)),
        String::new(),
        "é}ü}".into(),
    ];
    for (old, new) in texts
        .iter()
        .flat_map(|old| texts.iter().map(move |new| (old, new)))
    {
        let delta = Delta::between(old, new);
        assert_eq!(delta.apply(old).as_ref(), Some(new));
        let others = texts.iter().filter(|other| *other != old);
        for made in others.filter_map(|other| delta.apply(other)) {
            assert_eq!(&made, new);
        }
    }
}

/// Guards against a change of one row making each host transfer the whole document.
#[test]
fn a_small_change_of_a_large_document_comes_along_with_its_version() {
    let entry = |version, value| {
        Arc::new(Entry {
            key: "document".into(),
            version,
            value,
        })
    };
    let (old, new) = (rows(1, 4_000, None), rows(2, 4_000, Some(9)));
    let (mut reader, mut asker) = (Document::default(), Document::default());
    reader.replace(at(0), entry(6, old.clone()));
    asker.replace(at(0), entry(6, old));
    reader.replace(at(400), entry(7, new.clone()));
    let notice = reader.notice(at(500), 6, INLINE_BYTES).expect("a text");
    assert!(notice.text.is_none() && notice.delta.is_some());
    assert_eq!(
        asker.clone().receive(at(500), notice.clone()),
        Update::Text(at(400), 7, new)
    );
    asker.replace(at(450), entry(8, "a newer one, read meanwhile".into()));
    assert_eq!(asker.receive(at(500), notice), Update::Outdated);
    assert!(
        reader
            .notice(at(500), 5, INLINE_BYTES)
            .expect("a text")
            .delta
            .is_none(),
        "version 5 is not kept"
    );
}
