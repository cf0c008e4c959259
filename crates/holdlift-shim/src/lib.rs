//! A library for `LD_PRELOAD` that steps a process's wall clock and has its system calls fail, as a test says while the process
//! runs. Tests only: nothing of the product links it. It is the one crate of the workspace in which `unsafe` is allowed, as
//! it stands in for functions of the C library.
//!
//! `HOLDLIFT_SHIM` names a file of [`SLOTS`] signed 64-bit numbers in the machine's order, which the process maps and the test
//! writes to. Slot 0 is what the wall clock is ahead by, µs. Behind it each [`Call`] has two: what it fails with, and how often
//! still. A fault is an error number, or [`SHORT`] for one byte at a time.
//!
//! It sees what goes through the C library: all of std, tokio and mio. It cannot see raw system calls, as rustix makes them:
//! the lease clock, and descriptors passed between two processes of a node.

use std::ffi::{c_char, c_int, c_void};
use std::ptr;
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

use libc::{clockid_t, epoll_event, iovec, size_t, sockaddr, socklen_t, ssize_t, timespec};

/// Numbers in the control file.
pub const SLOTS: usize = 32;
/// A fault that is none: the call does its work on one byte.
pub const SHORT: i64 = -1;

/// A function that can be made to fail. Its number is its place in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(usize)]
pub enum Call {
    /// `accept4`
    Accept = 1,
    /// `connect`
    Connect,
    /// `socket`
    Socket,
    /// `recv`
    Recv,
    /// `send` and `writev`
    Send,
    /// `epoll_wait`
    EpollWait,
    /// `fsync` and `fdatasync`
    Sync,
}

const NOT_YET: *mut AtomicI64 = ptr::null_mut();
static CONTROL: AtomicPtr<AtomicI64> = AtomicPtr::new(NOT_YET);
/// Stands for a control file that is not there: no fault, no step.
static NONE: [AtomicI64; SLOTS] = [const { AtomicI64::new(0) }; SLOTS];

fn control() -> &'static [AtomicI64] {
    let mut at = CONTROL.load(Ordering::Acquire);
    if at == NOT_YET {
        // SAFETY: only functions of the C library that this one does not stand in for are called.
        at = unsafe { map() }.unwrap_or(NONE.as_ptr().cast_mut());
        CONTROL.store(at, Ordering::Release);
    }
    // SAFETY: either the statics above or a mapping of that size that is never undone.
    unsafe { std::slice::from_raw_parts(at, SLOTS) }
}

unsafe fn map() -> Option<*mut AtomicI64> {
    let name: *const c_char = c"HOLDLIFT_SHIM".as_ptr();
    // SAFETY: the name ends in a zero byte; what is mapped is checked to be there.
    unsafe {
        let path = libc::getenv(name);
        if path.is_null() {
            return None;
        }
        let fd = libc::open(path, libc::O_RDWR | libc::O_CLOEXEC);
        if fd < 0 {
            return None;
        }
        let bytes = SLOTS * size_of::<AtomicI64>();
        let at =
            libc::mmap(ptr::null_mut(), bytes, libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED, fd, 0);
        libc::close(fd);
        (at != libc::MAP_FAILED).then_some(at.cast())
    }
}

/// What this call is to fail with, if it is.
fn fault(call: Call) -> Option<i64> {
    let slots = control();
    let (what, left) = (&slots[2 * call as usize], &slots[2 * call as usize + 1]);
    let mut n = left.load(Ordering::Acquire);
    while n > 0 {
        match left.compare_exchange(n, n - 1, Ordering::AcqRel, Ordering::Acquire) {
            Ok(_) => return Some(what.load(Ordering::Acquire)),
            Err(now) => n = now,
        }
    }
    None
}

/// Fails with that error number.
fn fail(errno: i64) -> i64 {
    // SAFETY: the C library's own place for it, of this thread.
    unsafe { *libc::__errno_location() = c_int::try_from(errno).unwrap_or(libc::EIO) };
    -1
}

