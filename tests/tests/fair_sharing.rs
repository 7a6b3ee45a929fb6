//! Waiting calls are served by the weights of their workspaces, and a surge delays only itself.

use jujubedoor::admission::Queue;
use jujubedoor::ids::RequestId;
use jujubedoor::ids::Time;
use jujubedoor::message::Acquire;

/// A call that waits, of a workspace.
fn waiter(workspace: &str, seq: u64) -> jujubedoor::admission::QueuedCall {
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

/// Serves some calls and returns their workspaces in order.
fn serve(queue: &mut Queue, count: usize) -> Vec<String> {
    let mut served = Vec::new();
    for _ in 0..count {
        let Some(waiter) = queue.pop(|_| true) else { break };
        let workspace = waiter.acquire.workspace;
        queue.charge(&workspace, weight(&workspace));
        served.push(workspace.to_string());
    }
    served
}

#[test]
fn weights_share() {
    let mut queue = Queue::default();
    for seq in 0..40 {
        queue.push(waiter("schools", seq), 1_000, weight);
        queue.push(waiter("families", seq), 1_000, weight);
    }
    let served = serve(&mut queue, 40);
    let schools = served.iter().filter(|workspace| *workspace == "schools").count();
    assert!((29..=31).contains(&schools), "three of four go to the weight of three, {schools} did");
}

#[test]
fn surge_delays_itself() {
    let mut queue = Queue::default();
    for seq in 0..200 {
        queue.push(waiter("families", seq), 1_000, weight);
    }
    assert_eq!(serve(&mut queue, 20).len(), 20);
    queue.push(waiter("schools", 500), 1_000, weight);
    assert!(serve(&mut queue, 2).contains(&"schools".to_owned()), "a newcomer waits for one call at most");
}

#[test]
fn full_queue_drops_surge() {
    let mut queue = Queue::default();
    for seq in 0..10 {
        assert!(queue.push(waiter("families", seq), 10, weight).is_none());
    }
    let dropped = queue.push(waiter("schools", 100), 10, weight).expect("the queue is full");
    assert_eq!(&*dropped.acquire.workspace, "families");
    assert_eq!(queue.len(), 10);
}

#[test]
fn oldest_goes_first() {
    let mut queue = Queue::default();
    for seq in [5, 3, 9] {
        queue.push(waiter("families", seq), 10, weight);
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(|_| true)).map(|w| w.acquire.request.seq).collect();
    assert_eq!(order, [3, 5, 9], "a call that waited elsewhere keeps its place");
}
