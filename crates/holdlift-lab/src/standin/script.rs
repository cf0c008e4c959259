//! A render farm agent under the hand of a test: it says what it is told to say, when it is told.

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::within;

/// One link of such an agent. It ends with this.
pub struct ScriptedLink {
    lines: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
    /// The last notice that the node said it had read.
    pub subscribed: u64,
    /// What it says asks for a core.
    pub on_cores: u32,
}

impl ScriptedLink {
    /// The node's next link: subscribed, not yet greeted.
    pub async fn accept(listener: &TcpListener) -> ScriptedLink {
        let (stream, _) = within("a link", listener.accept()).await.expect("accepted");
        stream.set_nodelay(true).expect("set");
        let (read, write) = stream.into_split();
        let mut link = ScriptedLink { lines: BufReader::new(read), write, subscribed: 0, on_cores: 0 };
        let line = link.line().await.expect("a subscription");
        link.subscribed =
            line.strip_prefix("subscribe ").and_then(|n| n.parse().ok()).expect("a subscription");
        link
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let n = within("a command", self.lines.read_line(&mut line)).await.ok()?;
        (n > 0).then(|| line.trim_end().to_owned())
    }

    /// Says this, and it is in the system's hands.
    pub async fn say(&mut self, text: &str) {
        self.write.write_all(text.as_bytes()).await.expect("said");
    }

    /// Greets, says what was missed, and answers the question behind it.
    pub async fn greet(&mut self, missed: &str) {
        self.say(&format!("greeting warm 0.5\r\n{missed}")).await;
        let command = self.line().await.expect("a question");
        let tag = command.strip_prefix("sample ").expect("a question").to_owned();
        self.say(&format!("sampled {tag} 0.1 0 0.1 1\r\n")).await;
    }

    /// The next command that is no question; questions are answered. Nothing once the node has closed the link.
    pub async fn command(&mut self) -> Option<String> {
        loop {
            let line = self.line().await?;
            if let Some(tag) = line.strip_prefix("sample ") {
                let said = format!("sampled {tag} 0.1 {} 0.1 1\r\n", self.on_cores);
                let _ = self.write.write_all(said.as_bytes()).await;
                continue;
            }
            if line.starts_with("launch") || line.starts_with("deliver") {
                let length: usize = line.rsplit(' ').next().and_then(|n| n.parse().ok()).expect("a length");
                let mut body = vec![0; length + 2];
                within("a body", self.lines.read_exact(&mut body)).await.expect("a body");
            }
            return Some(line);
        }
    }

    /// The same, and it has to come: questions alone do not make a test wait for ever.
    pub async fn next_command(&mut self) -> Option<String> {
        within("a command that is no question", self.command()).await
    }

    /// Answers questions until the link ends; the commands that came meanwhile.
    pub async fn rest(mut self) -> Vec<String> {
        let mut all = Vec::new();
        while let Some(command) = self.command().await {
            all.push(command);
        }
        all
    }
}
