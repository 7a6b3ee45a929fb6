//! Options of sockets and processes that the standard library does not offer.

use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::Command;

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    set_reset(&stream);
}

/// Resets two connections that are held by several owners.
pub fn reset_both(one: &TcpStream, other: &TcpStream) {
    for stream in [one, other] {
        set_reset(stream);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// Lets a connection be reset when it is closed.
fn set_reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    // The option has the layout that the C library declares.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, size_of::<Linger>() as u32) };
}

/// Changes the number of connections that wait to be accepted.
pub fn set_backlog(listener: &TcpListener, backlog: i32) {
    // The descriptor is that of a listening socket.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

/// Sends a signal to a process.
pub fn signal(pid: u32, signal: i32) {
    // The process was started by this program.
    unsafe { kill(pid as i32, signal) };
}

/// Lets a process that is started from the main thread end with this one, however that ends.
pub fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    let set = || {
        // The call concerns the new process only.
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
        Ok(())
    };
    // The closure only makes a system call.
    unsafe { command.pre_exec(set) };
}
