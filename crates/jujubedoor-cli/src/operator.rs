//! A client for the administration API of one VM or of all VMs that the platform lists.

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

/// Timeout of a request to a VM.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The reason why a request to the fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// The settings file cannot be read.
    #[error("cannot read {0}: {1}")]
    ReadSettings(String, std::io::Error),
    /// The settings are invalid.
    #[error("{0}: {1}")]
    InvalidSettings(String, ConfigError),
    /// The request to a VM failed.
    #[error("{0}: {1}")]
    Fetch(SocketAddr, FetchError),
    /// The VM list cannot be fetched from the platform.
    #[error("the platform at {0}: {1}")]
    Platform(SocketAddr, StoreError),
    /// The response of a VM does not have the format that this version expects.
    #[error("{0}: unexpected response format: {1}")]
    InvalidResponse(SocketAddr, serde_json::Error),
}

/// A client with the platform's address and the operators' token.
#[derive(Clone, Debug)]
pub struct Operator {
    platform: SocketAddr,
    token: String,
}

impl Operator {
    /// Creates an operator for the fleet that has a secret key.
    pub fn new(platform: SocketAddr, secret: &str) -> Self {
        Self { platform, token: admin::token(secret) }
    }

    /// Creates an operator from the settings of any VM of the fleet.
    pub fn from_settings(path: &Path) -> Result<Self, OperatorError> {
        let Settings { platform, key, .. } = read_settings(path)?;
        Ok(Self::new(platform, &key))
    }

    /// Fetches the VM list from the platform.
    pub async fn list_vms(&self) -> Result<Vec<VmEntry>, OperatorError> {
        platform::fetch_vms(self.platform).await.map_err(|e| OperatorError::Platform(self.platform, e))
    }

    /// Sends a request to one VM and parses the JSON response.
    pub async fn send_request<T>(
        &self,
        method: &str,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, OperatorError>
    where
        T: DeserializeOwned,
    {
        let fetch_error = |e| OperatorError::Fetch(address, e);
        let builder = Request::builder().method(method).uri(path).header("host", address.to_string());
        let builder = builder.header("authorization", format!("Bearer {}", self.token));
        let request = builder.body(body::full("")).map_err(|e| fetch_error(e.into()))?;
        let bytes = client::fetch(address, request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
            .await
            .map_err(fetch_error)?;
        serde_json::from_slice(&bytes).map_err(|e| OperatorError::InvalidResponse(address, e))
    }

    /// Sends the same request to all listed VMs. Returns the result of each.
    pub async fn send_to_all<T>(
        &self,
        path: &str,
    ) -> Result<Vec<(VmEntry, Result<T, OperatorError>)>, OperatorError>
    where
        T: DeserializeOwned,
    {
        let vms = self.list_vms().await?;
        let requests = vms.into_iter().map(|vm| async {
            let result = self.send_request("GET", vm.admin_address, path).await;
            (vm, result)
        });
        Ok(futures::future::join_all(requests).await)
    }
}

/// Reads and checks the settings of a VM.
pub fn read_settings(path: &Path) -> Result<Settings, OperatorError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| OperatorError::ReadSettings(name.clone(), e))?;
    settings::parse(&text).map_err(|e| OperatorError::InvalidSettings(name, e))
}
