//! Execution of the commands.

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

struct OperatorClient {
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
    let client = OperatorClient {
        addresses: client::addresses(&options.instance)?,
        json: options.json,
    };
    match command {
        ToolCommand::Check(_) => Ok(String::new()),
        ToolCommand::Apply(apply) => client.apply(apply),
        ToolCommand::Key(key) => match &key.command {
            Some(KeyCommand::Grant(grant)) => {
                let team = exactly_one(&grant.team, "team")?;
                let key = read_key(grant.key_file.as_deref())?;
                client.post_change("/v1/keys/grant", &GrantRequest { team, key })
            }
            Some(KeyCommand::Withdraw(withdraw)) => client.withdraw_key(withdraw),
            None => Err(ToolError::Usage("key: grant or withdraw?".to_owned())),
        },
        ToolCommand::Drain(drain) => match &drain.command {
            Some(DrainCommand::Start(start)) => {
                let target = exactly_one(&start.target, "target")?;
                client.post_change("/v1/drains", &DrainRequest { target })
            }
            Some(DrainCommand::End(end)) => {
                let target = exactly_one(&end.target, "target")?;
                let body = DrainRequest { target };
                client.send_change(Method::DELETE, "/v1/drains", Some(&body))
            }
            None => Err(ToolError::Usage("drain: start or end?".to_owned())),
        },
        ToolCommand::Move(move_options) => match &move_options.command {
            Some(MoveCommand::Start(start)) => {
                client.post_change("/v1/moves", &move_request(start)?)
            }
            Some(MoveCommand::Cancel(cancel)) => {
                client.cancel_move(&exactly_one(&cancel.name, "name")?)
            }
            None => Err(ToolError::Usage("move: start or cancel?".to_owned())),
        },
        ToolCommand::Status(_) => client.read("/v1/status", |response: &StatusResponse| {
            output::status(response)
        }),
        ToolCommand::Timeline(timeline) => client.timeline(timeline),
    }
}

fn exactly_one(values: &[String], what: &str) -> Result<String, ToolError> {
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
        name: exactly_one(&start.name, "name")?,
        kind,
        cap: start.cap.clone(),
        deadline: start.deadline.clone(),
    })
}

impl OperatorClient {
    fn apply(&self, options: &ApplyOptions) -> Result<String, ToolError> {
        let parse = |text: &String| text.parse::<ConfigRevision>();
        let base = options.base.as_ref().map(parse).transpose();
        let base = base.map_err(|error| ToolError::Usage(format!("--base: {error}")))?;
        let files = read_files(&options.files)?;
        check_files(&files)?;
        let base = base.map(ConfigRevision::get);
        self.post_change("/v1/apply", &ApplyRequest { files, base })
    }

    fn withdraw_key(&self, options: &WithdrawOptions) -> Result<String, ToolError> {
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
        self.post_change("/v1/keys/withdraw", &request)
    }

    fn cancel_move(&self, name: &str) -> Result<String, ToolError> {
        // The name becomes part of a path, so it must be validated first.
        let name: tarragonpulley_policy::ids::MoveName = name
            .parse()
            .map_err(|error| ToolError::Usage(format!("name: {error}")))?;
        self.send_change(Method::DELETE, &format!("/v1/moves/{name}"), None::<&()>)
    }

    fn timeline(&self, options: &TimelineOptions) -> Result<String, ToolError> {
        let after = options.after.as_ref().map(|after| format!("after={after}"));
        let most = options.most.as_ref().map(|most| format!("most={most}"));
        let query: Vec<String> = after.into_iter().chain(most).collect();
        let allowed = |c: char| c.is_ascii_digit() || matches!(c, '.' | '=' | '&');
        let query = query.join("&");
        if query
            .replace("after=", "")
            .replace("most=", "")
            .contains(|c| !allowed(c))
        {
            let message = "--after must be a stamp and --most a number";
            return Err(ToolError::Usage(message.to_owned()));
        }
        let path = format!("/v1/timeline?{query}");
        self.read(&path, |response: &TimelineResponse| {
            output::timeline(response)
        })
    }

    fn post_change(&self, path: &str, body: &impl Serialize) -> Result<String, ToolError> {
        self.send_change(Method::POST, path, Some(body))
    }

    fn send_change(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<String, ToolError> {
        let call = client::call(&self.addresses, CallKind::Change, method, path, body);
        let response: ChangeResponse = actix_rt::System::new().block_on(call)?;
        let revision = ConfigRevision::new(response.revision);
        self.format_response(&response, |_| format!("accepted as {revision}"))
    }

    fn read<T: DeserializeOwned + Serialize>(
        &self,
        path: &str,
        format_text: impl FnOnce(&T) -> String,
    ) -> Result<String, ToolError> {
        let call = client::call(
            &self.addresses,
            CallKind::Read,
            Method::GET,
            path,
            None::<&()>,
        );
        let response: T = actix_rt::System::new().block_on(call)?;
        self.format_response(&response, format_text)
    }

    fn format_response<T: Serialize>(
        &self,
        response: &T,
        format_text: impl FnOnce(&T) -> String,
    ) -> Result<String, ToolError> {
        if !self.json {
            return Ok(format_text(response));
        }
        // A change is already committed at this point, so an error here must not
        // be reported as a rejection.
        serde_json::to_string(response)
            .map_err(|error| ToolError::UnknownOutcome(error.to_string()))
    }
}
