//! Servers that a switch drops.

use woodgap_activation::*;

const T: Micros = 10_000_000;

fn at(t: Micros) -> Clock {
    Clock::Sure { earliest: t - 1_000, latest: t + 1_000 }
}

#[test]
fn a_dropped_server_keeps_its_500_ms_from_the_switch() {
    let decision = Decision {
        fence: 2,
        version: Version { number: 2, digest: "d2".into(), format: FORMAT },
        moment: T,
        after: 1,
    };
    let bar = Bar::of(&decision, &Limits::default());
    let by = |fence| Taken { fence, alike: 0, choice: false, at: T };
    assert!(bar.barred(&by(2), at(T + 1_000), 50_000), "not by the new version");
    assert!(!bar.barred(&by(1), at(T + 499_000 - 1), 50_000));
    assert!(bar.barred(&by(1), at(T + 499_000), 50_000), "it may be the end");
    assert!(bar.barred(&by(1), Clock::Unsure, 50_000));
}
