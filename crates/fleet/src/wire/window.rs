//! Replays.

/// Which numbers of a sender came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    epoch: u64,
    top: u64,
    /// Bit n: `top - n` came.
    came: u64,
}

impl Window {
    /// Whether this epoch is over: a later one was heard of.
    pub fn over(&self, epoch: u64) -> bool {
        epoch < self.epoch
    }

    /// Whether this epoch begins.
    pub fn before(&self, epoch: u64) -> bool {
        epoch > self.epoch
    }

    /// Takes a number once.
    pub fn take(&mut self, epoch: u64, number: u64) -> bool {
        if epoch < self.epoch {
            return false;
        }
        if epoch > self.epoch {
            *self = Window { epoch, top: number, came: 1 };
            return true;
        }
        if number > self.top {
            let on = number - self.top;
            self.came = if on >= 64 { 0 } else { self.came << on };
            self.came |= 1;
            self.top = number;
            return true;
        }
        let back = self.top - number;
        if back >= 64 || self.came & (1 << back) != 0 {
            return false;
        }
        self.came |= 1 << back;
        true
    }
}
