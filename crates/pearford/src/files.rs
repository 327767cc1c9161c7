//! Reads and checks the settings files: the platform's TOML, and the operators' YAML with a section for each
//! extension.
//!
//! Every fault is one line with the file, the key, and the problem or its remedy.

use pearford_nomad::operator::NomadSettings;
use pearford_scheduler::settings::{self, Settings, SourceFile};
use serde_yaml_ng::{Mapping, Value};
use std::path::Path;

/// The key of the Nomad API's section in the operators' file.
const NOMAD_SECTION: &str = "nomad";

/// All settings of a node, checked.
#[derive(Debug)]
pub struct LoadedSettings {
    /// The controller's settings, from both files.
    pub settings: Settings,
    /// The operators' `nomad` section, if there is one.
    pub nomad: Option<NomadSettings>,
}

/// The operators' file, split into its parts.
struct OperatorFile {
    /// The controller's settings, as YAML; empty if there are none.
    controller: String,
    /// The section of the Nomad API.
    nomad: Option<NomadSettings>,
}

/// Reads both files.
///
/// # Errors
///
/// The faults, one line each. If a file can't be read, the operators' file is not valid YAML, or its `nomad`
/// section has faults, only those are returned; otherwise all faults of the controller's settings.
pub fn load(platform: &Path, operator: Option<&Path>) -> Result<LoadedSettings, Vec<String>> {
    let text = read(platform)?;
    let platform_name = platform.display().to_string();
    let platform_file = SourceFile::new(&platform_name, &text);
    let Some(path) = operator else {
        return Ok(LoadedSettings { settings: check(platform_file, None)?, nomad: None });
    };
    let file = read_operator_file(path)?;
    let operator_name = path.display().to_string();
    let settings = check(platform_file, Some(SourceFile::new(&operator_name, &file.controller)))?;
    Ok(LoadedSettings { settings, nomad: file.nomad })
}

/// The `nomad` section of the operators' file, with defaults for missing keys.
///
/// # Errors
///
/// The fault of the file itself, or the faults of its `nomad` section, one line each.
pub fn load_nomad(operator: &Path) -> Result<NomadSettings, Vec<String>> {
    Ok(read_operator_file(operator)?.nomad.unwrap_or_default())
}

/// Checks the controller's settings, which are in both files.
fn check(platform: SourceFile, operator: Option<SourceFile>) -> Result<Settings, Vec<String>> {
    settings::parse(platform, operator).map_err(|faults| faults.iter().map(ToString::to_string).collect())
}

fn read_operator_file(path: &Path) -> Result<OperatorFile, Vec<String>> {
    let text = read(path)?;
    let in_file = |fault: String| format!("{}: {fault}", path.display());
    let value: Value =
        serde_yaml_ng::from_str(&text).map_err(|error| vec![in_file(format!("(syntax): {error}"))])?;
    let mut sections = match value {
        Value::Null => Mapping::new(),
        Value::Mapping(sections) => sections,
        _ => return Err(vec![in_file("(file): must hold KEY: VALUE lines".into())]),
    };
    let nomad = sections.remove(NOMAD_SECTION).map(NomadSettings::of).transpose().map_err(|faults| {
        faults.into_iter().map(|fault| in_file(format!("{NOMAD_SECTION}.{fault}"))).collect::<Vec<_>>()
    })?;
    let controller = if sections.is_empty() {
        String::new()
    } else {
        serde_yaml_ng::to_string(&sections).map_err(|error| vec![in_file(error.to_string())])?
    };
    Ok(OperatorFile { controller, nomad })
}

fn read(path: &Path) -> Result<String, Vec<String>> {
    std::fs::read_to_string(path)
        .map_err(|error| vec![format!("{}: (file): can't be read: {error}", path.display())])
}
