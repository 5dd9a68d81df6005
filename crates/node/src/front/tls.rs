//! TLS certificates of listeners, read from files and reloaded without closing a connection.
//!
//! A handshake uses the certificate that is current when it begins; established connections are not affected
//! by a reload.

use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::{ClientHello, ResolvesServerCert};
use rustls::sign::CertifiedKey;

/// A listener's certificate chain and private key, as they were last read.
#[derive(Debug)]
pub struct ReloadableCertificate {
    chain: PathBuf,
    key: PathBuf,
    current: RwLock<Arc<CertifiedKey>>,
}

/// Reads a chain and its key from files in PEM, and checks that they belong together.
fn read_certified_key(chain: &Path, key: &Path) -> Result<CertifiedKey, String> {
    let path = chain.display();
    let certificates: Result<Vec<CertificateDer<'static>>, _> = CertificateDer::pem_file_iter(chain)
        .map_err(|error| format!("certificate {path}: {error}"))?
        .collect();
    let certificates = certificates.map_err(|error| format!("certificate {path}: {error}"))?;
    if certificates.is_empty() {
        return Err(format!("certificate {path}: the file holds no certificate in PEM"));
    }
    let path = key.display();
    let private_key = PrivateKeyDer::from_pem_file(key).map_err(|error| format!("key {path}: {error}"))?;
    let provider = rustls::crypto::ring::default_provider();
    let signing_key = provider.key_provider.load_private_key(private_key);
    let signing_key = signing_key.map_err(|error| format!("key {path}: {error}"))?;
    let certified = CertifiedKey::new(certificates, signing_key);
    match certified.keys_match() {
        // Some keys cannot be compared with a certificate; a mismatch then fails the handshake.
        Ok(()) | Err(rustls::Error::InconsistentKeys(rustls::InconsistentKeys::Unknown)) => Ok(certified),
        Err(error) => Err(format!("key {path} does not belong to {}: {error}", chain.display())),
    }
}

/// Verifies client certificates against the authorities in a file. A client may present none.
fn build_client_verifier(
    file: &Path,
    provider: Arc<rustls::crypto::CryptoProvider>,
) -> Result<Arc<dyn rustls::server::danger::ClientCertVerifier>, String> {
    let path = file.display();
    let describe = |error: &dyn std::fmt::Display| format!("client_authorities {path}: {error}");
    let mut roots = rustls::RootCertStore::empty();
    for certificate in CertificateDer::pem_file_iter(file).map_err(|error| describe(&error))? {
        roots.add(certificate.map_err(|error| describe(&error))?).map_err(|error| describe(&error))?;
    }
    let builder = rustls::server::WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
    builder.allow_unauthenticated().build().map_err(|error| describe(&error))
}

impl ReloadableCertificate {
    /// Reads a certificate chain and its key, both in PEM.
    ///
    /// # Errors
    /// The file that cannot be used, with the reason.
    pub fn load(chain: &Path, key: &Path) -> Result<Arc<Self>, String> {
        let current = RwLock::new(Arc::new(read_certified_key(chain, key)?));
        Ok(Arc::new(ReloadableCertificate { chain: chain.to_owned(), key: key.to_owned(), current }))
    }

    /// Reads both files again. If they cannot be used, the current certificate stays in use.
    ///
    /// # Errors
    /// Like [`ReloadableCertificate::load`].
    pub fn reload(&self) -> Result<(), String> {
        let reloaded = read_certified_key(&self.chain, &self.key)?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(reloaded);
        Ok(())
    }

    /// The TLS configuration of a listener. `alpn` lists the protocols that it offers; with `tls13_only` it
    /// accepts TLS 1.3 alone, as QUIC requires (RFC 9001, section 4.2). `client_authorities` is the file of
    /// authorities for client certificates, if those are requested; it is read now. Early data is not
    /// accepted, as it could be replayed (RFC 8446, section 8).
    ///
    /// # Errors
    /// An error of the TLS library, or the reason why the file of authorities cannot be used.
    pub fn tls_config(
        self: &Arc<Self>,
        alpn: &[&[u8]],
        tls13_only: bool,
        client_authorities: Option<&Path>,
    ) -> Result<rustls::ServerConfig, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let versions: &[&rustls::SupportedProtocolVersion] =
            if tls13_only { &[&rustls::version::TLS13] } else { rustls::ALL_VERSIONS };
        let client_verifier =
            client_authorities.map(|file| build_client_verifier(file, provider.clone())).transpose()?;
        let builder = rustls::ServerConfig::builder_with_provider(provider).with_protocol_versions(versions);
        let builder = builder.map_err(|error| error.to_string())?;
        let builder = match client_verifier {
            Some(client_verifier) => builder.with_client_cert_verifier(client_verifier),
            None => builder.with_no_client_auth(),
        };
        let mut config = builder.with_cert_resolver(self.clone());
        config.alpn_protocols = alpn.iter().map(|name| name.to_vec()).collect();
        config.max_early_data_size = 0;
        Ok(config)
    }
}

impl ResolvesServerCert for ReloadableCertificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current.read().unwrap_or_else(PoisonError::into_inner).clone())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use woodgap_testkit::http3::generate_certificate;

    // A rotation that is half done, or went wrong, leaves the previous certificate in use.
    #[test]
    fn reload_keeps_the_current_certificate_if_the_files_do_not_match() {
        let (first_dir, second_dir) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
        let (first, second) = (
            generate_certificate(first_dir.path()).unwrap(),
            generate_certificate(second_dir.path()).unwrap(),
        );
        let current_certificate =
            |loaded: &ReloadableCertificate| loaded.current.read().unwrap().cert[0].clone();
        let loaded = ReloadableCertificate::load(&first.chain, &first.key).unwrap();
        std::fs::copy(&second.key, &first.key).unwrap();
        assert!(loaded.reload().unwrap_err().contains("does not belong"));
        assert_eq!(current_certificate(&loaded), first.der);
        std::fs::copy(&second.chain, &first.chain).unwrap();
        loaded.reload().unwrap();
        assert_eq!(current_certificate(&loaded), second.der);
        std::fs::write(&first.chain, "no certificate").unwrap();
        assert!(loaded.reload().unwrap_err().contains("no certificate"));
        std::fs::remove_file(&first.key).unwrap();
        assert!(loaded.reload().is_err());
        assert_eq!(current_certificate(&loaded), second.der);
    }
}
