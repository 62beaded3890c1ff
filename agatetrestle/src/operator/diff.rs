//! Line diff that shows an operator how a document differs from the one in force.

/// Longer texts are not compared line by line, since the table grows with the product of their lengths.
pub const MAX_DIFF_LINES: usize = 1_000;

/// Returns the lines removed (`-`) from `old` and added (`+`) in `new`, in order.
///
/// Common lines are left out. If the differing part of a text exceeds [`MAX_DIFF_LINES`], it is reported as removed and
/// added as a whole, which bounds time and memory.
#[must_use]
pub fn line_diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let prefix = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[prefix..], &new[prefix..]);
    let suffix = old.iter().rev().zip(new.iter().rev()).take_while(|(a, b)| a == b).count();
    let (old, new) = (&old[..old.len() - suffix], &new[..new.len() - suffix]);
    if old.len() > MAX_DIFF_LINES || new.len() > MAX_DIFF_LINES {
        return replacement(old, new);
    }
    edit_script(old, new, &common_lengths(old, new))
}

fn replacement(old: &[&str], new: &[&str]) -> String {
    let mut out = String::new();
    push_all(&mut out, '-', old);
    push_all(&mut out, '+', new);
    out
}

/// Lengths of the longest common subsequence of each pair of suffixes, in row-major order.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<u32> {
    let width = new.len() + 1;
    let mut lengths = vec![0; (old.len() + 1) * width];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i * width + j] = if old[i] == new[j] {
                lengths[(i + 1) * width + j + 1] + 1
            } else {
                lengths[(i + 1) * width + j].max(lengths[i * width + j + 1])
            };
        }
    }
    lengths
}

fn edit_script(old: &[&str], new: &[&str], lengths: &[u32]) -> String {
    let width = new.len() + 1;
    let mut out = String::new();
    let (mut i, mut j) = (0, 0);
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            (i, j) = (i + 1, j + 1);
        } else if lengths[(i + 1) * width + j] >= lengths[i * width + j + 1] {
            push(&mut out, '-', old[i]);
            i += 1;
        } else {
            push(&mut out, '+', new[j]);
            j += 1;
        }
    }
    push_all(&mut out, '-', &old[i..]);
    push_all(&mut out, '+', &new[j..]);
    out
}

fn push_all(out: &mut String, sign: char, lines: &[&str]) {
    for line in lines {
        push(out, sign, line);
    }
}

fn push(out: &mut String, sign: char, line: &str) {
    out.push(sign);
    out.push_str(line);
    out.push('\n');
}

#[cfg(test)]
mod tests;
