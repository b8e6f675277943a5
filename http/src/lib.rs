//! HTTP/1.1 serving and calling with limits, on async-h1 and smol.

mod body;
mod client;
mod conn;
mod server;

pub use body::{BodySender, channel_body};
pub use client::{Answer, Bound, CallError, Client, open_stream};
pub use conn::Peer;
pub use server::{Drain, Limits, Refusal, refusal, serve};

pub use http_types::{Body, Method, Request, Response, StatusCode, Url};
