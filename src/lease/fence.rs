//! The check of fencing tokens that a resource applies to every act.

use thiserror::Error;

/// The error of an act with a token below one seen before: a newer holder has acted, and this act is stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("stale token: {token} is below {highest}, which was seen before")]
pub struct StaleToken {
    /// The highest token seen.
    pub highest: u64,
    /// The token of the act.
    pub token: u64,
}

/// The highest token seen so far; acts with a lower token are rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Admits an act with `token`, which becomes the highest seen, or rejects one with a lower token.
    ///
    /// # Errors
    /// [`StaleToken`] if a higher token has been seen.
    pub fn admit(&mut self, token: u64) -> Result<(), StaleToken> {
        if token < self.highest {
            return Err(StaleToken { highest: self.highest, token });
        }
        self.highest = token;
        Ok(())
    }

    /// The highest token seen; 0 if none.
    pub fn highest(&self) -> u64 {
        self.highest
    }
}
