//! Errors of reading and checking a quota tree.

/// Why a quota tree can't be used, with the file and the field at fault.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{file}: {field}: {reason}")]
pub struct TreeError {
    /// The file, or the stored record, that the tree was read from.
    pub file: String,
    /// The section and key, such as `[node a] gpus`.
    pub field: String,
    /// What is wrong with the field.
    pub reason: TreeProblem,
}

/// What is wrong with a field of a quota tree.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TreeProblem {
    /// The text is not INI, or the stored record is not JSON; with the message of the parser.
    #[error("{0}")]
    Syntax(String),
    /// A section or a key occurs more than once.
    #[error("is there twice")]
    Duplicate,
    /// The section is neither `[tree]` nor `[node NAME]`.
    #[error("unknown section")]
    UnknownSection,
    /// The section has no such key.
    #[error("unknown key")]
    UnknownKey,
    /// The value is not a number.
    #[error("must be a number")]
    NotANumber,
    /// The number is outside the allowed range.
    #[error("must lie between {min} and {max}")]
    OutOfRange {
        /// The smallest number allowed.
        min: f64,
        /// The largest number allowed.
        max: f64,
    },
    /// The value is not a whole number.
    #[error("must be a whole number")]
    NotAnInteger,
    /// The value is neither `yes` nor `no`.
    #[error("must be yes or no")]
    NotABoolean,
    /// The value is empty.
    #[error("must not be empty")]
    Empty,
    /// The revision is missing or 0.
    #[error("must be there, at least 1, and rise with every change")]
    MissingRevision,
    /// An enabled tree has no nodes.
    #[error("there must be at least one")]
    NoNodes,
    /// The parent that a node names does not exist.
    #[error("there is no node {0}")]
    UnknownParent(String),
    /// A node is among its own ancestors.
    #[error("the node is its own ancestor")]
    Cycle,
    /// The tree has more levels than this.
    #[error("the tree is deeper than {0} levels")]
    TooDeep(usize),
    /// The parent represents a team, so it can't have children.
    #[error("{0} stands for a team and can't have children")]
    ParentIsLeaf(String),
    /// Another node already represents the team.
    #[error("another node stands for team {0} already")]
    DuplicateTeam(String),
    /// A node without children names no team.
    #[error("a node without children must name its team")]
    LeafWithoutTeam,
    /// The platform guarantees the team this amount, which is more than the tree guarantees it.
    #[error("the platform guarantees the team {0}, which is more")]
    BelowPlatformGuarantee(f64),
    /// The platform limits the team to this amount, which is less than the tree guarantees.
    #[error("the platform allows the team {0} at most")]
    AbovePlatformLimit(f64),
    /// The children are guaranteed more than the node.
    #[error("holds {guarantee}, its children are guaranteed {children}")]
    ChildrenExceedGuarantee {
        /// What the node is guaranteed.
        guarantee: f64,
        /// What its children are guaranteed together.
        children: f64,
    },
    /// The limit is less than the guarantee.
    #[error("{limit} is less than the guarantee of {guarantee}")]
    LimitBelowGuarantee {
        /// The node's limit.
        limit: f64,
        /// What the node is guaranteed.
        guarantee: f64,
    },
    /// The limit is more than that of the parent.
    #[error("{limit} is more than {parent_limit}, the limit of {parent}")]
    AboveParentLimit {
        /// The node's limit.
        limit: f64,
        /// The parent's limit.
        parent_limit: f64,
        /// The parent's name.
        parent: String,
    },
    /// The stored nodes do not match the hash in their head record.
    #[error("the stored pages do not match the hash in the head record")]
    HashMismatch,
}
