//! One budget of file descriptors, handed out as tokens that are released when dropped.
//!
//! Each purpose has a guaranteed share and may use more while others don't need theirs. So retries to gateways can't
//! starve the accept queue, the accept queue can't starve the retries, and neither can starve the log.

use std::sync::{Arc, Mutex, PoisonError};

/// What a descriptor is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    Client,
    /// Connections that wait in the accept queue.
    Accept,
    Gateway,
    /// The sender's own files: the log, the list, the notices and the standard streams.
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

/// How many descriptors each purpose is guaranteed, and how many it may use at most.
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
    /// Guaranteed descriptors that the other purposes don't use yet.
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

/// The right to open one descriptor; released when dropped, also when its holder panics.
#[derive(Debug)]
pub struct Token {
    counts: Arc<Mutex<Counts>>,
    purpose: Purpose,
}

impl Budget {
    /// # Panics
    /// If the guaranteed shares exceed `total`, which is a bug in the caller.
    pub fn new(total: usize, shares: Shares) -> Budget {
        let promised: usize = shares.guaranteed.iter().sum();
        assert!(promised <= total, "{promised} descriptors are promised of {total}");
        Budget(Arc::new(Mutex::new(Counts { total, shares, used: [0; PURPOSES], refused: [0; PURPOSES] })))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A token for one descriptor, or `None` if the purpose may have no more.
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

    /// How often a purpose was refused a descriptor.
    pub fn refused(&self, purpose: Purpose) -> u64 {
        self.lock().refused[purpose.index()]
    }
}

impl Token {
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Moves the descriptor to another purpose if that one has room; otherwise returns the token unchanged.
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
