//! The sender process: accepts messages from clients and delivers them to endpoints as the decision module
//! decides.
#![deny(unsafe_code)]
#![warn(missing_docs)]

mod net;

use std::cell::RefCell;
use std::net::TcpListener;
use std::os::fd::FromRawFd;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};

use myrtleyard::error_code::CodedError;
use net::config::ConfigError;
use net::errors::StartError;
use net::{Inbound, config, driver, log};

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args_os().skip(1).collect();
    match arguments.as_slice() {
        [] => {}
        [option, file] if option == "--check" => return check(file.as_ref()),
        _ => {
            eprintln!("myrtleyard: unexpected arguments; usage: myrtleyard [--check FILE]");
            return ExitCode::from(2);
        }
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            let why = e.to_string().replace(['\n', '\r'], " ");
            eprintln!("myrtleyard: {why} ({}: {})", e.code(), e.remedy());
            ExitCode::FAILURE
        }
    }
}

/// Prints every fault of a configuration file. Needs no running sender and changes nothing.
fn check(file: &Path) -> ExitCode {
    let text = match config::read_file(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("myrtleyard: {}: {e}", file.display());
            return ExitCode::from(2);
        }
    };
    let faults = config::check(&text, None).err().unwrap_or_default();
    println!("{}", serde_json::json!({"valid": faults.is_empty(), "faults": faults}));
    if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The listening socket for clients, if the platform holds it and every process of the sender inherits it.
#[allow(unsafe_code)]
fn inherited() -> Result<Option<TcpListener>, StartError> {
    let Some(number) = config::inherited_listener_fd()? else { return Ok(None) };
    // SAFETY: by setting its number the platform passes ownership of the descriptor to this process.
    // This is called once, before the process has opened any descriptor of its own.
    let listener = unsafe { TcpListener::from_raw_fd(number) };
    listener.set_nonblocking(true).map_err(|why| StartError::Inherited { number, why })?;
    Ok(Some(listener))
}

fn run() -> Result<(), StartError> {
    let inherited = inherited()?;
    let config = config::read()?;
    log::start(&config.name)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(StartError::Runtime)?;
    let ended = tokio::task::LocalSet::new().block_on(&runtime, async {
        let (inbound, events) = mpsc::unbounded_channel();
        for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
            let mut termination = signal(kind).map_err(StartError::Signals)?;
            let inbound = inbound.clone();
            tokio::task::spawn_local(async move {
                if termination.recv().await.is_some() {
                    let _ = inbound.send(Inbound::Terminate);
                }
            });
        }
        let (discovery_address, discovery) = watch::channel(config.discovery);
        let in_force = Rc::new(RefCell::new(Arc::new(config.document.clone())));
        let (checked, reloaded) = (in_force.clone(), inbound.clone());
        let mut reload = signal(SignalKind::hangup()).map_err(StartError::Signals)?;
        tokio::task::spawn_local(async move {
            while reload.recv().await.is_some() {
                // A file that cannot be applied as a whole changes nothing; the old configuration stays.
                let before = checked.borrow().clone();
                let read = tokio::task::spawn_blocking(move || config::reload(&before)).await;
                let read = read.map_err(ConfigError::from).and_then(|read| read);
                if let Ok(config) = &read {
                    checked.replace(Arc::new(config.document.clone()));
                    discovery_address.send_replace(config.discovery);
                }
                let _ = reloaded.send(Inbound::Reloaded(read.map(Box::new)));
            }
        });
        driver::run(config, inherited, discovery, in_force, inbound, events).await
    });
    // A blocking thread that is still reading a list or a file must not delay the end of the process.
    runtime.shutdown_background();
    ended
}
