//! The active documents: for each team the highest accepted revision, which is never replaced by a lower one.

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

/// A document as published by the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PublishedDocument {
    /// Team that owns the document.
    pub team: Name,
    /// Revision of the document, assigned by the platform.
    pub revision: Revision,
    /// Text of the document.
    pub text: Arc<str>,
}

/// The documents of all teams.
#[derive(Clone, Debug, Default)]
pub struct Documents {
    teams: BTreeMap<Name, TeamDocument>,
}

/// The active and the last rejected revision of one team's document.
#[derive(Clone, Debug, Default)]
pub struct TeamDocument {
    /// Active document.
    pub active: Option<ActiveDocument>,
    /// Highest revision that was rejected after the active one, with its mistakes.
    pub rejected: Option<(Revision, Vec<Diagnostic>)>,
    /// Text of the rejected revision.
    rejected_text: Option<Arc<str>>,
    /// Number under which the store lists the text of the highest revision now.
    listed_number: Option<u64>,
}

/// An active document.
#[derive(Clone, Debug)]
pub struct ActiveDocument {
    /// Document as published.
    pub published: PublishedDocument,
    /// Parsed document.
    pub document: Arc<Document>,
}

/// The result of applying a published document.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyOutcome {
    /// The document is active now.
    Accepted,
    /// The document has mistakes. The active one is kept.
    Rejected,
    /// The revision is not higher than the highest one received before.
    Outdated,
}

impl Documents {
    /// Makes a published document the active one if it has a higher revision and no mistakes.
    pub fn apply(&mut self, published: PublishedDocument) -> ApplyOutcome {
        let team = self.teams.entry(published.team.clone()).or_default();
        if published.revision <= team.highest_revision() {
            return ApplyOutcome::Outdated;
        }
        team.listed_number = None;
        match parse(&published) {
            Ok(document) => {
                team.active = Some(ActiveDocument { published, document: Arc::new(document) });
                team.rejected = None;
                team.rejected_text = None;
                ApplyOutcome::Accepted
            }
            Err(diagnostics) => {
                team.rejected = Some((published.revision, diagnostics));
                team.rejected_text = Some(published.text);
                ApplyOutcome::Rejected
            }
        }
    }

    /// Records which documents the store lists now, after they were applied.
    ///
    /// After a restore, the store may list a text again under a lower number. The text is in force then, and its number
    /// is the one that operators know. Its revision stays, because the number alone would not rank the text correctly.
    pub fn record_listed(&mut self, documents: &[PublishedDocument]) {
        for listed in documents {
            let Some(team) = self.teams.get_mut(&listed.team) else { continue };
            let is_known = team.highest_text().is_some_and(|text| text == &listed.text);
            team.listed_number = is_known.then(|| listed.revision.number());
        }
    }

    /// Iterates over the teams in the order of their names.
    pub fn teams(&self) -> impl Iterator<Item = (&Name, &TeamDocument)> {
        self.teams.iter()
    }

    /// Iterates over the active documents in the order of their teams.
    pub fn active(&self) -> impl Iterator<Item = &ActiveDocument> {
        self.teams.values().filter_map(|team| team.active.as_ref())
    }

    /// Returns the active revision of a team, or zero if there is none.
    pub fn revision(&self, team: &str) -> Revision {
        self.teams.get(team).map_or(Revision(0), TeamDocument::revision)
    }

    /// Returns the active revision of each team.
    pub fn revisions(&self) -> Vec<(Name, Revision)> {
        self.teams.iter().map(|(name, team)| (name.clone(), team.revision())).collect()
    }

    /// Returns a digest that differs if any active revision differs.
    pub fn digest(&self) -> u64 {
        let add_team = |digest: u64, (name, team): (&Name, &TeamDocument)| {
            digest ^ rendezvous::score(team.revision().0, name)
        };
        self.teams.iter().filter(|(_, team)| team.active.is_some()).fold(0, add_team)
    }

    /// Returns the active documents whose revisions are higher than those of another VM.
    pub fn newer_than(&self, other: &[(Name, Revision)]) -> Vec<PublishedDocument> {
        let other_revisions: BTreeMap<_, _> = other.iter().cloned().collect();
        let is_newer = |d: &&ActiveDocument| {
            d.published.revision > other_revisions.get(&d.published.team).copied().unwrap_or_default()
        };
        self.active().filter(is_newer).map(|d| d.published.clone()).collect()
    }

    /// Returns the active documents of some teams.
    pub fn for_teams(&self, teams: &[Name]) -> Vec<PublishedDocument> {
        let is_requested = |d: &&ActiveDocument| teams.contains(&d.published.team);
        self.active().filter(is_requested).map(|d| d.published.clone()).collect()
    }
}

impl TeamDocument {
    /// Returns the active revision, or zero if there is none.
    pub fn revision(&self) -> Revision {
        self.active.as_ref().map_or(Revision(0), |d| d.published.revision)
    }

    /// Returns the number of the active document in the store, or zero if there is none.
    pub fn active_number(&self) -> u64 {
        let listed = self.listed_number.filter(|_| self.rejected.is_none());
        listed.unwrap_or_else(|| self.revision().number())
    }

    /// Returns the number of the rejected document in the store.
    pub fn rejected_number(&self) -> Option<u64> {
        let (revision, _) = self.rejected.as_ref()?;
        Some(self.listed_number.unwrap_or_else(|| revision.number()))
    }

    /// Returns the text of the highest revision that was accepted or rejected.
    fn highest_text(&self) -> Option<&Arc<str>> {
        self.rejected_text.as_ref().or_else(|| self.active.as_ref().map(|d| &d.published.text))
    }

    /// Returns the highest revision that was accepted or rejected.
    fn highest_revision(&self) -> Revision {
        let rejected = self.rejected.as_ref().map_or(Revision(0), |(revision, _)| *revision);
        rejected.max(self.revision())
    }
}

/// Parses a published document. The result depends on the document only, so that all VMs agree on whether it
/// is accepted.
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
