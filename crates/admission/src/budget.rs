//! Descriptors as one budget, dealt out by tokens that give themselves back.
//!
//! Each purpose has a share that nobody else can take and may use more while the rest is not needed. So retries
//! towards gateways can't starve the accept queue, nor that the retries, and neither the log.

use std::sync::{Arc, Mutex, PoisonError};

/// What a descriptor is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    Client,
    /// Connections that wait in the accept queue for a place.
    Accept,
    Gateway,
    /// The log, the list, the notices and the standard streams.
    Internal,
}

const PURPOSES: usize = 4;

impl Purpose {
    fn index(self) -> usize {
        match self {
            Purpose::Client => 0,
            Purpose::Accept => 1,
            Purpose::Gateway => 2,
            Purpose::Internal => 3,
        }
    }
}

/// What a purpose is sure of, and what it may use at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    pub guaranteed: [usize; PURPOSES],
    pub max: [usize; PURPOSES],
}

impl Shares {
    pub fn new(of: impl Fn(Purpose) -> (usize, usize)) -> Shares {
        let mut shares = Shares { guaranteed: [0; PURPOSES], max: [0; PURPOSES] };
        for purpose in [Purpose::Client, Purpose::Accept, Purpose::Gateway, Purpose::Internal] {
            (shares.guaranteed[purpose.index()], shares.max[purpose.index()]) = of(purpose);
        }
        shares
    }
}

#[derive(Debug)]
struct Counts {
    total: usize,
    shares: Shares,
    used: [usize; PURPOSES],
    refused: [u64; PURPOSES],
}

impl Counts {
    /// What is promised to others and not yet used by them.
    fn promised(&self, but: usize) -> usize {
        let left = |at: usize| self.shares.guaranteed[at].saturating_sub(self.used[at]);
        (0..PURPOSES).filter(|at| *at != but).map(left).sum()
    }

    fn take(&mut self, at: usize) -> bool {
        let used: usize = self.used.iter().sum();
        let own = self.used[at] < self.shares.guaranteed[at];
        let free = used + self.promised(at) < self.total;
        let fits = self.used[at] < self.shares.max[at] && used < self.total && (own || free);
        if fits {
            self.used[at] += 1;
        } else {
            self.refused[at] += 1;
        }
        fits
    }
}

/// The descriptors that a process may have open.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<Counts>>);

/// The right to one descriptor; given back when dropped, by whatever way its holder ends.
#[derive(Debug)]
pub struct Token {
    counts: Arc<Mutex<Counts>>,
    purpose: Purpose,
}

impl Budget {
    /// # Panics
    /// If more is promised than there is: that is a fault of whoever worked out the shares.
    pub fn new(total: usize, shares: Shares) -> Budget {
        let promised: usize = shares.guaranteed.iter().sum();
        assert!(promised <= total, "{promised} descriptors are promised of {total}");
        Budget(Arc::new(Mutex::new(Counts { total, shares, used: [0; PURPOSES], refused: [0; PURPOSES] })))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn acquire(&self, purpose: Purpose) -> Option<Token> {
        let taken = self.lock().take(purpose.index());
        taken.then(|| Token { counts: Arc::clone(&self.0), purpose })
    }

    pub fn used(&self, purpose: Purpose) -> usize {
        self.lock().used[purpose.index()]
    }

    pub fn total_used(&self) -> usize {
        self.lock().used.iter().sum()
    }

    /// How often there was none for a purpose.
    pub fn refused(&self, purpose: Purpose) -> u64 {
        self.lock().refused[purpose.index()]
    }
}

impl Token {
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// The same descriptor for another purpose, if that has room; otherwise the token as it was.
    pub fn transfer(mut self, purpose: Purpose) -> Result<Token, Token> {
        let (from, to) = (self.purpose.index(), purpose.index());
        let moved = {
            let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
            counts.used[from] -= 1;
            let fits = counts.take(to);
            if !fits {
                counts.used[from] += 1;
            }
            fits
        };
        if moved {
            self.purpose = purpose;
            Ok(self)
        } else {
            Err(self)
        }
    }
}

impl Drop for Token {
    fn drop(&mut self) {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.used[self.purpose.index()] -= 1;
    }
}
