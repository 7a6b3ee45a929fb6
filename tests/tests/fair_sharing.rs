//! Queued calls are served according to the weights of their workspaces.
//!
//! In a queue without shares, a workspace that sends many calls at once would delay all others.

use jujubedoor::admission::Queue;
use jujubedoor::ids::RequestId;
use jujubedoor::ids::Time;
use jujubedoor::message::Acquire;

/// Returns a queued call of a workspace.
fn queued_call(workspace: &str, seq: u64) -> jujubedoor::admission::QueuedCall {
    let request = RequestId { seq, ..RequestId::default() };
    let acquire = Acquire { request, workspace: workspace.into(), ..Acquire::default() };
    jujubedoor::admission::QueuedCall {
        from: "vm-0".into(),
        acquire,
        arrived_at: Time(seq),
        expires_at: Time(u64::MAX),
    }
}

fn weight(workspace: &str) -> u32 {
    if workspace == "schools" { 3 } else { 1 }
}

/// Serves some queued calls and returns their workspaces in order.
fn serve(queue: &mut Queue, count: usize) -> Vec<String> {
    let mut served = Vec::new();
    for _ in 0..count {
        let Some(queued) = queue.pop(|_| true) else { break };
        let workspace = queued.acquire.workspace;
        queue.charge(&workspace, weight(&workspace));
        served.push(workspace.to_string());
    }
    served
}

/// Two workspaces with weights of 3 and 1 have calls queued all the time.
#[test]
fn weights_determine_shares() {
    let mut queue = Queue::default();
    for seq in 0..40 {
        queue.push(queued_call("schools", seq), 1_000, weight);
        queue.push(queued_call("families", seq), 1_000, weight);
    }
    let served = serve(&mut queue, 40);
    let schools = served.iter().filter(|workspace| *workspace == "schools").count();
    assert!(
        (29..=31).contains(&schools),
        "a weight of 3 to 1 should give about 30 of 40 calls, but got {schools}"
    );
}

/// A workspace sends a call when another one has 180 calls in the queue. It would wait for all of them if the
/// order of arrival counted.
#[test]
fn surge_delays_only_itself() {
    let mut queue = Queue::default();
    for seq in 0..200 {
        queue.push(queued_call("families", seq), 1_000, weight);
    }
    assert_eq!(serve(&mut queue, 20).len(), 20);
    queue.push(queued_call("schools", 500), 1_000, weight);
    assert!(
        serve(&mut queue, 2).contains(&"schools".to_owned()),
        "a newly active workspace should wait for at most one call"
    );
}

/// If the queue is full, the workspace that fills it must lose a call, not the one that sends its first call.
#[test]
fn full_queue_drops_surge() {
    let mut queue = Queue::default();
    for seq in 0..10 {
        assert!(queue.push(queued_call("families", seq), 10, weight).is_none());
    }
    let dropped = queue.push(queued_call("schools", 100), 10, weight).expect("the queue is full");
    assert_eq!(&*dropped.acquire.workspace, "families");
    assert_eq!(queue.len(), 10);
}

/// A call moves to another upstream and joins its queue late. It would lose its place if the order of joining
/// counted.
#[test]
fn oldest_goes_first() {
    let mut queue = Queue::default();
    for seq in [5, 3, 9] {
        queue.push(queued_call("families", seq), 10, weight);
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(|_| true)).map(|c| c.acquire.request.seq).collect();
    assert_eq!(order, [3, 5, 9], "a call that was queued at another upstream should keep its arrival time");
}
