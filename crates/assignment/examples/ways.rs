//! Ways to say which sender has which shard, side by side at the size to design for: how uneven they are, and what moves when
//! senders go. One owner a shard; the last way is this crate's own.
//!
//!     cargo run --release -p indigomast-assignment --example ways

use indigomast::time::{Moment, Span};
use indigomast_assignment::catalog::Settings;
use indigomast_assignment::placement::{Place, Placement};
use std::collections::HashSet;
use std::time::Instant;

const SENDERS: u32 = 16_000;
const SHARDS: u32 = 1 << 17;
const ZONES: u32 = 10;

/// Whoever is here, to the sender of each shard.
type Way = fn(&[u32]) -> Vec<u32>;

fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn modulo(here: &[u32]) -> Vec<u32> {
    (0..SHARDS).map(|shard| here[(mix(u64::from(shard)) % here.len() as u64) as usize]).collect()
}

/// Thaler and Ravishankar.
fn rendezvous(here: &[u32]) -> Vec<u32> {
    let score = |shard: u32, sender: u32| mix(u64::from(shard) << 32 | u64::from(sender));
    let best = |shard| here.iter().copied().max_by_key(|sender| score(shard, *sender)).expect("some");
    (0..SHARDS).map(best).collect()
}

/// Lamping and Veach; who goes is replaced by the last, since only the last can go.
fn jump(here: &[u32]) -> Vec<u32> {
    let mut buckets: Vec<Option<u32>> = vec![None; SENDERS as usize];
    here.iter().for_each(|sender| buckets[*sender as usize] = Some(*sender));
    let (mut at, mut last) = (0, buckets.len());
    while at < last {
        if buckets[at].is_none() {
            last -= 1;
            buckets[at] = buckets[last].take();
            continue;
        }
        at += 1;
    }
    let find = |shard: u32| {
        let (mut key, mut bucket, mut next) = (mix(u64::from(shard)), 0i64, 0i64);
        while next < here.len() as i64 {
            bucket = next;
            key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
            next = ((bucket + 1) as f64 * ((1i64 << 31) as f64 / ((key >> 33) + 1) as f64)) as i64;
        }
        buckets[bucket as usize].expect("within")
    };
    (0..SHARDS).map(find).collect()
}

/// Eisenbud and others; the table's places are the shards.
fn maglev(here: &[u32]) -> Vec<u32> {
    let size = u64::from(SHARDS) - 1; // 131,071 is a prime.
    let mut table = vec![None; SHARDS as usize];
    let mut next: Vec<u64> = vec![0; here.len()];
    let mut filled = 0;
    'all: loop {
        for (at, sender) in here.iter().enumerate() {
            let (offset, skip) = (mix(u64::from(*sender)) % size, mix(!u64::from(*sender)) % (size - 1) + 1);
            loop {
                let place = ((offset + next[at] * skip) % size) as usize;
                next[at] += 1;
                if table[place].is_none() {
                    table[place] = Some(*sender);
                    filled += 1;
                    break;
                }
            }
            if filled == size {
                break 'all;
            }
        }
    }
    table[SHARDS as usize - 1] = Some(here[0]);
    table.into_iter().map(|sender| sender.expect("filled")).collect()
}

fn report(
    way: &str,
    took: f64,
    all: &[u32],
    gone: &[(&str, Vec<u32>)],
    without: impl Fn(&[u32]) -> Vec<u32>,
) {
    let mut counts = vec![0u32; SENDERS as usize];
    all.iter().for_each(|sender| counts[*sender as usize] += 1);
    let most = f64::from(*counts.iter().max().expect("some")) * f64::from(SENDERS) / f64::from(SHARDS);
    print!("{way:<22} {took:>7.3} s  most/mean {most:.2} ");
    for (what, gone) in gone {
        let after = without(gone);
        let least = all.iter().filter(|sender| gone.contains(sender)).count();
        let moved = all.iter().zip(&after).filter(|(before, after)| before != after).count();
        print!("  {what}: {moved} moved, least {least}");
    }
    println!();
}

fn main() {
    let gone = [
        ("one", vec![7]),
        ("rack", (0..40).map(|n| n * ZONES).collect::<Vec<u32>>()),
        ("zone", (0..SENDERS / ZONES).map(|n| n * ZONES + 3).collect()),
    ];
    let everybody: Vec<u32> = (0..SENDERS).collect();
    let ways: [(&str, Way); 4] =
        [("modulo", modulo), ("rendezvous", rendezvous), ("jump", jump), ("maglev", maglev)];
    for (name, way) in ways {
        let began = Instant::now();
        let all = way(&everybody);
        report(name, began.elapsed().as_secs_f64(), &all, &gone, |gone| {
            let gone: HashSet<u32> = gone.iter().copied().collect();
            let here: Vec<u32> = everybody.iter().copied().filter(|sender| !gone.contains(sender)).collect();
            way(&here)
        });
    }
    let began = Instant::now();
    let settings = Settings { owners: 1, shards: SHARDS, ..Settings::default() };
    let mut placement = Placement::new(&settings);
    let now = Moment::from_millis(0.0);
    (0..SHARDS).for_each(|shard| placement.load(shard, [1, 1]));
    for sender in 0..SENDERS {
        let zone = (sender % ZONES) as u16;
        placement.member(now, sender, Some(Place { region: zone / 2, zone }));
    }
    let mut all = vec![0; SHARDS as usize];
    for (shard, owners) in placement.step(now, 0) {
        all[shard as usize] = owners.list()[0];
    }
    let took = began.elapsed().as_secs_f64();
    report("bounded, with memory", took, &all, &gone, |gone| {
        let (mut placement, mut after) = (placement.clone(), all.clone());
        gone.iter().for_each(|sender| placement.member(now, *sender, None));
        for (shard, owners) in placement.step(now + Span::millis(31_000), usize::MAX) {
            after[shard as usize] = owners.list()[0];
        }
        after
    });
}