/// The error of a call that is to fail, or how many of `len` bytes it may do.
fn limited(call: Call, len: size_t) -> Result<size_t, i64> {
    match fault(call) {
        None => Ok(len),
        Some(SHORT) => Ok(len.min(1)),
        Some(errno) => Err(errno),
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    // SAFETY: handed on as it came.
    let done = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) };
    if done == 0 && clock == libc::CLOCK_REALTIME {
        let ahead = control()[0].load(Ordering::Acquire);
        // SAFETY: the system has written it.
        let time = unsafe { &mut *to };
        let us = time.tv_sec * 1_000_000 + time.tv_nsec / 1_000 + ahead;
        (time.tv_sec, time.tv_nsec) = (us.div_euclid(1_000_000), us.rem_euclid(1_000_000) * 1_000);
    }
    done as c_int
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(fd: c_int, from: *mut sockaddr, len: *mut socklen_t, flags: c_int) -> c_int {
    match fault(Call::Accept) {
        // SAFETY: handed on as it came.
        None => unsafe { libc::syscall(libc::SYS_accept4, fd, from, len, flags) as c_int },
        Some(errno) => fail(errno) as c_int,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, to: *const sockaddr, len: socklen_t) -> c_int {
    match fault(Call::Connect) {
        // SAFETY: handed on as it came.
        None => unsafe { libc::syscall(libc::SYS_connect, fd, to, len) as c_int },
        Some(errno) => fail(errno) as c_int,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    match fault(Call::Socket) {
        // SAFETY: handed on as it came.
        None => unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int },
        Some(errno) => fail(errno) as c_int,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, len: size_t, flags: c_int) -> ssize_t {
    match limited(Call::Recv, len) {
        // SAFETY: handed on as it came, or for fewer bytes.
        Ok(len) => unsafe {
            libc::syscall(
                libc::SYS_recvfrom,
                fd,
                to,
                len,
                flags,
                ptr::null::<c_void>(),
                ptr::null::<c_void>(),
            ) as ssize_t
        },
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, len: size_t, flags: c_int) -> ssize_t {
    match limited(Call::Send, len) {
        // SAFETY: handed on as it came, or for fewer bytes.
        Ok(len) => unsafe {
            libc::syscall(libc::SYS_sendto, fd, from, len, flags, ptr::null::<c_void>(), 0) as ssize_t
        },
        Err(errno) => fail(errno) as ssize_t,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t {
    // Parts that hold nothing come before the one that holds the first byte.
    // SAFETY: the caller says that there are so many.
    let first = unsafe { std::slice::from_raw_parts(parts, usize::try_from(count).unwrap_or(0)) }
        .iter()
        .find(|part| part.iov_len > 0);
    match (fault(Call::Send), first) {
        (Some(SHORT), Some(first)) => {
            let one = iovec { iov_base: first.iov_base, iov_len: 1 };
            // SAFETY: the first byte of what was handed in.
            unsafe { libc::syscall(libc::SYS_writev, fd, &one, 1) as ssize_t }
        }
        (Some(errno), _) if errno != SHORT => fail(errno) as ssize_t,
        // SAFETY: handed on as it came.
        _ => unsafe { libc::syscall(libc::SYS_writev, fd, parts, count) as ssize_t },
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(fd: c_int, to: *mut epoll_event, most: c_int, ms: c_int) -> c_int {
    match fault(Call::EpollWait) {
        None => unsafe {
            // SAFETY: handed on as it came; without a mask it is the plain one.
            libc::syscall(libc::SYS_epoll_pwait, fd, to, most, ms, ptr::null::<c_void>(), 8) as c_int
        },
        Some(errno) => fail(errno) as c_int,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    match fault(Call::Sync) {
        // SAFETY: a number.
        None => unsafe { libc::syscall(libc::SYS_fsync, fd) as c_int },
        Some(errno) => fail(errno) as c_int,
    }
}

/// # Safety
/// As the C library's.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    match fault(Call::Sync) {
        // SAFETY: a number.
        None => unsafe { libc::syscall(libc::SYS_fdatasync, fd) as c_int },
        Some(errno) => fail(errno) as c_int,
    }
}
