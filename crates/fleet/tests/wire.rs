//! Datagrams by their bytes.

use std::net::SocketAddr;

use proptest::prelude::*;
use woodgap_fleet::wire::{
    open, BadKeys, Body, Drop, Head, Keys, Update, Window, Writer, LONGEST, LONGEST_NAME, LONGEST_ROLE,
    LONGEST_VERSION, LONGEST_ZONE, SECTIONS,
};
use woodgap_fleet::Phase;

// The longest of everything: each body leaves room for the longest word.
#[test]
fn the_longest_word_fits_with_the_longest_of_each_body() {
    let keys = Keys::read("255 0123456789abcdef0123456789abcdef").unwrap();
    let (name, far) = ("ñ".repeat(LONGEST_NAME / 2), "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff]:65535");
    let (zone, version, role) =
        ("z".repeat(LONGEST_ZONE), "v".repeat(LONGEST_VERSION), "r".repeat(LONGEST_ROLE));
    // Unix times in milliseconds until the year 36812.
    let time = (1 << 50) - 1;
    let head = Head { from: &name, epoch: time, number: u64::from(u32::MAX) };
    let word = Update::Alive {
        name: &name,
        incarnation: time,
        boot: time,
        addr: far.parse().unwrap(),
        zone: &zone,
        version: &version,
        config: u32::MAX,
        role: &role,
        phase: Phase::Out,
        done: u32::MAX,
        ejects: [u16::MAX; 4],
    };
    let (nonce, sections) = (u32::MAX, u16::MAX);
    let bodies = [
        Body::Ping { nonce, to: &name },
        Body::Ask { nonce, target: &name },
        Body::Ack { nonce, digest: nonce },
        Body::Pull { after: &name, sections },
        Body::Page { last: true },
        Body::Gossip,
        Body::Clock { nonce },
        Body::Stamp { nonce, run: u64::MAX, at: u64::MAX },
    ];
    for body in bodies {
        let mut writer = Writer::new(&keys, &head, &body);
        assert!(writer.add(&word), "{body:?}");
        let bytes = writer.done(&keys);
        assert!(bytes.len() <= LONGEST);
        let read = open(&bytes, &keys).unwrap();
        assert_eq!((read.head, read.body, read.updates), (head, body, vec![word]));
    }
    let compare = Body::Compare { sums: [u32::MAX; SECTIONS] };
    assert!(open(&Writer::new(&keys, &head, &compare).done(&keys), &keys).is_ok());
}

#[test]
fn keys_are_read_with_their_faults() {
    let good = "# since May\n\n7 0123456789abcdef0123456789abcdef\n8\tfedcba9876543210fedcba9876543210\n";
    assert_eq!(format!("{:?}", Keys::read(good).unwrap()), "[7, 8]");
    assert_eq!(Keys::read("").unwrap_err(), BadKeys::Count(0));
    assert_eq!(Keys::read("\n7").unwrap_err(), BadKeys::Form(2));
    assert_eq!(Keys::read("0 0123456789abcdef0123456789abcdef").unwrap_err(), BadKeys::Form(1));
    assert_eq!(Keys::read("7 short").unwrap_err(), BadKeys::Short(1));
    let twice = "7 0123456789abcdef0123456789abcdef\n7 fedcba9876543210fedcba9876543210";
    assert_eq!(Keys::read(twice).unwrap_err(), BadKeys::Twice(2));
}

#[test]
fn a_window_takes_each_number_once() {
    let mut window = Window::default();
    assert!(window.take(5, 10) && window.take(5, 12) && window.take(5, 11));
    assert!(!window.take(5, 11) && !window.take(5, 12));
    assert!(window.take(5, 100) && !window.take(5, 36) && window.take(5, 37));
    assert!(!window.take(4, 200));
    assert!(window.take(6, 1) && window.over(5) && !window.take(5, 101));
}

proptest! {
    // Whatever comes is read or dropped, and what was read is what was written.
    #[test]
    fn any_bytes_are_read_or_dropped(mut bytes in prop::collection::vec(any::<u8>(), 0..300), signed in any::<bool>()) {
        if bytes.len() > 2 {
            (bytes[0], bytes[1]) = (0xF1, 0);
        }
        let keys = if signed { Keys::read("1 0123456789abcdef0123456789abcdef").unwrap() } else { Keys::none() };
        if let Ok(read) = open(&bytes, &keys) {
            prop_assert!(!signed);
            let mut writer = Writer::new(&keys, &read.head, &read.body);
            prop_assert!(writer.add_all(&read.updates));
            let written = writer.done(&keys);
            prop_assert_eq!(open(&written, &keys).unwrap(), read);
        }
    }

    #[test]
    fn a_changed_bit_is_seen(name in "[a-z]{1,30}", number in any::<u64>(), at in any::<prop::sample::Index>(), bit in 0..8u8) {
        let keys = Keys::read("1 0123456789abcdef0123456789abcdef").unwrap();
        let addr: SocketAddr = "127.0.0.1:1".parse().unwrap();
        let word = Update::Alive {
            name: &name, incarnation: 1, boot: 1, addr, zone: "", version: "", config: 0, role: "", phase: Phase::Ready, done: 0,
            ejects: [0; 4],
        };
        let head = Head { from: &name, epoch: 1, number };
        let mut writer = Writer::new(&keys, &head, &Body::Gossip);
        prop_assert!(writer.add(&word));
        let mut bytes = writer.done(&keys);
        prop_assert!(open(&bytes, &keys).is_ok());
        let at = at.index(bytes.len());
        bytes[at] ^= 1 << bit;
        prop_assert!(matches!(open(&bytes, &keys), Err(Drop::Forged | Drop::Keyless | Drop::Garbled)));
    }
}
