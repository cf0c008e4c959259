//! A keeper's part in the configuration: has changes agreed while it leads, and serves nodes what they lack.
//!
//! Which version there is, any keeper may say and serve: what it has taken over is agreed, numbers only grow, and nobody goes
//! back for one that is behind. That a change is proposed is for the keeper that leads.

use std::sync::{Arc, MutexGuard, PoisonError};

use openraft::error::{ClientWriteError, RaftError};
use tokio::time::timeout;
use tracing::{info, warn};

use super::wire::catalog::{Ask, CHANGES_MAX, REPLY_BYTES, ROWS_MAX, Reply, Row, Signature};
use super::{Office, PROPOSAL};
use crate::catalog::{Catalog, Change, Digest, History, Revision, Signed, Since, Snapshot};
use crate::fleet::book::Entry;
use crate::fleet::packed::Packed;
use crate::fleet::standing::{Standing, Standings};
use crate::fleet::talk::Talk;

/// Bytes of changes in the log after which it is cut short by a snapshot, however few entries they are.
const LOGGED_MAX: usize = 16 << 20;

/// What a keeper has of the configuration beside the book.
#[derive(Default)]
pub(super) struct Desk {
    standings: std::sync::Mutex<Standings>,
    /// The last snapshot that was packed; whoever comes while it is packed waits for that one.
    packed: tokio::sync::Mutex<Option<Arc<Snapshot>>>,
    /// One change is on its way at a time: the next is checked against what it made.
    proposing: tokio::sync::Mutex<()>,
}

impl Office {
    fn standings(&self) -> MutexGuard<'_, Standings> {
        self.desk.standings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn history(&self) -> History {
        self.held().history().clone()
    }

    /// The newest version here.
    fn newest(&self) -> (Revision, Digest) {
        let keeper = self.held();
        let now = keeper.history().now();
        (now.revision(), now.digest())
    }

    /// Another version has been taken over here.
    pub(super) fn note_version(&self, live: bool) {
        let (revision, digest) = self.newest();
        self.standings().agreed(self.clock.now(), (revision, digest.short()), live);
    }

    /// A node says where it stands; it is told which version there is.
    pub(super) fn stands(&self, standing: Standing) -> Option<Talk> {
        self.fleet.catalog?;
        self.standings().said(self.clock.now(), standing);
        let (revision, digest) = self.newest();
        Some(Talk::Newest { revision, digest })
    }

    /// Answers a node or a command.
    pub(super) async fn catalog(&self, ask: Ask) -> Reply {
        if self.fleet.catalog.is_none() {
            return Reply::Off;
        }
        match ask {
            Ask::Changes(since) => self.changes(since),
            Ask::Chunks { of, from, above } => self.chunks(of, from, above).await,
            Ask::Head | Ask::Newest => {
                let leads = matches!(ask, Ask::Head) && self.surely().await.is_ok();
                let (revision, digest) = self.newest();
                Reply::Head { revision, digest, leads, leader: self.leader() }
            }
            // One that has only just started has not taken over all that was agreed.
            Ask::History(most) => match self.surely().await {
                Ok(()) => self.rows(most),
                Err(reply) => reply,
            },
            Ask::Where if self.leads() => Reply::Where(self.standings().report(self.clock.now())),
            Ask::Propose(packed) if self.leads() => {
                let _one = self.desk.proposing.lock().await;
                match (self.surely().await, packed.open()) {
                    (Err(reply), _) => reply,
                    (Ok(()), Ok(change)) => self.propose(change, packed).await,
                    (Ok(()), Err(e)) => Reply::Refused(e.to_string()),
                }
            }
            Ask::Rollback(to, Signature(author, note, at)) if self.leads() => {
                let _one = self.desk.proposing.lock().await;
                if let Err(reply) = self.surely().await {
                    return reply;
                }
                let change = self.history().rollback(to, Signed { author, note, at });
                let change = change.map_err(|e| e.to_string());
                match change.and_then(|c| Ok((Packed::of(&c).map_err(|e| e.to_string())?, c))) {
                    Ok((packed, change)) => self.propose(change, packed).await,
                    Err(reason) => Reply::Refused(reason),
                }
            }
            Ask::Propose(_) | Ask::Rollback(..) | Ask::Where => Reply::Elsewhere(self.leader()),
        }
    }

