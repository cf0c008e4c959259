//! Keys of the files: of the platform's configuration and of the operators' files.
//!
//! A document of each kind holds every key. Each line of the list is a key, by the way to it, with what becomes of the file
//! once the key is renamed, and once its value is of another kind: the first shows that the name is known, or is passed over
//! as any unknown one; the second that the value is read.

use std::collections::BTreeSet;

use serde_json::Value;

use super::{Folder, assert_exactly, golden, pinned};

const ALL: [&str; 9] = [
    "check",
    "--uwsgi",
    "uwsgi.toml",
    "--edge",
    "edge.toml",
    "--tiers",
    "tiers.toml",
    "--fleet",
    "fleet.toml",
];

/// The way to every key of a document.
fn ways(value: &Value, way: &[String], all: &mut Vec<Vec<String>>) {
    let mut one = |name: String, value: &Value, named: bool| {
        let way = [way, &[name]].concat();
        if named {
            all.push(way.clone());
        }
        ways(value, &way, all);
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| one(key.clone(), value, true)),
        Value::Array(list) => {
            list.iter().enumerate().for_each(|(place, value)| one(place.to_string(), value, false));
        }
        _ => {}
    }
}

/// The object that holds the key at the end of a way.
fn holder<'a>(document: &'a mut Value, way: &[String]) -> &'a mut serde_json::Map<String, Value> {
    let (_, way) = way.split_last().expect("a key");
    let pointer: String =
        way.iter().map(|step| format!("/{}", step.replace('~', "~0").replace('/', "~1"))).collect();
    document.pointer_mut(&pointer).and_then(Value::as_object_mut).expect("an object")
}

fn parse(file: &str, text: &str) -> Value {
    if file.ends_with(".json") {
        serde_json::from_str(text).expect("JSON")
    } else {
        serde_json::to_value(toml::from_str::<toml::Table>(text).expect("TOML")).expect("a document")
    }
}

fn print(file: &str, document: &Value) -> String {
    if file.ends_with(".json") { document.to_string() } else { toml::to_string(document).expect("TOML") }
}

/// Whether the program takes this folder's files.
fn verdict(folder: &Folder) -> &'static str {
    let outcome = folder.run(&ALL);
    match outcome.exit {
        0 => "accepted",
        1 => "refused",
        other => panic!("exit code {other}: {}", outcome.stderr),
    }
}

fn all_keys() -> Folder {
    let folder = Folder::with_files_of(&[golden("all")]);
    let outcome = folder.run(&ALL);
    assert_eq!(outcome.exit, 0, "the files with every key: {}", outcome.stderr);
    folder
}

/// What becomes of a file with each key renamed, and with each value of another kind.
fn verdicts(file: &str) -> Vec<String> {
    let folder = all_keys();
    let whole = parse(file, &folder.read(file));
    // The values as this test writes them are the same file.
    folder.write(file, &print(file, &whole));
    assert_eq!(verdict(&folder), "accepted", "{file}");
    let mut all = Vec::new();
    ways(&whole, &[], &mut all);
    let mut lines = Vec::new();
    for way in all {
        let key = way.last().expect("a key");
        let mut renamed = whole.clone();
        let object = holder(&mut renamed, &way);
        let value = object.remove(key).expect("a value");
        object.insert(format!("{key}-renamed"), value.clone());
        folder.write(file, &print(file, &renamed));
        let by_name = verdict(&folder);
        let mut wrong = whole.clone();
        let other =
            if value.is_object() { Value::from("wrong") } else { serde_json::json!({"wrong": "wrong"}) };
        holder(&mut wrong, &way).insert(key.clone(), other);
        folder.write(file, &print(file, &wrong));
        let by_kind = verdict(&folder);
        lines.push(format!("{} renamed {by_name}, of another kind {by_kind}", way.join(".")));
    }
    lines.sort();
    lines
}

#[test]
fn keys_of_the_platforms_configuration() {
    assert_exactly("keys-config.txt", &verdicts("config.json"));
}

#[test]
fn keys_of_the_uwsgi_file() {
    assert_exactly("keys-uwsgi.txt", &verdicts("uwsgi.toml"));
}

