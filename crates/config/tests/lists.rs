//! A thousand files, partial, invalid and valid, in random order and by every way of writing: what is put into use is
//! always one of the lists that were meant, whole, and whatever is refused is told once.

use indigomast::time::{Moment, Span};
use indigomast_config::files::Place;
use indigomast_config::gateways::{Gateway, Vocabulary, read_list, seal};
use indigomast_config::lists::{Files, InForce, Said, Settings};
use std::fs::{self, File, OpenOptions};
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % sides
    }
}

fn words() -> Vocabulary {
    Vocabulary { kinds: vec!["office".into()], zones: vec!["a".into(), "b".into()], most: 1000 }
}

fn settings(most_taken_away: f64) -> Settings {
    Settings { words: words(), settle: Span::millis(100), most_taken_away }
}

fn folder(name: &str) -> PathBuf {
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("lists-{name}-{}", std::process::id()));
    _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

/// A list of some gateways, each with a weight of its own, so that no two lists are alike.
fn list(dice: &mut Dice, turn: u64) -> String {
    let count = 2 + dice.roll(9);
    let gateway = |at: u64| {
        let drained = if at > 0 && (turn + at).is_multiple_of(5) { "state = \"drained\"\n" } else { "" };
        format!(
            "[[gateways]]\nname = \"g{at}\"\naddress = \"127.0.0.1:{}\"\ndestination = {}\nzone = \"{}\"\n{drained}weight = {}.5\n\n",
            10_000 + at,
            at % 3,
            if at.is_multiple_of(2) { "a" } else { "b" },
            turn * 10 + at
        )
    };
    seal(&(0..count).map(gateway).collect::<String>())
}

fn spoil(dice: &mut Dice, good: &str) -> String {
    let whole = |text: String| seal(&text);
    match dice.roll(9) {
        0 => good[..good.len() / 2].to_owned(),
        1 => good[..good.len() - 16 - dice.roll(40) as usize].to_owned(),
        2 => whole(good.replace("weight", "wieght")),
        3 => whole(good.replacen("name = \"g1\"", "name = \"g0\"", 1)),
        4 => whole(good.replacen(":10001", ":10000", 1)),
        5 => whole(good.replace(".5\n", "\n").replace("weight = ", "weight = 0 # ")),
        6 => whole(good.replacen("zone = \"a\"", "zone = \"nowhere\"", 1)),
        7 => whole("# nobody\n".into()),
        _ => good.replacen("destination = 0", "destination = 1", 1),
    }
}

struct Stage {
    in_force: InForce,
    place: Place,
    now: Moment,
    meant: Vec<Vec<Gateway>>,
    swaps: usize,
    rejected: usize,
}

impl Stage {
    /// Time passes, with looks in between; what was said in all.
    fn look(&mut self, millis: i64) -> Vec<Said> {
        let mut said = Vec::new();
        for _ in 0..millis / 25 {
            self.now += Span::millis(25);
            for what in self.in_force.seen(self.now, &self.place.look()) {
                match &what {
                    Said::Swap(list) => {
                        assert!(self.meant.contains(list), "a list that nobody meant: {list:?}");
                        self.swaps += 1;
                    }
                    Said::Rejected(complaints) => {
                        assert!(!complaints.is_empty());
                        self.rejected += 1;
                    }
                    Said::Held { .. } | Said::LookAgain(_) => {}
                }
                assert!(self.meant.iter().any(|list| list == self.in_force.running()));
                said.push(what);
            }
        }
        said
    }

    /// Writes in parts of its own, each seen for a while before the next.
    fn in_parts(&mut self, dice: &mut Dice, file: &mut File, text: &str) {
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let (part, more) = rest.split_at((1 + dice.roll(200) as usize).min(rest.len()));
            file.write_all(part).expect("writable");
            rest = more;
            let long = if dice.roll(4) == 0 { 150 } else { 25 };
            self.look(long);
        }
    }

    fn write(&mut self, dice: &mut Dice, path: &Path, text: &str) {
        let beside = path.with_extension("new");
        match dice.roll(6) {
            0 => {
                fs::write(&beside, text).expect("writable");
                self.look(50);
                fs::rename(&beside, path).expect("renamed");
            }
            1 => fs::write(path, text).expect("writable"),
            2 => {
                let mut file = File::create(path).expect("writable");
                self.look(25);
                self.in_parts(dice, &mut file, text);
            }
            3 => {
                // Over what is there, from its beginning on, and cut off at the end.
                let mut file =
                    OpenOptions::new().write(true).create(true).truncate(false).open(path).expect("writable");
                file.seek(SeekFrom::Start(0)).expect("there");
                self.in_parts(dice, &mut file, text);
                file.set_len(text.len() as u64).expect("cut");
            }
            4 => {
                // A link that is swapped.
                let target = path.with_extension(format!("v{}", self.swaps + self.rejected));
                fs::write(&target, text).expect("writable");
                _ = fs::remove_file(&beside);
                std::os::unix::fs::symlink(&target, &beside).expect("linked");
                fs::rename(&beside, path).expect("renamed");
            }
            _ => {
                _ = fs::remove_file(path);
                self.look(25);
                fs::write(path, text).expect("writable");
            }
        }
    }
}

