//! The board's rules, each with the failure that it guards against.

use woodgap_activation::*;

const LEAD: Micros = 2_000_000;

fn at(now: Micros) -> Clock {
    Clock::Sure { earliest: now - 1_000, latest: now + 1_000 }
}

fn version(number: u64) -> Version {
    Version { number, digest: format!("d{number}"), format: FORMAT }
}

fn join(at: usize, life: u64, entry: u64) -> Command {
    let seat = Seat { life, entry, format: FORMAT, gone: None };
    Command::Join { node: format!("n{at}"), seat }
}

fn open(author: &str, number: u64) -> Command {
    Command::Open { author: author.into(), version: version(number) }
}

fn say(at: usize, fence: u64, word: Word) -> Command {
    Command::Say { node: format!("n{at}"), entry: at as u64, fence, word }
}

fn ready(at: usize, fence: u64) -> Command {
    say(at, fence, Word::Ready(format!("d{fence}")))
}

fn gone(at: usize) -> Command {
    Command::Gone { node: format!("n{at}"), entry: at as u64, proof: "no session, dead for 200 s".into() }
}

/// So many nodes, and version 1 opened by n1 at 10 s.
fn opened(nodes: usize) -> Board {
    let joins = (1..=nodes).map(|at| join(at, at as u64, at as u64));
    let commands = joins.chain([open("n1", 1)]).collect();
    let (board, refused) = Board::new(Rules::default()).unwrap().take_all(commands, at(10_000_000));
    assert_eq!(refused, []);
    board
}

fn all(board: &Board, commands: Vec<Command>, now: Micros) -> Board {
    let (board, refused) = board.take_all(commands, at(now));
    assert_eq!(refused, []);
    board
}

#[test]
fn a_moment_is_never_before_a_floor_that_somebody_may_have_read() {
    let board = all(&opened(1), vec![Command::Extend(1), ready(1, 1)], 11_000_000);
    assert_eq!(board.attempt.as_ref().unwrap().floor, 11_001_000 + LEAD);
    // Who decides has a clock that says less; its interval holds the truth all the same.
    let decided = board.take(Command::Decide(1), at(10_500_000)).unwrap().decided.unwrap();
    assert_eq!(decided.moment, 11_001_000 + LEAD);
    // And a floor does not come down by such a clock.
    assert_eq!(board.take(Command::Extend(1), at(10_500_000)).unwrap(), board);
}

#[test]
fn everybody_is_waited_for_whose_end_is_not_proven() {
    let board = all(&opened(5), (1..5).map(|at| ready(at, 1)).collect(), 11_000_000);
    let waits = board.take(Command::Decide(1), at(11_000_000));
    assert_eq!(waits, Err(Refusal::Waits(vec!["n5".into()])));
    let one_gone = board.take(gone(5), at(11_000_000)).unwrap();
    assert!(one_gone.take(Command::Decide(1), at(11_000_000)).unwrap().decided.is_some());
    // It came back as another process: that one is waited for, and the proof about the first counts no more.
    let back = one_gone.take(join(5, 5, 55), at(11_000_000)).unwrap();
    assert_eq!(back.waited_for(), ["n5"]);
    assert_eq!(back.take(gone(5), at(11_000_000)), Err(Refusal::Stranger("n5".into())));
    assert_eq!(one_gone.take(join(5, 5, 5), at(11_000_000)), Err(Refusal::Ended("n5".into())));
    // A word of an earlier process is none of this one.
    let again = board.take(join(1, 1, 11), at(11_000_000)).unwrap();
    assert_eq!(again.waited_for(), ["n1", "n5"]);
    // Two of five are over 20 percent: anybody ends it, nobody decides it.
    let two_gone = one_gone.take(gone(4), at(11_000_000)).unwrap();
    assert!(matches!(
        two_gone.take(Command::Decide(1), at(11_000_000)),
        Err(Refusal::Missing { missing: 2, .. })
    ));
    let ended = two_gone.take(Command::End { by: "n3".into(), fence: 1 }, at(11_000_000)).unwrap();
    assert!(ended.attempt.is_none() && ended.kept[0].why.contains("2 of 5"), "{:?}", ended.kept);
}

#[test]
fn a_node_that_cant_ends_the_attempt_with_its_reason() {
    let cannot = say(2, 1, Word::Cannot("pool web: no such class".into()));
    let ended = opened(2).take(cannot, at(11_000_000)).unwrap();
    assert!(ended.attempt.is_none() && ended.kept[0].why.contains("n2 can't: pool web"), "{:?}", ended.kept);
    let ended = opened(2).take(say(2, 1, Word::Ready("other".into())), at(11_000_000)).unwrap();
    assert!(ended.attempt.is_none() && ended.kept[0].why.contains("n2 built other"), "{:?}", ended.kept);
    // The same number may be tried again; a word of the first attempt is none of the second.
    let again = ended.take(open("n1", 1), at(12_000_000)).unwrap();
    assert_eq!(again.take(ready(1, 1), at(12_000_000)), Err(Refusal::Fenced(1)));
}

