//! Tests the parsing of lists.

use super::*;

#[test]
fn an_invalid_entry_does_not_drop_the_other_entries() {
    let value = serde_json::json!({"revision": 3, "complete": true, "members": [
        {"id": "s-1", "host_port": "127.0.0.1:1", "phase": "in_service"},
        {"id": "s-2", "host_port": "nowhere", "phase": "in_service"},
        {"id": "s-3", "host_port": "127.0.0.1:3", "phase": "asleep"},
        7,
        {"id": "s-4", "host_port": "127.0.0.1:4", "phase": "terminating", "up_since_ms": 9},
    ]});
    let list = ServerList::from_value(&value).unwrap();
    let ids: Vec<&str> = list.entries.iter().map(|e| e.id.as_str()).collect();
    assert_eq!(ids, ["s-1", "s-4"]);
    assert!(list.complete && list.revision == Some(3));
}

#[test]
fn the_last_of_several_entries_with_one_id_counts() {
    let entry =
        |id: &str, phase: &str| serde_json::json!({"id": id, "host_port": "127.0.0.1:1", "phase": phase});
    let value = serde_json::json!({"revision": 3, "complete": false, "members": [
        entry("s-1", "terminated"), entry("s-2", "in_service"), entry("s-1", "in_service"),
        entry("s-2", "terminating"),
    ]});
    let list = ServerList::from_value(&value).unwrap();
    let states: Vec<_> = list.entries.iter().map(|e| (e.id.as_str(), e.state)).collect();
    assert_eq!(states, [("s-1", ServerState::InService), ("s-2", ServerState::Terminating)]);
}

// The invalid entry may say that the server is draining or has restarted, so the node must not keep using the
// server as before.
#[test]
fn a_server_with_an_invalid_entry_counts_as_terminated() {
    let valid = serde_json::json!({"id": "s-1", "host_port": "127.0.0.1:1", "phase": "in_service"});
    for (name, invalid) in [
        ("host_port", serde_json::json!("nowhere")),
        ("host_port", serde_json::json!(7)),
        ("phase", serde_json::json!("asleep")),
        ("up_since_ms", serde_json::json!("now")),
    ] {
        let mut entry = valid.clone();
        entry[name] = invalid;
        for complete in [false, true] {
            let value = serde_json::json!({"complete": complete, "members": [valid, entry]});
            let states: Vec<_> = ServerList::from_value(&value)
                .unwrap()
                .entries
                .iter()
                .map(|e| (e.id.clone(), e.state))
                .collect();
            match complete {
                true => assert!(states.is_empty(), "{entry}"),
                false => assert_eq!(states, [("s-1".to_owned(), ServerState::Terminated)], "{entry}"),
            }
        }
    }
}

// If a start time were read as 0, a server in slow start would count as warmed up.
#[test]
fn integers_are_parsed_in_each_json_notation() {
    let text = r#"{"revision": 4.1e1, "complete": false, "members": [{"id": "s-1", "host_port": "127.0.0.1:1",
        "phase": "in_service", "cell": 3.0, "up_since_ms": 1.764645e12}]}"#;
    let list = ServerList::from_value(&serde_json::from_str(text).unwrap()).unwrap();
    let entry = &list.entries[0];
    assert_eq!((list.revision, entry.cell, entry.up_since_ms), (Some(41), 3, 1_764_645_000_000));
}
