//! Parsing of request paths and route matching.

use crate::contract::{RoutePlan, ServicePlan};
use crate::ids::{CustomerName, ServiceName};

/// Why a path was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum PathError {
    /// It does not have the form `/{customer}/{service}/{path}`.
    #[error("expected /customer/service/path")]
    Malformed,
    /// It has `.` or `..` segments, empty segments or encoded slashes or dots.
    /// A backend server may normalize them to a path of another route.
    #[error("dot segments, empty segments and encoded slashes or dots are not allowed")]
    Ambiguous,
}

/// The components of a request path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestTarget {
    /// The first segment.
    pub customer: CustomerName,
    /// The second segment.
    pub service: ServiceName,
    /// The path below the service, starting with `/`.
    pub path: String,
}

impl RequestTarget {
    /// Parses the path of a request.
    ///
    /// # Errors
    ///
    /// [`PathError`] when the path has another form or is ambiguous.
    pub fn parse(path: &str) -> Result<Self, PathError> {
        let mut segments = path
            .strip_prefix('/')
            .ok_or(PathError::Malformed)?
            .splitn(3, '/');
        let mut next_segment = || segments.next().ok_or(PathError::Malformed);
        let customer = next_segment()?
            .parse()
            .map_err(|_error| PathError::Malformed)?;
        let service = next_segment()?
            .parse()
            .map_err(|_error| PathError::Malformed)?;
        let rest = segments.next().unwrap_or_default();
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
        .any(|pattern| lower.contains(pattern))
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

/// Result of matching a request against the routes of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// The route that matches path and method.
    Found(&'a RoutePlan),
    /// The longest matching path has no route with the method.
    MethodNotAllowed,
    /// No route matches the path.
    NotFound,
}

/// Finds the route with the longest matching path prefix. Prefixes match whole
/// segments.
#[must_use]
pub fn match_route<'a>(service: &'a ServicePlan, method: &str, path: &str) -> RouteMatch<'a> {
    let matches_path = |route: &&RoutePlan| {
        route.path == "/"
            || path
                .strip_prefix(route.path.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    let mut candidates = service.routes.iter().filter(matches_path).peekable();
    let Some(longest_len) = candidates.peek().map(|route| route.path.len()) else {
        return RouteMatch::NotFound;
    };
    // A shorter prefix must not serve a method that the longest one rejects.
    candidates
        .take_while(|route| route.path.len() == longest_len)
        .find(|route| route.methods.contains(method))
        .map_or(RouteMatch::MethodNotAllowed, RouteMatch::Found)
}
