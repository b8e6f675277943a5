//! State common to the commands, and calls to the daemons.

use redwingfold_core::Config;
use redwingfold_http::Client;
use serde_json::Value;

use super::args::Args;
use crate::config_store::{ConfigStore, read_all};
use crate::peer::{call, dial};
use crate::platform::{HostRecord, LogClient, fetch_hosts};
use crate::settings::{CtlSettings, read};
use crate::tls::{TlsConfigs, load_tls_configs};
use crate::wire::{Call, Reply};
use redwingfold_telemetry::Telemetry;

const CALL_TIMEOUT: redwingfold_core::Millis = redwingfold_core::Millis(2_000);

/// State common to the commands.
pub(crate) struct Ctl {
    pub(crate) json: bool,
    pub(crate) store: ConfigStore,
    pub(crate) log: LogClient,
    settings: CtlSettings,
    tls: TlsConfigs,
}

/// A host with its reply, or with the reason why there is none.
pub(crate) type HostReply = (HostRecord, Result<Reply, String>);

impl Ctl {
    pub(crate) fn open(args: &Args) -> eyre::Result<Self> {
        let settings = read(&args.settings, &CtlSettings::example())?;
        Ok(Self {
            json: args.json,
            store: ConfigStore::new(Telemetry::disabled()?),
            log: LogClient::new(&settings.log),
            tls: load_tls_configs(&settings.tls)?,
            settings,
        })
    }

    /// Reads the log to its end and returns the configuration in force.
    pub(crate) async fn config(&self) -> eyre::Result<std::sync::Arc<Config>> {
        read_all(&self.store, &self.log).await.map_err(|e| eyre::eyre!("{e}"))?;
        Ok(self.store.current())
    }

    /// Calls all daemons in the host list for which `is_wanted` holds, concurrently.
    pub(crate) async fn call_hosts(
        &self,
        request: &Call,
        is_wanted: impl Fn(&HostRecord) -> bool,
    ) -> eyre::Result<Vec<HostReply>> {
        let address = self.settings.host_list.address;
        let hosts = fetch_hosts(&Client::default(), address).await;
        let hosts = hosts.map_err(|e| eyre::eyre!("host list at {address}: {e}"))?;
        let tasks: Vec<_> = hosts
            .into_iter()
            .filter(is_wanted)
            .map(|host| {
                let (config, request) = (self.tls.client.clone(), request.clone());
                smol::spawn(async move {
                    let reply = call_host(&config, &host, &request).await;
                    (host, reply)
                })
            })
            .collect();
        let mut replies = Vec::new();
        for task in tasks {
            replies.push(task.await);
        }
        Ok(replies)
    }
}

async fn call_host(
    config: &quinn::ClientConfig,
    host: &HostRecord,
    request: &Call,
) -> Result<Reply, String> {
    let connected = dial(config, host.address, CALL_TIMEOUT).await;
    let (_endpoint, conn) = connected.map_err(|e| e.to_string())?;
    call(&conn, request, CALL_TIMEOUT).await.map_err(|e| e.to_string())
}

/// Decodes a JSON reply. An empty one is decoded as null.
pub(crate) fn decode_json_reply(reply: &Result<Reply, String>) -> Result<Value, String> {
    match reply {
        Ok(Reply::Json(json)) if json.is_empty() => Ok(Value::Null),
        Ok(Reply::Json(json)) => serde_json::from_slice(json).map_err(|e| e.to_string()),
        Ok(other) => Err(format!("unexpected reply {other:?}")),
        Err(reason) => Err(reason.clone()),
    }
}
