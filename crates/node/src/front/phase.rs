//! What a connection is about.

/// What a connection is about; see [`super::conn::Conn`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Nothing has been answered on it and no head is whole.
    New,
    /// A later request has begun to come.
    Head,
    /// A request is open.
    Open,
    /// Its answer is on its way out.
    Answering,
    /// Between requests.
    Idle,
    /// The node has ended its side, and waits for the client to end the other one.
    Lingering,
}
