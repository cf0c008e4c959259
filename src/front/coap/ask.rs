//! Builds the core's request, and the uwsgi packet for the server, from a CoAP request.

use super::*;
use crate::time::Arrival;

impl Coap {
    /// The request to submit to the core, or the response to send at once and, for the counters, why it was rejected.
    pub(super) fn build_request(
        &mut self,
        now: Micros,
        r: &Request,
        transfer: &TransferKey,
        number: u64,
    ) -> Result<IncomingRequest, (Response, Option<FailureReason>)> {
        let respond = |code| (Response::plain(code), None);
        if let Some(code) = r.fault {
            return Err((Response::plain(code), Some(FailureReason::BadRequest)));
        }
        if let Some(b) = r.block2.filter(|b| b.num > 0) {
            // A later block of a stored result.
            return Err(match self.blocks.result(transfer) {
                Some((bytes, etag)) => {
                    let szx = szx_for(b.szx, self.response_allowance(now, transfer.0, r.size));
                    (result_block(&bytes, etag, b, szx, success_code(r.method)), None)
                }
                None => respond(ResponseType::RequestEntityIncomplete),
            });
        }
        if r.path == CORE_PATH {
            if r.method != RequestType::Get {
                return Err(respond(ResponseType::MethodNotAllowed));
            }
            let (list, room) = (self.class_links(), self.response_allowance(now, transfer.0, r.size));
            return Err(self.result(now, transfer, r.block2, list, ResponseType::Content, room));
        }
        let settings = self.settings.get();
        let name = r.path.trim_start_matches('/');
        let class_name = self.config.classes.get(&r.path).map_or(name, String::as_str);
        let Some(class) = settings.class(class_name) else {
            return Err((Response::plain(ResponseType::NotFound), Some(FailureReason::UnknownClass)));
        };
        let read = settings.classes[class.0].effect == Effect::Retryable;
        match r.method {
            RequestType::Get if read => {}
            RequestType::Post | RequestType::Put => {}
            _ => return Err(respond(ResponseType::MethodNotAllowed)),
        }
        if !read && now < self.writes_unknown_until {
            // It may have run already, so it is not refused as one that has not.
            return Err((Response::plain(ResponseType::BadGateway), Some(FailureReason::RepeatedWrite)));
        }
        if !read && now < self.writes_refused_until {
            let secs = (self.writes_refused_until - now).0.div_ceil(1_000_000).max(1);
            let secs = u32::try_from(secs).unwrap_or(u32::MAX);
            return Err((Response::retry_after(ResponseType::ServiceUnavailable, secs), None));
        }
        let body = match r.block1 {
            None if r.payload.len() > self.config.body_bytes => return Err(self.too_large()),
            None => r.payload.clone(),
            Some(b) => match self.blocks.receive_block(now, transfer, b, &r.payload) {
                Upload::Complete(body) => body,
                Upload::More => {
                    let more = Response::plain(ResponseType::Continue).with(option::BLOCK1, b.write());
                    return Err((more, None));
                }
                Upload::Gap => return Err(respond(ResponseType::RequestEntityIncomplete)),
                Upload::SizeMismatch => return Err(respond(ResponseType::BadRequest)),
                Upload::TooLarge => return Err(self.too_large()),
                Upload::NoRoom => {
                    return Err((
                        Response::retry_after(ResponseType::ServiceUnavailable, FULL_RETRY_AFTER_S),
                        None,
                    ));
                }
            },
        };
        let bad = || (Response::plain(ResponseType::BadRequest), Some(FailureReason::BadRequest));
        let value = |name: &Option<String>| {
            let name = name.as_deref()?;
            let value_in =
                |q: &String| q.split_once('=').filter(|(k, _)| *k == name).map(|(_, v)| v.to_owned());
            r.query.iter().find_map(value_in).filter(|v| !v.is_empty())
        };
        let number_of = |name: &Option<String>| match value(name) {
            None => Ok(None),
            Some(v) => v.parse::<f64>().ok().filter(|x| x.is_finite()).map(Some).ok_or_else(bad),
        };
        let names = &self.config.query;
        let rank = number_of(&names.rank)?.unwrap_or_else(|| settings.rank(class));
        let work = number_of(&names.effort)?;
        if !(0.0..1.0).contains(&rank) || work.is_some_and(|w| w < 0.0) {
            return Err(bad());
        }
        let tenant = match value(&names.tenant) {
            None => None,
            Some(t) => Some(settings.tenant(&t).ok_or_else(bad)?),
        };
        Ok(IncomingRequest {
            name: format!("coap-{number}"),
            reference_scope: ReferenceScope::ThisProcess,
            worker: Worker::Servers,
            needs_prefetch: false,
            class,
            tenant,
            is_over_quota: false,
            key: value(&names.key).filter(|_| read),
            expected_work: work.filter(|w| *w > 0.0).map(|ms| Micros::from_secs_f64(ms / 1e3)),
            held_kb: self.uwsgi.limits.room_kb,
            rank,
            is_retry: false,
            caller: 0,
            arrived: Arrival::now(now),
            time_limit: None,
            body: self.packet(r, &body, transfer.0),
        })
    }

    fn too_large(&self) -> (Response, Option<FailureReason>) {
        let most = uint(u32::try_from(self.config.body_bytes).unwrap_or(u32::MAX));
        let response = Response::plain(ResponseType::RequestEntityTooLarge).with(option::SIZE1, most);
        (response, Some(FailureReason::BadRequest))
    }

    /// The uwsgi packet for the server.
    fn packet(&self, r: &Request, body: &[u8], from: SocketAddr) -> Bytes {
        let method = if r.method == RequestType::Get { "GET" } else { "POST" };
        let (query, length, ip) = (r.query.join("&"), body.len().to_string(), from.ip().to_string());
        let vars = [
            ("REQUEST_METHOD", method),
            ("PATH_INFO", &r.path),
            ("QUERY_STRING", &query),
            ("CONTENT_LENGTH", &length),
            ("SERVER_PROTOCOL", "CoAP/1"),
            ("REMOTE_ADDR", &ip),
        ];
        let mut out = BytesMut::new();
        // Can't fail: a datagram is far smaller than the vars of a packet may be.
        let _ = uwsgi::packet::write(&vars, &mut out);
        out.extend_from_slice(body);
        out.freeze()
    }

    /// The classes as links. Cached until the classes in force change, as any peer may request the list.
    fn class_links(&mut self) -> Bytes {
        let classes = &self.settings.get().classes;
        if let Some((_, links)) = self.links.as_ref().filter(|(listed, _)| listed.is_same_copy(classes)) {
            return links.clone();
        }
        let mut paths = HashMap::new();
        for (path, class) in &self.config.classes {
            paths.entry(class.as_str()).or_insert(path.as_str());
        }
        let link = |c: &ClassSettings| {
            let kind = if c.effect == Effect::Retryable { "read" } else { "write" };
            let path = paths.get(c.name.as_str()).map_or_else(|| format!("/{}", c.name), |p| (*p).to_owned());
            format!("<{path}>;rt=\"holdlift.{kind}\"")
        };
        let live = classes.iter().filter(|c| !c.is_retired);
        let links = Bytes::from(live.map(link).collect::<Vec<_>>().join(","));
        self.links = Some((classes.clone(), links.clone()));
        links
    }
}
