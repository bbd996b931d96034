//! A seeded pseudo-random number generator (multiply-with-carry), so that runs can be repeated.

/// A pseudo-random number generator; equal seeds give equal sequences. It is not cryptographically secure.
///
/// ```
/// use indigomast::rng::Rng;
/// let (mut a, mut b) = (Rng::new(7), Rng::new(7));
/// let draws: Vec<f64> = (0..4).map(|_| a.next_f64()).collect();
/// assert!(draws.iter().all(|d| (0.0..1.0).contains(d) && *d == b.next_f64()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator from `seed`.
    pub fn new(seed: u64) -> Rng {
        // Zero and the all-ones pair are the generator's two fixed points; a carry of 1 to 2^31 avoids both.
        Rng(((seed >> 33) + 1) << 32 | (seed & 0xffff_ffff))
    }

    fn next_u32(&mut self) -> u32 {
        self.0 = (self.0 & 0xffff_ffff) * 4_294_957_665 + (self.0 >> 32);
        self.0 as u32
    }

    /// Returns a uniformly distributed number in `[0, 1)`.
    pub fn next_f64(&mut self) -> f64 {
        f64::from(self.next_u32()) / 4_294_967_296.0
    }
}
