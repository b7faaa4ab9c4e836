//! The functions of the C library that this library replaces. Each draws a random number for the rules and then makes
//! the system call itself, so that it does not need the C library's own function.

use crate::counts::Counts;
use crate::rules::{Operation, Outcome, Rule, parse};
use libc::{
    c_char, c_int, c_long, c_uint, c_void, iovec, mode_t, off_t, size_t, sockaddr, socklen_t, ssize_t,
};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};

/// Nanoseconds per millisecond.
const NS_PER_MS: u64 = 1_000_000;
/// Maximum length of a shortened read or write, in bytes.
const MAX_SHORT_BYTES: usize = 64;

struct Plan {
    rules: Vec<Rule>,
    epoch_ns: u64,
    seed: u64,
    draw_count: AtomicU64,
    counts: Option<Counts>,
}

static PLAN: OnceLock<Plan> = OnceLock::new();

fn monotonic_ns() -> u64 {
    let mut now = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: a valid clock and a valid pointer for its time.
    unsafe { libc::syscall(libc::SYS_clock_gettime, libc::CLOCK_MONOTONIC, &mut now) };
    now.tv_sec as u64 * 1_000_000_000 + now.tv_nsec as u64
}

fn read_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

fn read_plan() -> Plan {
    let text = std::env::var("FLEETLAB_SHIM_RULES").unwrap_or_default();
    let counts = std::env::var("FLEETLAB_SHIM_COUNTS").ok();
    Plan {
        rules: parse(&text).0,
        epoch_ns: read_number("FLEETLAB_SHIM_EPOCH_NS").unwrap_or_else(monotonic_ns),
        seed: read_number("FLEETLAB_SHIM_SEED").unwrap_or(1),
        draw_count: AtomicU64::new(0),
        counts: counts.and_then(|path| Counts::map(&path)),
    }
}

thread_local! {
    /// Whether this thread is reading the plan: its calls are not changed meanwhile.
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
    /// A random number in [0, 1): SplitMix64 of the seed and the number of earlier draws.
    fn draw(&self) -> f64 {
        let drawn = self.draw_count.fetch_add(1, Ordering::Relaxed);
        let mut z = self.seed.wrapping_add(drawn.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn outcome(&self, operation: Operation) -> Option<Outcome> {
        if self.rules.iter().all(|rule| rule.operation != operation) {
            return None;
        }
        let now_ms = monotonic_ns().saturating_sub(self.epoch_ns) / NS_PER_MS;
        let in_force =
            |rule: &Rule| rule.operation == operation && (rule.from_ms..rule.to_ms).contains(&now_ms);
        for (index, rule) in self.rules.iter().enumerate() {
            if in_force(rule) && self.draw() < rule.probability {
                self.counts.iter().for_each(|counts| counts.add(index));
                return Some(rule.outcome);
            }
        }
        None
    }
}

/// The outcome of a call; `None` if it is not changed.
fn outcome(operation: Operation) -> Option<Outcome> {
    plan()?.outcome(operation)
}

fn fail(error: i32) -> c_int {
    // SAFETY: the error number of the calling thread.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The operation of a write to a descriptor; `None` if it is neither a regular file nor a socket, such as an eventfd.
fn write_operation(fd: c_int) -> Option<Operation> {
    // SAFETY: a valid pointer for the state of a descriptor, which the system fills unless the call fails.
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

/// The outcome of a write to a descriptor of any kind; `None` if it is not changed.
fn write_outcome(fd: c_int) -> Option<Outcome> {
    let plan = plan()?;
    let has_rule = plan.rules.iter().any(|r| matches!(r.operation, Operation::Write | Operation::Send));
    if !has_rule {
        return None;
    }
    plan.outcome(write_operation(fd)?)
}

/// A shorter length, of at least one byte, and short enough that messages are split.
fn shortened(length: size_t) -> size_t {
    let drawn = plan().map_or(0.0, Plan::draw);
    let short = 1 + (drawn * MAX_SHORT_BYTES as f64) as size_t;
    if length > 1 { short.min(length - 1) } else { length }
}

fn kill_now() -> ! {
    // SAFETY: the process ends here, like by a SIGKILL of an operator.
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
    let null = std::ptr::null::<c_void>();
    // SAFETY: the arguments of the caller, or with a smaller length.
    unsafe { libc::syscall(libc::SYS_recvfrom, fd, buffer, length, flags, null, null) as ssize_t }
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
    let null = std::ptr::null::<c_void>();
    // SAFETY: the arguments of the caller, or with a smaller length.
    unsafe { libc::syscall(libc::SYS_sendto, fd, buffer, length, flags, null, 0) as ssize_t }
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
    // SAFETY: the arguments of the caller, or with a smaller length.
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
    // SAFETY: the arguments of the caller, or with fewer vectors.
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
    // SAFETY: the arguments of the caller, or with a smaller length.
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
    // SAFETY: the arguments of the caller.
    unsafe { libc::syscall(libc::SYS_accept4, fd, address, length, flags) as c_int }
}

/// # Safety
/// As `connect(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Connect) {
        return fail(error);
    }
    // SAFETY: the arguments of the caller.
    unsafe { libc::syscall(libc::SYS_connect, fd, address, length) as c_int }
}

/// # Safety
/// As `socket(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Socket) {
        return fail(error);
    }
    // SAFETY: the arguments of the caller.
    unsafe { libc::syscall(libc::SYS_socket, domain, kind, protocol) as c_int }
}

