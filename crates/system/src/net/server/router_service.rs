//! A router as the service of a server's connections.

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::Service;
use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use viz::{Responder, Response, Router, Tree};

/// Answers requests by a router. Clones share the router.
#[derive(Clone)]
pub struct RouterService(Arc<Responder<()>>);

impl From<Router> for RouterService {
    fn from(router: Router) -> RouterService {
        let tree: Arc<Tree> = Arc::new(router.into());
        RouterService(Arc::new(Responder::<()>::new(tree, None)))
    }
}

impl Service<Request<Incoming>> for RouterService {
    type Response = Response;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Response, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        Box::pin(Service::call(&*self.0, request))
    }
}
