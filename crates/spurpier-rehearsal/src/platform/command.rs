//! The `platform` subcommand of the rehearsal kit.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;

use super::{PlatformOptions, PlatformServer};

/// Run the stand-in of the platform until the process ends
#[derive(Debug, Clone, Bpaf)]
pub struct PlatformCommand {
    /// Where to listen
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Calls a second that are taken; 0 is no limit
    #[bpaf(argument("N"), fallback(0))]
    pub rate: u32,
    /// How long a change of the machines stays unseen, in milliseconds
    #[bpaf(argument("N"), fallback(0))]
    pub list_lag_ms: u64,
}

impl PlatformCommand {
    /// Starts the stand-in, prints `ready http=ADDR` and serves.
    ///
    /// # Errors
    ///
    /// When the address cannot be listened on or the listener fails.
    pub async fn run(self) -> std::io::Result<()> {
        let server = PlatformServer::start(PlatformOptions {
            listen: self.listen,
            rate: self.rate,
            list_lag: Duration::from_millis(self.list_lag_ms),
        })
        .await?;
        println!("ready http={}", server.address());
        server.serve().await
    }
}
