//! Invalid input: it is refused with a kind of the closed list, runs nothing
//! and blocks no thread.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use radishstair_core::error::Kind;
use radishstair_load::http::Caller;
use serde_json::json;

use crate::process::{Cluster, cluster};

/// Sends raw bytes and reads until the host closes the connection.
fn send_raw(cluster: &Cluster, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(cluster.entry_address(0)).expect("the port is open");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("the timeout is set");
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn request_head(path: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer rsk-coop\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Heads and bodies that are too large, truncated, not JSON or of wrong content
/// are refused with their kind, and none of them reaches a runner.
#[test]
fn malformed_requests_are_refused() {
    let cluster = cluster().start();
    let large_body = "x".repeat(2 * 1024 * 1024);
    let big_body = send_raw(
        &cluster,
        format!(
            "{}{large_body}",
            request_head("/ledger/balances", large_body.len())
        )
        .as_bytes(),
    );
    assert!(big_body.contains("too-large"), "{big_body}");
    let big_head = send_raw(
        &cluster,
        format!("POST / HTTP/1.1\r\nx: {}\r\n\r\n", &large_body[..64 * 1024]).as_bytes(),
    );
    assert!(big_head.starts_with("HTTP/1.1 431"), "{big_head}");
    let garbage = send_raw(&cluster, b"not http at all\r\n\r\n");
    assert!(garbage.starts_with("HTTP/1.1 400"), "{garbage}");
    let caller = cluster.caller();
    for (path, body, kind) in [
        ("/v1/chat/completions", "[1, 2", Kind::BadRequest),
        ("/v1/chat/completions", r#"{"model": "m"}"#, Kind::BadRequest),
        (
            "/v1/chat/completions",
            r#"{"messages": [{"role": "user", "content": "x"}]}"#,
            Kind::BadRequest,
        ),
        (
            "/v1/chat/completions",
            r#"{"model": "none", "messages": [{"role": "user", "content": "x"}]}"#,
            Kind::UnknownModel,
        ),
        ("/v1/tickets", r#"{"count": 1000}"#, Kind::BadRequest),
        ("/ledger/postings", "{}", Kind::MissingIdempotencyKey),
        ("/ledger/balances", "{", Kind::BadRequest),
        ("/nowhere", "{}", Kind::NotFound),
    ] {
        let answer = caller.post_raw(cluster.entry_address(0), path, body);
        assert_eq!(
            (answer.kind(), answer.ran()),
            (kind.name(), "not-run"),
            "{path} {body}"
        );
        assert_eq!(answer.status, kind.status());
    }
    for key in ["", "with space", "rst1-forged", &"k".repeat(200)] {
        let answer = cluster.send_posting(&caller, 0, 1, key);
        assert_eq!(answer.kind(), "bad-idempotency-key", "`{key}`: {answer:?}");
    }
    assert!(cluster.ledger_runs().is_empty(), "a refused request ran");
}

/// A caller that stops in the middle of its body is refused after the time
/// limit, and other callers are served meanwhile.
#[test]
fn a_slow_body_is_refused_after_its_limit() {
    let cluster = cluster().start();
    let answer = std::thread::scope(|scope| {
        let request = scope.spawn(|| {
            send_raw(
                &cluster,
                format!("{}{{\"half\":", request_head("/ledger/balances", 100)).as_bytes(),
            )
        });
        let concurrent_call =
            cluster
                .caller()
                .call(cluster.entry_address(0), "/ledger/balances", &json!({}), None);
        assert_eq!(concurrent_call.status, 200);
        request.join().expect("the request was answered")
    });
    assert!(answer.contains("slow-request"), "{answer}");
}

/// If callers send part of a request and close their side of the connection, the
/// host drops the requests instead of keeping them in flight, runs nothing of
/// them and serves other callers.
#[test]
fn half_closed_connections_are_forgotten() {
    let cluster = cluster().start();
    for partial_request in [
        "POST /ledger/bal",
        "POST /ledger/balances HTTP/1.1\r\nhost: x\r\n",
        &request_head("/ledger/balances", 100),
    ] {
        for _ in 0..8 {
            let mut stream = TcpStream::connect(cluster.entry_address(0)).expect("the port is open");
            stream
                .write_all(partial_request.as_bytes())
                .expect("the bytes are sent");
            stream
                .shutdown(std::net::Shutdown::Write)
                .expect("the write side is closed");
            let mut answer = Vec::new();
            let _ = stream.read_to_end(&mut answer);
        }
    }
    cluster.wait_until("nothing is in flight", |cluster| {
        cluster.metric(0, "radishstair_requests_in_flight") == Some(0.0)
    });
    assert!(cluster.ledger_runs().is_empty(), "an incomplete request ran");
    let later_call = cluster
        .caller()
        .call(cluster.entry_address(0), "/ledger/balances", &json!({}), None);
    assert_eq!(later_call.status, 200);
}

/// A caller with the API key of another customer cannot use a ticket, and the
/// answer does not reveal whether the ticket was used.
#[test]
fn a_ticket_serves_its_own_customer_only() {
    let cluster = cluster().start();
    let ticket = cluster
        .caller()
        .tickets(cluster.entry_address(1), 1)
        .expect("a ticket is issued")
        .remove(0);
    for entry in 0..4 {
        let answer = cluster.send_posting(&Caller::new("rsk-other"), entry, 5, &ticket);
        assert_eq!(answer.kind(), "bad-idempotency-key", "{answer:?}");
    }
    assert_eq!(cluster.send_posting(&cluster.caller(), 0, 5, &ticket).status, 200);
    let reused = cluster.send_posting(&cluster.caller(), 0, 6, &ticket);
    assert_eq!(reused.kind(), "idempotency-key-reused");
    assert_eq!((cluster.run_count(5), cluster.run_count(6)), (1, 0));
}

/// A caller above the connection limit is refused at once instead of waiting
/// without an answer, and is served again after others have disconnected.
#[test]
fn connections_past_the_bound_are_refused() {
    let cluster = cluster().limit_connections(16).start();
    let idle_connections: Vec<TcpStream> = (0..16)
        .map(|_| TcpStream::connect(cluster.entry_address(0)).expect("the port is open"))
        .collect();
    cluster.wait_until("the bound is reached", |cluster| {
        let answer = send_raw(cluster, b"");
        answer.contains("too-many-connections") && answer.contains("retry-after: 1")
    });
    drop(idle_connections);
    cluster.wait_until("served again", |cluster| {
        cluster
            .caller()
            .call(cluster.entry_address(0), "/ledger/balances", &json!({}), None)
            .status
            == 200
    });
}

/// Invalid settings end the program with one line that names the wrong key.
#[test]
fn wrong_settings_name_the_key() {
    let directory = std::env::temp_dir().join(format!("radishstair-settings-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory is created");
    let valid_settings = json!({
        "host": "h", "zone": "z", "listen": "127.0.0.1:1", "peer_listen": "127.0.0.1:2",
        "admin_listen": "127.0.0.1:3", "peer_token": "0123456789abcdef", "platform": "127.0.0.1:4"
    });
    for (key, value, message) in [
        ("lisen", json!("127.0.0.1:1"), "unknown field `lisen`"),
        ("listen", json!("localhost"), "listen: invalid socket address"),
        (
            "linger",
            json!("2 seconds"),
            "linger: `2 seconds` is not a time span",
        ),
        ("threads", json!(0), "threads: 1 to 64"),
        ("peer_token", json!("short"), "peer_token: at least 16 characters"),
        ("policy", json!("best"), "policy: unknown variant `best`"),
    ] {
        let mut settings = valid_settings.clone();
        settings[key] = value;
        let path = directory.join("entry.json");
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        let output = std::process::Command::new(env!("CARGO_BIN_EXE_radishstair-entry"))
            .arg("--check")
            .arg(&path)
            .output()
            .expect("the program runs");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && text.contains(message),
            "{key}: {text}"
        );
        assert_eq!(text.trim().lines().count(), 1, "{text}");
    }
    let _ = std::fs::remove_dir_all(&directory);
}
