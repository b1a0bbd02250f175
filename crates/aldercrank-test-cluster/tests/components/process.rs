//! Which processes already run the program under test, by their command line.

use aldercrank_test_cluster::process::is_starting;

#[test]
fn a_process_without_a_command_line_and_the_launcher_are_still_starting() {
    assert!(is_starting(b""));
    assert!(is_starting(b"/build/aldercrank-testbench\0hold\x00412\0--\0/build/aldercrank\0serve\0"));
}

#[test]
fn the_program_and_a_launcher_that_observes_it_are_not_starting_any_more() {
    assert!(!is_starting(b"/build/aldercrank\0serve\0/tmp/n1.json\0"));
    assert!(!is_starting(b"/build/aldercrank-testbench\0broken\0no-fence\0serve\0"));
    assert!(!is_starting(b"/build/aldercrank-testbench\0watch\x00412\0"));
}
