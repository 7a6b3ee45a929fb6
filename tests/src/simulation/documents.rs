//! The document and the list of VMs of a simulated fleet.

use std::fmt::Write;
use std::sync::Arc;

use jujubedoor::documents::PublishedDocument;
use jujubedoor::fleet::VmEntry;
use jujubedoor::ids::Revision;

/// Returns a document that declares the workspace `w`, the model `m` on some engines, and the service `s`.
pub fn document(engines: usize, slots: u32, cold_slots: u32) -> String {
    let mut text = String::from(
        "team: t\nfailure_domains:\n  - name: a\n    region: home\nmodels:\n  - name: m\n    bound: 2\n\
         services:\n  - name: s\n    bound: 50\n    non_repeatable:\n      - path: /seal/*\nupstreams:\n  \
         - name: store\n    address: 127.0.0.1:1\n    domain: a\n    serves: [s]\n    reports: false\n",
    );
    for number in 0..engines {
        let _ = write!(
            text,
            "  - name: e{number}\n    address: 127.0.0.1:1\n    domain: a\n    serves: [m]\n    slots: {slots}\n    \
             cold_slots: {cold_slots}\n"
        );
    }
    text.push_str("workspaces:\n  - name: w\n");
    text
}

pub(super) fn published_document(document: &str, revision: u64) -> PublishedDocument {
    PublishedDocument { team: "t".into(), revision: Revision(revision), text: Arc::from(document) }
}

pub(super) fn vm_name(number: usize) -> jujubedoor_config::Name {
    format!("vm-{number}").into()
}

pub(super) fn vm_entry(number: usize) -> VmEntry {
    VmEntry {
        name: vm_name(number),
        peer_address: ([127, 0, 0, 1], 1).into(),
        admin_address: ([127, 0, 0, 1], 1).into(),
        region: "home".into(),
        domain: "a".into(),
        leaving: false,
    }
}
