//! The memory and the connections that a process holds for its callers, shared by all its servers.
//!
//! [`Budget`] passes what happens to the [`Ledger`], which decides, and informs the connections that are evicted. An
//! [`Account`] charges memory for one caller, a [`Charge`] holds it until it is dropped.

use std::collections::HashMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::budget_ledger::Admission;
use crate::budget_ledger::BudgetLimits;
use crate::budget_ledger::Class;
use crate::budget_ledger::ConnectionId;
use crate::budget_ledger::Counts;
use crate::budget_ledger::Eviction;
use crate::budget_ledger::Ledger;
use crate::budget_ledger::Owner;
use crate::budget_ledger::Verdict;

/// Memory of a connection to an upstream: a read buffer of up to 32 kB, its task, and what was read and is not written to
/// the caller yet, in bytes.
pub const EXCHANGE_BYTES: usize = 64 << 10;

/// Interval at which what waits checks again, since others stall as time passes.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two log lines about evictions.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The memory and the connections that a process holds for its callers.
#[derive(Clone)]
pub struct Budget(Arc<Shared>);

struct Shared {
    inner: Mutex<Inner>,
    /// Notified when memory is released or a connection closes.
    released: Notify,
    /// Number of tasks that wait for that.
    waiting: AtomicUsize,
    next_server: AtomicU32,
    started_at: Instant,
}

struct Inner {
    ledger: Ledger,
    links: HashMap<ConnectionId, Arc<Link>>,
    logged: Option<(Instant, Counts)>,
}

/// How a connection learns that it is evicted, and what it records about itself.
#[derive(Debug, Default)]
pub(crate) struct Link {
    pub(crate) reject: Notify,
    pub(crate) close: Notify,
    /// Whether the response was handed over, but may not be written yet.
    pub(crate) response_done: AtomicBool,
    /// Whether the caller may still be sending a body that nobody reads.
    pub(crate) unread_body: AtomicBool,
}

/// Why memory for a body was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The body was evicted in favor of others.
    Evicted,
    /// There was no room in time.
    NoRoom,
}

impl Budget {
    /// Creates a budget.
    pub fn new(limits: BudgetLimits) -> Self {
        let inner = Inner { ledger: Ledger::new(limits), links: HashMap::new(), logged: None };
        Self(Arc::new(Shared {
            inner: Mutex::new(inner),
            released: Notify::new(),
            waiting: AtomicUsize::new(0),
            next_server: AtomicU32::new(0),
            started_at: Instant::now(),
        }))
    }

    /// Returns the memory that is held, in bytes.
    pub fn used(&self) -> usize {
        self.inner().ledger.used()
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.inner().ledger.connections()
    }

    /// Returns what has happened so far.
    pub fn counts(&self) -> Counts {
        self.inner().ledger.counts()
    }

    /// Returns an identifier for a server whose connections are counted together.
    pub(crate) fn add_server(&self) -> u32 {
        self.0.next_server.fetch_add(1, Ordering::Relaxed)
    }

    /// Opens a connection as soon as there is room for it. Returns nothing if there is no memory for it in time.
    pub(crate) async fn open(
        &self,
        server: u32,
        address: IpAddr,
        max_connections: usize,
        privileged: bool,
    ) -> Option<Account> {
        let mut gives_up_at = None;
        loop {
            let released = self.0.released.notified();
            tokio::pin!(released);
            let _waiter = Waiter::new(&self.0.waiting);
            released.as_mut().enable();
            let link = Arc::<Link>::default();
            let admission = self.with_inner(|inner, now| {
                let admission = inner.ledger.open(server, address, max_connections, privileged, now);
                if let Admission::Opened(id) = admission {
                    // Under the same lock: an eviction of a connection without a link would be lost.
                    inner.links.insert(id, link.clone());
                }
                admission
            });
            match admission {
                Admission::Opened(id) => {
                    let owner = Owner { address, workspace: None };
                    return Some(Account(Arc::new(AccountData { budget: self.clone(), id, link, owner })));
                }
                Admission::NoConnection => {}
                Admission::NoMemory => {
                    let now = Instant::now();
                    let room_wait = Duration::from_millis(self.inner().ledger.limits().room_wait_ms);
                    if now >= *gives_up_at.get_or_insert(now + room_wait) {
                        return None;
                    }
                }
            }
            // After the interval, others may have stalled.
            let _ = tokio::time::timeout(CHECK_INTERVAL, released).await;
        }
    }

