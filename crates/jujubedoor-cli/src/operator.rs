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
pub enum OperatorError {
    /// The settings cannot be read.
    #[error("{0}: {1}")]
    ReadSettings(String, std::io::Error),
    /// The settings have mistakes.
    #[error("{0}: {1}")]
    InvalidSettings(String, ConfigError),
    /// The VM did not answer as expected.
    #[error("{0}: {1}")]
    Fetch(SocketAddr, FetchError),
    /// The platform did not answer as expected.
    #[error("the platform at {0}: {1}")]
    Platform(SocketAddr, StoreError),
    /// The answer is not what this version expects.
    #[error("{0}: the answer is not understood: {1}")]
    InvalidResponse(SocketAddr, serde_json::Error),
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
    pub fn from_settings(path: &Path) -> Result<Self, OperatorError> {
        let Settings { platform, key, .. } = read_settings(path)?;
        Ok(Self::new(platform, &key))
    }

    /// Lists the VMs that the platform knows.
    pub async fn list_vms(&self) -> Result<Vec<VmEntry>, OperatorError> {
        platform::fetch_vms(self.platform).await.map_err(|e| OperatorError::Platform(self.platform, e))
    }

    /// Asks one VM.
    pub async fn request<T>(&self, method: &str, address: SocketAddr, path: &str) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
    {
        let failed = |e| OperatorError::Fetch(address, e);
        let builder = Request::builder().method(method).uri(path).header("host", address.to_string());
        let builder = builder.header("authorization", format!("Bearer {}", self.token));
        let request = builder.body(body::full("")).map_err(|e| failed(e.into()))?;
        let bytes = client::fetch(address, request, ANSWER_BYTES, TIMEOUT).await.map_err(failed)?;
        serde_json::from_slice(&bytes).map_err(|e| OperatorError::InvalidResponse(address, e))
    }

    /// Asks all listed VMs the same and returns what each answered.
    pub async fn request_all<T>(
        &self,
        path: &str,
    ) -> Result<Vec<(VmEntry, Result<T, OperatorError>)>, OperatorError>
    where
        T: DeserializeOwned,
    {
        let vms = self.list_vms().await?;
        let asked = vms.into_iter().map(|vm| async {
            let answer = self.request("GET", vm.admin_address, path).await;
            (vm, answer)
        });
        Ok(futures::future::join_all(asked).await)
    }
}

/// Reads the settings of a VM.
pub fn read_settings(path: &Path) -> Result<Settings, OperatorError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| OperatorError::ReadSettings(name.clone(), e))?;
    settings::parse(&text).map_err(|e| OperatorError::InvalidSettings(name, e))
}
