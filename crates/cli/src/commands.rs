//! Runs the commands.

use std::net::SocketAddr;

use awc::http::Method;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarragonpulley_policy::units::ConfigRevision;
use tarragonpulley_wire::operator::{
    ApplyRequest, ChangeResponse, DrainRequest, GrantRequest, MoveKindSpec, MoveRequest,
    StatusResponse, TimelineResponse, WithdrawRequest,
};

use crate::check::{check_files, read_files, read_key};
use crate::client::{self, CallKind};
use crate::exit::ToolError;
use crate::options::{
    ApplyOptions, DrainCommand, KeyCommand, MoveCommand, StartOptions, TimelineOptions,
    ToolCommand, ToolOptions, WithdrawOptions,
};
use crate::output;

struct Caller {
    addresses: Vec<SocketAddr>,
    json: bool,
}

pub(crate) fn run(options: &ToolOptions) -> Result<String, ToolError> {
    let Some(command) = &options.command else {
        return Err(ToolError::Usage("name a command".to_owned()));
    };
    if let ToolCommand::Check(check) = command {
        return check_files(&read_files(&check.files)?);
    }
    let caller = Caller {
        addresses: client::addresses(&options.instance)?,
        json: options.json,
    };
    match command {
        ToolCommand::Check(_) => Ok(String::new()),
        ToolCommand::Apply(apply) => caller.apply(apply),
        ToolCommand::Key(key) => match &key.command {
            Some(KeyCommand::Grant(grant)) => {
                let team = single(&grant.team, "team")?;
                let key = read_key(grant.key_file.as_deref())?;
                caller.change("/v1/keys/grant", &GrantRequest { team, key })
            }
            Some(KeyCommand::Withdraw(withdraw)) => caller.withdraw(withdraw),
            None => Err(ToolError::Usage("key: grant or withdraw?".to_owned())),
        },
        ToolCommand::Drain(drain) => match &drain.command {
            Some(DrainCommand::Start(start)) => {
                let target = single(&start.target, "target")?;
                caller.change("/v1/drains", &DrainRequest { target })
            }
            Some(DrainCommand::End(end)) => {
                let target = single(&end.target, "target")?;
                let body = DrainRequest { target };
                caller.send(Method::DELETE, "/v1/drains", Some(&body))
            }
            None => Err(ToolError::Usage("drain: start or end?".to_owned())),
        },
        ToolCommand::Move(of_move) => match &of_move.command {
            Some(MoveCommand::Start(start)) => caller.change("/v1/moves", &move_request(start)?),
            Some(MoveCommand::Cancel(cancel)) => caller.cancel(&single(&cancel.name, "name")?),
            None => Err(ToolError::Usage("move: start or cancel?".to_owned())),
        },
        ToolCommand::Status(_) => caller.read("/v1/status", |answer: &StatusResponse| {
            output::status(answer)
        }),
        ToolCommand::Timeline(timeline) => caller.timeline(timeline),
    }
}

fn single(values: &[String], what: &str) -> Result<String, ToolError> {
    match values {
        [value] => Ok(value.clone()),
        _ => Err(ToolError::Usage(format!("give exactly one {what}"))),
    }
}

fn move_request(start: &StartOptions) -> Result<MoveRequest, ToolError> {
    let [service, from, to] = [&start.service, &start.from, &start.to].map(Clone::clone);
    let kind = if start.centres {
        MoveKindSpec::CentreShift { service, from, to }
    } else {
        MoveKindSpec::Rollout { service, from, to }
    };
    Ok(MoveRequest {
        name: single(&start.name, "name")?,
        kind,
        cap: start.cap.clone(),
        deadline: start.deadline.clone(),
    })
}

impl Caller {
    fn apply(&self, options: &ApplyOptions) -> Result<String, ToolError> {
        let parse = |text: &String| text.parse::<ConfigRevision>();
        let base = options.base.as_ref().map(parse).transpose();
        let base = base.map_err(|error| ToolError::Usage(format!("--base: {error}")))?;
        let files = read_files(&options.files)?;
        check_files(&files)?;
        let base = base.map(ConfigRevision::get);
        self.change("/v1/apply", &ApplyRequest { files, base })
    }

    fn withdraw(&self, options: &WithdrawOptions) -> Result<String, ToolError> {
        let request = match (&options.digest, &options.key_file) {
            (Some(_), Some(_)) => {
                let message = "give either --key-file or --digest";
                return Err(ToolError::Usage(message.to_owned()));
            }
            (Some(digest), None) => WithdrawRequest {
                key: None,
                digest: Some(digest.clone()),
            },
            (None, path) => WithdrawRequest {
                key: Some(read_key(path.as_deref())?),
                digest: None,
            },
        };
        self.change("/v1/keys/withdraw", &request)
    }

    fn cancel(&self, name: &str) -> Result<String, ToolError> {
        // Only names of the documented form can be part of a path.
        let name: tarragonpulley_policy::ids::MoveName = name
            .parse()
            .map_err(|error| ToolError::Usage(format!("name: {error}")))?;
        self.send(Method::DELETE, &format!("/v1/moves/{name}"), None::<&()>)
    }

    fn timeline(&self, options: &TimelineOptions) -> Result<String, ToolError> {
        let after = options.after.as_ref().map(|after| format!("after={after}"));
        let most = options.most.as_ref().map(|most| format!("most={most}"));
        let query: Vec<String> = after.into_iter().chain(most).collect();
        let plain = |c: char| c.is_ascii_digit() || matches!(c, '.' | '=' | '&');
        let query = query.join("&");
        if query
            .replace("after=", "")
            .replace("most=", "")
            .contains(|c| !plain(c))
        {
            let message = "--after must be a stamp and --most a number";
            return Err(ToolError::Usage(message.to_owned()));
        }
        let path = format!("/v1/timeline?{query}");
        self.read(&path, |answer: &TimelineResponse| output::timeline(answer))
    }

    fn change(&self, path: &str, body: &impl Serialize) -> Result<String, ToolError> {
        self.send(Method::POST, path, Some(body))
    }

    fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<String, ToolError> {
        let call = client::call(&self.addresses, CallKind::Change, method, path, body);
        let answer: ChangeResponse = actix_rt::System::new().block_on(call)?;
        let revision = ConfigRevision::new(answer.revision);
        self.print(&answer, |_| format!("accepted as {revision}"))
    }

    fn read<T: DeserializeOwned + Serialize>(
        &self,
        path: &str,
        text: impl FnOnce(&T) -> String,
    ) -> Result<String, ToolError> {
        let call = client::call(
            &self.addresses,
            CallKind::Read,
            Method::GET,
            path,
            None::<&()>,
        );
        let answer: T = actix_rt::System::new().block_on(call)?;
        self.print(&answer, text)
    }

    fn print<T: Serialize>(
        &self,
        answer: &T,
        text: impl FnOnce(&T) -> String,
    ) -> Result<String, ToolError> {
        if !self.json {
            return Ok(text(answer));
        }
        // A change was made already, so a failure here is no refusal.
        serde_json::to_string(answer).map_err(|error| ToolError::Unknown(error.to_string()))
    }
}