    /// Makes sure that this keeper leads, and has taken over all that was agreed before. Else nothing is done, and whoever asked
    /// goes on looking for one that does.
    async fn surely(&self) -> Result<(), Reply> {
        match timeout(PROPOSAL, self.engine.ensure_linearizable()).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Reply::Elsewhere(self.leader().filter(|l| *l != self.name))),
        }
    }

    /// Has a change agreed. It is looked at before, so that one that is refused anyhow is not in everybody's log; what counts
    /// is what all keepers make of it when it is agreed.
    async fn propose(&self, change: Change, packed: Packed) -> Reply {
        let (author, makes) = (change.author.clone(), change.makes());
        let (set, removed) = (change.set.len(), change.remove.len());
        let mut now = self.held().history().now().clone();
        if let Err(refused) = now.apply(&change) {
            warn!(%author, "version {makes}, {set} set, {removed} removed: {refused}");
            return Reply::Refused(refused.to_string());
        }
        match timeout(PROPOSAL, self.engine.client_write(Entry::Change(packed))).await {
            Ok(Ok(done)) => {
                self.note_agreed();
                match done.data.ruling {
                    Some(Ok(revision)) => {
                        info!(%author, "version {revision}, {set} set, {removed} removed: agreed");
                        Reply::Agreed(revision)
                    }
                    Some(Err(reason)) => {
                        warn!(%author, "version {makes}, {set} set, {removed} removed: {reason}");
                        Reply::Refused(reason)
                    }
                    None => Reply::Unknown,
                }
            }
            Ok(Err(RaftError::APIError(ClientWriteError::ForwardToLeader(_)))) => {
                Reply::Elsewhere(self.leader())
            }
            _ => Reply::Unknown,
        }
    }

    fn changes(&self, since: Revision) -> Reply {
        let history = self.history();
        let newest = history.now().revision();
        match history.since(since, newest, REPLY_BYTES) {
            Since::Current | Since::Ahead => Reply::Nothing,
            Since::Snapshot => Reply::Snapshot,
            // The whole is less to send, and to take in, than very many changes are.
            Since::Changes(_) if !leads_on(&history, since) => Reply::Snapshot,
            Since::Changes(all) => Reply::Changes(all.iter().map(|c| c.to_vec()).collect()),
        }
    }

    async fn chunks(&self, of: Option<Revision>, from: u32, above: Option<Revision>) -> Reply {
        let mut packed = self.desk.packed.lock().await;
        let history = self.history();
        // A node that has this already is not helped by it, and one that is told of a later version elsewhere asks there.
        if above.is_some_and(|above| history.now().revision() <= above) {
            return Reply::Nothing;
        }
        // One that the changes kept lead on from is as good as a newer one, and is there already.
        let good = packed
            .as_ref()
            .is_some_and(|s| above.is_none_or(|above| s.revision > above) && leads_on(&history, s.revision));
        if !good && of.is_none() {
            let now: Catalog = history.now().clone();
            // Packing takes a while, and heartbeats and asks are not held up by it.
            let fresh = tokio::task::spawn_blocking(move || Snapshot::of(&now)).await;
            *packed = fresh.ok().map(Arc::new);
        }
        let snapshot = packed.clone();
        drop(packed);
        let Some(snapshot) = snapshot.filter(|s| of.is_none_or(|of| s.revision == of)) else {
            return Reply::Gone;
        };
        let mut held = 0;
        let chunks = snapshot.chunks.iter().skip(from as usize).take_while(|c| {
            held += c.len();
            held <= REPLY_BYTES || held == c.len()
        });
        let chunks: Vec<Vec<u8>> = chunks.map(|c| c.to_vec()).collect();
        if chunks.is_empty() { Reply::Gone } else { Reply::Chunks(chunks) }
    }

    fn rows(&self, most: u32) -> Reply {
        let history = self.history();
        let count = |n: usize| u32::try_from(n).unwrap_or(u32::MAX);
        let row = |c: &Change| Row {
            revision: c.makes(),
            digest: c.digest,
            set: count(c.set.len()),
            removed: count(c.remove.len()),
            author: c.author.clone(),
            note: c.note.clone(),
            at: c.at,
        };
        let mut rows: Vec<Row> =
            history.changes().rev().take((most as usize).min(ROWS_MAX)).map(row).collect();
        rows.reverse();
        Reply::History(rows, history.oldest().revision())
    }
}

/// Whether the changes that are kept lead from a version to the newest, and are few enough to be sent one by one.
fn leads_on(history: &History, from: Revision) -> bool {
    match history.since(from, history.now().revision(), usize::MAX) {
        Since::Current => true,
        Since::Changes(all) => all.iter().map(|c| c.len()).sum::<usize>() <= CHANGES_MAX,
        Since::Snapshot | Since::Ahead => false,
    }
}

/// Notes when the keeper has another version.
pub(super) async fn watch(office: Arc<Office>, mut news: tokio::sync::watch::Receiver<()>) {
    while news.changed().await.is_ok() {
        office.note_version(true);
        if office.held().logged(LOGGED_MAX) {
            let _ = office.engine.trigger().snapshot().await;
        }
        let (revision, digest) = office.newest();
        tracing::debug!(%digest, "version {revision}");
    }
}
