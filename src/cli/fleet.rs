//! `linkhatch-proxy fleet …`: the fleet as the list service sees it.

use super::client::Service;
use super::error::CommandError;
use super::replies::typed;
use super::tables;
use clap::Subcommand;

/// The fleet as the list service sees it.
#[derive(Subcommand, Debug)]
pub enum Fleet {
    /// Shows each proxy's session, slot, versions held and in force, and lag: `linkhatch-proxy fleet status --at …`.
    Status {
        /// The list service.
        #[command(flatten)]
        service: Service,
    },
}

impl Fleet {
    /// Runs the command.
    ///
    /// # Errors
    /// See [`CommandError`].
    pub async fn run(self) -> Result<(), CommandError> {
        let Self::Status { service } = self;
        let reply = service.get("/v1/fleet").await?;
        service.print(&reply, || tables::fleet(&typed(&reply)));
        Ok(())
    }
}