#[test]
fn of_a_thousand_files_only_whole_and_checked_ones_are_put_into_use() {
    let folder = folder("thousand");
    let path = folder.join("gateways.toml");
    let mut dice = Dice(11);
    let first = list(&mut dice, 0);
    fs::write(&path, &first).expect("writable");
    let place = Place { path: path.clone(), most_bytes: 1 << 20 };
    let in_force = InForce::begin(settings(1.0), &place.look()).expect("sound");
    let meant = vec![in_force.running().to_vec()];
    let mut stage = Stage { in_force, place, now: Moment::from_millis(0.0), meant, swaps: 0, rejected: 0 };
    let mut last = first;
    let (mut valid, mut invalid) = (0, 0);
    for turn in 1..=1000 {
        let good = list(&mut dice, turn);
        if dice.roll(2) == 0 {
            let list = read_list("", &good, &words()).expect("sound");
            stage.meant.push(list.clone());
            stage.write(&mut dice, &path, &good);
            stage.look(200);
            assert_eq!(stage.in_force.running(), list, "turn {turn}");
            valid += 1;
            last = good;
        } else {
            let bad = spoil(&mut dice, &good);
            // Written over in place, a bad one may pass through the good one that it was made of, whole by its sum.
            stage.meant.push(read_list("", &good, &words()).expect("sound"));
            let before = stage.in_force.running().to_vec();
            stage.write(&mut dice, &path, &bad);
            stage.look(200);
            // Settled, it has been told; looked at for long it is not told again.
            let (rejected, swaps) = (stage.rejected, stage.swaps);
            assert!(rejected > 0);
            assert_eq!(stage.look(1000), [], "turn {turn}: told again");
            assert_eq!((stage.rejected, stage.swaps), (rejected, swaps));
            assert_eq!(stage.in_force.running(), before, "turn {turn}: {bad}");
            invalid += 1;
        }
    }
    assert!(valid > 400 && invalid > 400 && stage.swaps >= valid && stage.rejected >= invalid);
    // The one that is in force comes back after a bad one: nothing changes, and no more is said than that it is there.
    fs::write(&path, "rubbish").expect("writable");
    assert_eq!(stage.look(200).iter().filter(|said| matches!(said, Said::Rejected(_))).count(), 1);
    fs::write(&path, &last).expect("writable");
    stage.look(200);
    assert!(stage.meant.last().is_some_and(|list| list == stage.in_force.running()));
    _ = fs::remove_dir_all(folder);
}

