//! Types of requests, and error codes that do not come from the tree.

// Types of requests (`ZooDefs.OpCode`).
pub(super) const CREATE: i32 = 1;
pub(super) const DELETE: i32 = 2;
pub(super) const EXISTS: i32 = 3;
pub(super) const GET_DATA: i32 = 4;
pub(super) const SET_DATA: i32 = 5;
pub(super) const GET_CHILDREN: i32 = 8;
pub(super) const SYNC: i32 = 9;
pub(super) const PING: i32 = 11;
pub(super) const GET_CHILDREN2: i32 = 12;
pub(super) const CHECK: i32 = 13;
pub(super) const MULTI: i32 = 14;
pub(super) const CREATE2: i32 = 15;
pub(super) const CHECK_WATCHES: i32 = 17;
pub(super) const REMOVE_WATCHES: i32 = 18;
pub(super) const AUTH: i32 = 100;
pub(super) const SET_WATCHES: i32 = 101;
pub(super) const CLOSE_SESSION: i32 = -11;

/// `KeeperException.Code.UNIMPLEMENTED`: the type of the request is unknown.
pub(super) const UNIMPLEMENTED: i32 = -6;
/// `KeeperException.Code.NOTREADONLY`: a write that reached a read-only member.
pub(super) const NOT_READ_ONLY: i32 = -119;
/// `KeeperException.Code.MARSHALLINGERROR`: the request cannot be decoded.
pub(super) const MARSHALLING_ERROR: i32 = -5;
