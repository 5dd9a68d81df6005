//! The phases of a client connection, by which its timeouts and its eviction are decided.

/// What a connection is doing; see [`super::connection::ClientConnection`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionPhase {
    /// The TLS or QUIC handshake is in progress.
    Handshake,
    /// No request head has been read completely yet.
    New,
    /// The head of a request after the first one is being received.
    ReadingHead,
    /// A request is being handled.
    RequestOpen,
    /// The response is being written.
    WritingResponse,
    /// The connection is between two requests.
    Idle,
    /// The node has shut down its sending side and waits for the client to close the connection.
    Lingering,
}
