//! A fleet in which every part, stand-ins included, is a process of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use eyre::{Context, OptionExt};
use redwingfold_http::{CallTimeout, Client, Method};
use redwingfold_standins::fleet::Process;
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(60);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY: usize = 16 * 1024 * 1024;

/// A daemon or stand-in with its address.
#[derive(Debug)]
pub(crate) struct Part {
    /// Ends the process when it is dropped.
    _process: Process,
    pub(crate) addr: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub(crate) struct DaemonPart {
    pub(crate) host: String,
    pub(crate) domain: String,
    pub(crate) role: &'static str,
    pub(crate) process: Process,
    pub(crate) peer: SocketAddr,
    pub(crate) listen: Option<SocketAddr>,
}

/// A fleet of processes. Dropping it stops them all, each by its id.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) log: Part,
    pub(crate) hosts: Part,
    pub(crate) rating: Part,
    pub(crate) backends: Vec<Part>,
    pub(crate) daemons: Vec<DaemonPart>,
    bin_dir: PathBuf,
    dir: PathBuf,
}

/// Returns the folder of this program, where the others are too.
pub(crate) fn bin_dir() -> eyre::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    Ok(exe.parent().ok_or_eyre("no folder")?.to_owned())
}

impl World {
    /// Starts the platform's stand-ins, and makes keys for these daemons.
    pub(crate) fn start(names: &[String]) -> eyre::Result<Self> {
        let bin_dir = bin_dir()?;
        let dir = std::env::temp_dir().join(format!("redwingfold-lab-{}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        let world = Self {
            log: standin(&bin_dir, "log", &["log"])?,
            hosts: standin(&bin_dir, "hosts", &["hosts"])?,
            rating: standin(&bin_dir, "rating", &["rating"])?,
            backends: Vec::new(),
            daemons: Vec::new(),
            bin_dir,
            dir,
        };
        let keys = world.dir.join("keys");
        let mut args = vec!["keys", "--out", keys.to_str().ok_or_eyre("path")?, "ctl"];
        args.extend(names.iter().map(String::as_str));
        let made = Command::new(world.bin_dir.join("redwingfold-ctl")).args(args).output()?;
        eyre::ensure!(made.status.success(), "{}", String::from_utf8_lossy(&made.stderr));
        let settings = json!({
            "log": {"address": world.log.addr},
            "host_list": {"address": world.hosts.addr},
            "tls": world.tls("ctl"),
        });
        std::fs::write(world.ctl_settings(), settings.to_string())?;
        Ok(world)
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

    /// Starts a backend server's stand-in.
    pub(crate) fn backend(&mut self, name: &str, args: &[&str]) -> eyre::Result<SocketAddr> {
        let part = standin(&self.bin_dir, name, args)?;
        let addr = part.addr;
        self.backends.push(part);
        Ok(addr)
    }

    /// Starts a daemon; `more` is laid over the settings.
    pub(crate) fn daemon(
        &mut self,
        role: &'static str,
        host: &str,
        domain: &str,
        more: &Value,
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
        for (group, value) in more.as_object().into_iter().flatten() {
            match (settings[group].as_object_mut(), value) {
                (Some(held), Value::Object(new)) => held.extend(new.clone()),
                (_, value) => settings[group] = value.clone(),
            }
        }
        let path = self.dir.join(format!("{host}.json"));
        std::fs::write(&path, settings.to_string())?;
        let program = self.bin_dir.join(format!("redwingfold-{role}"));
        let args = ["--settings", path.to_str().ok_or_eyre("path")?];
        let process = Process::start(host, &program, &args).wrap_err("cannot start a daemon")?;
        let line = process.wait_for_line(&format!("event={role}_started"), PATIENCE);
        let line = line.map_err(|printed| eyre::eyre!("{printed}"))?;
        let addr =
            |key: &str| line.split(' ').find_map(|pair| pair.strip_prefix(key)?.parse().ok());
        let daemon = DaemonPart {
            host: host.to_owned(),
            domain: domain.to_owned(),
            role,
            peer: addr("peer=").ok_or_eyre("no address")?,
            listen: addr("listen="),
            process,
        };
        self.daemons.retain(|d| d.host != host);
        self.daemons.push(daemon);
        Ok(())
    }

    /// Lists all daemons as live.
    pub(crate) fn list_hosts(&self) -> eyre::Result<()> {
        self.list_hosts_in_pools(1)
    }

    /// Lists all daemons as live, the sides dealt out over pools.
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
                    "host": d.host, "address": d.peer, "failure_domain": d.domain,
                    "role": d.role, "state": "live", "pool": pool_of(&d.host),
                })
            })
            .collect();
        post(self.hosts.addr, "/control", &json!({"hosts": hosts})).map(drop)
    }

    /// Returns the address of the first entry for callers.
    pub(crate) fn entry(&self) -> eyre::Result<SocketAddr> {
        self.daemons.iter().find_map(|d| d.listen).ok_or_eyre("no entry")
    }

    /// Runs the operator's tool.
    pub(crate) fn ctl(&self, args: &[&str]) -> eyre::Result<Output> {
        let mut command = Command::new(self.bin_dir.join("redwingfold-ctl"));
        Ok(command.arg("--settings").arg(self.ctl_settings()).args(args).output()?)
    }

    /// Publishes a file or folder of objects.
    pub(crate) fn publish(&self, objects: &Path) -> eyre::Result<()> {
        let path = objects.to_str().ok_or_eyre("path")?;
        let args = ["publish", path, "--author", "lab", "--reason", "first publication"];
        let output = self.ctl(&args)?;
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        eyre::ensure!(output.status.success(), "publish {path}: {said}");
        Ok(())
    }

    /// Publishes objects given as JSON.
    pub(crate) fn publish_json(&self, objects: &Value) -> eyre::Result<()> {
        let path = self.dir.join("objects.list");
        std::fs::write(&path, objects.to_string())?;
        self.publish(&path)
    }

    /// Waits until every entry is ready and connected to so many sides.
    pub(crate) fn wait_ready(&self, sides: usize) -> eyre::Result<()> {
        for daemon in self.daemons.iter().filter(|d| d.listen.is_some()) {
            let addr = daemon.listen.ok_or_eyre("no entry")?;
            wait(|| get(addr, "/readyz").is_ok())?;
            wait(|| daemon.process.count("event=side_connected") >= sides)?;
        }
        Ok(())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.daemons.clear();
        self.backends.clear();
        std::fs::remove_dir_all(&self.dir).ok();
    }
}

