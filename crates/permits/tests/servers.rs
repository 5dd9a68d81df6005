//! Orders to drain servers, and when one may be stopped.

use woodgap_permits::servers::{answer, fenced, Answer, Contact, Orders, Witness, BACK, MOST_ORDERS};
use woodgap_permits::Refusal;

const PROVEN: u64 = 60_000;

fn asked(most: bool, fleet: &[(&str, Witness)]) -> Answer {
    let fleet: Vec<(String, Witness)> =
        fleet.iter().map(|(name, witness)| ((*name).to_owned(), witness.clone())).collect();
    answer(5, fleet.iter().map(|(name, witness)| (name, witness.clone())), most, PROVEN)
}

fn said(number: u64) -> Witness {
    Witness { says: Some(number), session: true, ..Witness::default() }
}

#[test]
fn a_server_is_safe_to_stop_once_all_have_said_so() {
    assert_eq!(asked(true, &[("n1", said(5)), ("n2", said(7))]), Answer::Safe);
    let waits = asked(true, &[("n1", said(5)), ("n2", said(4)), ("n3", said(0))]);
    assert_eq!(waits, Answer::Waits { nodes: vec!["n2".into(), "n3".into()] });
}

#[test]
fn who_is_silent_is_named_until_its_end_is_proven() {
    let unknown = Answer::NotKnown { nodes: vec!["n7".into()] };
    let gone = |dead_for, session| Witness { says: None, left: false, session, dead_for };
    // Never heard of; dead for too short; registered still; seen dead from a smaller half.
    assert_eq!(asked(true, &[("n1", said(5)), ("n7", Witness::default())]), unknown);
    assert_eq!(asked(true, &[("n1", said(5)), ("n7", gone(Some(PROVEN - 1), false))]), unknown);
    assert_eq!(asked(true, &[("n1", said(5)), ("n7", gone(Some(PROVEN), true))]), unknown);
    assert_eq!(asked(false, &[("n1", said(5)), ("n7", gone(Some(PROVEN), false))]), unknown);
    assert_eq!(asked(true, &[("n1", said(5)), ("n7", gone(Some(PROVEN), false))]), Answer::Safe);
    // What one said of itself holds after its end, and so does that it left.
    let dead = Witness { dead_for: Some(1), session: false, ..said(5) };
    assert_eq!(asked(true, &[("n7", dead.clone())]), Answer::Safe);
    assert_eq!(asked(true, &[("n7", Witness { says: Some(4), ..dead.clone() })]), unknown);
    assert_eq!(asked(true, &[("n7", Witness { says: Some(4), left: true, ..dead })]), Answer::Safe);
}

#[test]
fn an_order_given_twice_is_one_and_what_is_back_is_forgotten_in_time() {
    let mut orders = Orders::default();
    assert_eq!(orders.drain(10, "s1", "disk"), Ok(1));
    assert_eq!(orders.drain(99, "s1", "again"), Ok(1));
    assert_eq!(orders.back(100, "s2", "x"), Err(Refusal::NoPermit("s2".into())));
    assert_eq!(orders.back(100, "s1", "done"), Ok(2));
    assert_eq!(orders.back(101, "s1", "done"), Ok(2));
    assert_eq!(orders.draining().count(), 0);
    assert_eq!(orders.drain(100 + BACK, "s3", "x"), Ok(3));
    assert!(!orders.servers.contains_key("s1"));
    for server in 0..MOST_ORDERS - 1 {
        assert!(orders.drain(100 + BACK, &format!("t{server}"), "x").is_ok());
    }
    assert!(matches!(orders.drain(100 + BACK, "one more", "x"), Err(Refusal::Bound(_))));
    assert!(orders.drain(100 + BACK, "t0", "x").is_ok());
}

#[test]
fn a_node_goes_on_while_it_has_the_service_or_most_of_the_fleet() {
    let contact = |service, most| Contact { service, most };
    assert!(!fenced(1_000, contact(950, 0), 100));
    assert!(!fenced(1_000, contact(0, 950), 100));
    assert!(fenced(1_000, contact(900, 899), 100));
}
