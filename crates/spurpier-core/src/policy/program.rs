//! Compilation and evaluation of policy programs.
//!
//! A program is a pure function of its argument: it has no access to a clock, randomness, output
//! or modules, and its operations, recursion depth and data sizes are limited. Equal request
//! attributes therefore result in the same decision on every node.

use rhai::packages::{
    ArithmeticPackage, BasicArrayPackage, BasicIteratorPackage, BasicMapPackage, BasicMathPackage,
    BasicStringPackage, LogicPackage, MoreStringPackage, Package,
};
use rhai::{AST, Dynamic, Engine, EvalAltResult, Map, Scope};

use super::{Decision, Finding, FreshnessDemand, RequestAttributes, StatementKind};
use crate::identity::{DatabaseName, Side};

/// The maximum size of a program's text, in bytes.
pub const MAX_PROGRAM_BYTES: usize = 60 * 1024;

const MAX_OPERATIONS: u64 = 20_000;
const MAX_CALL_LEVELS: usize = 16;
const MAX_EXPRESSION_DEPTH: usize = 32;
const MAX_STRING_BYTES: usize = 8 * 1024;
const MAX_ARRAY_LENGTH: usize = 4 * 1024;
const MAX_MAP_LENGTH: usize = 4 * 1024;
const MAX_VARIABLES: usize = 64;
const MAX_FUNCTIONS: usize = 64;

/// Keywords that evaluate other code, write output or access modules.
const DISABLED_KEYWORDS: [&str; 5] = ["eval", "print", "debug", "import", "export"];

const WRITE_SIDE_FUNCTION: &str = "write_side";
const ROUTE_FUNCTION: &str = "route";

/// The maximum wait of a request for which the program sets no `patience_ms`, in milliseconds.
const DEFAULT_MAX_WAIT_MS: u32 = 1_000;

/// A compiled policy program; immutable and shared between tasks.
pub struct PolicyProgram {
    engine: Engine,
    syntax_tree: AST,
    text: String,
}

impl std::fmt::Debug for PolicyProgram {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("PolicyProgram")
            .field("bytes", &self.text.len())
            .finish_non_exhaustive()
    }
}

impl PolicyProgram {
    /// Compiles a program.
    ///
    /// # Errors
    ///
    /// All errors that can be found without running the program: its size, its syntax and missing
    /// functions.
    pub fn compile(text: &str) -> Result<PolicyProgram, Vec<Finding>> {
        if text.len() > MAX_PROGRAM_BYTES {
            let message = format!("the program is longer than {MAX_PROGRAM_BYTES} bytes");
            return Err(vec![Finding::without_position(message)]);
        }
        let engine = limited_engine();
        let syntax_tree = engine
            .compile(text)
            .map_err(|error| vec![Finding::at(error.position(), error.err_type().to_string())])?;
        let findings = missing_functions(&syntax_tree);
        if !findings.is_empty() {
            return Err(findings);
        }
        Ok(PolicyProgram {
            engine,
            syntax_tree,
            text: text.to_owned(),
        })
    }

    /// The source text of the program.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Evaluates which side accepts the writes of a database.
    ///
    /// # Errors
    ///
    /// If the program fails or does not return a side.
    pub fn write_side(&self, database: &DatabaseName) -> Result<Side, Finding> {
        let argument = database.as_str().to_owned();
        let answer = self.call(WRITE_SIDE_FUNCTION, argument)?;
        side_from(&answer).map_err(|message| in_function(WRITE_SIDE_FUNCTION, &message))
    }

    /// Decides a request of a database whose writes go to `write_side`.
    ///
    /// # Errors
    ///
    /// If the program fails or does not return a valid decision.
    pub fn route(
        &self,
        attributes: &RequestAttributes,
        write_side: Side,
    ) -> Result<Decision, Finding> {
        let answer = self.call(ROUTE_FUNCTION, request_map(attributes))?;
        decision_from(answer, attributes.statement, write_side)
            .map_err(|message| in_function(ROUTE_FUNCTION, &message))
    }

    fn call(&self, function: &str, argument: impl Into<Dynamic>) -> Result<Dynamic, Finding> {
        let mut scope = Scope::new();
        let argument: Dynamic = argument.into();
        self.engine
            .call_fn::<Dynamic>(&mut scope, &self.syntax_tree, function, (argument,))
            .map_err(|error| runtime_finding(&error))
    }
}

fn limited_engine() -> Engine {
    let mut engine = Engine::new_raw();
    // The language core and time packages are omitted: they can sleep, exit and read the clock.
    ArithmeticPackage::new().register_into_engine(&mut engine);
    LogicPackage::new().register_into_engine(&mut engine);
    BasicMathPackage::new().register_into_engine(&mut engine);
    BasicStringPackage::new().register_into_engine(&mut engine);
    MoreStringPackage::new().register_into_engine(&mut engine);
    BasicIteratorPackage::new().register_into_engine(&mut engine);
    BasicArrayPackage::new().register_into_engine(&mut engine);
    BasicMapPackage::new().register_into_engine(&mut engine);
    for keyword in DISABLED_KEYWORDS {
        engine.disable_symbol(keyword);
    }
    engine.set_max_operations(MAX_OPERATIONS);
    engine.set_max_call_levels(MAX_CALL_LEVELS);
    engine.set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH);
    engine.set_max_string_size(MAX_STRING_BYTES);
    engine.set_max_array_size(MAX_ARRAY_LENGTH);
    engine.set_max_map_size(MAX_MAP_LENGTH);
    engine.set_max_variables(MAX_VARIABLES);
    engine.set_max_functions(MAX_FUNCTIONS);
    engine.set_max_modules(0);
    engine
}

