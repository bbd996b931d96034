//! Evidence that may be looked at after every value: a bet against a claim about a mean.
//!
//! Values lie in [-1, 1] and come in any way, also dependent on one another, as long as the claim holds for each given
//! those before it: "the mean is at most `m`". A player who bets a part of what he has on each value being above `m`
//! multiplies what he has by `1 + part * (value - m)`; under the claim that is a supermartingale, and by Ville's
//! inequality it ever exceeds `1 / a` with a chance of at most `a`, however often one looks. The part is chosen from earlier
//! values only. This follows I. Waudby-Smith and A. Ramdas, "Estimating means of bounded random variables by betting"
//! (J. R. Stat. Soc. B, 2024), section 4 and the bets of its appendix on aGRAPA; departures: one-sided, bets never below 0,
//! and never more than [`BOLD`] of what could be lost at once.

/// No bet is more than this part of the one that a single value could ruin.
const BOLD: f64 = 0.9;
/// What a player believes before the first value, as if it were one value: mean 0 and this variance.
const PRIOR: f64 = 0.05;

/// A bet against "the mean is at most `most`".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bet {
    most: f64,
    /// The logarithm of what the player has, who began with 1.
    log: f64,
    highest: f64,
    count: f64,
    sum: f64,
    squares: f64,
}

impl Bet {
    pub fn against(most: f64) -> Bet {
        Bet { most, log: 0.0, highest: 0.0, count: 1.0, sum: 0.0, squares: PRIOR }
    }

    pub fn add(&mut self, value: f64) {
        let value = value.clamp(-1.0, 1.0);
        let mean = self.sum / self.count;
        let variance = (self.squares / self.count - mean * mean).max(1e-6);
        let above = mean - self.most;
        // The part that grows what he has fastest, to the second order.
        let part = (above / (variance + above * above)).clamp(0.0, BOLD / (1.0 + self.most).max(0.05));
        self.log += (1.0 + part * (value - self.most)).ln();
        self.highest = self.highest.max(self.log);
        (self.count, self.sum, self.squares) =
            (self.count + 1.0, self.sum + value, self.squares + value * value);
    }

    /// Whether the claim is known to be wrong, with a chance of `false_alarms` that it is right all the same.
    pub fn is_won(&self, false_alarms: f64) -> bool {
        self.highest >= -false_alarms.ln()
    }

    /// The chance at which it would be known by now.
    pub fn chance(&self) -> f64 {
        (-self.highest).exp()
    }

    pub fn mean(&self) -> f64 {
        self.sum / (self.count - 1.0).max(1.0)
    }

    pub fn values(&self) -> u64 {
        (self.count - 1.0) as u64
    }
}

/// Both questions about one figure: is new worse, and is it known not to be worse by what matters.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Question {
    /// Differences beyond this count as this much. Where both sides are alike they lie as far on one side as on the other,
    /// so cutting them off favours neither; it lets bets be as bold as the differences that occur allow.
    widest: f64,
    /// Against "the mean difference is at most a quarter of what matters": a difference as small as that is no cause.
    worse: Bet,
    /// Against "the mean difference is what matters, or more".
    fine: Bet,
}

impl Question {
    /// `matters` is the difference that matters, as a mean of values; `widest` the largest that one value is to count for.
    pub fn new(matters: f64, widest: f64) -> Question {
        let worse = Bet::against(matters / 4.0 / widest);
        Question { widest, worse, fine: Bet::against(-matters / widest) }
    }

    /// Whether it is fine is asked anew, of more senders than before. Whether it is worse is one question all along: a bet
    /// may go on as long as its claim is the same.
    pub fn renew(&mut self) {
        self.fine = Bet::against(self.fine.most);
    }

    pub fn add(&mut self, difference: f64) {
        let value = difference / self.widest;
        self.worse.add(value);
        self.fine.add(-value);
    }

    pub fn is_worse(&self, false_alarms: f64) -> bool {
        self.worse.is_won(false_alarms)
    }

    pub fn is_fine(&self, missed: f64) -> bool {
        self.fine.is_won(missed)
    }

    pub fn standing(&self) -> Standing {
        Standing {
            mean: self.worse.mean() * self.widest,
            looks: self.worse.values(),
            worse: self.worse.chance(),
            fine: self.fine.chance(),
        }
    }
}

/// How a question stands: the mean difference, how many looks it rests on, and at what chances of an error it would be
/// known that new is worse, or that it isn't.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Standing {
    pub mean: f64,
    pub looks: u64,
    pub worse: f64,
    pub fine: f64,
}
