//! Prints the manual page of the daemon, generated from its command-line options.

use agatetrestle::cli::Options;
use bpaf::doc::Section;

fn main() {
    print!("{}", Options::parser().render_manpage("agatetrestled", Section::Sysadmin, None, None, None));
}
