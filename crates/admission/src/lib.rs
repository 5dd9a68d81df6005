//! Admission control of a pool: fair queues by tenant and by key with a short wait, a learned concurrency
//! limit, and retry times for refused requests. The package does no I/O, reads no clock and never decides by
//! the iteration order of a hash map; times are arguments.
//!
//! ```text
//!   front ──Arrival──▶ AdmissionQueue::arrive ──▶ Admit ─────────────────────▶ pool
//!                         │ Enqueue: waits in a queue of its key                │
//!                         │ Refuse(retry delay)                                 │ RequestOutcome
//!                         ▼                                                     ▼
//!   front ◀──QueueDecision── AdmissionQueue::dispatch ◀── free capacity ◀── AdmissionQueue::record_end
//! ```
//!
//! - [`concurrency`]: the number of requests that the pool handles at a time, learned from how its requests
//!   end.
//! - [`queue`]: start-time fair queueing over expected work, between tenants by weight and between the keys
//!   of a tenant.
//! - [`retry_after`]: retry times of refused requests, and priority for requests that return at that time.
//! - [`recent_keys`]: keys that were admitted or seen lately, in a filter of fixed size.
//!
//! A [`queue::AdmissionQueue`] holds the state of waiting requests. The caller owns the requests themselves
//! and carries out its decisions. Memory is allocated when the queue is created (about 70 KiB) and when a
//! tenant first appears (about 40 KiB); it does not grow with the number of keys.

pub mod concurrency;
pub mod queue;
pub mod recent_keys;
pub mod retry_after;
mod slab;

/// Microseconds of a monotonic clock. A time before the previous one counts as the previous one.
pub type Micros = u64;
