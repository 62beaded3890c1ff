//! Tables for people: heads, left-aligned columns two spaces apart, no lines.

const GAP: &str = "  ";

/// Something that is printed as one row.
pub trait Row {
    /// Heads of the columns.
    const HEADS: &'static [&'static str];

    /// The cells, as many as there are heads.
    fn cells(&self) -> Vec<String>;
}

/// The rows under their heads; every line ends with a newline.
#[must_use]
pub fn table<R: Row>(rows: &[R]) -> String {
    let heads = R::HEADS.iter().map(ToString::to_string).collect();
    let lines: Vec<Vec<String>> = std::iter::once(heads).chain(rows.iter().map(Row::cells)).collect();
    let widths: Vec<usize> = (0..R::HEADS.len()).map(|column| width(&lines, column)).collect();
    lines.iter().map(|cells| line(cells, &widths)).collect()
}

fn width(lines: &[Vec<String>], column: usize) -> usize {
    lines.iter().map(|cells| cells[column].chars().count()).max().unwrap_or(0)
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", padded.join(GAP).trim_end())
}

#[cfg(test)]
mod tests;
