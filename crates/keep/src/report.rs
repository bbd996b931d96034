//! One page on a change: its stages, both sides side by side, and the reason of each decision.

use serde_json::Value;
use std::fmt::Write;
use std::fs;
use std::path::Path;

const WIDE: f64 = 860.0;
const HIGH: f64 = 160.0;

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Curves over the lines of a history, drawn into a box of its own scale.
fn plot(caption: &str, curves: &[(&str, &str, Vec<f64>)]) -> String {
    let most = curves.iter().flat_map(|(_, _, values)| values).copied().fold(0.0, f64::max).max(1e-9);
    let mut svg = format!(
        "<p class=small>{} (at most {most:.3})</p><svg width={WIDE} height={HIGH} xmlns=\"http://www.w3.org/2000/svg\">\
         <rect width={WIDE} height={HIGH} fill=\"#fafafa\" stroke=\"#ddd\"/>",
        escape(caption)
    );
    for (at, (name, colour, values)) in curves.iter().enumerate() {
        let last = values.len().saturating_sub(1).max(1) as f64;
        let points = values.iter().enumerate().map(|(n, value)| {
            format!("{:.1},{:.1}", n as f64 / last * WIDE, HIGH - 4.0 - value / most * (HIGH - 12.0))
        });
        let points = points.collect::<Vec<_>>().join(" ");
        let y = 14 * (at + 1);
        _ = write!(
            svg,
            "<polyline fill=none stroke=\"{colour}\" stroke-width=2 points=\"{points}\"/>\
             <text x=6 y={y} font-size=11 fill=\"{colour}\">{}</text>",
            escape(name)
        );
    }
    svg + "</svg>"
}

/// # Errors
///
/// There is no history, or a line of it can't be read.
pub fn html(record: &Path) -> Result<String, String> {
    let path = record.join("history.jsonl");
    let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let mut lines: Vec<Value> = Vec::new();
    for (at, line) in text.lines().enumerate() {
        match serde_json::from_str(line) {
            Ok(value) => lines.push(value),
            // The last one may have been cut off with its controller.
            Err(_) if at + 1 == text.lines().count() => {}
            Err(e) => return Err(format!("{}: line {}: {e}", path.display(), at + 1)),
        }
    }
    let last = lines.last().ok_or(format!("{}: nothing is in it", path.display()))?;
    let word = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    let mut page = format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{0}</title><style>body{{font:15px/1.45 sans-serif;\
         max-width:900px;margin:2em auto;padding:0 1em;color:#222}}table{{border-collapse:collapse;font-size:13px}}\
         td,th{{border:1px solid #ddd;padding:3px 8px;text-align:left}}svg{{display:block;margin:.4em 0}}\
         .small{{font-size:13px;color:#555;margin-bottom:0}}</style><h1>{0}</h1><p>Phase {1}, stage {2} of {3}. {4}</p>",
        escape(&word(&last["plan"])),
        escape(&word(&last["phase"])),
        last["stage"].as_u64().unwrap_or(0) + 1,
        last["stages"],
        escape(&word(&last["reason"])),
    );
    let count = |line: &Value, side: &str| {
        let senders = line["senders"].as_array().into_iter().flatten();
        senders.filter(|sender| sender["side"] == side && sender["serving"] == true).count() as f64
    };
    let series = |of: &dyn Fn(&Value) -> f64| lines.iter().map(of).collect::<Vec<f64>>();
    page += &plot(
        "Senders that serve",
        &[
            ("old side", "#1f5da8", series(&|line| count(line, "old"))),
            ("new side", "#c7541e", series(&|line| count(line, "new"))),
        ],
    );
    page += "<h2>Figures</h2><table><tr><th>figure</th><th>product</th><th>new less old</th><th>looks</th>\
             <th>worse: chance of an error</th><th>fine: chance of an error</th></tr>";
    // A change that went back compares nothing any more; the last comparison is what it was halted by.
    let compared =
        lines.iter().rev().find(|line| line["figures"].as_array().is_some_and(|all| !all.is_empty()));
    for figure in compared.and_then(|line| line["figures"].as_array()).into_iter().flatten() {
        let number = |name: &str| figure[name].as_f64().unwrap_or(0.0);
        _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{:+.4}</td><td>{}</td><td>{:.1e}</td><td>{:.1e}</td></tr>",
            escape(&word(&figure["figure"])),
            escape(figure["product"].as_str().unwrap_or("")),
            number("mean"),
            figure["looks"],
            number("worse"),
            number("fine")
        );
    }
    page += "</table><h2>Decisions</h2><table><tr><th>at</th><th>what</th></tr>";
    for line in &lines {
        for note in line["notes"].as_array().into_iter().flatten() {
            let at = line["at_s"].as_f64().unwrap_or(0.0);
            _ = write!(page, "<tr><td>{at:.0} s</td><td>{}</td></tr>", escape(&word(note)));
        }
    }
    page += "</table><h2>Senders</h2><table><tr><th>name</th><th>zone</th><th>stage</th><th>side</th><th>serves</th>\
             <th>version</th><th>last trouble</th></tr>";
    for sender in last["senders"].as_array().into_iter().flatten() {
        page += "<tr>";
        for field in ["name", "zone", "stage", "side", "serving", "version", "trouble"] {
            _ = write!(page, "<td>{}</td>", escape(&word(&sender[field])));
        }
        page += "</tr>";
    }
    page += "</table></html>";
    Ok(page)
}
