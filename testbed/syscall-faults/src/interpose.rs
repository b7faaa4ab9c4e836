//! The functions of the C library that this library takes the place of. Each draws a lot and then makes the system
//! call itself, so that nothing of the C library's own is needed.

use crate::counts::Counts;
use crate::rules::{Operation, Outcome, Rule, parse};
use libc::{
    c_char, c_int, c_long, c_uint, c_void, iovec, mode_t, off_t, size_t, sockaddr, socklen_t, ssize_t,
};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Nanoseconds of a millisecond.
const MILLISECOND: u64 = 1_000_000;
/// Most bytes of a read or a write that comes short.
const MAX_PIECE: usize = 64;

struct Plan {
    rules: Vec<Rule>,
    epoch_ns: u64,
    seed: u64,
    drawn: AtomicU64,
    counts: Option<Counts>,
}

static PLAN: OnceLock<Plan> = OnceLock::new();

fn monotonic_ns() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: a valid clock and a place for its time.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn read_plan() -> Plan {
    let text = std::env::var("FLEETLAB_SHIM_RULES").unwrap_or_default();
    let counts = std::env::var("FLEETLAB_SHIM_COUNTS").ok();
    Plan {
        rules: parse(&text).0,
        epoch_ns: number("FLEETLAB_SHIM_EPOCH_NS").unwrap_or_else(monotonic_ns),
        seed: number("FLEETLAB_SHIM_SEED").unwrap_or(1),
        drawn: AtomicU64::new(0),
        counts: counts.and_then(|path| Counts::map(&path)),
    }
}

thread_local! {
    /// The plan is being read: calls made for that pass.
    static READING: std::cell::Cell<bool> = const { std::cell::Cell::new(false) };
}

fn plan() -> Option<&'static Plan> {
    if let Some(plan) = PLAN.get() {
        return Some(plan);
    }
    if READING.replace(true) {
        return None;
    }
    let plan = PLAN.get_or_init(read_plan);
    READING.set(false);
    Some(plan)
}

impl Plan {
    /// A number in [0, 1) (SplitMix64 of the seed and of how many were drawn).
    fn draw(&self) -> f64 {
        let drawn = self.drawn.fetch_add(1, Ordering::Relaxed);
        let mut z = self.seed.wrapping_add(drawn.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn outcome(&self, operation: Operation) -> Option<Outcome> {
        if self.rules.iter().all(|rule| rule.operation != operation) {
            return None;
        }
        let now_ms = monotonic_ns().saturating_sub(self.epoch_ns) / MILLISECOND;
        let in_force =
            |rule: &Rule| rule.operation == operation && (rule.from_ms..rule.to_ms).contains(&now_ms);
        for (number, rule) in self.rules.iter().enumerate() {
            if in_force(rule) && self.draw() < rule.probability {
                self.counts.iter().for_each(|counts| counts.add(number));
                return Some(rule.outcome);
            }
        }
        None
    }
}

/// What is to become of a call.
fn outcome(operation: Operation) -> Option<Outcome> {
    plan()?.outcome(operation)
}

fn fail(error: i32) -> c_int {
    // SAFETY: the calling thread's own error number.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The operation that a write to a descriptor is; none for what is neither a file nor a socket, as an eventfd.
fn write_operation(fd: c_int) -> Option<Operation> {
    // SAFETY: a place for the state of a descriptor, which the system fills or refuses.
    let kind = unsafe {
        let mut state: libc::stat = std::mem::zeroed();
        if libc::fstat(fd, &mut state) != 0 {
            return None;
        }
        state.st_mode & libc::S_IFMT
    };
    match kind {
        libc::S_IFREG => Some(Operation::Write),
        libc::S_IFSOCK => Some(Operation::Send),
        _ => None,
    }
}

/// What is to become of a write to any descriptor.
fn write_outcome(fd: c_int) -> Option<Outcome> {
    let plan = plan()?;
    let concerned = plan.rules.iter().any(|r| matches!(r.operation, Operation::Write | Operation::Send));
    if !concerned {
        return None;
    }
    plan.outcome(write_operation(fd)?)
}

/// Fewer bytes than asked for, but some: few enough that messages come in several pieces.
fn shortened(length: size_t) -> size_t {
    let drawn = plan().map_or(0.0, Plan::draw);
    let piece = 1 + (drawn * MAX_PIECE as f64) as size_t;
    if length > 1 { piece.min(length - 1) } else { length }
}

fn kill_now() -> ! {
    // SAFETY: the process ends here, as by an operator's SIGKILL.
    unsafe {
        libc::kill(libc::getpid(), libc::SIGKILL);
        loop {
            libc::pause();
        }
    }
}

/// # Safety
/// As `recv(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let operation = if flags & libc::MSG_PEEK != 0 { Operation::Peek } else { Operation::Recv };
    let length = match outcome(operation) {
        Some(Outcome::Fails(error)) => return fail(error) as ssize_t,
        Some(Outcome::Short) => shortened(length),
        _ => length,
    };
    let none = std::ptr::null::<c_void>();
    // SAFETY: the caller's own arguments, at most with a smaller length.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, none, none) as ssize_t }
}

/// # Safety
/// As `send(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let length = match outcome(Operation::Send) {
        Some(Outcome::Fails(error)) => return fail(error) as ssize_t,
        Some(Outcome::Short) => shortened(length),
        _ => length,
    };
    let none = std::ptr::null::<c_void>();
    // SAFETY: the caller's own arguments, at most with a smaller length.
    unsafe { libc::syscall(libc::SYS_sendto, fd, buffer, length, flags, none, 0) as ssize_t }
}

