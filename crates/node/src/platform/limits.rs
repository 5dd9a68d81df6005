//! The limits of a node, derived from the descriptors and the memory of its configuration.
//!
//! The memory is divided: sockets and open requests have a share each, and the rest is for the program, the server
//! list, and memory that the allocator cannot use.

use crate::front::MAX_SHORT_BODY_BYTES;
use crate::upstream::exchange::MAX_BODY_BYTES;

/// File descriptors that are not sockets of clients or servers: the standard streams, the runtime's, the
/// listener, discovery, the peers' socket, and some that the system has not closed yet.
pub(crate) const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum number of client connections over the budget that are accepted at a time, only to be refused.
pub(crate) const OVERFLOW_CONNECTIONS: usize = 16;
/// Share of the sockets that client connections may take. Requests in flight need as many sockets to servers,
/// and clients keep idle connections as well.
pub(crate) const CLIENT_SOCKET_SHARE: f64 = 0.6;
/// Memory of a hosted node that is reserved for each open request: its body and its response may both be in memory,
/// which take half of this at most.
#[cfg(feature = "hosted")]
pub(crate) const BYTES_PER_REQUEST: usize = 4 * MAX_BODY_BYTES;
/// Share of the memory that sockets may take.
const SOCKET_MEMORY_SHARE: f64 = 0.35;
/// Memory of one socket: the buffers of its connection for heads, and its task.
const BYTES_PER_SOCKET: usize = 32 * 1024;
/// Share of the memory that open requests may take.
const REQUEST_MEMORY_SHARE: f64 = 0.4;
/// Share of the memory of open requests that bodies may take which are not short, so that requests whose bodies have
/// arrived find memory beside bodies that arrive slowly.
pub(super) const BODY_MEMORY_SHARE: f64 = 0.5;
/// What the buffers of the two connections of an open request grow by.
const REQUEST_BUFFER_BYTES: usize = 32 * 1024;

/// Maximum number of sockets of clients and servers, for a node with these limits.
pub(super) fn max_sockets(descriptors: usize, memory: usize) -> usize {
    let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS + OVERFLOW_CONNECTIONS);
    let by_memory = (memory as f64 * SOCKET_MEMORY_SHARE) as usize / BYTES_PER_SOCKET;
    by_descriptors.min(by_memory).max(2)
}

/// Memory that all open requests of a node with this memory may take, in bytes. At least two fit.
pub(super) fn request_memory(memory: usize) -> usize {
    ((memory as f64 * REQUEST_MEMORY_SHARE) as usize).max(2 * LONGEST_REQUEST_MEMORY)
}

/// Memory of a request's body of at most this many bytes, while it arrives and until the response. A short one fits
/// into what its connection has in any case. A quarter is added for what the allocator can't use between long bodies.
pub(super) fn body_memory(max_bytes: u64) -> usize {
    if max_bytes <= MAX_SHORT_BODY_BYTES {
        return 0;
    }
    usize::try_from(max_bytes).map_or(MAX_BODY_BYTES, |bytes| bytes.min(MAX_BODY_BYTES)) * 5 / 4
}

/// Memory of a request at a server, beside its body: its response may have the maximum length.
pub(super) const RESPONSE_MEMORY: usize = MAX_BODY_BYTES * 5 / 4 + REQUEST_BUFFER_BYTES;

/// Memory of a request with the longest body and the longest response.
const LONGEST_REQUEST_MEMORY: usize = MAX_BODY_BYTES * 5 / 4 + RESPONSE_MEMORY;

#[cfg(test)]
mod tests {
    use super::*;

    // Sockets and open requests never take more than three quarters of the memory together.
    #[test]
    fn limits_follow_from_descriptors_and_memory() {
        for (descriptors, memory_mb, sockets) in
            [(256, 32, 216), (512, 64, 472), (1_024, 32, 358), (1_024, 192, 984), (60, 128, 20), (1, 1, 2)]
        {
            let memory = memory_mb << 20;
            assert_eq!(max_sockets(descriptors, memory), sockets, "{descriptors} {memory_mb}");
            let long_requests = request_memory(memory) / LONGEST_REQUEST_MEMORY;
            assert!(long_requests >= 1);
            let used = sockets * BYTES_PER_SOCKET + long_requests * LONGEST_REQUEST_MEMORY;
            assert!(used <= memory / 4 * 3, "{descriptors} {memory_mb}: {used}");
        }
    }
}