#[test]
fn files_of_a_folder_are_one_list() {
    let folder = folder("fragments");
    let part = |name: &str| {
        let port = 20_000 + name.bytes().map(u64::from).sum::<u64>();
        seal(&format!("[[gateways]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\ndestination = 1\n"))
    };
    for name in ["a", "b", "c", "d"] {
        fs::write(folder.join(format!("{name}.toml")), part(name)).expect("writable");
    }
    fs::write(folder.join(".a.toml.swp"), "an editor's").expect("writable");
    fs::write(folder.join("notes.txt"), "somebody's").expect("writable");
    let place = Place { path: folder.clone(), most_bytes: 1 << 20 };
    let mut in_force = InForce::begin(settings(0.5), &place.look()).expect("sound");
    let names = |list: &[Gateway]| list.iter().map(|gateway| gateway.name.clone()).collect::<String>();
    assert_eq!(names(in_force.running()), "abcd");
    let mut now = Moment::from_millis(0.0);
    let mut settled = |in_force: &mut InForce| {
        in_force.seen(now, &place.look());
        now += Span::millis(150);
        in_force.seen(now, &place.look())
    };
    // One that is bad keeps all as they are, the good change beside it too.
    fs::write(folder.join("a.toml"), part("a").replace("destination = 1", "destination = 2"))
        .expect("writable");
    fs::write(folder.join("e.toml"), part("e")).expect("writable");
    assert!(matches!(&settled(&mut in_force)[..], [Said::Rejected(_)]));
    fs::write(folder.join("a.toml"), part("a")).expect("writable");
    settled(&mut in_force);
    assert_eq!(names(in_force.running()), "abcde");
    // The same one in two files.
    fs::write(folder.join("f.toml"), part("b")).expect("writable");
    let said = settled(&mut in_force);
    assert!(
        matches!(&said[..], [Said::Rejected(told)] if told[0].to_string().contains("stands in")),
        "{said:?}"
    );
    fs::remove_file(folder.join("f.toml")).expect("there");
    // What can't be read is not taken for empty.
    fs::write(folder.join("b.toml"), [0xff, 0xfe]).expect("writable");
    let said = settled(&mut in_force);
    assert!(
        matches!(&said[..], [Said::Rejected(told)] if told[0].to_string().contains("no UTF-8")),
        "{said:?}"
    );
    fs::write(folder.join("b.toml"), part("b")).expect("writable");
    settled(&mut in_force);
    // Three of five at once are held back until confirmed, and forgotten when they come back.
    for name in ["a", "b", "c"] {
        fs::remove_file(folder.join(format!("{name}.toml"))).expect("there");
    }
    assert_eq!(settled(&mut in_force), [Said::Held { gone: 3, of: 5 }]);
    assert_eq!(settled(&mut in_force), []);
    assert_eq!(names(in_force.running()), "abcde");
    fs::write(folder.join("b.toml"), part("b")).expect("writable");
    assert!(matches!(&settled(&mut in_force)[..], [Said::Swap(list)] if names(list) == "bde"));
    assert_eq!(in_force.confirmed(), None);
    for name in ["b", "d"] {
        fs::remove_file(folder.join(format!("{name}.toml"))).expect("there");
    }
    assert_eq!(settled(&mut in_force), [Said::Held { gone: 2, of: 3 }]);
    assert!(matches!(in_force.confirmed(), Some(Said::Swap(list)) if names(&list) == "e"));
    // The folder itself, gone.
    fs::remove_dir_all(&folder).expect("there");
    assert!(matches!(&settled(&mut in_force)[..], [Said::Rejected(_)]));
    assert_eq!(names(in_force.running()), "e");
}

#[test]
fn a_drain_is_no_removal_but_counts_as_one_for_the_guard() {
    let text = |drained: &str| {
        let gateway = |at: usize| {
            let state = if drained.contains(&at.to_string()) { "drained" } else { "running" };
            format!(
                "[[gateways]]\nname = \"g{at}\"\naddress = \"127.0.0.1:{}\"\ndestination = 1\nstate = \"{state}\"\n",
                9000 + at
            )
        };
        seal(&(0..4).map(gateway).collect::<String>())
    };
    let files = |drained: &str| Files::from([("f".to_owned(), Ok(text(drained)))]);
    let mut in_force = InForce::begin(settings(0.5), &files("")).expect("sound");
    let at = |millis| Moment::from_millis(f64::from(millis));
    assert_eq!(in_force.seen(at(0), &files("01")), [Said::LookAgain(at(100))]);
    let said = in_force.seen(at(100), &files("01"));
    assert!(
        matches!(&said[..], [Said::Swap(list)] if list.len() == 4 && list[0].drained && !list[2].drained)
    );
    // Of the two that run both would go.
    in_force.seen(at(200), &files("0123"));
    assert_eq!(in_force.seen(at(300), &files("0123")), [Said::Held { gone: 2, of: 2 }]);
    // A change within the time to settle starts that time anew.
    in_force.seen(at(400), &files("0"));
    assert_eq!(in_force.seen(at(450), &files("1")), [Said::LookAgain(at(550))]);
    assert_eq!(in_force.seen(at(520), &files("1")), [Said::LookAgain(at(550))]);
    assert!(matches!(&in_force.seen(at(550), &files("1"))[..], [Said::Swap(_)]));
}

/// Guards against work that grows with the square of a list: each place was once counted from the file's beginning.
#[test]
fn ten_thousand_gateways_cost_ten_times_a_thousand() {
    let words = Vocabulary { most: 10_000, ..words() };
    let text = |count: usize| {
        let gateway = |at: usize| {
            let (third, fourth) = (at / 250, at % 250 + 1);
            format!(
                "[[gateways]]\nname = \"g{at}\"\naddress = \"127.0.{third}.{fourth}:9\"\ndestination = 1\n"
            )
        };
        seal(&(0..count).map(gateway).collect::<String>())
    };
    let least = |count: usize| {
        let text = text(count);
        let time = || {
            let began = Instant::now();
            assert_eq!(read_list("", &text, &words).map(|list| list.len()), Ok(count));
            began.elapsed()
        };
        (0..5).map(|_| time()).min().expect("five")
    };
    let (thousand, ten) = (least(1_000), least(10_000));
    // The square would be a hundred times.
    assert!(ten < 40 * thousand, "{thousand:?} and {ten:?}");
}
