//! Runs the binary with valid and invalid settings.

use std::process::{Command, Output};

use yare::parameterized;

const VALID_FLAGS: [&str; 8] = [
    "--instance=edge-1",
    "--data-centre=taipei-a",
    "--service-address=127.0.0.1:0",
    "--operator-address=127.0.0.1:0",
    "--peer-address=127.0.0.1:0",
    "--table-url=http://127.0.0.1:1/t/",
    "--object-url=http://127.0.0.1:2",
    "--list-url=http://[::1]:3",
];

fn run(arguments: &[&str], variables: &[(&str, &str)]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tarragonpulleyd"))
        .args(arguments)
        .env_clear()
        .envs(variables.iter().copied())
        .output()
        .expect("the binary starts")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

// Guards against an invalid value that is accepted, that is reported without its
// flag, or that hides later errors.
#[parameterized(
    name = { "--instance=Edge", "--instance: instance name \"Edge\" has 'E'" },
    address = { "--service-address=localhost:80", "--service-address: \"localhost:80\" must be IP:PORT" },
    unspecified = { "--peer-address=0.0.0.0:7000", "--peer-address: \"0.0.0.0:7000\" must name one IP" },
    url_scheme = { "--table-url=https://127.0.0.1:1", "--table-url: \"https://127.0.0.1:1\" must be http://" },
    url_host = { "--object-url=http://store:1", "--object-url: \"http://store:1\" must be http://IP:PORT" },
    url_port = { "--list-url=http://127.0.0.1", "--list-url: \"http://127.0.0.1\" must be http://IP:PORT" },
    timeout_low = { "--platform-timeout=49ms", "--platform-timeout: \"49ms\" must be from 50ms to 2s" },
    timeout_high = { "--platform-timeout=2001ms", "--platform-timeout: \"2001ms\" must be from" },
    connections_low = { "--max-connections=0", "--max-connections: \"0\" must be a whole number from 1" },
    connections_high = { "--max-connections=65537", "--max-connections: \"65537\" must be a whole" },
    level = { "--log-level=loud", "--log-level: \"loud\" must be error, warn" },
    unknown_flag = { "--log-lvl=info", "--log-lvl=info: unrecognized option `--log-lvl`" },
    stray_word = { "stray", "stray: " },
)]
fn an_invalid_value_is_reported_with_all_others(argument: &str, expected: &str) {
    // The argument comes first, since a word after an unknown flag may be its value.
    let flags = [argument, "--bogus"];
    let output = run(&flags, &[("TARRAGONPULLEY_ISNTANCE", "x")]);
    let errors = errors(&output);
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for part in [
        expected,
        "--bogus: ",
        "TARRAGONPULLEY_ISNTANCE: is not a known variable",
    ] {
        assert!(errors.contains(part), "{part:?} is not in:\n{errors}");
    }
}

// Guards against reporting missing settings one at a time.
#[test]
fn all_missing_settings_are_reported_at_once() {
    let errors = errors(&run(&[], &[]));
    for flag in VALID_FLAGS.map(|f| f.split('=').next().unwrap_or(f)) {
        assert!(
            errors.contains(&format!("{flag}: is required")),
            "{flag}: {errors}"
        );
    }
}

// Guards against two listeners with the same address, which would fail only later,
// when they are bound.
#[test]
fn equal_addresses_are_rejected() {
    let mut flags = VALID_FLAGS.to_vec();
    flags.extend([
        "--service-address=127.0.0.1:7",
        "--peer-address=127.0.0.1:7",
    ]);
    let output = run(&flags, &[]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains("--peer-address: 127.0.0.1:7 is also the value of"));
}

// Guards against a variable that takes precedence over its flag, and against a
// variable of the command-line tool that prevents the start.
#[test]
fn a_flag_takes_precedence_over_its_variable() {
    let variables = [
        ("TARRAGONPULLEY_INSTANCE", "Not Valid"),
        ("TARRAGONPULLEY_OPERATOR", "127.0.0.1:1"),
    ];
    let with_flag = run(
        &[&VALID_FLAGS[..], &["--log-level=nonsense"]].concat(),
        &variables,
    );
    assert_eq!(
        errors(&with_flag).lines().count(),
        1,
        "{}",
        errors(&with_flag)
    );
    let without_flag = run(&VALID_FLAGS[1..], &variables);
    let errors = errors(&without_flag);
    assert!(errors.starts_with("TARRAGONPULLEY_INSTANCE: "), "{errors}");
}

// Guards against a help text that omits a setting or the exit codes.
#[test]
fn help_and_version_exit_with_zero() {
    let help = run(&["--help"], &[]);
    let text = String::from_utf8_lossy(&help.stdout).into_owned();
    assert_eq!(help.status.code(), Some(0));
    for flag in VALID_FLAGS.map(|f| f.split('=').next().unwrap_or(f)) {
        assert!(text.contains(flag), "{flag}");
    }
    assert!(text.contains("Exit codes"));
    assert_eq!(run(&["--version"], &[]).status.code(), Some(0));
}