#[test]
fn keys_of_the_edge_file() {
    assert_exactly("keys-edge.txt", &verdicts("edge.toml"));
}

#[test]
fn keys_of_the_tiers_file() {
    assert_exactly("keys-tiers.txt", &verdicts("tiers.toml"));
}

#[test]
fn keys_of_the_fleet_file() {
    assert_exactly("keys-fleet.txt", &verdicts("fleet.toml"));
}

/// Keys and columns of the inventories, renamed by their text.
#[test]
fn keys_of_the_inventories() {
    let mut lines = Vec::new();
    for (file, keys) in [
        ("inventory.yaml", &["vars:", "children:", "hosts:", "ansible_host:", "ansible_port:", "slots:"][..]),
        ("inventory.csv", &["name,", "group,", "ansible_host,", "ansible_port,", "slots"]),
    ] {
        let folder = all_keys();
        let front = folder.read("uwsgi.toml").replace("inventory.yaml", file);
        folder.write("uwsgi.toml", &front);
        assert_eq!(verdict(&folder), "accepted", "{file}");
        let text = folder.read(file);
        for key in keys {
            assert!(text.contains(key), "{file}: {key}");
            let name = key.trim_end_matches([':', ',']);
            folder.write(file, &text.replace(key, &key.replace(name, &format!("{name}-renamed"))));
            lines.push(format!("{file} {name} renamed {}", verdict(&folder)));
        }
        folder.write(file, &text);
    }
    // What the optional ones stand for is shown by a value that can't be: it is read, and refused by its name.
    for (file, before, after, word) in [
        ("inventory.yaml", "slots: 4", "slots: none", "slots"),
        ("inventory.yaml", "ansible_host: 127.0.0.2", "ansible_host: wrong", "wrong"),
        ("inventory.csv", "3131,4", "3131,none", "slots"),
        ("inventory.csv", "127.0.0.2", "wrong", "wrong"),
    ] {
        let folder = all_keys();
        folder.write("uwsgi.toml", &folder.read("uwsgi.toml").replace("inventory.yaml", file));
        let text = folder.read(file);
        assert!(text.contains(before), "{file}: {before}");
        folder.write(file, &text.replace(before, after));
        let outcome = folder.run(&ALL);
        assert!(outcome.exit == 1 && outcome.stderr.contains(word), "{file}: {}", outcome.stderr);
    }
    assert_exactly("keys-inventories.txt", &lines);
}

/// Two keys of the platform's settings are read without a check of their kind, by a running node alone.
#[test]
fn keys_that_only_a_running_node_reads() {
    let whole = parse("config.json", &all_keys().read("config.json"));
    let told = |settings: &Value| -> (Vec<String>, bool) {
        let told: holdlift::settings::told::RawSettings =
            serde_json::from_str(&settings.to_string()).expect("settings");
        (told.gauge_names(), told.is_entry())
    };
    let mut settings = whole["settings"].clone();
    let meters: BTreeSet<&str> = BTreeSet::from(["core_use", "on_cores", "heap_share", "links"]);
    let (gauges, entry) = told(&settings);
    assert_eq!((gauges.iter().map(String::as_str).collect::<BTreeSet<_>>(), entry), (meters, true));
    settings["tier"] = 1.into();
    settings["domain"]["meters"] = serde_json::json!(["one"]);
    assert_eq!(told(&settings), (vec!["one".to_owned()], false));
}

/// Words that a setting is one of: each line is a file, a way and a word; any other word is refused.
#[test]
fn words_that_settings_are_one_of() {
    for line in pinned("words.txt") {
        let [file, way, word] = line.split(' ').collect::<Vec<_>>()[..] else {
            panic!("three words: {line}")
        };
        let folder = all_keys();
        let way: Vec<String> = way.split('.').map(str::to_owned).collect();
        let mut document = parse(file, &folder.read(file));
        for (word, want) in [(word.to_owned(), "accepted"), (format!("{word}-renamed"), "refused")] {
            let key = way.last().expect("a key").clone();
            holder(&mut document, &way).insert(key, word.clone().into());
            folder.write(file, &print(file, &document));
            assert_eq!(verdict(&folder), want, "{line}: {word}");
        }
    }
}
