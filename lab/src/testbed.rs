//! A fleet on loopback in which every daemon and every stand-in is a separate process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use eyre::{Context, OptionExt};
use redwingfold_http::{CallTimeout, Client, Method};
use redwingfold_standins::fleet::Process;
use serde_json::{Value, json};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A running stand-in and the address that it listens on.
#[derive(Debug)]
pub(crate) struct StandIn {
    /// Held because dropping it ends the process.
    _process: Process,
    pub(crate) addr: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) host: String,
    pub(crate) domain: String,
    pub(crate) role: &'static str,
    pub(crate) process: Process,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) listen_addr: Option<SocketAddr>,
}

/// A fleet of processes. Dropping it ends each process by its id.
#[derive(Debug)]
pub(crate) struct Testbed {
    pub(crate) log: StandIn,
    pub(crate) hosts: StandIn,
    pub(crate) rating: StandIn,
    pub(crate) backends: Vec<StandIn>,
    pub(crate) daemons: Vec<DaemonProcess>,
    bin_dir: PathBuf,
    dir: PathBuf,
}

/// Returns the directory of this executable, which also holds the other binaries.
pub(crate) fn bin_dir() -> eyre::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    Ok(exe.parent().ok_or_eyre("path of this executable has no parent directory")?.to_owned())
}

