//! The documents in force: the highest accepted revision of each team, never a lower one.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubedoor_config::Diagnostic;
use jujubedoor_config::Document;
use jujubedoor_config::Name;
use jujubedoor_config::document;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::Revision;
use crate::rendezvous;

/// A document as the platform publishes it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedDocument {
    /// The team that owns the document.
    pub team: Name,
    /// The revision that the platform gave it.
    pub revision: Revision,
    /// The text.
    pub text: Arc<str>,
}

/// The documents of all teams.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    teams: BTreeMap<Name, TeamDocument>,
}

/// What is known of one team's document.
#[derive(Clone, Debug, Default)]
pub struct TeamDocument {
    /// The document in force.
    pub active: Option<ActiveDocument>,
    /// The highest revision that was rejected after the one in force.
    pub rejected: Option<(Revision, Vec<Diagnostic>)>,
}

/// A document in force.
#[derive(Clone, Debug)]
pub struct ActiveDocument {
    /// The document as published.
    pub published: PublishedDocument,
    /// The parsed document.
    pub document: Arc<Document>,
}

/// What became of a published document.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// It is in force now.
    Accepted,
    /// It has mistakes; the one in force stays.
    Rejected,
    /// Its revision is not higher than one already seen.
    Outdated,
}

impl Documents {
    /// Takes a published document into force if its revision is higher and it has no mistakes.
    pub fn apply(&mut self, published: PublishedDocument) -> ApplyOutcome {
        let team = self.teams.entry(published.team.clone()).or_default();
        if published.revision <= team.seen() {
            return ApplyOutcome::Outdated;
        }
        match parse(&published) {
            Ok(document) => {
                team.active = Some(ActiveDocument { published, document: Arc::new(document) });
                team.rejected = None;
                ApplyOutcome::Accepted
            }
            Err(diagnostics) => {
                team.rejected = Some((published.revision, diagnostics));
                ApplyOutcome::Rejected
            }
        }
    }

    /// Iterates over the teams in the order of their names.
    pub fn teams(&self) -> impl Iterator<Item = (&Name, &TeamDocument)> {
        self.teams.iter()
    }

    /// Iterates over the documents in force in the order of their teams.
    pub fn active(&self) -> impl Iterator<Item = &ActiveDocument> {
        self.teams.values().filter_map(|team| team.active.as_ref())
    }

    /// Returns the revision in force for a team, or zero.
    pub fn revision(&self, team: &str) -> Revision {
        self.teams.get(team).map_or(Revision(0), TeamDocument::revision)
    }

    /// Returns the revisions in force.
    pub fn revisions(&self) -> Vec<(Name, Revision)> {
        self.teams.iter().map(|(name, team)| (name.clone(), team.revision())).collect()
    }

    /// Returns a digest that differs when any revision in force differs.
    pub fn digest(&self) -> u64 {
        let mix = |digest: u64, (name, team): (&Name, &TeamDocument)| {
            digest ^ rendezvous::score(team.revision().0, name)
        };
        self.teams.iter().filter(|(_, team)| team.active.is_some()).fold(0, mix)
    }

    /// Returns the documents in force whose revisions are higher than those of another VM.
    pub fn newer_than(&self, other: &[(Name, Revision)]) -> Vec<PublishedDocument> {
        let theirs: BTreeMap<_, _> = other.iter().cloned().collect();
        let newer = |d: &&ActiveDocument| {
            d.published.revision > theirs.get(&d.published.team).copied().unwrap_or_default()
        };
        self.active().filter(newer).map(|d| d.published.clone()).collect()
    }

    /// Returns the documents in force of some teams.
    pub fn for_teams(&self, teams: &[Name]) -> Vec<PublishedDocument> {
        let asked = |d: &&ActiveDocument| teams.contains(&d.published.team);
        self.active().filter(asked).map(|d| d.published.clone()).collect()
    }
}

impl TeamDocument {
    /// Returns the revision in force, or zero.
    pub fn revision(&self) -> Revision {
        self.active.as_ref().map_or(Revision(0), |d| d.published.revision)
    }

    /// Returns the highest revision that was accepted or rejected.
    fn seen(&self) -> Revision {
        let rejected = self.rejected.as_ref().map_or(Revision(0), |(revision, _)| *revision);
        rejected.max(self.revision())
    }
}

/// Parses a published document; the result depends on nothing else, so that all VMs agree.
fn parse(published: &PublishedDocument) -> Result<Document, Vec<Diagnostic>> {
    let document = document::parse(&published.text).map_err(|e| e.0)?;
    if document.team == published.team {
        return Ok(document);
    }
    Err(vec![Diagnostic {
        position: jujubedoor_config::Position { line: 1, column: 1 },
        message: format!("the document of team `{}` names team `{}`", published.team, document.team),
        hint: Some(format!("write `team: {}`", published.team)),
    }])
}
