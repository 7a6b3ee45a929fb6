//! Loads of upstreams that other VMs cause, as they report them.
//!
//! In a full mesh, each VM reports its own load to all others. In a larger fleet, VMs report to the relays
//! of their failure domain, relays report the sum of their domain to the relays of the others, and the total
//! of the fleet to the VMs of their domain. Sums are kept up to date with each report, so that neither a
//! report nor a lookup depends on the number of VMs or upstreams.

use std::collections::HashMap;

use jujubedoor::ids::Incarnation;
use jujubedoor::ids::Time;
use jujubedoor_config::Name;
use serde::Deserialize;
use serde::Serialize;

/// Load at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Short key of the upstream.
    pub upstream: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of prompt tokens to prefill for requests whose responses have not started.
    pub prefill_tokens: u32,
}

/// Load that several VMs cause together at one upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TotalLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of prompt tokens to prefill for requests whose responses have not started.
    pub prefill_tokens: u32,
}

/// Loads of upstreams that other VMs cause.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    /// Latest report of each VM about its own load.
    vms: HashMap<Incarnation, Report>,
    /// Sums of those reports by upstream.
    vm_sums: HashMap<u32, Sum>,
    /// Latest report of each relay of another failure domain about its domain.
    domains: HashMap<Incarnation, DomainReport>,
    /// Sums of those reports by upstream, one for each domain.
    domain_sums: HashMap<u32, Sum>,
    /// Latest report of each relay of this failure domain about the fleet, less the load of this VM.
    fleets: HashMap<Incarnation, FleetReport>,
}

#[derive(Clone, Debug)]
struct Report {
    loads: Vec<Load>,
    received_at: Time,
}

#[derive(Clone, Debug)]
struct DomainReport {
    domain: Name,
    report: Report,
}

#[derive(Clone, Debug)]
struct FleetReport {
    totals: HashMap<u32, TotalLoad>,
    received_at: Time,
}

/// A sum of loads, wide enough for any number of reports.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    running: u64,
    prefill_tokens: u64,
}

impl Sum {
    fn add(&mut self, load: &Load) {
        self.running += u64::from(load.running);
        self.prefill_tokens += u64::from(load.prefill_tokens);
    }

    fn subtract(&mut self, load: &Load) {
        self.running -= u64::from(load.running);
        self.prefill_tokens -= u64::from(load.prefill_tokens);
    }

    fn total(self) -> TotalLoad {
        let to_u32 = |value| u32::try_from(value).unwrap_or(u32::MAX);
        TotalLoad { running: to_u32(self.running), prefill_tokens: to_u32(self.prefill_tokens) }
    }

    fn load(self, upstream: u32) -> Load {
        let TotalLoad { running, prefill_tokens } = self.total();
        Load { upstream, running, prefill_tokens }
    }
}

impl TotalLoad {
    /// Returns the sum of two loads.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            prefill_tokens: self.prefill_tokens.saturating_add(other.prefill_tokens),
        }
    }
}

impl LoadView {
    /// Records the report of a VM about its own load.
    pub fn record_vm(&mut self, vm: Incarnation, loads: &[Load], now: Time) {
        let report = Report { loads: loads.to_vec(), received_at: now };
        for load in loads {
            self.vm_sums.entry(load.upstream).or_default().add(load);
        }
        if let Some(previous) = self.vms.insert(vm, report) {
            self.subtract(&previous);
        }
    }

    fn subtract(&mut self, report: &Report) {
        for load in &report.loads {
            if let Some(sum) = self.vm_sums.get_mut(&load.upstream) {
                sum.subtract(load);
                if sum.running == 0 && sum.prefill_tokens == 0 {
                    self.vm_sums.remove(&load.upstream);
                }
            }
        }
    }

    /// Records the report of another failure domain's relay about its domain.
    pub fn record_domain(&mut self, relay: Incarnation, domain: &Name, loads: &[Load], now: Time) {
        let report = Report { loads: loads.to_vec(), received_at: now };
        self.domains.insert(relay, DomainReport { domain: domain.clone(), report });
        self.sum_domains();
    }

