//! Reads the uwsgi servers from an inventory in Ansible-style YAML or in CSV.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use marked_yaml::types::MarkedMappingNode;
use marked_yaml::{LoadError, LoaderOptions, Node, parse_yaml_with_options};
use thiserror::Error;

use crate::config::{ConfigError, read_text};

/// Slots of a host that declares none.
const DEFAULT_SLOTS: u32 = 1;
/// Limit on the hosts that one range expands to.
const RANGE_MAX: u32 = 1_000;

/// One uwsgi server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Its name in the inventory.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Requests that it processes concurrently.
    pub slots: u32,
}

/// An invalid inventory: the first fault, with its line.
#[derive(Debug, Error)]
#[error("{path}:{line}: {reason}")]
pub struct InventoryError {
    path: String,
    line: usize,
    reason: String,
}

/// The line of a fault, from 1, and its reason.
type LineError = (usize, String);

/// Variables by name, each with its value and line.
type Vars = BTreeMap<String, (String, usize)>;

#[derive(Default)]
struct Group {
    hosts: BTreeSet<String>,
    children: BTreeMap<String, usize>,
    vars: Vars,
}

#[derive(Default)]
struct Inventory {
    groups: BTreeMap<String, Group>,
    /// Each host's own variables, and the line that first names it.
    hosts: BTreeMap<String, (Vars, usize)>,
}

/// Reads the hosts of one group (`all` for every host), in the order of their names.
///
/// # Errors
/// A file that can't be read, or its first fault, with its line.
pub fn load(path: &Path, group: &str) -> Result<Vec<Host>, ConfigError> {
    let text = read_text(path)?;
    let csv = path.extension().is_some_and(|e| e.eq_ignore_ascii_case("csv"));
    let shown = path.display().to_string();
    parse(&shown, &text, csv, group)
        .map_err(|e| ConfigError::Parse { path: format!("{}:{}", e.path, e.line), reason: e.reason })
}

/// Reads the hosts of one group from an inventory's text.
///
/// # Errors
/// The first fault, with its line.
pub fn parse(path: &str, text: &str, csv: bool, group: &str) -> Result<Vec<Host>, InventoryError> {
    let read = if csv { from_csv(text) } else { from_yaml(text) };
    read.and_then(|i| i.hosts_of(group)).map_err(|(line, reason)| InventoryError {
        path: path.to_owned(),
        line,
        reason,
    })
}

impl Inventory {
    fn add_host(&mut self, group: &str, name: &str, vars: Vars, line: usize) -> Result<(), LineError> {
        self.groups.entry(group.to_owned()).or_default().hosts.insert(name.to_owned());
        match self.hosts.get_mut(name) {
            // A host may be listed in several groups, but only one of them may set its variables.
            Some((old, first)) if !old.is_empty() && !vars.is_empty() => {
                Err((line, format!("duplicate host '{name}', first in line {first}")))
            }
            Some((old, _)) => {
                old.extend(vars);
                Ok(())
            }
            None => {
                self.hosts.insert(name.to_owned(), (vars, line));
                Ok(())
            }
        }
    }

    /// The depth of each group: the length of the longest path to it from `all`.
    fn depths(&self) -> Result<BTreeMap<&str, usize>, LineError> {
        let mut depths = BTreeMap::new();
        let mut children = BTreeSet::new();
        for g in self.groups.values() {
            children.extend(g.children.keys().map(String::as_str));
        }
        // Groups that no other group lists are children of `all`, as in Ansible. The members of a cycle may not be
        // reachable from any root, so all groups are visited.
        let roots = self.groups.keys().filter(|g| !children.contains(g.as_str()));
        for root in roots.chain(self.groups.keys()) {
            if !depths.contains_key(root.as_str()) {
                let depth = usize::from(root != "all");
                self.descend(root, depth, &mut Vec::new(), &mut depths)?;
            }
        }
        Ok(depths)
    }

