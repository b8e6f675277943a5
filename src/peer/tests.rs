//! Tests of connections between processes: certificates and malformed frames.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use redwingfold_core::Millis;

use super::connect::{call, dial};
use super::serve::{bind, serve};
use crate::settings::TlsSettings;
use crate::tls::{TlsConfigs, issue_certificates, load_tls_configs};
use crate::wire::{Call, FrameReader, FrameWriter, Reply};
use redwingfold_telemetry::Telemetry;

const TIMEOUT: Millis = Millis(5_000);

/// A temporary directory that is removed when the test ends.
struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

fn temp_dir_for(name: &str) -> TempDir {
    let path = std::env::temp_dir().join(format!("redwingfold-peer-{name}-{}", std::process::id()));
    TempDir(path)
}

fn tls_for(dir: &Path, name: &str) -> TlsConfigs {
    let file = |extension: &str| dir.join(format!("{name}.{extension}"));
    let settings =
        TlsSettings { fleet: dir.join("fleet.pem"), cert: file("pem"), key: file("key") };
    load_tls_configs(&settings).expect("keys that were just made")
}

/// Starts a server that replies to every call with [`Reply::Held`].
fn listen(tls: &TlsConfigs) -> (SocketAddr, smol::Task<()>) {
    let endpoint = bind(tls.server.clone(), (Ipv4Addr::LOCALHOST, 0).into()).expect("a free port");
    let addr = endpoint.local_addr().expect("bound");
    let telemetry = Telemetry::disabled().expect("a quiet logger");
    let handler = |_, _, mut tx: FrameWriter<Reply>, _: FrameReader<Call>| async move {
        tx.send(&Reply::Held).await.ok();
        tx.finish();
    };
    (addr, smol::spawn(serve(endpoint, telemetry, handler)))
}

/// A peer of the fleet that sends an undecodable or truncated message, or announces a frame of four
/// gigabytes, gets no reply on that stream. The connection and the process must stay usable.
#[test]
fn torn_frames_end_their_stream_only() {
    let dir = temp_dir_for("torn");
    issue_certificates(&dir.0, &["a".to_owned(), "b".to_owned()]).expect("keys");
    smol::block_on(async {
        let (addr, _listening) = listen(&tls_for(&dir.0, "a"));
        let (_endpoint, conn) =
            dial(&tls_for(&dir.0, "b").client, addr, TIMEOUT).await.expect("peer");
        let malformed: [&[u8]; 4] =
            [b"\0\0\0\x05garba", b"\0\0\0\x40short", b"\xff\xff\xff\xff", b"\0\0"];
        for bytes in malformed {
            let (mut send, recv) = conn.open_bi().await.expect("stream");
            send.write_all(bytes).await.expect("sent");
            send.finish().ok();
            let answer = FrameReader::<Reply>::new(recv).next().await;
            assert!(!matches!(answer, Ok(Some(_))), "{bytes:?}: {answer:?}");
        }
        assert_eq!(call(&conn, &Call::Status, TIMEOUT).await, Ok(Reply::Held));
    });
}

/// Calls of a process with another fleet's certificate must get no reply, even if the certificate
/// was made by the same program for the same name.
#[test]
fn another_fleets_certificate_is_refused() {
    let (ours, theirs) = (temp_dir_for("ours"), temp_dir_for("theirs"));
    issue_certificates(&ours.0, &["a".to_owned()]).expect("keys");
    issue_certificates(&theirs.0, &["a".to_owned()]).expect("keys");
    smol::block_on(async {
        let (addr, _listening) = listen(&tls_for(&ours.0, "a"));
        let answer = match dial(&tls_for(&theirs.0, "a").client, addr, TIMEOUT).await {
            Ok((_endpoint, conn)) => call(&conn, &Call::Status, TIMEOUT).await,
            Err(e) => Err(e),
        };
        assert!(answer.is_err(), "{answer:?}");
    });
}

/// Existing keys are never overwritten: a second call adds names under the same certificate
/// authority.
#[test]
fn keys_are_added_and_not_replaced() {
    let dir = temp_dir_for("added");
    issue_certificates(&dir.0, &["a".to_owned()]).expect("keys");
    let fleet = std::fs::read(dir.0.join("fleet.pem")).expect("fleet.pem");
    issue_certificates(&dir.0, &["b".to_owned()]).expect("more keys");
    assert_eq!(std::fs::read(dir.0.join("fleet.pem")).expect("fleet.pem"), fleet);
    assert!(issue_certificates(&dir.0, &["a".to_owned()]).is_err(), "a.pem was there");
    smol::block_on(async {
        let (addr, _listening) = listen(&tls_for(&dir.0, "a"));
        let (_endpoint, conn) =
            dial(&tls_for(&dir.0, "b").client, addr, TIMEOUT).await.expect("peer");
        assert_eq!(call(&conn, &Call::Status, TIMEOUT).await, Ok(Reply::Held));
    });
}
