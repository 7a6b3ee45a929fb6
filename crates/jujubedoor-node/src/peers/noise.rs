//! The handshake and the encryption of connections between VMs, with the Noise protocol.

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

/// The Noise pattern: the peers have no identities and authenticate by a shared key, and each connection
/// has new session keys.
const NOISE_PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";

/// Data that both peers must agree on in the handshake; it contains the version of the messages.
const PROLOGUE: &[u8] = b"jujubedoor peer 1";

/// Maximum time of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of an encrypted block, in bytes; the limit of the Noise protocol.
const MAX_BLOCK_BYTES: usize = 65_535;

/// Number of bytes that the authentication tag adds to a block.
const TAG_BYTES: usize = 16;

/// Maximum size of a frame, in bytes. After the handshake, a frame holds one item as a sequence of
/// encrypted blocks.
const MAX_FRAME_BYTES: usize = 32 << 20;

/// Number of bytes of a frame's length prefix.
const LENGTH_BYTES: u64 = 4;

/// The key that authenticates and encrypts connections.
#[derive(Clone)]
pub struct PeerKey([u8; 32]);

/// An error during the handshake.
#[derive(Debug, thiserror::Error)]
pub enum HandshakeError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer has a different key or protocol version.
    #[error("the peer has a different key or protocol version: {0}")]
    Mismatch(#[from] snow::Error),
    /// The peer closed the connection.
    #[error("the peer closed the connection during the handshake")]
    Closed,
    /// The handshake timed out.
    #[error("the handshake took longer than {HANDSHAKE_TIMEOUT:?}")]
    Timeout,
}

/// An encrypted connection that carries items in both directions.
pub type EncryptedTransport<Item, SinkItem> = Transport<TcpStream, Item, SinkItem, Codec>;

impl PeerKey {
    /// Derives the key from the fleet's secret.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key("jujubedoor peer v1", secret.as_bytes()))
    }

    /// Performs the handshake on a connection that this VM opened, and returns the encrypted connection.
    pub async fn initiate<Item, SinkItem>(
        &self,
        stream: TcpStream,
        peer_traffic: Arc<PeerTraffic>,
    ) -> Result<EncryptedTransport<Item, SinkItem>, HandshakeError>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        let state = self.builder()?.build_initiator()?;
        self.open_transport(stream, state, peer_traffic).await
    }

    /// Performs the handshake on a connection that the peer opened, and returns the encrypted connection.
    pub async fn respond<Item, SinkItem>(
        &self,
        stream: TcpStream,
        peer_traffic: Arc<PeerTraffic>,
    ) -> Result<EncryptedTransport<Item, SinkItem>, HandshakeError>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        let state = self.builder()?.build_responder()?;
        self.open_transport(stream, state, peer_traffic).await
    }

    fn builder(&self) -> Result<snow::Builder<'_>, snow::Error> {
        let params = NOISE_PATTERN.parse()?;
        snow::Builder::new(params).psk(0, &self.0)?.prologue(PROLOGUE)
    }

    async fn open_transport<Item, SinkItem>(
        &self,
        stream: TcpStream,
        mut state: snow::HandshakeState,
        peer_traffic: Arc<PeerTraffic>,
    ) -> Result<EncryptedTransport<Item, SinkItem>, HandshakeError>
    where
        Item: DeserializeOwned,
        SinkItem: Serialize,
    {
        stream.set_nodelay(true)?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        let mut frames = Framed::new(stream, codec);
        let handshake = perform_handshake(&mut frames, &mut state);
        tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|_| HandshakeError::Timeout)??;
        let codec = Codec { state: state.into_transport_mode()?, peer_traffic };
        Ok(serde_transport::new(frames, codec))
    }
}

async fn perform_handshake(
    frames: &mut Framed<TcpStream, LengthDelimitedCodec>,
    state: &mut snow::HandshakeState,
) -> Result<(), HandshakeError> {
    let mut buf = vec![0; MAX_BLOCK_BYTES];
    while !state.is_handshake_finished() {
        if state.is_my_turn() {
            let length = state.write_message(&[], &mut buf)?;
            frames.send(Bytes::copy_from_slice(&buf[..length])).await?;
        } else {
            let frame = frames.next().await.ok_or(HandshakeError::Closed)??;
            state.read_message(&frame, &mut buf)?;
        }
    }
    Ok(())
}

/// Encodes each item as a sequence of encrypted blocks, and decodes it.
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
        let plaintext = postcard::to_allocvec(item).map_err(io::Error::other)?;
        let mut encrypted = Vec::with_capacity(
            plaintext.len() + TAG_BYTES * (plaintext.len() / (MAX_BLOCK_BYTES - TAG_BYTES) + 1),
        );
        let mut block = vec![0; MAX_BLOCK_BYTES.min(plaintext.len() + TAG_BYTES)];
        for chunk in plaintext.chunks(MAX_BLOCK_BYTES - TAG_BYTES) {
            let length = codec.state.write_message(chunk, &mut block).map_err(io::Error::other)?;
            encrypted.extend_from_slice(&block[..length]);
        }
        codec.peer_traffic.sent_bytes.fetch_add(encrypted.len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
        Ok(encrypted.into())
    }
}

impl<Item> tokio_serde::Deserializer<Item> for Codec
where
    Item: DeserializeOwned,
{
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, encrypted: &BytesMut) -> Result<Item, io::Error> {
        let codec = self.get_mut();
        codec.peer_traffic.received_bytes.fetch_add(encrypted.len() as u64 + LENGTH_BYTES, Ordering::Relaxed);
        let mut plaintext = Vec::with_capacity(encrypted.len());
        let mut block = vec![0; MAX_BLOCK_BYTES.min(encrypted.len())];
        for chunk in encrypted.chunks(MAX_BLOCK_BYTES) {
            let length = codec.state.read_message(chunk, &mut block).map_err(io::Error::other)?;
            plaintext.extend_from_slice(&block[..length]);
        }
        postcard::from_bytes(&plaintext).map_err(io::Error::other)
    }
}
