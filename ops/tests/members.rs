//! Runs `linenwing members` against mock senders and checks its output and exit codes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

fn sender(status: u16, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut request = [0; 1024];
            let size = stream.read(&mut request).unwrap();
            assert!(request[..size].starts_with(b"GET /control/members HTTP/1.1\r\n"));
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all((head + &body).as_bytes()).unwrap();
        }
    });
    address
}

fn view(own: usize, digest: &str, states: &[&str]) -> String {
    let members: Vec<String> = states
        .iter()
        .enumerate()
        .map(|(rank, state)| {
            format!(
                "{{\"rank\":{rank},\"address\":\"127.0.0.{rank}:7946\",\"zone\":\"north\",\"state\":\"{state}\",\
                 \"for_ms\":4200,\"incarnation\":3,\"heard_ms\":90,\"accused_by\":[]}}"
            )
        })
        .collect();
    format!(
        "{{\"own\":{own},\"version\":9,\"digest\":\"{digest}\",\"isolated\":false,\"minority\":false,\
         \"members\":[{}]}}",
        members.join(",")
    )
}

fn members(addresses: &[SocketAddr], flags: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_linenwing"));
    command.arg("members").args(addresses.iter().map(ToString::to_string)).args(flags);
    command.output().unwrap()
}

#[test]
fn members_exits_0_when_views_agree_and_1_naming_the_sender_that_differs() {
    let one = sender(200, view(0, "aa", &["alive", "alive", "alive"]));
    let same = sender(200, view(1, "aa", &["alive", "alive", "alive"]));
    let other = sender(200, view(2, "bb", &["alive", "dead", "alive"]));
    let output = members(&[one, same], &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(0), "{text}");
    assert!(text.contains("127.0.0.2:7946") && text.contains("4.2 s") && !text.contains(" to "), "{text}");
    let output = members(&[one, same, other], &[]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("dead to 2"), "{text}");
}

#[test]
fn members_exits_3_and_prints_address_and_reason_for_each_sender_without_a_view() {
    let one = sender(200, view(0, "aa", &["alive"]));
    let without = sender(404, "{\"error\":\"there is no view\"}".to_owned());
    let broken = sender(200, "{\"own\":".to_owned());
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let all = [one, without, broken, silent.local_addr().unwrap(), closed];
    let output = members(&all, &["--within-ms", "300"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(output.status.code(), Some(3), "{text}");
    for (address, why) in [
        (without, "there is no view"),
        (broken, "truncated or not valid JSON"),
        (all[3], "no answer within 300 ms"),
    ] {
        assert!(text.contains(&format!("{address}: ")) && text.contains(why), "{why}: {text}");
    }
    assert!(text.contains(&format!("{closed}: ")), "{text}");
    let json = String::from_utf8(members(&all[..2], &["--json"]).stdout).unwrap();
    assert_eq!(json.lines().count(), 2);
    assert!(json.lines().all(|line| line.starts_with('{')));
    assert_eq!(members(&[], &[]).status.code(), Some(2));
}