fn missing_functions(syntax_tree: &AST) -> Vec<Finding> {
    let is_defined = |name: &str| {
        syntax_tree
            .iter_functions()
            .any(|function| function.name == name && function.params.len() == 1)
    };
    [
        (WRITE_SIDE_FUNCTION, "database"),
        (ROUTE_FUNCTION, "request"),
    ]
    .into_iter()
    .filter(|(name, _)| !is_defined(name))
    .map(|(name, parameter)| {
        Finding::without_position(format!("the function `{name}({parameter})` is missing"))
    })
    .collect()
}

fn in_function(function: &str, message: &str) -> Finding {
    Finding::without_position(format!("`{function}`: {message}"))
}

fn runtime_finding(error: &EvalAltResult) -> Finding {
    let inner = error.unwrap_inner();
    let mut message = error.to_string();
    // The finding holds the position separately, so it is removed from the message.
    if let Some(start) = message.rfind(" (line ") {
        message.truncate(start);
    }
    let position = if inner.position().is_none() {
        error.position()
    } else {
        inner.position()
    };
    Finding::at(position, message)
}

fn request_map(attributes: &RequestAttributes) -> Map {
    let mut request = Map::new();
    let mut insert = |key: &str, value: &str| request.insert(key.into(), value.into());
    insert("database", attributes.database.as_str());
    insert("user", &attributes.user);
    insert("statement", attributes.statement.as_str());
    insert("zone", &attributes.zone);
    insert("class", &attributes.class);
    request
}

fn side_from(value: &Dynamic) -> Result<Side, String> {
    match text_from(value, "side")?.as_str() {
        "old" => Ok(Side::Old),
        "new" => Ok(Side::New),
        other => Err(format!("`{other}` is no side; it must be `old` or `new`")),
    }
}

fn text_from(value: &Dynamic, key: &str) -> Result<String, String> {
    value
        .clone()
        .into_string()
        .map_err(|kind| format!("`{key}` must be a text, not {kind}"))
}

fn milliseconds_from(value: &Dynamic, key: &str) -> Result<u32, String> {
    let number = value
        .as_int()
        .map_err(|kind| format!("`{key}` must be a whole number, not {kind}"))?;
    u32::try_from(number).map_err(|_| format!("`{key}` is out of range: {number}"))
}

/// The entries of the map that `route` returned, before they are combined into a decision.
#[derive(Default)]
struct RouteAnswer {
    freshness: Option<String>,
    bound_ms: Option<u32>,
    replica: Option<bool>,
    max_wait_ms: Option<u32>,
    side: Option<Side>,
    refuse: Option<String>,
}

impl RouteAnswer {
    fn from_map(map: &Map) -> Result<RouteAnswer, String> {
        let mut answer = RouteAnswer::default();
        for (key, value) in map {
            answer.set(key.as_str(), value)?;
        }
        Ok(answer)
    }

    fn set(&mut self, key: &str, value: &Dynamic) -> Result<(), String> {
        match key {
            "freshness" => self.freshness = Some(text_from(value, key)?),
            "bound_ms" => self.bound_ms = Some(milliseconds_from(value, key)?),
            "patience_ms" => self.max_wait_ms = Some(milliseconds_from(value, key)?),
            "side" => self.side = Some(side_from(value)?),
            "refuse" if value.is_unit() => self.refuse = None,
            "refuse" => self.refuse = Some(text_from(value, key)?),
            "replica" => {
                let allowed = value
                    .as_bool()
                    .map_err(|kind| format!("`replica` must be true or false, not {kind}"))?;
                self.replica = Some(allowed);
            }
            unknown => return Err(format!("`{unknown}` is no key of a decision")),
        }
        Ok(())
    }

    fn freshness(&self) -> Result<FreshnessDemand, String> {
        match (self.freshness.as_deref(), self.bound_ms) {
            (None | Some("session"), None) => Ok(FreshnessDemand::Session),
            (Some("fresh"), None) => Ok(FreshnessDemand::Fresh),
            (Some("bounded"), Some(bound)) => Ok(FreshnessDemand::Bounded(bound)),
            (Some("bounded"), None) => Err("`bounded` needs `bound_ms`".to_owned()),
            (None | Some("session" | "fresh"), Some(_)) => {
                Err("`bound_ms` goes only with `bounded`".to_owned())
            }
            (Some(other), _) => Err(format!(
                "`{other}` is no freshness; it must be `session`, `fresh` or `bounded`"
            )),
        }
    }
}

fn decision_from(
    answer: Dynamic,
    statement: StatementKind,
    write_side: Side,
) -> Result<Decision, String> {
    let kind = answer.type_name();
    let map = answer
        .try_cast::<Map>()
        .ok_or_else(|| format!("it must return a map, not {kind}"))?;
    let answer = RouteAnswer::from_map(&map)?;
    let freshness = answer.freshness()?;
    let is_read = statement == StatementKind::Read;
    if !is_read && answer.side.is_some_and(|side| side != write_side) {
        return Err("a write can only go to the database's write side".to_owned());
    }
    Ok(Decision {
        side: answer.side.unwrap_or(write_side),
        freshness,
        replica_allowed: is_read && answer.replica.unwrap_or(true),
        max_wait_ms: answer.max_wait_ms.unwrap_or(DEFAULT_MAX_WAIT_MS),
        refusal: answer.refuse,
    })
}
