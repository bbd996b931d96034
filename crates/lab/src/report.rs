//! One page for people: service over time, each gateway's load against its capacity, latency, breaches.
//!
//! The page is a single file: plots are SVG drawn here and written into it, nothing is loaded from elsewhere.

use crate::compare::Spread;
use crate::outcome::{Outcome, Runs};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const WIDE: u32 = 860;
const HIGH: u32 = 220;
const COLOURS: [RGBColor; 5] = [
    RGBColor(31, 93, 168),
    RGBColor(199, 84, 30),
    RGBColor(45, 130, 70),
    RGBColor(140, 70, 150),
    RGBColor(120, 120, 120),
];
/// Gateways drawn for a run, busiest first.
const DRAWN: usize = 6;

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

/// Curves over seconds, and moments to be marked.
fn plot(
    caption: &str,
    unit: &str,
    curves: &[(String, Vec<f64>)],
    marks: &[f64],
    top: Option<f64>,
) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDE, HIGH)).into_drawing_area();
        area.fill(&WHITE).map_err(|e| e.to_string())?;
        let seconds = curves.iter().map(|(_, values)| values.len()).max().unwrap_or(1).max(2) as f64;
        let most = curves.iter().flat_map(|(_, values)| values).copied().fold(0.0, f64::max);
        let top = top.unwrap_or(if most > 0.0 { most * 1.1 } else { 1.0 });
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(26)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..seconds - 1.0, 0.0..top)
            .map_err(|e| e.to_string())?;
        chart
            .configure_mesh()
            .x_desc("seconds")
            .y_desc(unit)
            .light_line_style(RGBColor(240, 240, 240))
            .label_style(("sans-serif", 11))
            .draw()
            .map_err(|e| e.to_string())?;
        for at in marks {
            let line = vec![(*at, 0.0), (*at, top)];
            let style = RGBColor(200, 30, 30).stroke_width(1);
            chart.draw_series(LineSeries::new(line, style)).map_err(|e| e.to_string())?;
        }
        for (n, (name, values)) in curves.iter().enumerate() {
            let colour = COLOURS[n % COLOURS.len()];
            let points = values.iter().enumerate().map(|(second, value)| (second as f64, value.min(top)));
            chart
                .draw_series(LineSeries::new(points, colour.stroke_width(2)))
                .map_err(|e| e.to_string())?
                .label(name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        if curves.len() > 1 {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.85))
                .border_style(RGBColor(200, 200, 200))
                .label_font(("sans-serif", 11))
                .position(SeriesLabelPosition::UpperRight)
                .draw()
                .map_err(|e| e.to_string())?;
        }
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

fn service(run: &Outcome) -> Vec<f64> {
    // Over three seconds, as single ones hold few texts.
    let sum =
        |list: &[f64], at: usize| list[at.saturating_sub(1)..(at + 2).min(list.len())].iter().sum::<f64>();
    let series = &run.series;
    (0..series.asked.len())
        .map(|at| {
            let asked = sum(&series.asked, at);
            if asked > 0.0 { sum(&series.delivered, at) / asked } else { 1.0 }
        })
        .collect()
}

/// Numbers in a table with the digits that matter.
fn cell(spread: Spread) -> String {
    if spread.half.is_finite() {
        format!("{:.3} &plusmn; {:.3}", spread.mean, spread.half)
    } else {
        format!("{:.3}", spread.mean)
    }
}

