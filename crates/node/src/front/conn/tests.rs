use super::*;

// Those who say nothing give way first, those with a request open never.
#[tokio::test(start_paused = true)]
async fn what_nothing_is_open_on_gives_way() {
    let conn = Conn::new(SLOW, Peer::default());
    let may_close_after = |conn: &Rc<Conn>| {
        let conn = conn.clone();
        async move {
            for tenths in 0..100 {
                if conn.spare() >= 1.0 {
                    return Some(tenths);
                }
                tokio::time::advance(Duration::from_millis(100)).await;
            }
            None
        }
    };
    assert_eq!(may_close_after(&conn).await, Some(5));
    conn.opened();
    assert!(conn.is_first());
    assert_eq!(may_close_after(&conn).await, None);
    assert!(!conn.overdue());
    conn.enter(Phase::Idle);
    assert_eq!(may_close_after(&conn).await, Some(20));
    conn.enter(Phase::Head);
    tokio::time::advance(SLOW + Duration::from_millis(1)).await;
    assert!(conn.overdue());
    conn.shut(true);
    assert_eq!(may_close_after(&conn).await, None);
}