impl Testbed {
    /// Starts the stand-ins of the platform and creates keys for the daemons `names`.
    pub(crate) fn start(names: &[String]) -> eyre::Result<Self> {
        let bin_dir = bin_dir()?;
        let dir = std::env::temp_dir().join(format!("redwingfold-lab-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let testbed = Self {
            log: start_stand_in(&bin_dir, "log", &["log"])?,
            hosts: start_stand_in(&bin_dir, "hosts", &["hosts"])?,
            rating: start_stand_in(&bin_dir, "rating", &["rating"])?,
            backends: Vec::new(),
            daemons: Vec::new(),
            bin_dir,
            dir,
        };
        let keys = testbed.dir.join("keys");
        let mut args = vec!["keys", "--out", keys.to_str().ok_or_eyre("path")?, "ctl"];
        args.extend(names.iter().map(String::as_str));
        let output = Command::new(testbed.bin_dir.join("redwingfold-ctl")).args(args).output()?;
        eyre::ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let settings = json!({
            "log": {"address": testbed.log.addr},
            "host_list": {"address": testbed.hosts.addr},
            "tls": testbed.tls("ctl"),
        });
        std::fs::write(testbed.ctl_settings(), settings.to_string())?;
        Ok(testbed)
    }

    pub(crate) fn ctl_settings(&self) -> PathBuf {
        self.dir.join("ctl.json")
    }

    fn tls(&self, name: &str) -> Value {
        let file = |ending: &str| self.dir.join("keys").join(format!("{name}.{ending}"));
        json!({
            "fleet": self.dir.join("keys/fleet.pem"), "cert": file("pem"), "key": file("key"),
        })
    }

    /// Starts a stand-in for a backend server.
    pub(crate) fn backend(&mut self, name: &str, args: &[&str]) -> eyre::Result<SocketAddr> {
        let stand_in = start_stand_in(&self.bin_dir, name, args)?;
        let addr = stand_in.addr;
        self.backends.push(stand_in);
        Ok(addr)
    }

    /// Starts a daemon and waits until it logs its start. Each group of `overrides` is merged into
    /// the settings group of that name. It replaces a daemon of the same host.
    pub(crate) fn daemon(
        &mut self,
        role: &'static str,
        host: &str,
        domain: &str,
        overrides: &Value,
    ) -> eyre::Result<()> {
        let mut settings = json!({
            "host": host,
            "failure_domain": domain,
            "peer_listen": "127.0.0.1:0",
            "log": {"address": self.log.addr},
            "host_list": {"address": self.hosts.addr},
            "tls": self.tls(host),
        });
        if role == "entry" {
            settings["listen"] = json!("127.0.0.1:0");
        }
        for (group, value) in overrides.as_object().into_iter().flatten() {
            match (settings[group].as_object_mut(), value) {
                (Some(current), Value::Object(new)) => current.extend(new.clone()),
                (_, value) => settings[group] = value.clone(),
            }
        }
        let path = self.dir.join(format!("{host}.json"));
        std::fs::write(&path, settings.to_string())?;
        let program = self.bin_dir.join(format!("redwingfold-{role}"));
        let args = ["--settings", path.to_str().ok_or_eyre("path")?];
        let process = Process::start(host, &program, &args).wrap_err("cannot start a daemon")?;
        let line = process.wait_for_line(&format!("event={role}_started"), WAIT_TIMEOUT);
        let line = line.map_err(|printed| eyre::eyre!("{printed}"))?;
        let addr =
            |key: &str| line.split(' ').find_map(|pair| pair.strip_prefix(key)?.parse().ok());
        let daemon = DaemonProcess {
            host: host.to_owned(),
            domain: domain.to_owned(),
            role,
            peer_addr: addr("peer=").ok_or_eyre("start event has no peer address")?,
            listen_addr: addr("listen="),
            process,
        };
        self.daemons.retain(|d| d.host != host);
        self.daemons.push(daemon);
        Ok(())
    }

    /// Publishes a host list with all daemons as live, in one pool.
    pub(crate) fn list_hosts(&self) -> eyre::Result<()> {
        self.list_hosts_in_pools(1)
    }

    /// Publishes a host list with all daemons as live, spread over pools by host number.
    pub(crate) fn list_hosts_in_pools(&self, pools: usize) -> eyre::Result<()> {
        let pool_of = |host: &str| {
            let number = host.rsplit('-').next().and_then(|n| n.parse::<usize>().ok());
            format!("pool-{}", number.unwrap_or(0) % pools)
        };
        let hosts: Vec<_> = self
            .daemons
            .iter()
            .map(|d| {
                json!({
                    "host": d.host, "address": d.peer_addr, "failure_domain": d.domain,
                    "role": d.role, "state": "live", "pool": pool_of(&d.host),
                })
            })
            .collect();
        post(self.hosts.addr, "/control", &json!({"hosts": hosts})).map(drop)
    }

    /// Returns the caller-facing address of the first entry.
    pub(crate) fn entry(&self) -> eyre::Result<SocketAddr> {
        self.daemons.iter().find_map(|d| d.listen_addr).ok_or_eyre("no entry is running")
    }

    /// Runs `redwingfold-ctl`.
    pub(crate) fn ctl(&self, args: &[&str]) -> eyre::Result<Output> {
        let mut command = Command::new(self.bin_dir.join("redwingfold-ctl"));
        Ok(command.arg("--settings").arg(self.ctl_settings()).args(args).output()?)
    }

    /// Publishes a file or directory of objects.
    pub(crate) fn publish(&self, objects: &Path) -> eyre::Result<()> {
        let path = objects.to_str().ok_or_eyre("path")?;
        let args = ["publish", path, "--author", "lab", "--reason", "first publication"];
        let output = self.ctl(&args)?;
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        eyre::ensure!(output.status.success(), "publish {path}: {stderr}");
        Ok(())
    }

    /// Publishes objects given as JSON.
    pub(crate) fn publish_json(&self, objects: &Value) -> eyre::Result<()> {
        let path = self.dir.join("objects.list");
        std::fs::write(&path, objects.to_string())?;
        self.publish(&path)
    }

    /// Waits until every entry is ready and has connected to at least `sides` sides.
    pub(crate) fn wait_ready(&self, sides: usize) -> eyre::Result<()> {
        for daemon in self.daemons.iter().filter(|d| d.listen_addr.is_some()) {
            let addr = daemon.listen_addr.ok_or_eyre("no entry is running")?;
            wait(|| get(addr, "/readyz").is_ok())?;
            wait(|| daemon.process.count("event=side_connected") >= sides)?;
        }
        Ok(())
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        self.daemons.clear();
        self.backends.clear();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

fn start_stand_in(bin_dir: &Path, name: &str, args: &[&str]) -> eyre::Result<StandIn> {
    let program = bin_dir.join("redwingfold-standins");
    let process = Process::start(name, &program, args).wrap_err("cannot start a stand-in")?;
    let line = process.wait_for_line("127.0.0.1:", WAIT_TIMEOUT);
    let line = line.map_err(|printed| eyre::eyre!("{printed}"))?;
    Ok(StandIn { addr: line.trim().parse()?, _process: process })
}

/// Polls a condition until it holds. Fails after a minute.
pub(crate) fn wait(mut condition: impl FnMut() -> bool) -> eyre::Result<()> {
    let started = Instant::now();
    while !condition() {
        eyre::ensure!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting for a condition");
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Sends a GET request and returns the response as JSON.
pub(crate) fn get(addr: SocketAddr, target: &str) -> eyre::Result<Value> {
    call_json(Method::Get, addr, target, None)
}

/// Sends a POST request with a JSON body and returns the response as JSON.
pub(crate) fn post(addr: SocketAddr, target: &str, body: &Value) -> eyre::Result<Value> {
    call_json(Method::Post, addr, target, Some(body.to_string().into_bytes()))
}

fn call_json(
    method: Method,
    addr: SocketAddr,
    target: &str,
    body: Option<Vec<u8>>,
) -> eyre::Result<Value> {
    let client = Client::default();
    let call =
        client.call(method, addr, target, body, CallTimeout::Total(CALL_TIMEOUT), MAX_BODY_BYTES);
    let answer = smol::block_on(call)?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    eyre::ensure!(answer.is_success(), "{target}: status {}: {text}", answer.status);
    Ok(serde_json::from_str(&text)?)
}
