//! Prints the manual page of the tool, generated from its command-line parser.

use agatetrestle_cli::options::Options;
use bpaf::doc::Section;

fn main() {
    print!("{}", Options::parser().render_manpage("agatetrestle", Section::General, None, None, None));
}