    fn descend<'a>(
        &'a self,
        group: &'a str,
        depth: usize,
        path: &mut Vec<&'a str>,
        depths: &mut BTreeMap<&'a str, usize>,
    ) -> Result<(), LineError> {
        if depths.get(group).is_some_and(|d| *d >= depth) {
            return Ok(());
        }
        depths.insert(group, depth);
        path.push(group);
        for (child, line) in self.groups.get(group).into_iter().flat_map(|g| &g.children) {
            if path.contains(&child.as_str()) {
                return Err((*line, format!("cyclic group '{child}': {} > {child}", path.join(" > "))));
            }
            self.descend(child, depth + 1, path, depths)?;
        }
        path.pop();
        Ok(())
    }

    /// Whether a host is in a group or one of its descendants.
    fn contains_host(&self, group: &str, host: &str) -> bool {
        group == "all"
            || self.groups.get(group).is_some_and(|g| {
                g.hosts.contains(host) || g.children.keys().any(|c| self.contains_host(c, host))
            })
    }

    fn hosts_of(&self, wanted: &str) -> Result<Vec<Host>, LineError> {
        let depths = self.depths()?;
        if wanted != "all" && !self.groups.contains_key(wanted) {
            return Err((1, format!("no group '{wanted}'")));
        }
        // Variables of a deeper group override those of its ancestors; at equal depth the later name overrides.
        let mut order: Vec<(usize, &str)> = depths.iter().map(|(g, d)| (*d, *g)).collect();
        order.sort_unstable();
        let mut hosts = Vec::new();
        let mut name_by_address: BTreeMap<SocketAddr, &str> = BTreeMap::new();
        for (name, (own, line)) in self.hosts.iter().filter(|(name, _)| self.contains_host(wanted, name)) {
            let mut vars = Vars::new();
            for (_, g) in order.iter().filter(|(_, g)| self.contains_host(g, name)) {
                vars.extend(self.groups.get(*g).into_iter().flat_map(|g| g.vars.clone()));
            }
            vars.extend(own.clone());
            let host = host(name, &vars, *line)?;
            if let Some(other) = name_by_address.insert(host.address, name) {
                return Err((*line, format!("duplicate host: '{name}' has the address of '{other}'")));
            }
            hosts.push(host);
        }
        if hosts.is_empty() { Err((1, format!("no hosts in group '{wanted}'"))) } else { Ok(hosts) }
    }
}

fn host(name: &str, vars: &Vars, line: usize) -> Result<Host, LineError> {
    let (ip, ip_line) = vars.get("ansible_host").map_or((name, line), |(v, l)| (v, *l));
    let ip: IpAddr =
        ip.parse().map_err(|_| (ip_line, format!("host '{name}': '{ip}' is not an IP address")))?;
    let (port, at) =
        vars.get("ansible_port").ok_or_else(|| (line, format!("host '{name}' has no ansible_port")))?;
    let port = port.parse::<u16>().ok().filter(|p| *p > 0);
    let port = port.ok_or_else(|| (*at, format!("host '{name}': bad port '{}'", vars["ansible_port"].0)))?;
    let slots = match vars.get("slots") {
        None => DEFAULT_SLOTS,
        Some((v, l)) => v
            .parse()
            .ok()
            .filter(|s| (1..=10_000).contains(s))
            .ok_or_else(|| (*l, format!("host '{name}': bad slots '{v}'")))?,
    };
    Ok(Host { name: name.to_owned(), address: SocketAddr::new(ip, port), slots })
}

// ---- CSV ----

const COLUMNS: [&str; 5] = ["name", "group", "ansible_host", "ansible_port", "slots"];

fn from_csv(text: &str) -> Result<Inventory, LineError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let csv_error = |e: csv::Error| (e.position().map_or(1, |p| p.line() as usize), e.to_string());
    let header = reader.headers().map_err(csv_error)?.clone();
    for (i, column) in header.iter().enumerate() {
        if !COLUMNS.contains(&column) {
            return Err((1, format!("unknown column '{column}'")));
        }
        if header.iter().take(i).any(|c| c == column) {
            return Err((1, format!("duplicate column '{column}'")));
        }
    }
    if !header.iter().any(|c| c == "name") {
        return Err((1, "no column 'name'".to_owned()));
    }
    let mut inventory = Inventory::default();
    for record in reader.records() {
        let record = record.map_err(csv_error)?;
        let line = record.position().map_or(1, |p| line_at(text, p.byte() as usize));
        let cells = header.iter().zip(record.iter()).filter(|(_, v)| !v.is_empty());
        let mut vars: Vars = cells.map(|(k, v)| (k.to_owned(), (v.to_owned(), line))).collect();
        let (name, _) = vars.remove("name").ok_or((line, "no name".to_owned()))?;
        let group = vars.remove("group").map_or_else(|| "ungrouped".to_owned(), |g| g.0);
        if let Some((_, first)) = inventory.hosts.get(&name) {
            return Err((line, format!("duplicate host '{name}', first in line {first}")));
        }
        inventory.add_host(&group, &name, vars, line)?;
    }
    Ok(inventory)
}

/// The line of the record that starts at this byte, or after blank lines behind it.
fn line_at(text: &str, byte: usize) -> usize {
    let (before, after) = text.split_at_checked(byte).unwrap_or((text, ""));
    let blank = after.len() - after.trim_start_matches(['\r', '\n']).len();
    1 + before.matches('\n').count() + after[..blank].matches('\n').count()
}

// ---- YAML ----

fn line_of(node: &Node) -> usize {
    node.span().start().map_or(1, |m| m.line())
}

