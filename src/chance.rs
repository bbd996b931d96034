//! Chance from a seed: a multiply-with-carry generator.

/// ```
/// use indigomast::chance::Chance;
/// let (mut a, mut b) = (Chance::new(7), Chance::new(7));
/// let draws: Vec<f64> = (0..4).map(|_| a.share()).collect();
/// assert!(draws.iter().all(|d| (0.0..1.0).contains(d) && *d == b.share()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        // Zero and the all-ones pair are the generator's two fixed points; a carry of 1 to 2^31 avoids both.
        Chance(((seed >> 33) + 1) << 32 | (seed & 0xffff_ffff))
    }

    fn draw(&mut self) -> u32 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        self.0 as u32
    }

    /// A number from 0 up to but not including 1.
    pub fn share(&mut self) -> f64 {
        f64::from(self.draw()) / 4_294_967_296.0
    }
}