    /// Applies a change to the ledger and informs the connections that it evicts.
    pub(crate) fn with_ledger<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut Ledger, u64) -> T,
    {
        self.with_inner(|inner, now| change(&mut inner.ledger, now))
    }

    /// Applies a change and informs the connections that it evicts.
    fn with_inner<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut Inner, u64) -> T,
    {
        let now = u64::try_from(self.0.started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        let mut inner = self.inner();
        let result = change(&mut inner, now);
        let evictions = inner.ledger.take_evictions();
        if !evictions.is_empty() {
            for (id, eviction) in evictions {
                let Some(link) = inner.links.get(&id) else { continue };
                match eviction {
                    Eviction::Reject => link.reject.notify_one(),
                    Eviction::Close => link.close.notify_one(),
                }
            }
            inner.log_evictions();
        }
        result
    }

    fn close(&self, id: ConnectionId) {
        self.with_ledger(|ledger, _| ledger.close(id));
        self.inner().links.remove(&id);
        self.notify_released();
    }

    fn notify_released(&self) {
        if self.0.waiting.load(Ordering::Relaxed) > 0 {
            self.0.released.notify_waiters();
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Budget {
    /// Creates a budget without limits.
    fn default() -> Self {
        Self::new(BudgetLimits::default())
    }
}

impl Inner {
    /// Logs that callers are evicted, at most once in an interval.
    fn log_evictions(&mut self) {
        let now = Instant::now();
        if self.logged.is_some_and(|(at, _)| now - at < LOG_INTERVAL) {
            return;
        }
        let (counts, before) =
            (self.ledger.counts(), self.logged.map(|(_, counts)| counts).unwrap_or_default());
        self.logged = Some((now, counts));
        log::warn!(
            "callers lose their connections or memory to others: {} idle connections, {} unfinished heads, {} stalled \
             bodies, {} waiting bodies, {} unread responses since the last such line; {} bytes held on {} connections",
            counts.idle_connections - before.idle_connections,
            counts.unfinished_heads - before.unfinished_heads,
            counts.stalled_bodies - before.stalled_bodies,
            counts.rejected_waits - before.rejected_waits,
            counts.unread_responses - before.unread_responses,
            self.ledger.used(),
            self.ledger.connections(),
        );
    }
}

/// A task that waits for memory or for a connection, counted until this value is dropped.
struct Waiter<'a>(&'a AtomicUsize);

impl<'a> Waiter<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Charges memory for one caller. The server adds it to the extensions of each request.
#[derive(Clone)]
pub struct Account(Arc<AccountData>);

struct AccountData {
    budget: Budget,
    id: ConnectionId,
    link: Arc<Link>,
    owner: Owner,
}

impl Account {
    /// Returns an account whose memory is not limited.
    pub fn unlimited() -> Self {
        Self::detached(&Budget::default())
    }

    /// Returns an account for memory that no connection holds.
    pub fn detached(budget: &Budget) -> Self {
        let owner = Owner { address: IpAddr::V4(Ipv4Addr::UNSPECIFIED), workspace: None };
        Self(Arc::new(AccountData { budget: budget.clone(), id: 0, link: Arc::default(), owner }))
    }

    /// Returns the memory that is held for all accounts of the budget, in bytes.
    pub fn used(&self) -> usize {
        self.0.budget.used()
    }

    /// Returns the account with the workspace of the caller.
    #[must_use]
    pub fn with_workspace(&self, workspace: Option<&str>) -> Self {
        let owner = Owner { address: self.0.owner.address, workspace: workspace.map(Arc::from) };
        let AccountData { budget, id, link, .. } = &*self.0;
        Self(Arc::new(AccountData { budget: budget.clone(), id: *id, link: link.clone(), owner }))
    }

    /// Charges memory that is held in any case.
    pub fn hold(&self, bytes: usize) -> Charge {
        self.0.budget.with_ledger(|ledger, _| ledger.force(self.0.id, &self.0.owner, bytes));
        Charge { account: self.clone(), bytes }
    }

    /// Charges memory for a response if there is room.
    pub fn try_charge(&self, bytes: usize) -> Option<Charge> {
        let charged = self.with_ledger(|ledger, id, now| ledger.try_charge(id, &self.0.owner, bytes, now));
        charged.then(|| Charge { account: self.clone(), bytes })
    }

    /// Charges memory for a body, once there is room for it.
    pub(crate) async fn charge(
        &self,
        bytes: usize,
        class: Class,
        deadline: Instant,
    ) -> Result<Charge, Refusal> {
        let Some(room_wait) = self.charge_now(bytes, class)? else {
            return Ok(Charge { account: self.clone(), bytes });
        };
        let expires_at = Instant::now() + room_wait;
        let shared = &self.0.budget.0;
        loop {
            let released = shared.released.notified();
            tokio::pin!(released);
            let _waiter = Waiter::new(&shared.waiting);
            released.as_mut().enable();
            if self.charge_now(bytes, class)?.is_none() {
                return Ok(Charge { account: self.clone(), bytes });
            }
            let now = Instant::now();
            if now >= deadline {
                return Err(Refusal::NoRoom);
            }
            if now >= expires_at {
                self.with_ledger(Ledger::expire_wait);
            }
            tokio::select! {
                () = released => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
                () = self.rejected() => return Err(Refusal::Evicted),
            }
        }
    }

    /// Charges memory if there is room. Otherwise, returns how long to wait before others are rejected.
    fn charge_now(&self, bytes: usize, class: Class) -> Result<Option<Duration>, Refusal> {
        self.with_ledger(|ledger, id, now| match ledger.charge(id, &self.0.owner, bytes, class, now) {
            Verdict::Granted => Ok(None),
            Verdict::Wait => Ok(Some(Duration::from_millis(ledger.limits().room_wait_ms))),
            Verdict::Evicted => Err(Refusal::Evicted),
        })
    }

    /// Waits until the body that is being received is evicted.
    pub(crate) async fn rejected(&self) {
        self.0.link.reject.notified().await;
    }

    /// Records that the caller may still be sending a body that nobody reads.
    pub(crate) fn mark_unread_body(&self) {
        self.0.link.unread_body.store(true, Ordering::Relaxed);
    }

    pub(crate) fn link(&self) -> &Arc<Link> {
        &self.0.link
    }

    pub(crate) fn owner(&self) -> &Owner {
        &self.0.owner
    }

    pub(crate) fn with_ledger<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut Ledger, ConnectionId, u64) -> T,
    {
        self.0.budget.with_ledger(|ledger, now| change(ledger, self.0.id, now))
    }

    /// Closes the connection of the account in the ledger. What is still charged stays so.
    pub(crate) fn close(&self) {
        self.0.budget.close(self.0.id);
    }
}

/// Memory that is held for a caller until this value is dropped.
pub struct Charge {
    account: Account,
    bytes: usize,
}

impl Drop for Charge {
    fn drop(&mut self) {
        let AccountData { budget, id, owner, .. } = &*self.account.0;
        budget.with_ledger(|ledger, _| ledger.release(*id, owner, self.bytes));
        budget.notify_released();
    }
}
