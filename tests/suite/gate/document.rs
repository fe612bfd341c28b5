//! The operator's document, told from host to host by its version.

use std::sync::Arc;
use std::time::Duration;

use radishstair_core::gate::document::{Document, News};
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
    document.take(as_of, text(version, length));
    document
}

/// Guards against a proof that grows with the document: whoever has the text is told a version.
#[test]
fn a_host_that_has_the_text_is_told_its_version_only() {
    let reader = host(7, 1_000, at(0));
    let notice = reader.notice(at(100), 7).expect("it has a text");
    assert_eq!((notice.version, notice.text.as_deref()), (7, None));
    let mut asker = host(7, 1_000, at(0));
    assert_eq!(asker.hear(at(600), notice), News::Proven(at(500)));
}

/// Guards against readers' links that a large text fills, once for each host that asks.
#[test]
fn a_large_text_is_not_told_along_with_its_version() {
    let mut asker = host(6, 1_000, at(0));
    let short = host(7, 1_000, at(400)).notice(at(500), 6).expect("a text");
    assert!(matches!(asker.clone().hear(at(500), short), News::Text(as_of, 7, _) if as_of == at(400)));
    let reader = host(7, 500_000, at(400));
    let large = reader.notice(at(500), 6).expect("a text");
    assert_eq!(asker.hear(at(500), large), News::Newer(7));
    assert!(asker.is_behind() && asker.version() == 6);
    let asked_for = reader.with_text(at(600), 6).expect("a text");
    assert!(matches!(asker.hear(at(600), asked_for), News::Text(..)));
}

/// Guards against a proof of the newer version that is taken for one of the older text.
#[test]
fn a_version_that_has_to_be_read_proves_nothing_of_the_known_one() {
    let mut asker = host(6, 10, at(0));
    let notice = host(7, 500_000, at(900)).notice(at(1_000), 6).expect("a text");
    asker.hear(at(1_000), notice);
    assert_eq!(asker.age(at(1_500)), Some(Duration::from_millis(1_500)));
    assert!(asker.take(at(1_200), text(7, 500_000)));
    assert!(!asker.is_behind());
    assert_eq!(asker.age(at(1_500)), Some(Duration::from_millis(300)));
}

/// Guards against an older text that comes back, read late or told by a peer behind.
#[test]
fn an_older_text_is_not_taken() {
    let mut document = host(7, 10, at(500));
    assert!(!document.take(at(600), text(6, 10)));
    let notice = host(6, 10, at(700)).notice(at(700), 0).expect("a text");
    assert_eq!(document.hear(at(700), notice), News::Older);
    assert_eq!(
        (document.version(), document.age(at(700))),
        (7, Some(Duration::from_millis(200)))
    );
}

/// Guards against a host that knows no text and tells its peers that it does.
#[test]
fn a_host_without_a_text_tells_nothing() {
    let document = Document::default();
    assert!(document.is_behind());
    assert!(document.notice(at(0), 0).is_none() && document.with_text(at(0), 0).is_none());
}
