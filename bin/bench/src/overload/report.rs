//! Prints the figures as tables.

use super::stats::SimulationFigures;

/// A row of a table.
pub(crate) struct ReportRow {
    pub(crate) scenario: &'static str,
    pub(crate) control: &'static str,
    pub(crate) figures: SimulationFigures,
}

/// Prints `rows` as a Markdown table under the name of their deployment.
pub(crate) fn print_table(deployment: &str, rows: &[ReportRow]) {
    println!("## {deployment}\n");
    println!(
        "| scenario | control | goodput % | deep % | critical % | normal % | background % | wasted % | runs max | retries max | runs per need | recovery s |"
    );
    println!("|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|");
    for row in rows {
        println!("{}", format_row(row));
    }
    println!();
}

fn format_row(row: &ReportRow) -> String {
    let ReportRow {
        scenario,
        control,
        figures,
    } = row;
    let [critical, normal, background] = figures.answered.map(|share| share * 100.0);
    let recovery = figures.recovery.map_or("never".to_owned(), |span| {
        format!("{:.1}", span.as_secs_f64())
    });
    format!(
        "| {scenario} | {control} | {:.1} | {:.1} | {critical:.2} | {normal:.1} | {background:.1} | {:.1} | {} | {} | {:.2} | {recovery} |",
        figures.goodput * 100.0,
        figures.deep_goodput * 100.0,
        figures.wasted * 100.0,
        figures.runs_max,
        figures.retries_max,
        figures.amplification,
    )
}
