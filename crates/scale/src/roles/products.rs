//! What settings and counters cost by the number of products, which is all that they grow with besides the list.

use crate::hollow::{Hollow, settings};
use crate::meter::Meter;
use crate::target;
use crate::{About, Reading, Role};
use indigomast::api::Event;
use indigomast_sender::config::Site;
use indigomast_sender::figures::Figures;
use indigomast_sender::product_table::ProductTable;
use indigomast_site::{BootInfo, parse_json};

pub struct Products;

impl Role for Products {
    fn about(&self) -> About {
        About {
            name: "settings",
            unit: "products",
            range: (3.0, 1000.0),
            goal: 1000.0,
            assumes: &[
                "the operators don't say how many products there are: 1,000 is an assumption, and the most terms that a sender keeps \
           apart are 1,024",
            ],
        }
    }

    fn needs(&self, size: f64) -> f64 {
        size * 100_000.0
    }

    fn measure(&self, size: f64, seed: u64, meter: &Meter) -> Result<Vec<Reading>, String> {
        let text = settings(target::SENDERS as usize, 0, size as usize).to_string();
        let before = meter.mark();
        let info: BootInfo = parse_json(&text)?;
        let site = Site::of(info)?;
        let mut table = ProductTable::default();
        table.add_from(&site.info);
        let taken = meter.micros_since(before);
        let bytes = meter.bytes_since(before);
        let mut hollow = Hollow::new(site.info.decode(), seed);
        let start = meter.mark();
        hollow.step(vec![Event::Settings(site.info.decode())]);
        let put = meter.micros_since(start);

        let before = meter.mark();
        let figures = Figures::default();
        for at in 0..site.products.len() {
            figures.product(site.products.name(at)).delivered(40.0);
        }
        let counters = meter.bytes_since(before);
        let start = meter.mark();
        let lines = figures.lines();
        let read = meter.micros_since(start);
        Ok(vec![
            Reading::count("settings bytes", text.len() as f64),
            Reading::count("counters read, bytes", lines.len() as f64),
            Reading::heap("settings' memory", bytes),
            Reading::heap("counters' memory", counters),
            Reading::micros("settings read, with terms", taken),
            Reading::micros("settings put in force", put),
            Reading::micros("counters read", read),
        ])
    }
}
