//! A minimal replacement for the daemon, for tests of the launcher.
//!
//! It takes the flags of `tarragonpulleyd`, writes a log line, prints its
//! addresses, and sends the name of the instance on each connection to any of
//! its ports, then closes the connection. It exits with status 0 on SIGTERM.

use std::io::Write;
use std::net::SocketAddr;

use eyre::{OptionExt, Result};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

fn flag(name: &str) -> Result<String> {
    let mut arguments = std::env::args().skip_while(|argument| argument != name);
    arguments.nth(1).ok_or_eyre(format!("{name} is missing"))
}

async fn listen(flag_name: &str) -> Result<SocketAddr> {
    let listener = TcpListener::bind(flag(flag_name)?).await?;
    let address = listener.local_addr()?;
    let name = flag("--instance")?;
    actix_rt::spawn(async move {
        while let Ok((mut stream, _peer)) = listener.accept().await {
            let _result = stream.write_all(name.as_bytes()).await;
        }
    });
    Ok(address)
}

#[actix_rt::main]
async fn main() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    for name in ["--data-centre", "--table-url", "--object-url", "--list-url"] {
        flag(name)?;
    }
    let addresses = json!({
        "service": listen("--service-address").await?,
        "operator": listen("--operator-address").await?,
        "peer": listen("--peer-address").await?,
    });
    let mut output = std::io::stdout();
    writeln!(
        output,
        "{}",
        json!({"level": "INFO", "message": "starting"})
    )?;
    writeln!(output, "{addresses}")?;
    output.flush()?;
    terminate.recv().await;
    Ok(())
}
