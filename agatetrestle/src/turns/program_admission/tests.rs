//! Unit tests of the admission of programs.
