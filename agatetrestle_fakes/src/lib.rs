//! Small stand-ins for the systems that agatetrestle meets, for tests and examples.
