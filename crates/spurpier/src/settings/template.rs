//! The commented settings template, made from the schema.

use super::schema::{Absent, Key, ROOT, Shape};

/// The template: every key with its default, or an example where it has none.
pub fn template() -> String {
    let mut text = String::from(
        "# Settings of a spurpier node.\n\
         # Every key is shown with its default; keys marked \"required\" have none and show an\n\
         # example. Check a file with `spurpier settings check FILE`.\n",
    );
    for key in ROOT {
        write_section(&mut text, key.name, key);
    }
    text
}

/// Writes the table or array of tables under `path` with all that it holds.
fn write_section(text: &mut String, path: &str, key: &Key) {
    let (header, keys) = match key.shape {
        Shape::Table(keys) => (format!("[{path}]"), keys),
        Shape::Tables(keys) => (format!("[[{path}]]"), keys),
        _ => return,
    };
    text.push_str(&format!("\n# {}\n{header}\n", key.summary));
    for inner in keys {
        write_value(text, inner);
    }
    for inner in keys.iter().filter(|inner| has_own_section(inner)) {
        write_section(text, &format!("{path}.{}", inner.name), inner);
    }
}

/// Whether the key is written as a section of its own: a required array of tables.
fn has_own_section(key: &Key) -> bool {
    matches!(
        (key.shape, key.absent),
        (Shape::Tables(_), Absent::Required(_)) | (Shape::Table(_), _)
    )
}

fn write_value(text: &mut String, key: &Key) {
    if has_own_section(key) {
        return;
    }
    let name = key.name;
    let (note, value) = match key.absent {
        Absent::Required(example) => ("Required. ", example),
        Absent::Default(default) => ("", default),
    };
    text.push_str(&format!("# {note}{}\n", key.summary));
    if let Shape::Tables(keys) = key.shape {
        write_entry_example(text, keys);
    }
    text.push_str(&format!("{name} = {value}\n"));
}

/// Shows, as a comment, one entry of an array that is empty by default.
fn write_entry_example(text: &mut String, keys: &[Key]) {
    for key in keys {
        text.push_str(&format!("#   {}: {}\n", key.name, key.summary));
    }
    text.push_str(&format!("# Example: [{}]\n", entry_example(keys)));
}

/// One entry of an array of tables as inline TOML, made of the keys' examples.
pub fn entry_example(keys: &[Key]) -> String {
    let fields: Vec<String> = keys
        .iter()
        .map(|key| {
            let value = match key.absent {
                Absent::Required(example) => example,
                Absent::Default(default) => default,
            };
            format!("{} = {value}", key.name)
        })
        .collect();
    format!("{{ {} }}", fields.join(", "))
}
