//! Checks that the documentation matches the programs.

use radishstair_core::config::check;
use radishstair_core::error::Kind;
use radishstair_core::id::digest;
use radishstair_core::peer::Pull;
use radishstair_entry::peers::{Dialer, Token};
use radishstair_load::http::Caller;
use radishstair_standin::model;
use serde_json::Value;

use crate::process::{PEER_TOKEN, cluster, post};

fn page(name: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    std::fs::read_to_string(path).expect("the page exists")
}

/// The JSON of a named example in a page.
fn example(page: &str, name: &str) -> Value {
    let start = format!("```json example={name}\n");
    let after_start = page.split(&start).nth(1).expect("the example exists");
    let text = after_start.split("```").next().expect("the example ends");
    serde_json::from_str(text).expect("the example is JSON")
}

/// Each example in the callers' page must work on a running cluster.
#[test]
fn the_callers_page_holds() {
    let page = page("interfaces/callers.md");
    let cluster = cluster().start();
    let caller = cluster.caller();
    let chat = caller.chat(cluster.entry_address(0), "chat", &example(&page, "chat"));
    assert!(chat.done && chat.tokens == 12, "{chat:?}");
    let balance = caller.call(
        cluster.entry_address(1),
        "/ledger/balances",
        &example(&page, "balance"),
        None,
    );
    assert_eq!(balance.status, 200);
    let tickets = caller.call(
        cluster.entry_address(2),
        "/v1/tickets",
        &example(&page, "tickets"),
        None,
    );
    let ticket = tickets.body["tickets"][1]
        .as_str()
        .expect("two tickets")
        .to_string();
    let posting = example(&page, "posting");
    let first = caller.call(
        cluster.entry_address(3),
        "/ledger/postings",
        &posting,
        Some(&ticket),
    );
    let again = caller.call(
        cluster.entry_address(0),
        "/ledger/postings",
        &posting,
        Some(&ticket),
    );
    assert_eq!((first.status, &first.body), (200, &again.body));
}

/// The examples in the platform's page must work on its stand-in.
#[test]
fn the_platforms_page_holds() {
    let page = page("interfaces/platform.md");
    let cluster = cluster().start();
    let platform = cluster.addresses.platform[0];
    let swap = example(&page, "swap");
    assert!(post(platform, "/kv/swap", &swap)["version"].as_u64() > Some(0));
    let again = ureq::post(format!("http://{platform}/kv/swap")).send(swap.to_string());
    assert!(matches!(again, Err(ureq::Error::StatusCode(409))), "{again:?}");
    let found = post(platform, "/kv/range", &example(&page, "range"));
    assert_eq!(found["items"][0]["value"], swap["value"]);
    post(platform, "/orders", &example(&page, "order"));
    let hosts = crate::process::get(platform, "/hosts?after=0");
    assert!(
        hosts["runners"]
            .as_array()
            .is_some_and(|runners| !runners.is_empty()),
        "{hosts}"
    );
}

/// The examples in the upstreams' page must work on their stand-ins.
#[test]
fn the_upstreams_page_holds() {
    let page = page("interfaces/upstreams.md");
    let cluster = cluster().start();
    let caller = Caller::new("");
    let engine = cluster.addresses.engines[0];
    let resumed = caller.chat(engine, "", &example(&page, "resume"));
    let complete = model::completion(digest(b"go on len=8"), 8);
    let prefix: String = (0..3)
        .map(|at| model::token(digest(b"go on len=8"), at))
        .collect();
    assert!(resumed.done && resumed.tokens == 5, "{resumed:?}");
    assert_eq!(format!("{prefix}{}", resumed.text), complete);
    let call = example(&page, "call");
    let answer = caller.call(cluster.addresses.plain[0], "/ledger/balances", &call, None);
    assert_eq!((answer.status, &answer.body["echo"]), (200, &call));
}

/// A peer with the token must get the configuration in force.
#[test]
fn the_peers_page_holds() {
    assert!(page("interfaces/peers.md").contains("`Pull { version: 0 }`"));
    let cluster = cluster().start();
    let address = cluster.peer_address(0);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let pulled = runtime.block_on(async {
        let dialer = Dialer::new(Token::new(PEER_TOKEN).expect("a token"));
        let mut client = dialer.client(&address).expect("an address");
        client
            .pull(Pull { version: 0 })
            .await
            .expect("an answer")
            .into_inner()
    });
    assert!(pulled.snapshot.contains("\"version\":1"), "{}", pulled.snapshot);
}

/// The table of refusals in the callers' page must match the code.
#[test]
fn the_table_of_refusals_is_the_codes() {
    let page = page("interfaces/callers.md");
    for kind in Kind::ALL {
        let name = |value: Value| value.as_str().unwrap_or_default().to_string();
        let ran = name(serde_json::json!(kind.ran()));
        let repeat = name(serde_json::json!(kind.repeat()));
        let row = format!("| `{}` | {} | `{ran}` | `{repeat}` |", kind.name(), kind.status());
        assert!(page.contains(&row), "docs/interfaces/callers.md lacks: {row}");
    }
}

/// The configuration reference must contain every field of a document and of an
/// entry host's settings.
#[test]
fn the_reference_names_every_field() {
    let reference = page("configuration.md");
    let document = check::parse(
        r#"{
            "tiers": [{ "name": "t", "priority": 0, "target": "1s", "patience": "1s" }],
            "classes": [{ "name": "c", "mode": "generate" }],
            "customers": [{ "name": "c" }],
            "keys": [{ "name": "k", "customer": "c", "hash": "0000000000000000000000000000000000000000000000000000000000000001" }],
            "pools": [{ "name": "p" }],
            "selectors": [{ "name": "s", "rank": 1, "tier": "t", "pools": {} }]
        }"#,
    );
    let document = serde_json::to_value(document.expect("a valid document")).expect("JSON");
    for (section, value) in document.as_object().expect("sections") {
        let section_text = reference
            .split(&format!("## {section}\n"))
            .nth(1)
            .expect("the section exists");
        let section_text = section_text.split("\n## ").next().unwrap_or_default();
        let record = value.get(0).unwrap_or(value);
        for field in record.as_object().expect("fields").keys() {
            assert!(
                section_text.contains(&format!("`{field}`")),
                "docs/configuration.md, {section}: `{field}`"
            );
        }
    }
    let source = include_str!("../../crates/entry/src/settings.rs");
    let fields = source
        .lines()
        .filter_map(|line| line.strip_prefix("    pub ")?.split_once(": "));
    for (field, _) in fields.filter(|(field, _)| !field.contains('(')) {
        assert!(
            reference.contains(&format!("`{field}`")),
            "docs/configuration.md: setting `{field}`"
        );
    }
}
