//! Prints the manual page of the daemon, made from its command line.

use agatetrestle::cli::Options;
use bpaf::doc::Section;

fn main() {
    print!("{}", Options::parser().render_manpage("agatetrestled", Section::Sysadmin, None, None, None));
}