fn standin(bin_dir: &Path, name: &str, args: &[&str]) -> eyre::Result<Part> {
    let program = bin_dir.join("redwingfold-standins");
    let process = Process::start(name, &program, args).wrap_err("cannot start a stand-in")?;
    let line = process.wait_for_line("127.0.0.1:", PATIENCE);
    let line = line.map_err(|printed| eyre::eyre!("{printed}"))?;
    Ok(Part { addr: line.trim().parse()?, _process: process })
}

/// Waits until a condition holds.
pub(crate) fn wait(mut holds: impl FnMut() -> bool) -> eyre::Result<()> {
    let begun = Instant::now();
    while !holds() {
        eyre::ensure!(begun.elapsed() < PATIENCE, "waited too long");
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

/// Gets a page as JSON.
pub(crate) fn get(addr: SocketAddr, target: &str) -> eyre::Result<Value> {
    ask(Method::Get, addr, target, None)
}

/// Posts JSON.
pub(crate) fn post(addr: SocketAddr, target: &str, body: &Value) -> eyre::Result<Value> {
    ask(Method::Post, addr, target, Some(body.to_string().into_bytes()))
}

fn ask(
    method: Method,
    addr: SocketAddr,
    target: &str,
    body: Option<Vec<u8>>,
) -> eyre::Result<Value> {
    let client = Client::default();
    let call = client.call(method, addr, target, body, CallTimeout::Total(CALL_TIMEOUT), MAX_BODY);
    let answer = smol::block_on(call)?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    eyre::ensure!(answer.is_success(), "{target}: status {}: {text}", answer.status);
    Ok(serde_json::from_str(&text)?)
}