#[test]
fn of_two_attempts_the_second_is_refused_with_the_firsts_name() {
    let board = opened(2);
    let other = Refusal::Another { author: "n1".into(), number: 1, fence: 1 };
    assert_eq!(board.take(open("n2", 2), at(11_000_000)), Err(other));
    // The first's own, whose answer was lost, changes nothing.
    assert_eq!(board.take(open("n1", 1), at(11_000_000)).unwrap(), board);
    let decided = all(&board, vec![ready(1, 1), ready(2, 1), Command::Decide(1)], 11_000_000);
    let moment = decided.decided.as_ref().unwrap().moment;
    // Not while anybody may still answer by the one before, by the clock of who asks.
    let early = decided.take(open("n2", 2), at(moment + 500));
    assert_eq!(early, Err(Refusal::Switching { number: 1, moment }));
    assert_eq!(decided.take(open("n2", 1), at(moment + 1_000)), Err(Refusal::Stale { number: 1, least: 1 }));
    assert!(decided.take(open("n2", 2), at(moment + 1_000)).is_ok());
}

#[test]
fn one_whose_author_died_is_ended_by_anybody_after_its_time() {
    let board = opened(2);
    let end = Command::End { by: "n2".into(), fence: 1 };
    let until = board.attempt.as_ref().unwrap().until;
    assert!(matches!(board.take(end.clone(), at(until)), Err(Refusal::Early { .. })));
    assert_eq!(board.take(Command::Extend(1), at(until)), Err(Refusal::Late(1)));
    let both = all(&board, vec![ready(1, 1), ready(2, 1)], 11_000_000);
    assert_eq!(both.take(Command::Decide(1), at(until)), Err(Refusal::Late(1)));
    let ended = board.take(end, at(until + 1_000)).unwrap();
    assert!(ended.kept[0].why.contains("not ready: n1 n2"), "{:?}", ended.kept);
}

#[test]
fn a_withdrawn_version_never_comes_back_and_a_decided_one_is_not_withdrawn() {
    let board = opened(1);
    let withdraw = Command::Withdraw { fence: 1, why: "wrong class".into() };
    let withdrawn = board.take(withdraw.clone(), at(11_000_000)).unwrap();
    assert_eq!(withdrawn.take(open("n1", 1), at(12_000_000)), Err(Refusal::Stale { number: 1, least: 1 }));
    assert!(withdrawn.take(open("n1", 2), at(12_000_000)).is_ok());
    let decided = all(&board, vec![ready(1, 1), Command::Decide(1)], 11_000_000);
    assert!(matches!(decided.take(withdraw, at(11_000_000)), Err(Refusal::Decided { fence: 1, .. })));
}

#[test]
fn a_second_process_without_the_disk_gets_no_seat_before_the_first_is_proven_gone() {
    let board = opened(2);
    assert_eq!(board.take(join(2, 9, 99), at(11_000_000)), Err(Refusal::Taken("n2".into())));
    assert!(board.take(gone(2), at(11_000_000)).unwrap().take(join(2, 9, 99), at(11_000_000)).is_ok());
    assert_eq!(board.take(Command::Strike("n2".into()), at(11_000_000)), Err(Refusal::Taken("n2".into())));
}

#[test]
fn bounds_that_would_refuse_requests_at_each_switch_are_refused() {
    let rules = Rules::default();
    let (short, few) = (Rules { lead: 199_999, ..rules }, Rules { most_missing_percent: 100, ..rules });
    assert!(rules.check().is_ok() && short.check().is_err() && few.check().is_err());
    let limits = Limits::default();
    let (slow, brief) = (Limits { poll: 250_001, ..limits }, Limits { hold_for: 99_999, ..limits });
    assert!(limits.check(&rules).is_ok() && slow.check(&rules).is_err() && brief.check(&rules).is_err());
}

#[test]
fn a_clock_that_cant_tell_sets_no_time() {
    let board = all(&opened(1), vec![ready(1, 1)], 11_000_000);
    let wide = Clock::Sure { earliest: 11_000_000, latest: 11_050_001 };
    for clock in [Clock::Unsure, wide] {
        for command in [Command::Decide(1), Command::Extend(1), Command::End { by: "n2".into(), fence: 1 }] {
            assert!(board.take(command, clock).is_err());
        }
    }
}

#[test]
fn three_hundred_nodes_fit_in_one_document_and_one_write() {
    let board = opened(300);
    let words = (1..=300).map(|at| ready(at, 1)).chain([Command::Decide(1)]).collect();
    let text =
        serde_json::to_vec(&all(&board, (1..=300).map(|at| ready(at, 1)).collect(), 11_000_000)).unwrap();
    assert!(text.len() < 64 * 1_024, "{} bytes", text.len());
    let decided = all(&board, words, 11_000_000);
    assert!(decided.decided.is_some() && decided.revision == board.revision + 1);
    assert_eq!(serde_json::from_slice::<Board>(&serde_json::to_vec(&decided).unwrap()).unwrap(), decided);
}
