//! The settings of an edge VM, as the platform fills them in.

use jujubedoor_config::edge;
use jujubedoor_config::edge::EdgeSettings;

const ADDRESSES: &str = "vm: vm-1\ndomain: domain-1\nlisten: 127.0.0.1:1\nready_listen: 127.0.0.1:2\n\
                         peer_listen: 127.0.0.1:3\nmetrics_listen: 127.0.0.1:4\nregistry: 127.0.0.1:5\n";

fn parse(lines: &str) -> EdgeSettings {
    edge::parse(&format!("{ADDRESSES}{lines}")).expect("valid settings")
}

/// Guards against a VM that did not start because a time of the platform had a fraction.
#[test]
fn fractions_of_times() {
    let settings =
        parse("stop_ms: 8.5e3\ndrain_ms: 1500.7\nregistry_history_ms: 20e3\nretry_window_ms: 10000\n");
    assert_eq!(settings.stop_ms, 8_500);
    assert_eq!(settings.drain_ms, 1_500);
    assert_eq!(settings.registry_history_ms, 20_000);
    assert_eq!(settings.retry_window_ms, 10_000);
}

/// Guards against a cost of leaving the failure domain that is weighed although the operators set none.
#[test]
fn domain_crossing() {
    let settings = parse("");
    assert_eq!((settings.domain_crossing_cost_ms, settings.domain_crossing_min_rtt_us), (None, 1_000));
    let settings = parse("domain_crossing_cost_ms: 7.5\ndomain_crossing_min_rtt_us: 0\n");
    assert_eq!((settings.domain_crossing_cost_ms, settings.domain_crossing_min_rtt_us), (Some(7.5), 0));
    for line in ["cost_ms: -1", "cost_ms: 10001", "cost_ms: .nan", "cost_ms: none", "min_rtt_us: 1000001"] {
        assert!(edge::parse(&format!("{ADDRESSES}domain_crossing_{line}\n")).is_err(), "{line}");
    }
}

#[test]
fn times_out_of_range() {
    for line in [
        "stop_ms: 499",
        "stop_ms: 3600001",
        "drain_ms: -1e3",
        "change_ms: soon",
        "stop_ms: .inf",
        "speed_decay_ms: -1",
    ] {
        assert!(edge::parse(&format!("{ADDRESSES}{line}\n")).is_err(), "{line}");
    }
}

/// Zero turns the speeds of upstreams off, unlike the absence of the setting.
#[test]
fn speeds_can_be_ignored() {
    assert_eq!(parse("").speed_decay_ms, 1_000);
    assert_eq!(parse("speed_decay_ms: 0\n").speed_decay_ms, 0);
}

/// Guards against a VM that did not start because the platform gave its memory or descriptors with a fraction.
#[test]
fn memory_and_files() {
    let settings = parse("memory_mb: 160.0\nmax_files: 4.1e3\n");
    assert!((settings.memory_mb - 160.0).abs() < f64::EPSILON);
    assert!((settings.max_files - 4_100.0).abs() < f64::EPSILON);
    for line in ["memory_mb: 31", "memory_mb: .nan", "max_files: 1023", "min_caller_bytes_per_s: 0"] {
        assert!(edge::parse(&format!("{ADDRESSES}{line}\n")).is_err(), "{line}");
    }
}

/// Guards against a time for registrations that holds for one deployment only.
#[test]
fn registration_delay_follows_interval() {
    assert_eq!(parse("").registration_delay_ms(), 2_000);
    assert_eq!(parse("registration_interval_ms: 3000\n").registration_delay_ms(), 3_800);
}
