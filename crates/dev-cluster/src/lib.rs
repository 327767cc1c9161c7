//! A whole service on one machine, on loopback: controllers as real processes, and stand-ins of the
//! state service, the cloud and the workers, by their published protocol.
#![forbid(unsafe_code)]

pub mod cloud;
pub mod cluster;
pub mod service_report;
pub mod store;
mod worker;

use std::net::SocketAddr;

/// Serves a filter on a free port of loopback.
pub(crate) fn serve<F>(filter: F) -> std::io::Result<SocketAddr>
where
    F: warp::Filter + Clone + Send + Sync + 'static,
    F::Extract: warp::Reply,
    F::Error: Into<warp::Rejection>,
{
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let service = hyper_util::service::TowerToHyperService::new(warp::service(filter));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service.clone();
            tokio::spawn(async move {
                let stream = hyper_util::rt::TokioIo::new(stream);
                // A client that breaks off has nothing more to be told.
                let _ = hyper::server::conn::http1::Builder::new().serve_connection(stream, service).await;
            });
        }
    });
    Ok(addr)
}