/// A bar for each fault over the seconds of the run, as wide as the plots.
fn time_line(run: &Outcome) -> String {
    const ROW: f64 = 20.0;
    let (left, right) = (52.0, f64::from(WIDE) - 8.0);
    let last = run.faults.iter().map(|fault| fault.at_s + fault.for_s);
    let seconds = last.fold(run.series.asked.len().saturating_sub(1).max(1) as f64, f64::max);
    let x = |at: f64| left + (right - left) * at / seconds;
    let high = ROW * run.faults.len() as f64 + 6.0;
    let mut svg = format!("<svg width={WIDE} height={high} xmlns=\"http://www.w3.org/2000/svg\">");
    for (row, fault) in run.faults.iter().enumerate() {
        let (from, to) = (x(fault.at_s), x(fault.at_s + fault.for_s));
        let (top, wide) = (row as f64 * ROW + 3.0, (to - from).max(2.0));
        let text = if from < right * 0.6 { (to + 4.0, "start") } else { (from - 4.0, "end") };
        _ = write!(
            svg,
            "<rect x={from:.1} y={top:.1} width={wide:.1} height=14 fill=\"#c7541e\"/>\
             <text x={:.1} y={:.1} font-size=11 text-anchor={}>{row}: {}</text>",
            text.0,
            top + 11.0,
            text.1,
            escape(&fault.to_string())
        );
    }
    svg + "</svg><p class=small>Faults between and under processes, over the same seconds.</p>"
}

fn one_run(page: &mut String, run: &Outcome) -> Result<(), String> {
    let w = |page: &mut String, text: String| page.push_str(&text);
    w(
        page,
        format!(
            "<section><h2>{} &middot; {} &middot; {} &middot; seed {}</h2>",
            escape(&run.scenario),
            escape(&run.policy),
            escape(&run.stage),
            run.seed
        ),
    );
    if !run.is_valid() {
        w(page, "<p class=bad>The rig itself ran late: this run says nothing of the sender.</p>".into());
    }
    let latency = run.latency_ms;
    let ends: Vec<String> =
        run.ends.iter().map(|(name, count)| format!("{count} {}", escape(name))).collect();
    w(
        page,
        format!(
            "<table><tr><th>service</th><th>worst 10 s</th><th>texts</th><th>ends</th><th>calls a delivery</th>\
         <th>p50</th><th>p90</th><th>p99</th><th>p99.9</th><th>most</th></tr>\
         <tr><td>{:.3}</td><td>{:.3}</td><td>{}</td><td>{}</td><td>{:.2}</td>\
         <td>{:.0} ms</td><td>{:.0} ms</td><td>{:.0} ms</td><td>{:.0} ms</td><td>{:.0} ms</td></tr></table>",
            run.service,
            run.worst_10s,
            run.asked,
            ends.join(", "),
            run.calls_a_delivery,
            latency.p50,
            latency.p90,
            latency.p99,
            latency.p999,
            latency.most
        ),
    );
    let marks: Vec<f64> = run.breaches.iter().map(|breach| breach.at_ms / 1000.0).collect();
    let curve = vec![("service".to_owned(), service(run))];
    w(
        page,
        plot("Service by when texts were asked for; red: a broken rule", "part", &curve, &marks, Some(1.05))?,
    );
    if !run.faults.is_empty() {
        w(page, time_line(run));
    }
    let totals = [("asked", &run.series.asked), ("delivered", &run.series.delivered)];
    let curves: Vec<_> =
        totals.iter().map(|(name, values)| ((*name).to_owned(), (*values).clone())).collect();
    w(page, plot("Revenue asked for, and what of it was delivered", "a second", &curves, &[], None)?);
    let mut busiest: Vec<_> = run.gateways.iter().collect();
    busiest.sort_by_key(|gateway| std::cmp::Reverse(gateway.calls));
    for gateway in busiest.iter().take(DRAWN) {
        let at = gateway.destination;
        let curves: Vec<_> = [
            ("calls in flight", &run.series.in_flight),
            ("queued", &run.series.queued),
            ("capacity (calls a second)", &run.series.capacity),
            ("windows, all senders", &run.series.window),
        ]
        .iter()
        .filter_map(|(name, series)| Some(((*name).to_owned(), series.get(&at)?.clone())))
        .collect();
        let falls: Vec<f64> =
            run.falls.iter().filter(|fall| fall.destination == at).map(|fall| fall.at_ms / 1000.0).collect();
        w(page, plot(&format!("Gateway {at}"), "calls", &curves, &falls, None)?);
        w(
            page,
            format!(
                "<p class=small>{} calls: {} ran, {} turned away, {} errors, {} without an answer; {} connections</p>",
                gateway.calls,
                gateway.ran,
                gateway.refused,
                gateway.errors,
                gateway.unanswered,
                gateway.links
            ),
        );
    }
    for fall in &run.falls {
        w(
            page,
            format!(
                "<p class=bad>Gateway {} was pushed over at {:.1} s: {:.0} calls where {:.0} could be borne, {:.0}% of them \
             from senders that had seen its outage.</p>",
                fall.destination,
                fall.at_ms / 1000.0,
                fall.load,
                fall.bearable,
                fall.from_warned * 100.0
            ),
        );
    }
    if run.breach_counts.is_empty() {
        w(page, "<p class=good>No rule was broken.</p>".into());
    } else {
        w(page, "<table><tr><th>rule</th><th>at</th><th>of</th><th>evidence</th></tr>".into());
        for breach in run.breaches.iter().take(50) {
            w(
                page,
                format!(
                    "<tr><td>{}</td><td>{:.2} s</td><td>{}</td><td>{}</td></tr>",
                    escape(&crate::outcome::rule_name(breach.rule)),
                    breach.at_ms / 1000.0,
                    escape(&breach.of),
                    escape(&breach.evidence)
                ),
            );
        }
        w(page, format!("</table><p class=bad>{} in all.</p>", run.breach_count()));
    }
    w(page, "</section>".into());
    Ok(())
}

