//! Test program that makes each hooked call once or twice and prints the result, so that tests see which
//! faults take effect.

use std::fmt::Debug;
use std::fs::{self, File};
use std::io::{IoSlice, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

/// Prints the result of a call and returns its value.
fn print_result<T: Debug>(call: &str, result: Result<T>) -> Option<T> {
    match result {
        Ok(value) => {
            println!("{call} ok {value:?}");
            Some(value)
        }
        Err(error) => {
            println!("{call} errno {}", error.raw_os_error().unwrap_or(0));
            None
        }
    }
}

fn files(folder: &Path) -> Option<()> {
    let path = folder.join("probe.txt");
    let opened = print_result("open", File::create(&path));
    let mut file = opened.or_else(|| File::create(&path).ok())?;
    print_result("write", file.write(b"hello"));
    print_result("fsync", file.sync_all());
    print_result("fdatasync", file.sync_data());
    print_result("ftruncate", file.set_len(3));
    print_result("rename", fs::rename(&path, folder.join("renamed.txt")))
}

fn sockets() -> Option<()> {
    let listener = print_result("socket", TcpListener::bind("127.0.0.1:0"))
        .or_else(|| TcpListener::bind("127.0.0.1:0").ok())?;
    let addr = listener.local_addr().ok()?;
    let mut client =
        print_result("connect", TcpStream::connect(addr)).or_else(|| TcpStream::connect(addr).ok())?;
    let accepted = print_result("accept", listener.accept());
    let (mut server, _) = accepted.or_else(|| listener.accept().ok())?;
    print_result("send", client.write(b"hello"));
    print_result("writev", client.write_vectored(&[IoSlice::new(b"abc"), IoSlice::new(b"def")]));
    print_result("recv", server.read(&mut [0; 4]));
    print_result("socket_error", server.take_error()).flatten();
    Some(())
}

fn main() {
    let folder = std::env::args_os().nth(1).expect("first argument: a folder to write to");
    println!(
        "clock ok {}",
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_secs())
    );
    files(Path::new(&folder));
    sockets();
}
