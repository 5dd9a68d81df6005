//! A cold server and all nodes together: none sees what the others send it.

mod common;

use std::collections::VecDeque;

use common::*;
use woodgap_decisions::*;

const NODES: usize = 100;
const SERVERS: u32 = 20;
/// Requests a second of mean work that a warm server can do, and what part of it the traffic asks for.
const CAPACITY: u64 = 100;
const ASKED: f64 = 0.8;
/// Time of an answer, and the settings' time in which a cold server falls.
const ANSWER: Micros = 20_000;
const OVERLOAD_FOR: Micros = SECOND;
const STEP: Micros = 5_000;

/// Sends of all nodes to the first server, which restarts five seconds in, as times after its start.
fn sends(settings: &Settings, seed: u64, hot: &[u64]) -> Vec<Micros> {
    let members: Vec<Member> = (0..SERVERS).map(member).collect();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|n| {
            let mut node =
                Node { balancer: Balancer::new(settings.clone(), seed + n as u64), now: 100 * SECOND };
            node.sync(SyncKind::Cached, members.clone());
            node
        })
        .collect();
    let mut random = fastrand::Rng::with_seed(seed);
    let per_step = CAPACITY as f64 * ASKED * f64::from(SERVERS) * STEP as f64 / SECOND as f64;
    let (start, mut due, mut number) = (105 * SECOND, 0.0, 0);
    let mut answers: VecDeque<(Micros, usize, u64, ServerId)> = VecDeque::new();
    let mut seen = Vec::new();
    for now in (100 * SECOND..115 * SECOND).step_by(STEP as usize) {
        for (n, node) in nodes.iter_mut().enumerate() {
            node.now = now;
            if (now + n as u64 * STEP) % 100_000 < STEP {
                node.event(Event::Timer(TimerId(1)));
            }
            if now == start {
                node.sync(SyncKind::Delta, vec![Member { since: start, ..member(0) }]);
            }
        }
        while answers.front().is_some_and(|answer| answer.0 <= now) {
            let (_, n, id, server) = answers.pop_front().expect("one");
            nodes[n].close(id, 0, server, Outcome::Ok);
        }
        due += per_step;
        while due >= 1.0 {
            (due, number) = (due - 1.0, number + 1);
            let key =
                if random.bool() { hot[random.usize(..hot.len())] } else { random.u64(1_000..1_000_000) };
            let n = random.usize(..NODES);
            let Some(server) = sent(&nodes[n].ask(number, 0, key)) else { continue };
            answers.push_back((now + ANSWER, n, number, server));
            if server == ServerId(0) && now >= start {
                seen.push(now - start);
            }
        }
    }
    seen
}

/// Rule 4 over the fleet: a cold server falls at more than N + 3 x root of N + 3 requests of mean work in the time that
/// the settings name, N being what they allow it then. Half of the traffic is for keys of that server.
#[test]
fn all_nodes_together_send_a_cold_server_less_than_it_bears() {
    let hot: Vec<u64> = {
        let mut node = Node::fleet(SERVERS);
        (0..400).filter(|&key| node.place(key, 0, key) == ServerId(0)).collect()
    };
    assert!(hot.len() > 5);
    for (seed, multiple) in [(1, 1.5), (1_000, 1.5), (2_000, 2.5)] {
        let settings = Settings { fall_multiple: multiple, group_size: NODES as u32, ..settings() };
        let seen = sends(&settings, seed, &hot);
        assert!(seen.len() > 50, "{}", seen.len());
        for (i, &from) in seen.iter().enumerate() {
            let part = from as f64 / settings.ramp_time as f64;
            let able = settings.start_capacity + (1.0 - settings.start_capacity) * part.min(1.0);
            let allowed = multiple * able * CAPACITY as f64 * OVERLOAD_FOR as f64 / SECOND as f64;
            let count = seen[i..].iter().take_while(|&&at| at < from + OVERLOAD_FOR).count() as f64;
            let most = allowed + 3.0 * allowed.sqrt() + 3.0;
            assert!(count <= most, "seed {seed}, {multiple}: {count} of {most:.0} from {from} us on");
        }
    }
}
