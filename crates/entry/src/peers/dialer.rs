//! Connections to peers; every message includes the shared token.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::{Context, Result};
use radishstair_core::peer::MAX_MESSAGE_BYTES;
use radishstair_wire::PEER_TOKEN;
use radishstair_wire::generated::peer_client::PeerClient;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};
use tonic::{Request, Status};

/// Longest time to establish a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interceptor that adds the shared token to each message.
#[derive(Clone, Debug)]
pub struct Token(MetadataValue<Ascii>);

impl Token {
    /// Creates the interceptor for a token.
    ///
    /// # Errors
    ///
    /// When the token contains other than visible ASCII characters.
    pub fn new(text: &str) -> Result<Self> {
        Ok(Self(
            text.parse()
                .context("peer_token: only visible ASCII characters")?,
        ))
    }
}

impl Interceptor for Token {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        request.metadata_mut().insert(PEER_TOKEN, self.0.clone());
        Ok(request)
    }
}

/// Opens connections to peers when first needed, and keeps them.
#[derive(Debug)]
pub struct Dialer {
    token: Token,
    channels: Mutex<Vec<(String, Channel, Arc<()>)>>,
}

/// A client of one peer.
pub type Client = PeerClient<InterceptedService<Channel, Token>>;

impl Dialer {
    /// Starts without any connection.
    pub fn new(token: Token) -> Self {
        Self {
            token,
            channels: Mutex::default(),
        }
    }

    /// A client of the peer at an address; connects on the first call.
    pub fn client(&self, address: &str) -> Option<Client> {
        self.channel(address).map(|(channel, _)| self.client_on(channel))
    }

    pub(super) fn client_on(&self, channel: Channel) -> Client {
        PeerClient::with_interceptor(channel, self.token.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    pub(super) fn channel(&self, address: &str) -> Option<(Channel, Arc<()>)> {
        let mut channels = self
            .channels
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        match channels.binary_search_by(|(key, ..)| key.as_str().cmp(address)) {
            Ok(at) => Some((channels[at].1.clone(), channels[at].2.clone())),
            Err(at) => {
                let channel = Endpoint::from_shared(format!("http://{address}"))
                    .ok()?
                    .connect_timeout(CONNECT_TIMEOUT)
                    .tcp_nodelay(true)
                    .connect_lazy();
                let in_flight = Arc::new(());
                channels.insert(at, (address.to_string(), channel.clone(), in_flight.clone()));
                Some((channel, in_flight))
            }
        }
    }
}
