//! HTTP/1.1 server and client with size and time limits, on async-h1 and smol.

mod body;
mod client;
mod conn;
mod places;
mod server;
mod signal;

pub use body::{BodySender, channel_body};
pub use client::{BufferedResponse, CallError, CallTimeout, Client, open_stream};
pub use conn::Peer;
pub use server::{Drain, Limits, Refusal, refusal_response, serve};
pub use signal::Signal;

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
