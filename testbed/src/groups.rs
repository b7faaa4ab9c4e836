//! Expressions for groups of a fleet's members, such as `proxies 70%`. An expression begins with `proxies`,
//! `backends`, `list`, `reserve` or `machines` (a proxy and its backend together), followed by any of `N`, `N-M`,
//! `P%`, `zone Z`, `kind K` (backends only), `tier T` (backends only) and `leader` (list only). `zone Z` alone is
//! everything in a zone; `clients` is the end of a link.

use rand::seq::SliceRandom;
use rand::{SeedableRng, rngs::SmallRng};
use thiserror::Error;

/// An invalid group expression.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("group `{expression}`: {reason}")]
pub struct GroupError {
    expression: String,
    reason: &'static str,
}

/// The kind of members of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberKind {
    /// The proxies of clients that run from the start.
    Proxies,
    /// Backends.
    Backends,
    /// List-service nodes.
    List,
    /// Reserve proxies, which only a fault starts.
    Reserve,
    /// Pairs of a proxy and the backend with the same number.
    Machines,
    /// Proxies and backends.
    All,
    /// The clients, as the end of a link.
    Clients,
}

/// A parsed group expression, not yet applied to a fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The kind of its members.
    pub members: MemberKind,
    /// Only members in this zone.
    pub zone: Option<String>,
    /// Only backends of this kind.
    pub kind: Option<String>,
    /// Only backends of this tier (from 0).
    pub tier: Option<usize>,
    /// Only the leader of the list service.
    pub leader: bool,
    selection: Selection,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Selection {
    All,
    Range(usize, usize),
    Share(f64),
}

impl Group {
    /// Parses a group expression.
    ///
    /// # Errors
    /// If the expression is invalid.
    pub fn parse(expression: &str) -> Result<Self, GroupError> {
        let bad = |reason| GroupError { expression: expression.into(), reason };
        let mut parts = expression.split_whitespace().peekable();
        let members = match parts.peek().copied() {
            Some("proxies") => MemberKind::Proxies,
            Some("backends") => MemberKind::Backends,
            Some("list") => MemberKind::List,
            Some("reserve") => MemberKind::Reserve,
            Some("machines") => MemberKind::Machines,
            Some("zone") => MemberKind::All,
            Some("clients") => MemberKind::Clients,
            _ => {
                return Err(bad(
                    "must begin with proxies, backends, list, reserve, machines, clients or zone",
                ));
            }
        };
        if members != MemberKind::All {
            parts.next();
        }
        let mut group =
            Self { members, zone: None, kind: None, tier: None, leader: false, selection: Selection::All };
        while let Some(word) = parts.next() {
            let mut value = || parts.next().ok_or(bad("a word is missing after zone, kind or tier"));
            match word {
                "zone" => group.zone = Some(value()?.into()),
                "kind" if members == MemberKind::Backends => group.kind = Some(value()?.into()),
                "tier" if members == MemberKind::Backends => {
                    group.tier = Some(value()?.parse().map_err(|_| bad("a tier must be a number from 0"))?);
                }
                "leader" if members == MemberKind::List => group.leader = true,
                _ => {
                    let number = |s: &str| s.parse::<usize>().map_err(|_| bad("expected N, N-M or P%"));
                    group.selection = match (word.strip_suffix('%'), word.split_once('-')) {
                        (Some(share), _) => {
                            let share: f64 = share.parse().map_err(|_| bad("expected P%"))?;
                            Selection::Share((share / 100.0).clamp(0.0, 1.0))
                        }
                        (None, Some((from, to))) => Selection::Range(number(from)?, number(to)?),
                        (None, None) => Selection::Range(number(word)?, number(word)?),
                    };
                }
            }
        }
        Ok(group)
    }

    /// Selects from the members that match the rest of the expression: a range by position, or a share drawn by
    /// `seed`, of at least one member.
    pub fn choose(&self, matching: Vec<usize>, seed: u64) -> Vec<usize> {
        match self.selection {
            Selection::All => matching,
            Selection::Range(from, to) => matching
                .into_iter()
                .enumerate()
                .filter(|(n, _)| (from..=to).contains(n))
                .map(|(_, m)| m)
                .collect(),
            Selection::Share(share) => {
                let mut matching = matching;
                matching.shuffle(&mut SmallRng::seed_from_u64(seed));
                let count = ((matching.len() as f64 * share).round() as usize).max(1).min(matching.len());
                matching.truncate(count);
                matching.sort_unstable();
                matching
            }
        }
    }
}

#[cfg(test)]
mod tests;