    /// Sums the loads of the other failure domains.
    ///
    /// Of several relays of one domain the highest load is used, because a VM that has just become a relay
    /// knows only part of its domain.
    fn sum_domains(&mut self) {
        let mut highest: HashMap<(&Name, u32), Load> = HashMap::new();
        for DomainReport { domain, report } in self.domains.values() {
            for load in &report.loads {
                let known = highest.entry((domain, load.upstream)).or_insert(*load);
                if load.running > known.running {
                    *known = *load;
                }
            }
        }
        self.domain_sums.clear();
        for load in highest.into_values() {
            self.domain_sums.entry(load.upstream).or_default().add(&load);
        }
    }

    /// Records the report of a relay of this failure domain about the whole fleet. `own` is the load that
    /// this VM last reported, which the relay's totals include.
    pub fn record_fleet(&mut self, relay: Incarnation, loads: &[Load], own: &HashMap<u32, Load>, now: Time) {
        let without_own = |load: &Load| {
            let own_load = own.get(&load.upstream).copied().unwrap_or_default();
            let running = load.running.saturating_sub(own_load.running);
            let prefill_tokens = load.prefill_tokens.saturating_sub(own_load.prefill_tokens);
            (load.upstream, TotalLoad { running, prefill_tokens })
        };
        let totals = loads.iter().map(without_own).collect();
        self.fleets.insert(relay, FleetReport { totals, received_at: now });
    }

    /// Discards reports that were received before a time.
    pub fn discard_before(&mut self, before: Time) {
        self.fleets.retain(|_, fleet| fleet.received_at >= before);
        let domains = self.domains.len();
        self.domains.retain(|_, domain| domain.report.received_at >= before);
        if self.domains.len() != domains {
            self.sum_domains();
        }
        let is_old = |report: &mut Report| report.received_at < before;
        let old: Vec<Report> = self.vms.extract_if(|_, report| is_old(report)).map(|(_, r)| r).collect();
        for report in old {
            self.subtract(&report);
        }
    }

    /// Returns the load of all other VMs at an upstream: a relay's total if there is one, or else the sum of
    /// the reports of VMs and domains.
    pub fn others(&self, upstream: u32) -> TotalLoad {
        // A VM that has just become a relay knows only part of the fleet, so the highest total is used.
        let totals = self.fleets.values().map(|f| f.totals.get(&upstream).copied().unwrap_or_default());
        if let Some(total) = totals.max_by_key(|total| total.running) {
            return total;
        }
        let sum_in = |sums: &HashMap<u32, Sum>| sums.get(&upstream).copied().unwrap_or_default().total();
        sum_in(&self.vm_sums).plus(sum_in(&self.domain_sums))
    }

    /// Returns the loads of this failure domain together, given those of this VM.
    pub fn domain_loads(&self, own: &[Load]) -> Vec<Load> {
        let mut sums = self.vm_sums.clone();
        for load in own {
            sums.entry(load.upstream).or_default().add(load);
        }
        sums.into_iter().map(|(upstream, sum)| sum.load(upstream)).collect()
    }

    /// Returns the loads of the whole fleet, given those of this failure domain.
    pub fn fleet_loads(&self, domain_loads: &[Load]) -> Vec<Load> {
        let mut sums = self.domain_sums.clone();
        for load in domain_loads {
            sums.entry(load.upstream).or_default().add(load);
        }
        sums.into_iter().map(|(upstream, sum)| sum.load(upstream)).collect()
    }

    /// Returns the age of the latest report, in milliseconds, or `None` if there is none.
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        let reports = self.vms.values().chain(self.domains.values().map(|d| &d.report));
        let received_at = reports.map(|r| r.received_at).chain(self.fleets.values().map(|f| f.received_at));
        received_at.max().map(|at| now.since(at))
    }
}
