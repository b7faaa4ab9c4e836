//! Tests that load the library into a child process, in which calls with a rule fail and others don't.

use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant, SystemTime};

/// Set in the environment of the child process.
const CHILD: &str = "FLEETLAB_SHIM_CHILD";
const RULES: &str = "accept=ECONNABORTED@1:0-600000;recv=EINTR@0.5:0-600000;send=short@1:0-600000;\
                     clock=-3600@1:0-600000;write=ENOSPC@1:0-600000;sync=EIO@1:0-600000;\
                     socket=ENOBUFS@1:500000-600000";

fn library() -> PathBuf {
    let test = std::env::current_exe().expect("this test's path");
    let folder = test.parent().expect("a folder");
    let candidates = [
        folder.join("libfleet_testbed_syscall_faults.so"),
        folder.join("../libfleet_testbed_syscall_faults.so"),
    ];
    candidates.into_iter().find(|path| path.exists()).expect("the library beside its test")
}

/// The code of the child process, not a test of its own.
#[test]
#[ignore = "run as a child by calls_that_should_fail_do_and_others_do_not"]
fn child() {
    if std::env::var_os(CHILD).is_none() {
        return;
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind has no rule");
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).expect("connect has no rule");
    assert_eq!(listener.accept().unwrap_err().kind(), ErrorKind::ConnectionAborted);
    assert!((1..1000).contains(&client.write(&[0; 1000]).unwrap()), "only a part is written");
    client.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    let kinds: Vec<ErrorKind> = (0..50).map(|_| client.read(&mut [0]).unwrap_err().kind()).collect();
    assert!(kinds.contains(&ErrorKind::Interrupted) && kinds.contains(&ErrorKind::WouldBlock), "{kinds:?}");
    let path = std::env::temp_dir().join(format!("fleet-testbed-syscall-faults-{}", std::process::id()));
    let mut file = std::fs::File::create(&path).expect("open has no rule");
    assert_eq!(file.write(b"x").unwrap_err().kind(), ErrorKind::StorageFull);
    assert!(file.sync_all().is_err());
    std::fs::remove_file(&path).unwrap();
    println!("unix {}", SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_secs());
}

/// The code of a child process, not a test of its own: prints how long a sync takes.
#[test]
#[ignore = "run as a child by a_sync_takes_as_long_as_its_rule_says"]
fn syncing_child() {
    if std::env::var_os(CHILD).is_none() {
        return;
    }
    let path = std::env::temp_dir().join(format!("fleet-testbed-slow-sync-{}", std::process::id()));
    let file = std::fs::File::create(&path).expect("open has no rule");
    let started_at = Instant::now();
    file.sync_data().expect("the sync succeeds after its delay");
    std::fs::remove_file(&path).unwrap();
    println!("synced in {}", started_at.elapsed().as_millis());
}

#[test]
fn a_sync_takes_as_long_as_its_rule_says() {
    let child = Command::new(std::env::current_exe().unwrap())
        .args(["--ignored", "--exact", "syncing_child", "--nocapture"])
        .env(CHILD, "1")
        .env("LD_PRELOAD", library())
        .env("FLEETLAB_SHIM_RULES", "sync=300..400ms@1:0-600000")
        .output()
        .expect("the child runs");
    let text = String::from_utf8_lossy(&child.stdout);
    let elapsed_ms = text.lines().find_map(|l| l.split("synced in ").nth(1)?.trim().parse::<u64>().ok());
    assert!(elapsed_ms.is_some_and(|ms| ms >= 300), "{text}");
}

#[test]
fn calls_that_should_fail_do_and_others_do_not() {
    let counts =
        std::env::temp_dir().join(format!("fleet-testbed-syscall-faults-counts-{}", std::process::id()));
    let before = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_secs();
    let child = Command::new(std::env::current_exe().unwrap())
        .args(["--ignored", "--exact", "child", "--nocapture"])
        .env(CHILD, "1")
        .env("LD_PRELOAD", library())
        .env("FLEETLAB_SHIM_RULES", RULES)
        .env("FLEETLAB_SHIM_COUNTS", &counts)
        .output()
        .expect("the child runs");
    let text = String::from_utf8_lossy(&child.stdout);
    assert!(child.status.success(), "{text}{}", String::from_utf8_lossy(&child.stderr));
    let unix =
        text.lines().find_map(|l| l.split("unix ").nth(1)?.trim().parse::<u64>().ok()).expect("a time");
    assert!(unix.abs_diff(before - 3600) < 60, "the clock is an hour behind: {unix} at {before}");
    let counted = std::fs::read(&counts).unwrap();
    std::fs::remove_file(&counts).unwrap();
    let counted: Vec<u64> =
        counted.chunks_exact(8).map(|bytes| u64::from_le_bytes(bytes.try_into().unwrap())).collect();
    assert_eq!(counted[0], 1, "one accept was changed: {counted:?}");
    assert_eq!(counted[6], 0, "the rule does not apply yet: {counted:?}");
    assert!(counted[..6].iter().all(|count| *count > 0), "{counted:?}");
}
