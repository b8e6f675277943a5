//! Mutual TLS between the system's processes.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Context, OptionExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::settings::TlsSettings;

/// Server name in every certificate of a fleet. All hosts share one name, as their addresses and
/// host names change when hosts are replaced.
pub(crate) const FLEET_SERVER_NAME: &str = "redwingfold.fleet";

const ALPN: &[u8] = b"redwingfold/1";
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_CONCURRENT_STREAMS: u32 = 4096;

/// QUIC configurations of both ends of a connection.
#[derive(Clone, Debug)]
pub struct TlsConfigs {
    /// Configuration of connections that this process opens.
    pub client: ClientConfig,
    /// Configuration of connections that it accepts.
    pub server: ServerConfig,
}

fn read_certs(path: &Path) -> eyre::Result<Vec<CertificateDer<'static>>> {
    let certs = CertificateDer::pem_file_iter(path)
        .and_then(|items| items.collect::<Result<Vec<_>, _>>())
        .map_err(|e| eyre::eyre!("{}: {e:?}", path.display()))?;
    eyre::ensure!(!certs.is_empty(), "{}: the file contains no certificate", path.display());
    Ok(certs)
}

/// Loads the certificates and the key that the settings name.
///
/// # Errors
///
/// Names the file that cannot be read or is not valid.
pub fn load_tls_configs(settings: &TlsSettings) -> eyre::Result<TlsConfigs> {
    let certs = read_certs(&settings.cert)?;
    let key = PrivateKeyDer::from_pem_file(&settings.key)
        .map_err(|e| eyre::eyre!("{}: {e:?}", settings.key.display()))?;
    let mut roots = RootCertStore::empty();
    for cert in read_certs(&settings.fleet)? {
        roots.add(cert).wrap_err_with(|| settings.fleet.display().to_string())?;
    }
    let roots = Arc::new(roots);
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let versions = &[&rustls::version::TLS13];

    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(versions)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certs.clone(), key.clone_key())?;
    server.alpn_protocols = vec![ALPN.to_vec()];

    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(versions)?
        .with_root_certificates(roots)
        .with_client_auth_cert(certs, key)?;
    client.alpn_protocols = vec![ALPN.to_vec()];

    let transport = Arc::new(transport_config()?);
    let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
    server.transport_config(transport.clone());
    let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
    client.transport_config(transport);
    Ok(TlsConfigs { client, server })
}

fn transport_config() -> eyre::Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONCURRENT_STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(transport)
}

/// Issues a certificate and key for each name, as PEM files in `dir`. The fleet's certificate
/// authority in `dir` is used; it is created first if its files are missing.
///
/// # Errors
///
/// If a certificate's file already exists or cannot be written, or a name is not valid.
pub fn issue_certificates(dir: &Path, names: &[String]) -> eyre::Result<Vec<std::path::PathBuf>> {
    use rcgen::{
        BasicConstraints, CertificateParams, DistinguishedName, DnType, ExtendedKeyUsagePurpose,
        IsCa, Issuer, KeyPair, KeyUsagePurpose,
    };
    std::fs::create_dir_all(dir)?;
    let mut written = Vec::new();
    let mut write = |name: String, text: String| -> eyre::Result<()> {
        let path = dir.join(name);
        create_private_file(&path, &text)?;
        written.push(path);
        Ok(())
    };
    let issuer = {
        let (fleet, fleet_key) = (dir.join("fleet.pem"), dir.join("fleet.key"));
        if fleet.exists() && fleet_key.exists() {
            let key = KeyPair::from_pem(&std::fs::read_to_string(&fleet_key)?)?;
            Issuer::from_ca_cert_pem(&std::fs::read_to_string(&fleet)?, key)?
        } else {
            let mut params = CertificateParams::default();
            params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
            params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
            params.distinguished_name = DistinguishedName::new();
            params.distinguished_name.push(DnType::CommonName, "redwingfold fleet");
            let key = KeyPair::generate()?;
            let cert = params.self_signed(&key)?;
            write("fleet.pem".to_owned(), cert.pem())?;
            write("fleet.key".to_owned(), key.serialize_pem())?;
            Issuer::new(params, key)
        }
    };
    for name in names {
        eyre::ensure!(name != "fleet", "the name fleet is reserved for the certificate authority");
        let host: redwingfold_core::HostId = name.parse()?;
        let mut params = CertificateParams::new(vec![FLEET_SERVER_NAME.to_owned()])?;
        params.distinguished_name = DistinguishedName::new();
        params.distinguished_name.push(DnType::CommonName, host.as_str());
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate()?;
        let cert = params.signed_by(&key, &issuer)?;
        write(format!("{name}.pem"), cert.pem())?;
        write(format!("{name}.key"), key.serialize_pem())?;
    }
    Ok(written)
}

fn create_private_file(path: &Path, text: &str) -> eyre::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .wrap_err_with(|| path.display().to_string())?;
    file.write_all(text.as_bytes())?;
    path.file_name().ok_or_eyre("the path has no file name")?;
    Ok(())
}