/// # Safety
/// As `write(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    let outcome = write_outcome(fd);
    let length = match outcome {
        Some(Outcome::Fails(error)) => return fail(error) as ssize_t,
        Some(Outcome::Short | Outcome::Torn) => shortened(length),
        _ => length,
    };
    // SAFETY: the caller's own arguments, at most with a smaller length.
    let written = unsafe { libc::syscall(libc::SYS_write, fd, buffer, length) as ssize_t };
    if outcome == Some(Outcome::Torn) {
        kill_now();
    }
    written
}

/// # Safety
/// As `writev(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, vectors: *const iovec, count: c_int) -> ssize_t {
    let outcome = write_outcome(fd);
    let count = match outcome {
        Some(Outcome::Fails(error)) => return fail(error) as ssize_t,
        Some(Outcome::Short | Outcome::Torn) => count.min(1),
        _ => count,
    };
    // SAFETY: the caller's own arguments, at most with fewer vectors.
    let written = unsafe { libc::syscall(libc::SYS_writev, fd, vectors, count) as ssize_t };
    if outcome == Some(Outcome::Torn) {
        kill_now();
    }
    written
}

/// # Safety
/// As `pwrite(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn pwrite64(fd: c_int, buffer: *const c_void, length: size_t, at: off_t) -> ssize_t {
    let outcome = write_outcome(fd);
    let length = match outcome {
        Some(Outcome::Fails(error)) => return fail(error) as ssize_t,
        Some(Outcome::Short | Outcome::Torn) => shortened(length),
        _ => length,
    };
    // SAFETY: the caller's own arguments, at most with a smaller length.
    let written = unsafe { libc::syscall(libc::SYS_pwrite64, fd, buffer, length, at) as ssize_t };
    if outcome == Some(Outcome::Torn) {
        kill_now();
    }
    written
}

/// # Safety
/// As `accept4(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Accept) {
        return fail(error);
    }
    // SAFETY: the caller's own arguments.
    unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int }
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Connect) {
        return fail(error);
    }
    // SAFETY: the caller's own arguments.
    unsafe { libc::syscall(libc::SYS_connect, fd, address, length) as c_int }
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Socket) {
        return fail(error);
    }
    // SAFETY: the caller's own arguments.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// # Safety
/// As `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Wait) {
        return fail(error);
    }
    let no_mask = std::ptr::null::<c_void>();
    let mask_length = 8 as c_long;
    // SAFETY: the caller's own arguments, and no signal mask.
    unsafe { libc::syscall(libc::SYS_epoll_pwait, fd, events, most, timeout, no_mask, mask_length) as c_int }
}

/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the caller's own arguments.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(Outcome::Shifted(seconds)) = outcome(Operation::Clock)
    {
        // SAFETY: the system has just filled it.
        unsafe { (*time).tv_sec += seconds };
    }
    result
}

/// The system call behind all ways to open a file.
unsafe fn open_at(directory: c_int, path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Open) {
        return fail(error);
    }
    // SAFETY: the caller's own arguments.
    unsafe { libc::syscall(libc::SYS_openat, directory, path, flags, mode) as c_int }
}

/// # Safety
/// As `open(2)`; the mode is read by the system only where the flags ask for it.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: as this function's own.
    unsafe { open_at(libc::AT_FDCWD, path, flags, mode) }
}

/// # Safety
/// As `openat(2)`; the mode is read by the system only where the flags ask for it.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn openat64(
    directory: c_int,
    path: *const c_char,
    flags: c_int,
    mode: mode_t,
) -> c_int {
    // SAFETY: as this function's own.
    unsafe { open_at(directory, path, flags, mode) }
}

/// Waits for a time drawn between two, in milliseconds.
fn wait_between(min_ms: u64, max_ms: u64) {
    let drawn = plan().map_or(0.0, Plan::draw);
    let nanoseconds = min_ms * MILLISECOND + (drawn * ((max_ms - min_ms) * MILLISECOND) as f64) as u64;
    std::thread::sleep(std::time::Duration::from_nanos(nanoseconds));
}

/// Makes a file durable by this system call, unless a rule has it fail; a rule may have it take longer.
fn sync_file(call: c_long, fd: c_int) -> c_int {
    match outcome(Operation::Sync) {
        Some(Outcome::Fails(error)) => return fail(error),
        Some(Outcome::Delayed { min_ms, max_ms }) => wait_between(min_ms, max_ms),
        _ => {}
    }
    // SAFETY: a system call whose only argument is a descriptor.
    unsafe { libc::syscall(call, fd) as c_int }
}

/// # Safety
/// As `fsync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    sync_file(libc::SYS_fsync, fd)
}

/// # Safety
/// As `fdatasync(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync_file(libc::SYS_fdatasync, fd)
}
