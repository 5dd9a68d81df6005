//! ZooKeeper's protocol over TCP.
//!
//! ```text
//!   connection: frames ─▶ requests: decoded, applied to the tree ─▶ state: replies, events ─▶ connection
//!                                    ▲ faults and counters: service::Coordination, the test's handle
//! ```

mod connection;
mod record;
mod requests;
mod service;
mod state;

pub use service::Coordination;
pub use state::Traffic;

/// When a connection is closed in the course of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutPoint {
    /// After the request was read, before it is applied.
    BeforeProcessing,
    /// After the request was applied, before its reply is sent.
    BeforeReply,
}

/// Types of requests (`ZooDefs.OpCode`), for [`Coordination::cut_next_request`] and
/// [`Coordination::request_count`].
pub mod op {
    /// `create2`, which clients of version 3.5 and later send to create a znode.
    pub const CREATE: i32 = 15;
    /// `delete`.
    pub const DELETE: i32 = 2;
    /// `getData`.
    pub const GET_DATA: i32 = 4;
    /// `setData`.
    pub const SET_DATA: i32 = 5;
    /// `multi`.
    pub const MULTI: i32 = 14;
    /// `getChildren`.
    pub const GET_CHILDREN: i32 = 8;
}
