//! The gRPC server for peers.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::peer::{
    Ack, Collect, Collected, Forward, Forwarded, Heartbeat, MAX_MESSAGE_BYTES, Pull, Pulled,
};
use radishstair_wire::PEER_TOKEN;
use radishstair_wire::generated::peer_server::{Peer, PeerServer};
use subtle::ConstantTimeEq;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use crate::front::call;
use crate::handle::Handle;

/// Implementation of the peers' protocol.
#[derive(Debug)]
pub struct PeerService {
    handle: Arc<Handle>,
    traffic: tokio::runtime::Handle,
    calls: Arc<call::Service>,
}

impl PeerService {
    async fn query(
        &self,
        make_event: impl FnOnce(radishstair_core::id::CallId) -> Event,
    ) -> Result<Reply, Status> {
        let call = self.handle.next_call_id();
        let reply = self.handle.request(call, make_event(call));
        reply.await.map_err(|_| Status::unavailable("stopping"))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(&self, request: Request<Heartbeat>) -> Result<Response<Ack>, Status> {
        self.handle.notify(Event::Heartbeat(request.into_inner()));
        Ok(Response::new(Ack {}))
    }

    async fn pull(&self, request: Request<Pull>) -> Result<Response<Pulled>, Status> {
        let pull = request.into_inner();
        match self.query(|call| Event::Pull(call, pull)).await? {
            Reply::Pulled(pulled) => Ok(Response::new(pulled)),
            _ => Err(Status::internal("unexpected reply")),
        }
    }

    async fn collect(&self, request: Request<Collect>) -> Result<Response<Collected>, Status> {
        let collect = request.into_inner();
        match self.query(|call| Event::Collect(call, collect)).await? {
            Reply::Collected(collected) => Ok(Response::new(collected)),
            _ => Err(Status::internal("unexpected reply")),
        }
    }

    async fn forward(&self, request: Request<Forward>) -> Result<Response<Forwarded>, Status> {
        let forward = request.into_inner();
        let calls = self.calls.clone();
        // Runs on the traffic threads and independently of this connection: once
        // started, the call must complete even if the peer disconnects.
        let task = self
            .traffic
            .spawn(async move { calls.handle_forwarded(forward).await });
        match task.await {
            Ok(answer) => Ok(Response::new(answer)),
            Err(_) => Err(Status::internal("the call ended abnormally")),
        }
    }
}

/// Serves peers until the process ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn run(
    handle: Arc<Handle>,
    listen: SocketAddr,
    token: String,
    traffic: tokio::runtime::Handle,
    calls: Arc<call::Service>,
) -> Result<()> {
    let service = PeerServer::new(PeerService {
        handle,
        traffic,
        calls,
    })
    .max_decoding_message_size(MAX_MESSAGE_BYTES)
    .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let interceptor = move |request: Request<()>| check_token(&token, request);
    Server::builder()
        .tcp_nodelay(true)
        .add_service(InterceptedService::new(service, interceptor))
        .serve(listen)
        .await
        .with_context(|| format!("serving peers on {listen}"))
}

/// Refuses messages without the shared token, which is compared in constant time.
fn check_token(token: &str, request: Request<()>) -> Result<Request<()>, Status> {
    let presented = request.metadata().get(PEER_TOKEN).map(|value| value.as_bytes());
    match presented {
        Some(presented) if bool::from(presented.ct_eq(token.as_bytes())) => Ok(request),
        _ => Err(Status::unauthenticated("not a peer")),
    }
}