/// # Safety
/// As `epoll_wait(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Wait) {
        return fail(error);
    }
    let no_mask = std::ptr::null::<c_void>();
    let mask_length = 8 as c_long;
    // SAFETY: the arguments of the caller, without a signal mask.
    unsafe {
        libc::syscall(libc::SYS_epoll_pwait, fd, events, max_events, timeout, no_mask, mask_length) as c_int
    }
}

/// # Safety
/// As `clock_gettime(2)`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    // SAFETY: the arguments of the caller.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int };
    if result == 0
        && clock == libc::CLOCK_REALTIME
        && let Some(Outcome::Shifted(seconds)) = outcome(Operation::Clock)
    {
        // SAFETY: the system has just written the time there.
        unsafe { (*time).tv_sec += seconds };
    }
    result
}

/// The system call of all functions that open a file.
unsafe fn open_at(directory: c_int, path: *const c_char, flags: c_int, mode: c_uint) -> c_int {
    if let Some(Outcome::Fails(error)) = outcome(Operation::Open) {
        return fail(error);
    }
    // SAFETY: the arguments of the caller.
    unsafe { libc::syscall(libc::SYS_openat, directory, path, flags, mode) as c_int }
}

/// # Safety
/// As `open(2)`; the system reads the mode only if the flags require one.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    // SAFETY: the requirements of this function.
    unsafe { open_at(libc::AT_FDCWD, path, flags, mode) }
}

/// # Safety
/// As `openat(2)`; the system reads the mode only if the flags require one.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn openat64(
    directory: c_int,
    path: *const c_char,
    flags: c_int,
    mode: mode_t,
) -> c_int {
    // SAFETY: the requirements of this function.
    unsafe { open_at(directory, path, flags, mode) }
}

/// Waits for a random time between these limits, in milliseconds.
fn wait_between(min_ms: u64, max_ms: u64) {
    let drawn = plan().map_or(0.0, Plan::draw);
    let nanoseconds = min_ms * NS_PER_MS + (drawn * ((max_ms - min_ms) * NS_PER_MS) as f64) as u64;
    std::thread::sleep(std::time::Duration::from_nanos(nanoseconds));
}

/// Syncs a file by this system call, unless a rule makes it fail; a rule may also delay it.
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
