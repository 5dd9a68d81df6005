//! TLS configuration for HTTP/3 connections to servers, which are authenticated by a pinned certificate, or
//! by a name and a certificate authority.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, PoisonError, RwLock};

use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::{CertificateError, DigitallySignedStruct, RootCertStore, SignatureScheme};
use sha2::{Digest, Sha256};
use woodgap_membership::Trust;

use super::http3::{CONNECTION_WINDOW, IDLE_TIMEOUT, STREAM_WINDOW};

/// Maximum number of certificates in a file of authorities.
pub const MAX_AUTHORITIES: usize = 1_024;

/// Configuration of a QUIC handshake with a server.
pub struct HandshakeConfig {
    /// TLS and transport settings.
    pub quic: quinn::ClientConfig,
    /// The name or address that the server's certificate must be issued for.
    pub server_name: String,
}

/// Certificate authorities that the node trusts for servers that are authenticated by name; none by default.
#[derive(Debug)]
pub struct Authorities {
    file: Option<PathBuf>,
    roots: RwLock<Arc<RootCertStore>>,
}

impl Default for Authorities {
    fn default() -> Self {
        Authorities { file: None, roots: RwLock::new(Arc::new(RootCertStore::empty())) }
    }
}

/// Reads the certificates of a PEM file.
fn read_certificates(file: &Path) -> Result<RootCertStore, String> {
    let path = file.display();
    let mut roots = RootCertStore::empty();
    let certificates = CertificateDer::pem_file_iter(file).map_err(|e| format!("authorities {path}: {e}"))?;
    for certificate in certificates {
        let certificate = certificate.map_err(|e| format!("authorities {path}: {e}"))?;
        roots.add(certificate).map_err(|e| format!("authorities {path}: {e}"))?;
        if roots.len() > MAX_AUTHORITIES {
            return Err(format!(
                "authorities {path}: the file holds more than {MAX_AUTHORITIES} certificates"
            ));
        }
    }
    if roots.is_empty() {
        return Err(format!("authorities {path}: the file holds no PEM certificate"));
    }
    Ok(roots)
}

impl Authorities {
    /// Loads the authorities from a PEM file.
    ///
    /// # Errors
    /// If the file cannot be read, or holds no certificate, an invalid one or more than [`MAX_AUTHORITIES`].
    pub fn load(file: &Path) -> Result<Arc<Self>, String> {
        let roots = RwLock::new(Arc::new(read_certificates(file)?));
        Ok(Arc::new(Authorities { file: Some(file.to_owned()), roots }))
    }

    /// Reads the file again. If it cannot be used, the authorities stay as they are. Open connections are
    /// kept.
    ///
    /// # Errors
    /// The same as for [`Authorities::load`].
    pub fn reload(&self) -> Result<(), String> {
        let Some(file) = &self.file else { return Ok(()) };
        let new_roots = read_certificates(file)?;
        *self.roots.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(new_roots);
        Ok(())
    }

    /// Returns the handshake configuration for a server.
    ///
    /// # Errors
    /// If the server is authenticated by name and no authorities are trusted, or a TLS setting is invalid.
    pub(super) fn handshake_config(&self, trust: &Trust, addr: SocketAddr) -> io::Result<HandshakeConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = rustls::ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(io::Error::other)?;
        let (mut tls, server_name) = match trust {
            Trust::Pin(pin) => {
                let verifier = Arc::new(PinnedCertificateVerifier { pin: *pin, provider });
                let builder = builder.dangerous().with_custom_certificate_verifier(verifier);
                (builder.with_no_client_auth(), addr.ip().to_string())
            }
            Trust::Name(name) => {
                let roots = self.roots.read().unwrap_or_else(PoisonError::into_inner).clone();
                if roots.is_empty() {
                    let message =
                        "the server is authenticated by server_name, and this node trusts no authorities: \
                        set [upstream] authorities, or give a pin in place of the name";
                    return Err(io::Error::other(message));
                }
                (builder.with_root_certificates(roots).with_no_client_auth(), name.to_string())
            }
        };
        tls.alpn_protocols = vec![b"h3".to_vec()];
        // Early data could be replayed (RFC 8470), so nothing is sent before the handshake is complete.
        tls.enable_early_data = false;
        let crypto = quinn::crypto::rustls::QuicClientConfig::try_from(tls).map_err(io::Error::other)?;
        let mut quic = quinn::ClientConfig::new(Arc::new(crypto));
        let mut transport = quinn::TransportConfig::default();
        transport
            .max_concurrent_bidi_streams(0u32.into())
            .max_concurrent_uni_streams(4u32.into())
            .stream_receive_window(STREAM_WINDOW.into())
            .receive_window(CONNECTION_WINDOW.into())
            .datagram_receive_buffer_size(None)
            .max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
        quic.transport_config(Arc::new(transport));
        Ok(HandshakeConfig { quic, server_name })
    }
}

/// Accepts the pinned certificate and no other.
#[derive(Debug)]
struct PinnedCertificateVerifier {
    pin: [u8; 32],
    provider: Arc<CryptoProvider>,
}

impl ServerCertVerifier for PinnedCertificateVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        if Sha256::digest(end_entity.as_ref()).as_slice() == self.pin {
            return Ok(ServerCertVerified::assertion());
        }
        Err(rustls::Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure))
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &CertificateDer<'_>,
        _: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Err(rustls::Error::PeerIncompatible(rustls::PeerIncompatible::Tls12NotOffered))
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let algorithms = &self.provider.signature_verification_algorithms;
        rustls::crypto::verify_tls13_signature(message, certificate, signature, algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.provider.signature_verification_algorithms.supported_schemes()
    }
}