/// Runs drawn one by one at the most; the table has them all.
const SHOWN: usize = 12;

pub fn html(runs: &Runs) -> Result<String, String> {
    let mut page = String::from(
        "<!doctype html><html lang=en><meta charset=utf-8><title>indigomast lab</title><style>\
         body{font:15px/1.45 sans-serif;max-width:900px;margin:2em auto;padding:0 1em;color:#222}\
         table{border-collapse:collapse;margin:.6em 0;font-size:13px}td,th{border:1px solid #ddd;padding:3px 8px;\
         text-align:left;vertical-align:top}th{background:#f4f4f4}svg{display:block;margin:.6em 0;max-width:100%}\
         section{border-top:2px solid #ccc;margin-top:2em}.bad{color:#b01818}.good{color:#1f7a3a}\
         .small{font-size:13px;color:#555;margin-top:0}</style><h1>indigomast lab</h1>",
    );
    let mut by: BTreeMap<(&str, &str, &str), Vec<&Outcome>> = BTreeMap::new();
    for run in &runs.runs {
        by.entry((&run.scenario, &run.stage, &run.policy)).or_default().push(run);
    }
    page.push_str(
        "<table><tr><th>scenario</th><th>stage</th><th>policy</th><th>runs</th><th>service</th><th>worst 10 s</th>\
         <th>calls a delivery</th><th>gateways pushed over</th><th>broken rules</th></tr>",
    );
    for ((scenario, stage, policy), list) in &by {
        let spread = |of: &dyn Fn(&Outcome) -> f64| {
            let valid: Vec<f64> = list.iter().filter(|run| run.is_valid()).map(|run| of(run)).collect();
            cell(Spread::of(&valid))
        };
        let falls: usize = list.iter().map(|run| run.falls.len()).sum();
        let breaches: u64 = list.iter().map(|run| run.breach_count()).sum();
        write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{falls}</td>\
             <td>{breaches}</td></tr>",
            escape(scenario), escape(stage), escape(policy), list.len(),
            spread(&|run| run.service), spread(&|run| run.worst_10s), spread(&|run| run.calls_a_delivery)
        )
        .map_err(|e| e.to_string())?;
    }
    page.push_str(
        "</table><p class=small>Mean and half width of the 95% interval over seeds. Gateways are models.</p>",
    );
    for run in runs.runs.iter().take(SHOWN) {
        one_run(&mut page, run)?;
    }
    if runs.runs.len() > SHOWN {
        let more = runs.runs.len() - SHOWN;
        write!(page, "<p class=small>{more} further runs are in the table only.</p>")
            .map_err(|e| e.to_string())?;
    }
    page.push_str("</html>");
    Ok(page)
}