fn load_error(e: &LoadError) -> LineError {
    let (at, reason) = match e {
        LoadError::TopLevelMustBeMapping(m) => (m, "not a mapping of groups".to_owned()),
        LoadError::TopLevelMustBeSequence(m) => (m, "not a sequence".to_owned()),
        LoadError::UnexpectedAnchor(m) => (m, "anchors are not supported".to_owned()),
        LoadError::MappingKeyMustBeScalar(m) => (m, "a key must be a plain value".to_owned()),
        LoadError::UnexpectedTag(m) => (m, "tags are not supported".to_owned()),
        LoadError::ScanError(m, e) => (m, e.to_string()),
        LoadError::DuplicateKey(keys) => {
            let (first, at) = (keys.prev_key.span().start(), keys.key.span().start());
            let first = first.map_or(1, |m| m.line());
            let reason = format!("duplicate host or key '{}', first in line {first}", keys.key.as_str());
            return (at.map_or(1, |m| m.line()), reason);
        }
    };
    (at.line(), reason)
}

fn from_yaml(text: &str) -> Result<Inventory, LineError> {
    let options = LoaderOptions::default().error_on_duplicate_keys(true);
    let root = parse_yaml_with_options(0, text, options).map_err(|e| load_error(&e))?;
    let mut inventory = Inventory::default();
    for (name, body) in entries(&root, "the inventory")? {
        inventory.add_group(&name, body, 0)?;
    }
    Ok(inventory)
}

fn is_null(node: &Node) -> bool {
    node.as_scalar().is_some_and(|s| matches!(s.as_str(), "" | "~" | "null") && s.may_coerce())
}

/// The pairs of a mapping; none for a null, which is how tools write an empty group or host.
fn entries<'a>(node: &'a Node, what: &str) -> Result<Vec<(String, &'a Node)>, LineError> {
    let map: Option<&MarkedMappingNode> = node.as_mapping();
    match map {
        Some(map) => Ok(map.iter().map(|(k, v)| (k.as_str().to_owned(), v)).collect()),
        None if is_null(node) => Ok(Vec::new()),
        None => Err((line_of(node), format!("{what} must be a mapping"))),
    }
}

fn vars(node: &Node, what: &str) -> Result<Vars, LineError> {
    let pairs = entries(node, what)?.into_iter();
    // Only scalar variables matter here; tools store many others, lists and mappings among them.
    let plain = pairs.filter_map(|(k, v)| Some((k, (v.as_scalar()?.as_str().to_owned(), line_of(v)))));
    Ok(plain.collect())
}

impl Inventory {
    fn add_group(&mut self, name: &str, body: &Node, depth: usize) -> Result<(), LineError> {
        if depth > 32 {
            return Err((line_of(body), format!("group '{name}' is nested too deep")));
        }
        self.groups.entry(name.to_owned()).or_default();
        for (key, value) in entries(body, &format!("group '{name}'"))? {
            match key.as_str() {
                "hosts" => {
                    for (host, own) in entries(value, "hosts")? {
                        let own_vars = vars(own, &format!("host '{host}'"))?;
                        // A host without variables has no line of its own in the parsed tree, so its list's line is used.
                        let line = if is_null(own) { line_of(value) } else { line_of(own) };
                        for host in expand(&host).map_err(|reason| (line, reason))? {
                            self.add_host(name, &host, own_vars.clone(), line)?;
                        }
                    }
                }
                "vars" => {
                    let group_vars = vars(value, "vars")?;
                    self.groups.entry(name.to_owned()).or_default().vars.extend(group_vars);
                }
                "children" => {
                    for (child, body) in entries(value, "children")? {
                        let line = if is_null(body) { line_of(value) } else { line_of(body) };
                        let children = &mut self.groups.entry(name.to_owned()).or_default().children;
                        children.insert(child.clone(), line);
                        self.add_group(&child, body, depth + 1)?;
                    }
                }
                _ => return Err((line_of(value), format!("unknown key '{key}' in group '{name}'"))),
            }
        }
        Ok(())
    }
}

/// Expands a numeric range such as `gate[01:12]` into names; a name without a range is returned alone.
fn expand(pattern: &str) -> Result<Vec<String>, String> {
    let Some((head, rest)) = pattern.split_once('[') else { return Ok(vec![pattern.to_owned()]) };
    let bad_range = || format!("bad range in host '{pattern}'");
    let (range, tail) = rest.split_once(']').ok_or_else(bad_range)?;
    let (from, to) = range.split_once(':').ok_or_else(bad_range)?;
    let width = if from.starts_with('0') { from.len() } else { 0 };
    let (a, b): (u32, u32) = (from.parse().map_err(|_| bad_range())?, to.parse().map_err(|_| bad_range())?);
    if b < a || b - a >= RANGE_MAX {
        return Err(bad_range());
    }
    let mut names = Vec::new();
    for n in a..=b {
        names.extend(expand(&format!("{head}{n:0width$}{tail}"))?);
    }
    Ok(names)
}
