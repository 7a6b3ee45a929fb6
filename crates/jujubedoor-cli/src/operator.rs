//! Asks the administration API of one VM or of all VMs that the platform lists.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hyper::Request;
use jujubedoor::fleet::VmEntry;
use jujubedoor_config::ConfigError;
use jujubedoor_config::Settings;
use jujubedoor_config::settings;
use jujubedoor_http::FetchError;
use jujubedoor_http::body;
use jujubedoor_http::client;
use jujubedoor_node::admin;
use jujubedoor_node::platform;
use jujubedoor_store::StoreError;
use serde::de::DeserializeOwned;

/// How long a VM may take to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// The largest answer, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// Why an operator's question has no answer.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// The settings cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The settings have mistakes.
    #[error("{0}: {1}")]
    Settings(String, ConfigError),
    /// The VM did not answer as expected.
    #[error("{0}: {1}")]
    Fetch(SocketAddr, FetchError),
    /// The platform did not answer as expected.
    #[error("the platform at {0}: {1}")]
    Platform(SocketAddr, StoreError),
    /// The answer is not what this version expects.
    #[error("{0}: the answer is not understood: {1}")]
    Answer(SocketAddr, serde_json::Error),
}

/// Who asks: the platform's address and the operators' token.
#[derive(Clone, Debug)]
pub struct Operator {
    platform: SocketAddr,
    token: String,
}

impl Operator {
    /// Creates an operator of a fleet with a secret.
    pub fn new(platform: SocketAddr, secret: &str) -> Self {
        Self { platform, token: admin::token(secret) }
    }

    /// Creates an operator from the settings of any VM of the fleet.
    pub fn from_settings(path: &Path) -> Result<Self, AskError> {
        let Settings { platform, key, .. } = read_settings(path)?;
        Ok(Self::new(platform, &key))
    }

    /// Lists the VMs that the platform knows.
    pub async fn vms(&self) -> Result<Vec<VmEntry>, AskError> {
        platform::fetch_vms(self.platform).await.map_err(|e| AskError::Platform(self.platform, e))
    }

    /// Asks one VM.
    pub async fn ask<T>(&self, method: &str, address: SocketAddr, path: &str) -> Result<T, AskError>
    where
        T: DeserializeOwned,
    {
        let failed = |e| AskError::Fetch(address, e);
        let builder = Request::builder().method(method).uri(path).header("host", address.to_string());
        let builder = builder.header("authorization", format!("Bearer {}", self.token));
        let request = builder.body(body::full("")).map_err(|e| failed(e.into()))?;
        let bytes = client::fetch(address, request, ANSWER_BYTES, TIMEOUT).await.map_err(failed)?;
        serde_json::from_slice(&bytes).map_err(|e| AskError::Answer(address, e))
    }

    /// Asks all listed VMs the same and returns what each answered.
    pub async fn ask_all<T>(&self, path: &str) -> Result<Vec<(VmEntry, Result<T, AskError>)>, AskError>
    where
        T: DeserializeOwned,
    {
        let vms = self.vms().await?;
        let asked = vms.into_iter().map(|vm| async {
            let answer = self.ask("GET", vm.admin_address, path).await;
            (vm, answer)
        });
        Ok(futures::future::join_all(asked).await)
    }
}

/// Reads the settings of a VM.
pub fn read_settings(path: &Path) -> Result<Settings, AskError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| AskError::Read(name.clone(), e))?;
    settings::parse(&text).map_err(|e| AskError::Settings(name, e))
}
