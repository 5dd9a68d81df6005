//! The identity of the client at the other end of a connection, from which admission keys are derived.

/// Address and certificate of the client at the other end of a connection. Has no fields in a program without
/// the feature `hosted`, which does not use them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientIdentity {
    /// The IP address of the client.
    #[cfg(feature = "hosted")]
    pub address: Option<std::net::IpAddr>,
    /// The hash of the subject of the client's certificate, if it presented one.
    #[cfg(feature = "hosted")]
    pub subject: Option<u64>,
}

impl ClientIdentity {
    /// Returns the identity of a client without a certificate.
    pub fn from_address(_address: std::net::SocketAddr) -> ClientIdentity {
        ClientIdentity {
            #[cfg(feature = "hosted")]
            address: Some(_address.ip()),
            #[cfg(feature = "hosted")]
            subject: None,
        }
    }
}
