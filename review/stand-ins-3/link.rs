//! The link between the machines and an engine. While it is cut, it holds what either side has sent, also the end of a
//! connection, and delivers it afterwards, as the operating systems of both sides do by sending it again. Packets that open
//! connections are dropped meanwhile.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::socket;

const POLL: Duration = Duration::from_millis(1);

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    listener: TcpListener,
    is_cut: AtomicBool,
}

impl Link {
    /// Starts a link to a process at an address.
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let link = Self { address, shared: Arc::new(Shared { listener, is_cut: AtomicBool::new(false) }) };
        let accepting = link.clone();
        std::thread::spawn(move || {
            loop {
                let accepted =
                    (!accepting.is_cut()).then(|| accepting.shared.listener.accept().ok()).flatten();
                let Some((stream, _)) = accepted else {
                    std::thread::sleep(POLL);
                    continue;
                };
                let link = accepting.clone();
                std::thread::spawn(move || link.forward(stream, to));
            }
        });
        link
    }

    /// Cuts the link. Returns the connections that take the room of further ones.
    pub fn cut(&self) -> Vec<TcpStream> {
        self.shared.is_cut.store(true, Ordering::Relaxed);
        socket::set_backlog(&self.shared.listener, 0);
        let connect = |_| TcpStream::connect_timeout(&self.address, Duration::from_millis(20)).ok();
        (0..4).map_while(connect).collect()
    }

    pub fn heal(&self, waiting: Vec<TcpStream>) {
        drop(waiting);
        socket::set_backlog(&self.shared.listener, 128);
        self.shared.is_cut.store(false, Ordering::Relaxed);
    }

    fn is_cut(&self) -> bool {
        self.shared.is_cut.load(Ordering::Relaxed)
    }

    fn forward(&self, near: TcpStream, to: SocketAddr) {
        let _ = near.set_nonblocking(false);
        let _ = near.set_nodelay(true);
        // Without a process, a connection is refused; here it is reset.
        let Ok(far) = TcpStream::connect(to) else { return socket::reset(near) };
        let _ = far.set_nodelay(true);
        let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { return };
        let link = self.clone();
        let requests = std::thread::spawn(move || link.copy(near_reader, far));
        self.copy(far_reader, near);
        let _ = requests.join();
    }

    /// Copies one direction of a connection, up to its end or reset.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16384];
        loop {
            let read = from.read(&mut buffer);
            while self.is_cut() {
                std::thread::sleep(POLL);
            }
            match read {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => {
                    // Either side has reset the connection.
                    socket::reset_both(&from, &to);
                    return;
                }
            }
        }
    }
}
