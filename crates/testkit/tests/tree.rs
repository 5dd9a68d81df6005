//! The promises of the stand-in coordination service's tree.

use woodgap_testkit::coordination::tree::*;

fn create(path: &str, mode: Mode) -> Op {
    Op::Create { path: path.into(), data: b"x".to_vec(), acl: Vec::new(), mode }
}

const PLAIN: Mode = Mode { ephemeral: false, sequential: false };
const EPHEMERAL: Mode = Mode { ephemeral: true, sequential: false };

fn start() -> (Tree, i64) {
    let mut tree = Tree::default();
    let (session, _, timeout) = tree.open(0, 6_000);
    assert_eq!(timeout, 6_000);
    tree.change(0, session, &create("/pool", PLAIN)).unwrap();
    (tree, session)
}

#[test]
fn an_ephemeral_node_goes_with_its_session_and_a_watch_tells_once() {
    let (mut tree, watcher) = start();
    let (server, ..) = tree.open(0, 6_000);
    tree.watch(watcher, Watch::Children, "/pool");
    let (_, events) = tree.change(1, server, &create("/pool/s1", EPHEMERAL)).unwrap();
    let changed = |path: &str, kind| Event { session: watcher, kind, path: path.into() };
    assert_eq!(events, [changed("/pool", Kind::ChildrenChanged)]);
    // Once: the next change is not told.
    let (_, events) = tree.change(2, server, &create("/pool/s2", EPHEMERAL)).unwrap();
    assert_eq!(events, []);
    tree.watch(watcher, Watch::Data, "/pool/s1");
    tree.watch(watcher, Watch::Children, "/pool/s1");
    tree.watch(watcher, Watch::Children, "/pool");
    tree.heard(5_000, watcher);
    assert!(tree.overdue(5_999).is_empty());
    assert_eq!(tree.overdue(6_000), [server]);
    let events = tree.end(server);
    assert_eq!(events, [changed("/pool/s1", Kind::Deleted), changed("/pool", Kind::ChildrenChanged)]);
    assert_eq!((tree.children("/pool").unwrap().0.len(), tree.watches()), (0, 0));
    assert_eq!(tree.change(7_000, server, &create("/late", PLAIN)), Err(Code::SessionExpired));
}

#[test]
fn a_session_is_taken_up_again_with_its_password_alone() {
    let mut tree = Tree::default();
    let (id, password, timeout) = tree.open(0, 1);
    assert_eq!(timeout, TIMEOUTS.0);
    assert_eq!(tree.reattach(3_000, id, &password), Some(timeout));
    assert!(tree.overdue(6_000).is_empty());
    assert_eq!(tree.reattach(3_000, id, &[0; 16]), None);
    tree.end(id);
    assert_eq!(tree.reattach(3_001, id, &password), None);
}

#[test]
fn versions_guard_writes() {
    let (mut tree, session) = start();
    let set = |version| Op::Set { path: "/pool".into(), data: b"yy".to_vec(), version };
    let (done, _) = tree.change(5, session, &set(0)).unwrap();
    let Done::Written(stat) = done else { panic!("{done:?}") };
    assert_eq!((stat.version, stat.data_length, stat.mtime), (1, 2, 5));
    assert!(stat.mzxid > stat.czxid);
    assert_eq!(tree.change(6, session, &set(0)), Err(Code::BadVersion));
    let delete = |version| Op::Delete { path: "/pool".into(), version };
    assert_eq!(tree.change(6, session, &delete(0)), Err(Code::BadVersion));
    tree.change(6, session, &create("/pool/a", PLAIN)).unwrap();
    assert_eq!(tree.change(6, session, &delete(1)), Err(Code::NotEmpty));
    assert_eq!(tree.change(6, session, &create("/pool/a", PLAIN)), Err(Code::NodeExists));
    assert_eq!(tree.change(6, session, &create("/none/a", PLAIN)), Err(Code::NoNode));
    tree.change(6, session, &create("/pool/e", EPHEMERAL)).unwrap();
    assert_eq!(tree.change(6, session, &create("/pool/e/a", PLAIN)), Err(Code::NoChildrenForEphemerals));
    for odd in ["", "a", "/a/", "//a", "/a/../b", "/a/./b", "/a\0"] {
        assert!(tree.change(6, session, &create(odd, PLAIN)).is_err(), "{odd}");
    }
}

#[test]
fn a_multi_is_made_whole_or_not_at_all() {
    let (mut tree, session) = start();
    tree.watch(session, Watch::Children, "/pool");
    let zxid = tree.zxid();
    let check = Op::Check { path: "/pool".into(), version: 7 };
    let failed = tree.multi(1, session, &[create("/pool/a", PLAIN), check]);
    assert_eq!(failed, Err((1, Code::BadVersion)));
    assert_eq!((tree.children("/pool").unwrap().0.len(), tree.zxid(), tree.watches()), (0, zxid, 1));
    let made = tree.multi(1, session, &[create("/pool/a", PLAIN), create("/pool/b", PLAIN)]).unwrap();
    assert_eq!((made.0.len(), made.1.len(), tree.zxid()), (2, 1, zxid + 1));
}

#[test]
fn sequential_names_grow_and_are_never_used_again() {
    let (mut tree, session) = start();
    let mode = Mode { ephemeral: true, sequential: true };
    let mut names = Vec::new();
    for _ in 0..3 {
        let (done, _) = tree.change(1, session, &create("/pool/n-", mode)).unwrap();
        let Done::Created(path, _) = done else { panic!("{done:?}") };
        tree.change(1, session, &Op::Delete { path: path.clone(), version: -1 }).unwrap();
        names.push(path);
    }
    assert_eq!(names, ["/pool/n-0000000000", "/pool/n-0000000002", "/pool/n-0000000004"]);
}
