//! Settings files: the platform's TOML, and the operators' YAML with a section for each feature.

use pearford_nomad::operator::NomadSettings;
use pearford_scheduler::settings::{self, Settings, SourceFile};
use serde_yaml_ng::{Mapping, Value};
use std::path::Path;

/// All settings of a node, checked.
#[derive(Debug)]
pub struct Loaded {
    pub settings: Settings,
    /// The operators' `nomad` section, if there is one.
    pub nomad: Option<NomadSettings>,
}

fn read(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path).map_err(|e| vec![format!("{}: (file): can't be read: {e}", path.display())])
}

/// The operators' file: what concerns the core, as text, and Nomad's section.
fn sections(path: &Path) -> Result<(String, Option<NomadSettings>), Vec<String>> {
    let text = read(path)?;
    let named = |why: String| format!("{}: {why}", path.display());
    let value: Value = serde_yaml_ng::from_str(&text).map_err(|e| vec![named(format!("(syntax): {e}"))])?;
    let mut map = match value {
        Value::Null => Mapping::new(),
        Value::Mapping(map) => map,
        _ => return Err(vec![named("(file): must hold KEY: VALUE lines".into())]),
    };
    let nomad =
        match map.remove("nomad") {
            None => None,
            Some(section) => Some(NomadSettings::of(section).map_err(|faults| {
                faults.into_iter().map(|f| named(format!("nomad.{f}"))).collect::<Vec<_>>()
            })?),
        };
    let controller = if map.is_empty() { Ok(String::new()) } else { serde_yaml_ng::to_string(&map) };
    Ok((controller.map_err(|e| vec![named(e.to_string())])?, nomad))
}

/// Nomad's section of the operators' file, with defaults where it says nothing.
pub fn nomad(operator: &Path) -> Result<NomadSettings, Vec<String>> {
    Ok(sections(operator)?.1.unwrap_or_default())
}

pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Loaded, Vec<String>> {
    let text = read(platform)?;
    let (controller, nomad) = match operator {
        None => (None, None),
        Some(path) => {
            let (controller, nomad) = sections(path)?;
            (Some((path.display().to_string(), controller)), nomad)
        }
    };
    let controller = controller.as_ref().map(|(name, text)| SourceFile::new(name, text));
    let settings = settings::parse(SourceFile::new(&platform.display().to_string(), &text), controller)
        .map_err(|faults| faults.iter().map(ToString::to_string).collect::<Vec<_>>())?;
    Ok(Loaded { settings, nomad })
}
