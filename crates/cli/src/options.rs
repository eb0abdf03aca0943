//! Command-line options and commands.

use gumdrop::Options;

/// Global options, which come before the command.
#[derive(Debug, Options)]
pub(crate) struct ToolOptions {
    #[options(
        no_short,
        meta = "IP:PORT",
        help = "operator address of an instance; repeat it to name more"
    )]
    pub(crate) instance: Vec<String>,
    #[options(no_short, help = "print responses as JSON")]
    pub(crate) json: bool,
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "print the version")]
    pub(crate) version: bool,
    #[options(command)]
    pub(crate) command: Option<ToolCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum ToolCommand {
    #[options(help = "check contract files offline")]
    Check(CheckOptions),
    #[options(help = "apply contract files")]
    Apply(ApplyOptions),
    #[options(help = "grant or withdraw a key")]
    Key(KeyOptions),
    #[options(help = "start or end a drain")]
    Drain(DrainOptions),
    #[options(help = "start or cancel a move of traffic")]
    Move(MoveOptions),
    #[options(help = "show an instance's view of the fleet")]
    Status(StatusOptions),
    #[options(help = "show the events of the fleet")]
    Timeline(TimelineOptions),
}

#[derive(Debug, Options)]
pub(crate) struct CheckOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, help = "contract files")]
    pub(crate) files: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct ApplyOptions {
    #[options(
        no_short,
        meta = "REVISION",
        help = "reject the change if the configuration is newer than this revision, as in r12"
    )]
    pub(crate) base: Option<String>,
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, help = "contract files")]
    pub(crate) files: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct KeyOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<KeyCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum KeyCommand {
    #[options(help = "grant a key to a team")]
    Grant(GrantOptions),
    #[options(help = "withdraw a key permanently")]
    Withdraw(WithdrawOptions),
}

#[derive(Debug, Options)]
pub(crate) struct GrantOptions {
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the key (default: standard input)"
    )]
    pub(crate) key_file: Option<String>,
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, help = "team, as in customer/team")]
    pub(crate) team: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct WithdrawOptions {
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the key (default: standard input)"
    )]
    pub(crate) key_file: Option<String>,
    #[options(
        no_short,
        meta = "HEX",
        help = "SHA-256 digest of the key, instead of the key"
    )]
    pub(crate) digest: Option<String>,
    #[options(no_short, help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct DrainOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<DrainCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum DrainCommand {
    #[options(help = "stop sending new requests to a target")]
    Start(DrainTargetOptions),
    #[options(help = "resume sending requests to a target")]
    End(DrainTargetOptions),
}

#[derive(Debug, Options)]
pub(crate) struct DrainTargetOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, help = "centre:customer/centre or instance:name")]
    pub(crate) target: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct MoveOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(command)]
    pub(crate) command: Option<MoveCommand>,
}

#[derive(Debug, Options)]
pub(crate) enum MoveCommand {
    #[options(help = "move traffic to another version or data centre")]
    Start(StartOptions),
    #[options(help = "cancel a move and roll it back")]
    Cancel(CancelOptions),
}

#[derive(Debug, Options)]
pub(crate) struct StartOptions {
    #[options(no_short, required, meta = "SERVICE", help = "as in customer/service")]
    pub(crate) service: String,
    #[options(
        no_short,
        required,
        meta = "NAME",
        help = "version that serves the traffic now"
    )]
    pub(crate) from: String,
    #[options(no_short, required, meta = "NAME", help = "version to move it to")]
    pub(crate) to: String,
    #[options(no_short, help = "--from and --to name data centres")]
    pub(crate) centres: bool,
    #[options(
        no_short,
        required,
        meta = "SHARE",
        help = "maximum share to move before the target is proved healthy, 0.1% to 25%"
    )]
    pub(crate) cap: String,
    #[options(
        no_short,
        required,
        meta = "TIME",
        help = "time within which the move must finish, 10s to 86400s"
    )]
    pub(crate) deadline: String,
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, help = "unique name of the move; earlier names cannot be reused")]
    pub(crate) name: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct CancelOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, help = "name of the move")]
    pub(crate) name: Vec<String>,
}

#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
}

#[derive(Debug, Options)]
pub(crate) struct TimelineOptions {
    #[options(no_short, meta = "STAMP", help = "only events after this stamp")]
    pub(crate) after: Option<String>,
    #[options(
        no_short,
        meta = "N",
        help = "maximum number of events, 1 to 1000 (default 100)"
    )]
    pub(crate) most: Option<String>,
    #[options(no_short, help = "print this help")]
    help: bool,
}

impl ToolOptions {
    /// Returns the help text of the innermost given command.
    pub(crate) fn help_text(&self) -> String {
        let mut command: &dyn Options = self;
        let mut names = vec!["tarragonpulley"];
        while let Some(inner) = command.command() {
            names.extend(command.command_name());
            command = inner;
        }
        let names = names.join(" ");
        let mut text = format!("Usage: {names} [OPTIONS]\n\n{}", command.self_usage());
        if let Some(list) = command.self_command_list() {
            text.push_str("\n\nCommands:\n");
            text.push_str(list);
        }
        text.push_str(
            "\n\nWithout --instance, TARRAGONPULLEY_OPERATOR names the addresses, separated by\n\
             commas. Exit codes: 0 done, 1 refused, 2 wrong usage, 3 conflict, 4 unavailable\n\
             (nothing changed), 5 outcome unknown.",
        );
        text
    }
}
