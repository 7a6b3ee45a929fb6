//! Sealing: the handshake and the encryption of connections between VMs, by the Noise protocol.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt;
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snow::TransportState;
use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::metrics::PeerTraffic;

/// The handshake: unknown parties that share a key, and fresh keys for each connection.
const PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";

/// What both sides must agree on; it names the version of the messages.
const PROLOGUE: &[u8] = b"jujubedoor peer 1";

/// How long a handshake may take.
const HANDSHAKE: Duration = Duration::from_secs(1);

/// The largest sealed block, in bytes.
const BLOCK: usize = 65_535;

/// How many bytes sealing adds to a block.
const TAG: usize = 16;

/// The largest frame, in bytes.
const FRAME: usize = 32 << 20;

/// The bytes that a frame's length takes.
const LENGTH_BYTES: u64 = 4;

/// The key that seals connections.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

/// Why a connection was not sealed.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other side has another key or version.
    #[error("the other side has another key or version: {0}")]
    Handshake(#[from] snow::Error),
    /// The other side closed the connection.
    #[error("the other side closed the connection")]
    Closed,
    /// The other side took too long.
    #[error("the handshake took longer than {HANDSHAKE:?}")]
    Timeout,
}

/// A sealed connection that carries items both ways.
pub type Sealed<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, Codec>;

impl PeerKey {
    /// Derives the key from the fleet's secret.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key("jujubedoor peer v1", secret.as_bytes()))
    }

    /// Seals a connection that this side opened.
    pub async fn initiate<Item, SinkItem>(
        &self,
        stream: TcpStream,
        peer_traffic: Arc<PeerTraffic>,
    ) -> Result<Sealed<Item, SinkItem>, SealError>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        let state = self.builder()?.build_initiator()?;
        self.seal(stream, state, peer_traffic).await
    }

    /// Seals a connection that the other side opened.
    pub async fn respond<Item, SinkItem>(
        &self,
        stream: TcpStream,
        peer_traffic: Arc<PeerTraffic>,
    ) -> Result<Sealed<Item, SinkItem>, SealError>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        let state = self.builder()?.build_responder()?;
        self.seal(stream, state, peer_traffic).await
    }

    fn builder(&self) -> Result<snow::Builder<'_>, snow::Error> {
        let params = PATTERN.parse()?;
        snow::Builder::new(params).psk(0, &self.0)?.prologue(PROLOGUE)
    }

    async fn seal<Item, SinkItem>(
        &self,
        stream: TcpStream,
        mut state: snow::HandshakeState,
        peer_traffic: Arc<PeerTraffic>,
    ) -> Result<Sealed<Item, SinkItem>, SealError>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        stream.set_nodelay(true)?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME).new_codec();
        let mut frames = Framed::new(stream, codec);
        let handshake = shake_hands(&mut frames, &mut state);
        tokio::time::timeout(HANDSHAKE, handshake).await.map_err(|_| SealError::Timeout)??;
        let codec = Codec { state: state.into_transport_mode()?, peer_traffic };
        Ok(serde_transport::new(frames, codec))
    }
}

async fn shake_hands(
    frames: &mut Framed<TcpStream, LengthDelimitedCodec>,
    state: &mut snow::HandshakeState,
) -> Result<(), SealError> {
    let mut buf = vec![0; BLOCK];
    while !state.is_handshake_finished() {
        if state.is_my_turn() {
            let length = state.write_message(&[], &mut buf)?;
            frames.send(Bytes::copy_from_slice(&buf[..length])).await?;
        } else {
            let frame = frames.next().await.ok_or(SealError::Closed)??;
            state.read_message(&frame, &mut buf)?;
        }
    }
    Ok(())
}

/// Writes items as sealed blocks and reads them back.
pub struct Codec {
    state: TransportState,
    peer_traffic: Arc<PeerTraffic>,
}

impl<Item> tokio_serde::Serializer<Item> for Codec
where
    Item: Serialize,
{
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, item: &Item) -> Result<Bytes, io::Error> {
        let codec = self.get_mut();
        let plain = postcard::to_allocvec(item).map_err(io::Error::other)?;
        let mut sealed = Vec::with_capacity(plain.len() + TAG * (plain.len() / (BLOCK - TAG) + 1));
        let mut block = vec![0; BLOCK.min(plain.len() + TAG)];
        for part in plain.chunks(BLOCK - TAG) {
            let length = codec.state.write_message(part, &mut block).map_err(io::Error::other)?;
            sealed.extend_from_slice(&block[..length]);
        }
        codec.peer_traffic.sent_bytes.fetch_add(sealed.len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
        Ok(sealed.into())
    }
}

impl<Item> tokio_serde::Deserializer<Item> for Codec
where
    Item: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, sealed: &BytesMut) -> Result<Item, io::Error> {
        let codec = self.get_mut();
        codec.peer_traffic.received_bytes.fetch_add(sealed.len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
        let mut plain = Vec::with_capacity(sealed.len());
        let mut block = vec![0; BLOCK.min(sealed.len())];
        for part in sealed.chunks(BLOCK) {
            let length = codec.state.read_message(part, &mut block).map_err(io::Error::other)?;
            plain.extend_from_slice(&block[..length]);
        }
        postcard::from_bytes(&plain).map_err(io::Error::other)
    }
}
