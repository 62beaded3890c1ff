//! Plain-text tables with a header line and left-aligned columns.

const COLUMN_SEPARATOR: &str = "  ";

/// A type that is printed as one table row.
pub trait Row {
    /// Column headers.
    const HEADERS: &'static [&'static str];

    /// Returns one cell for each header.
    fn cells(&self) -> Vec<String>;
}

/// Formats a header line and the rows; every line ends with a newline.
#[must_use]
pub fn table<R: Row>(rows: &[R]) -> String {
    let headers = R::HEADERS.iter().map(ToString::to_string).collect();
    let lines: Vec<Vec<String>> = std::iter::once(headers).chain(rows.iter().map(Row::cells)).collect();
    let widths: Vec<usize> = (0..R::HEADERS.len()).map(|column| column_width(&lines, column)).collect();
    lines.iter().map(|cells| format_line(cells, &widths)).collect()
}

fn column_width(lines: &[Vec<String>], column: usize) -> usize {
    lines.iter().map(|cells| cells[column].chars().count()).max().unwrap_or(0)
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> =
        cells.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
    format!("{}\n", padded.join(COLUMN_SEPARATOR).trim_end())
}

#[cfg(test)]
mod tests;
