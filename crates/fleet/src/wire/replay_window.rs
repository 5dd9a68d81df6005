//! Replay protection: remembers which sequence numbers of a sender were received, as in RFC 4303.

/// The received numbers of one sender: the current epoch, the highest number and the 64 up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    epoch: u64,
    highest: u64,
    /// Bit n is set if number `highest - n` was received.
    received_bits: u64,
}

impl ReplayWindow {
    /// Whether a later epoch than this one was received.
    pub fn is_past_epoch(&self, epoch: u64) -> bool {
        epoch < self.epoch
    }

    /// Whether this epoch is later than any received.
    pub fn is_new_epoch(&self, epoch: u64) -> bool {
        epoch > self.epoch
    }

    /// Records a number; returns `false` if it was received before or is too old.
    pub fn accept(&mut self, epoch: u64, number: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            *self = ReplayWindow { epoch, highest: number, received_bits: 1 };
            return true;
        }
        if number > self.highest {
            let shift = number - self.highest;
            self.received_bits = if shift >= 64 { 0 } else { self.received_bits << shift };
            self.received_bits |= 1;
            self.highest = number;
            return true;
        }
        let age = self.highest - number;
        if age >= 64 || self.received_bits & (1 << age) != 0 {
            return false;
        }
        self.received_bits |= 1 << age;
        true
    }
}
