//! The ledger's and the directory's stand-in.

use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// What was said to each, in order: who, and the first line; behind a report its body too.
pub type Heard = Arc<Mutex<Vec<(&'static str, String)>>>;

/// A party that speaks HTTP: notes each call's first line under a name and answers as told, or not at all.
pub async fn http(listener: TcpListener, who: &'static str, heard: Heard, reply: &'static str) {
    while let Ok((mut s, _)) = listener.accept().await {
        let heard = heard.clone();
        tokio::spawn(async move {
            let mut buffer = vec![0; 4096];
            while let Ok(n @ 1..) = s.read(&mut buffer).await {
                let text = String::from_utf8_lossy(&buffer[..n]).into_owned();
                let mut said = text.lines().next().unwrap_or("").to_owned();
                if said.starts_with("PUT") {
                    said = format!("{said} {}", text.lines().last().unwrap_or(""));
                }
                heard.lock().expect("heard").push((who, said));
                let _ = s.write_all(reply.as_bytes()).await;
            }
        });
    }
}
