//! Splits a request path and finds its route.

use crate::contract::{RoutePlan, ServicePlan};
use crate::ids::{CustomerName, ServiceName};

/// Why a path is not the path of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PathError {
    /// It does not have the form `/{customer}/{service}/{path}`.
    #[error("expected /customer/service/path")]
    Form,
    /// It has `.` or `..` segments, empty segments or encoded slashes or dots.
    /// A backend server may resolve them to a path of another route.
    #[error("dot segments, empty segments and encoded slashes or dots are not allowed")]
    Ambiguous,
}

/// The parts of a request path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget {
    /// The customer.
    pub customer: CustomerName,
    /// The service.
    pub service: ServiceName,
    /// The path below the service, starting with `/`.
    pub path: String,
}

impl RequestTarget {
    /// Splits the path of a request.
    ///
    /// # Errors
    ///
    /// [`PathError`] when the path has another form or can be read in two ways.
    pub fn parse(path: &str) -> Result<Self, PathError> {
        let mut parts = path
            .strip_prefix('/')
            .ok_or(PathError::Form)?
            .splitn(3, '/');
        let mut part = || parts.next().ok_or(PathError::Form);
        let customer = part()?.parse().map_err(|_error| PathError::Form)?;
        let service = part()?.parse().map_err(|_error| PathError::Form)?;
        let rest = parts.next().unwrap_or_default();
        if is_ambiguous(rest) {
            return Err(PathError::Ambiguous);
        }
        Ok(Self {
            customer,
            service,
            path: format!("/{rest}"),
        })
    }
}

fn is_ambiguous(rest: &str) -> bool {
    let lower = rest.to_ascii_lowercase();
    if ["%2e", "%2f", "%5c", "\\"]
        .iter()
        .any(|form| lower.contains(form))
    {
        return true;
    }
    let mut segments = rest.split('/').peekable();
    while let Some(segment) = segments.next() {
        let last = segments.peek().is_none();
        // A trailing slash leaves an empty last segment, which is harmless.
        if matches!(segment, "." | "..") || (segment.is_empty() && !last) {
            return true;
        }
    }
    false
}

/// The route of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// This route.
    Found(&'a RoutePlan),
    /// Routes have this path, but none has the method.
    WrongMethod,
    /// No route has this path.
    Missing,
}

/// Finds the route with the longest path prefix that has the method. Prefixes
/// match whole segments.
#[must_use]
pub fn match_route<'a>(service: &'a ServicePlan, method: &str, path: &str) -> RouteMatch<'a> {
    let covers = |route: &&RoutePlan| {
        route.path == "/"
            || path
                .strip_prefix(route.path.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let mut candidates = service.routes.iter().filter(covers).peekable();
    let Some(longest) = candidates.peek().map(|route| route.path.len()) else {
        return RouteMatch::Missing;
    };
    // A shorter route must not take over a method that the longer one refuses.
    candidates
        .take_while(|route| route.path.len() == longest)
        .find(|route| route.methods.contains(method))
        .map_or(RouteMatch::WrongMethod, RouteMatch::Found)
}
