//! Tests which ids are in use, and for how long.

use super::*;

const TENANT: Uid = Uid(1);
const MEMORY: usize = 1 << 20;

/// Receives a request with this id, and ends it.
fn end_request(ids: &DeduplicationCache, transaction_id: &str) {
    ids.insert(TENANT, transaction_id).expect("a new id").set_may_have_run(true);
}

#[test]
fn id_is_in_use_while_open_and_after_its_request_ended() {
    let ids = DeduplicationCache::new(MEMORY);
    let open = ids.insert(TENANT, "a").expect("a new id");
    assert!(ids.insert(TENANT, "a").is_none());
    open.set_may_have_run(true);
    drop(open);
    assert!(ids.insert(TENANT, "a").is_none());
}

// A refused client may send its request again, and so may one whose connection was closed before its end.
#[test]
fn id_of_a_request_that_never_ran_may_come_again() {
    let ids = DeduplicationCache::new(MEMORY);
    drop(ids.insert(TENANT, "a"));
    let refused = ids.insert(TENANT, "a").expect("an unused id");
    refused.set_may_have_run(true);
    refused.set_may_have_run(false);
    drop(refused);
    assert!(ids.insert(TENANT, "a").is_some());
}

#[test]
fn tenants_do_not_share_ids() {
    let ids = DeduplicationCache::new(MEMORY);
    end_request(&ids, "a");
    assert!(ids.insert(Uid(2), "a").is_some());
}

#[test]
fn at_least_the_capacity_is_remembered_in_constant_memory() {
    let ids = DeduplicationCache::new(MEMORY);
    let capacity = ids.capacity();
    let allocated = ids.ended.borrow().current.capacity();
    let name = |n: usize| format!("id{n}");
    for n in 0..5 * capacity {
        end_request(&ids, &name(n));
        if n >= capacity - 1 && n % 97 == 0 {
            assert!(ids.insert(TENANT, &name(n + 1 - capacity)).is_none(), "{n}");
        }
    }
    let ended = ids.ended.borrow();
    assert_eq!((ended.current.capacity(), ended.previous.capacity()), (allocated, allocated));
}

#[test]
fn memory_of_the_ids_is_a_share_of_the_node() {
    for (memory_mb, capacity) in [(1, 1_792), (32, 57_344), (64, 114_688), (192, 458_752), (1_024, 458_752)] {
        let ids = DeduplicationCache::new(memory_mb << 20);
        assert_eq!(ids.capacity(), capacity, "{memory_mb}");
        assert_eq!(ids.ended.borrow().current.capacity(), capacity, "{memory_mb}");
    }
}
