//! What a request pays: `cargo bench -p woodgap-leases`.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;

use criterion::{criterion_group, criterion_main, Criterion};
use woodgap_leases::*;

fn take(c: &mut Criterion) {
    let whole = |kind, mode| Whole { kind, mode, least: 1 };
    let rate = Kind::Rate { per_s: 1_000_000, burst_ms: 1_000 };
    let list = BTreeMap::from([
        (1, whole(rate, Mode::Strict)),
        (2, whole(Kind::Rate { per_s: 1_000, burst_ms: 100 }, Mode::Generous)),
        (3, whole(Kind::Slots { count: 1_000_000 }, Mode::Strict)),
    ]);
    let mut doc = EpochDoc::new(40_000_000).expect("a share");
    doc.take(Change::Join { name: "a".into() }).expect("room");
    let mut holder = Holder::new(1, 1, Settings::default(), 40_000_000).expect("settings");
    holder.adopt(0, &doc);
    holder.on_wholes(0, Arc::new(Wholes::new(1, list).expect("bounds")));
    // Safe parts of slots have grown.
    holder.poll(100_000_000);
    for (name, id) in [("rate, let in", 1), ("generous rate, over", 2), ("slot, and back", 3)] {
        let taker = holder.taker(id).expect("a whole");
        let mut now = 100_000_000;
        c.bench_function(name, |b| {
            b.iter(|| {
                now += 40;
                let taken = taker.take(black_box(now));
                if id == 3 && taken.is_ok() {
                    taker.give_back();
                }
                taken.is_ok()
            })
        });
    }
}

criterion_group!(benches, take);
criterion_main!(benches);
