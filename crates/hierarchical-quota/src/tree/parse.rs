//! Parses a tree from the operator's INI file, which has a `[tree]` section and a `[node NAME]`
//! section for each node.

use std::collections::BTreeSet;

use ini::{Ini, Properties};

use super::{NodeSpec, TreeError, TreeProblem, TreeSpec};

/// Upper bound of an amount of CPUs or GPUs. Larger ones are rejected as mistakes.
const MAX_AMOUNT: f64 = 1e9;

/// Upper bound of the hold time, in seconds. A longer one is rejected as a mistake, because unused
/// quota would hardly be lent.
const MAX_HOLD_S: f64 = 600.0;

/// The hold time if the file states none, in seconds.
const DEFAULT_HOLD_S: f64 = 5.0;

/// The allowed weights. Weights outside this range are rejected as mistakes.
const WEIGHT_RANGE: (f64, f64) = (1e-3, 1e6);

impl TreeSpec {
    /// Reads a tree from the text of a file; the file's name is for errors only.
    ///
    /// # Errors
    ///
    /// If the text is not INI, has unknown, repeated or malformed entries, has no revision, or is
    /// enabled without nodes.
    pub fn parse(file: &str, text: &str) -> Result<Self, TreeError> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            let reason = TreeProblem::Syntax(error.to_string());
            tree_error(file, "file", reason)
        })?;
        let mut parser = Parser::new(file);
        for (section, entries) in ini.iter() {
            parser.read_section(section.unwrap_or(""), entries)?;
        }
        parser.finish()
    }
}

fn tree_error(file: &str, field: &str, reason: TreeProblem) -> TreeError {
    TreeError {
        file: file.into(),
        field: field.into(),
        reason,
    }
}

/// The state of parsing one file.
struct Parser<'a> {
    file: &'a str,
    spec: TreeSpec,
    has_tree_section: bool,
    node_names: BTreeSet<String>,
}

impl<'a> Parser<'a> {
    fn new(file: &'a str) -> Self {
        let spec = TreeSpec {
            revision: 0,
            hold_s: DEFAULT_HOLD_S,
            enabled: true,
            nodes: Vec::new(),
        };
        Self {
            file,
            spec,
            has_tree_section: false,
            node_names: BTreeSet::new(),
        }
    }

    fn read_section(&mut self, section: &str, entries: &Properties) -> Result<(), TreeError> {
        match section.split_once(char::is_whitespace) {
            None if section == "tree" => self.read_tree(section, entries),
            // The parser returns entries before the first section as a section without a name.
            None if section.is_empty() && entries.is_empty() => Ok(()),
            Some(("node", name)) if !name.trim().is_empty() => {
                self.read_node(section, name.trim(), entries)
            }
            _ => Err(self.section_error(section, TreeProblem::UnknownSection)),
        }
    }

    fn read_tree(&mut self, section: &str, entries: &Properties) -> Result<(), TreeError> {
        if std::mem::replace(&mut self.has_tree_section, true) {
            return Err(self.section_error(section, TreeProblem::Duplicate));
        }
        for entry in self.entries(section, entries) {
            self.spec.set(&entry?)?;
        }
        Ok(())
    }

    fn read_node(
        &mut self,
        section: &str,
        name: &str,
        entries: &Properties,
    ) -> Result<(), TreeError> {
        let mut node = NodeSpec::named(name);
        for entry in self.entries(section, entries) {
            node.set(&entry?)?;
        }
        if !self.node_names.insert(node.name.clone()) {
            return Err(self.section_error(section, TreeProblem::Duplicate));
        }
        self.spec.nodes.push(node);
        Ok(())
    }

    /// The entries of a section, with an error in place of each repeated key.
    fn entries<'e>(
        &self,
        section: &'e str,
        entries: &'e Properties,
    ) -> impl Iterator<Item = Result<Entry<'e>, TreeError>> + use<'a, 'e>
    where
        'a: 'e,
    {
        let file = self.file;
        let mut seen = BTreeSet::new();
        entries.iter().map(move |(key, text)| {
            let entry = Entry {
                file,
                section,
                key,
                text: text.trim(),
            };
            if seen.insert(key) {
                Ok(entry)
            } else {
                Err(entry.error(TreeProblem::Duplicate))
            }
        })
    }

    fn section_error(&self, section: &str, reason: TreeProblem) -> TreeError {
        tree_error(self.file, &format!("[{section}]"), reason)
    }

    fn finish(self) -> Result<TreeSpec, TreeError> {
        if self.spec.revision == 0 {
            let reason = TreeProblem::MissingRevision;
            return Err(tree_error(self.file, "[tree] revision", reason));
        }
        if self.spec.nodes.is_empty() && self.spec.enabled {
            return Err(tree_error(self.file, "[node ...]", TreeProblem::NoNodes));
        }
        Ok(self.spec)
    }
}

/// A key and its value in a section.
struct Entry<'a> {
    file: &'a str,
    section: &'a str,
    key: &'a str,
    text: &'a str,
}

impl Entry<'_> {
    fn error(&self, reason: TreeProblem) -> TreeError {
        let field = format!("[{}] {}", self.section, self.key);
        tree_error(self.file, &field, reason)
    }

    fn number(&self, min: f64, max: f64) -> Result<f64, TreeError> {
        match self.text.parse::<f64>() {
            Ok(value) if (min..=max).contains(&value) => Ok(value),
            Ok(_) => Err(self.error(TreeProblem::OutOfRange { min, max })),
            Err(_) => Err(self.error(TreeProblem::NotANumber)),
        }
    }

    /// CPUs or GPUs.
    fn amount(&self) -> Result<f64, TreeError> {
        self.number(0.0, MAX_AMOUNT)
    }

    fn integer(&self) -> Result<u64, TreeError> {
        let parsed = self.text.parse();
        parsed.map_err(|_| self.error(TreeProblem::NotAnInteger))
    }

    fn boolean(&self) -> Result<bool, TreeError> {
        match self.text {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(self.error(TreeProblem::NotABoolean)),
        }
    }

    fn name(&self) -> Result<String, TreeError> {
        match self.text {
            "" => Err(self.error(TreeProblem::Empty)),
            text => Ok(text.to_string()),
        }
    }
}

impl TreeSpec {
    fn set(&mut self, entry: &Entry) -> Result<(), TreeError> {
        match entry.key {
            "revision" => self.revision = entry.integer()?,
            "enabled" => self.enabled = entry.boolean()?,
            "hold_s" => self.hold_s = entry.number(0.0, MAX_HOLD_S)?,
            _ => return Err(entry.error(TreeProblem::UnknownKey)),
        }
        Ok(())
    }
}

impl NodeSpec {
    fn set(&mut self, entry: &Entry) -> Result<(), TreeError> {
        match entry.key {
            "parent" => self.parent = Some(entry.name()?),
            "team" => self.team = Some(entry.name()?),
            "cpus" => self.guarantee.cpus = entry.amount()?,
            "gpus" => self.guarantee.gpus = entry.amount()?,
            "cpus_max" => self.limit.cpus = entry.amount()?,
            "gpus_max" => self.limit.gpus = entry.amount()?,
            "weight" => self.weight = entry.number(WEIGHT_RANGE.0, WEIGHT_RANGE.1)?,
            _ => return Err(entry.error(TreeProblem::UnknownKey)),
        }
        Ok(())
    }
}
