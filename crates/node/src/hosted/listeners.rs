//! Opens the listeners of a hosted node.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;

use super::config::{ListenerConfig, Protocols};
use super::error::ListenError;
use crate::front::http1::ListenerSettings;
use crate::front::http3;
use crate::front::tls::ReloadableCertificate;

/// `ma` of the Alt-Svc header in seconds: how long clients may cache that the listener speaks HTTP/3.
const ALT_SVC_MAX_AGE_S: u32 = 3_600;
/// Maximum number of ports tried for a listener with port 0.
const MAX_PORT_ATTEMPTS: u32 = 16;

/// A listener whose sockets are open.
pub(super) struct BoundListener {
    pub(super) address: SocketAddr,
    pub(super) tcp: Option<(TcpListener, ListenerSettings)>,
    pub(super) quic: Option<(quinn::Endpoint, std::rc::Rc<str>)>,
    pub(super) certificate: Option<Arc<ReloadableCertificate>>,
}

/// Opens a listener, with TCP and UDP at the same port if it speaks both. `memory` is the budget of a
/// connection in bytes.
async fn open_listener(listen: &ListenerConfig, memory: usize) -> Result<BoundListener, ListenError> {
    let certificate = match &listen.tls {
        Some((chain, key)) => Some(ReloadableCertificate::load(chain, key).map_err(ListenError::Tls)?),
        None => None,
    };
    let clients = listen.client_authorities.as_deref();
    let Protocols { http1, http3 } = listen.protocols;
    let mut address = listen.address;
    let mut tcp = None;
    if http1 {
        let listener = TcpListener::bind(address).await?;
        address = listener.local_addr()?;
        let mut settings = ListenerSettings::plain_tcp(&listen.name);
        if let Some(certificate) = &certificate {
            let tls = certificate.tls_config(&[b"http/1.1"], false, clients).map_err(ListenError::Tls)?;
            settings.tls = Some(Arc::new(tls).into());
        }
        if http3 {
            let alt_svc = format!("h3=\":{}\"; ma={ALT_SVC_MAX_AGE_S}", address.port());
            // Digits and these signs are valid in a field.
            settings.alt_svc = hyper::header::HeaderValue::try_from(alt_svc).ok();
        }
        tcp = Some((listener, settings));
    }
    let mut quic = None;
    if let (true, Some(certificate)) = (http3, &certificate) {
        let tls = certificate.tls_config(&[b"h3"], true, clients).map_err(ListenError::Tls)?;
        let config = http3::quic_config(tls, memory).map_err(ListenError::Tls)?;
        let endpoint = quinn::Endpoint::server(config, address)?;
        address = endpoint.local_addr()?;
        quic = Some((endpoint, listen.name.as_str().into()));
    }
    Ok(BoundListener { address, tcp, quic, certificate })
}

/// Opens a listener and, for port 0, retries with another port if the assigned one is taken. TCP and UDP need
/// the same port, of which another process may use one half.
pub(super) async fn open_listener_retrying(
    listen: &ListenerConfig,
    memory: usize,
) -> Result<BoundListener, ListenError> {
    let mut attempts_left = MAX_PORT_ATTEMPTS;
    loop {
        attempts_left -= 1;
        match open_listener(listen, memory).await {
            Err(error) if attempts_left > 0 && listen.address.port() == 0 && error.is_address_in_use() => {}
            result => return result,
        }
    }
}
