//! The types that the server knows, and their text and binary formats on the wire.

use rusqlite::types::Value;

use super::sql_error::{SqlError, SqlState};

/// A type of a parameter or a result column.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum SqlType {
    /// `boolean`.
    Bool,
    /// `bytea`.
    Bytea,
    /// `smallint`.
    Int2,
    /// `integer`.
    Int4,
    /// `bigint`.
    Int8,
    /// `real`.
    Float4,
    /// `double precision`; `numeric` is treated as it.
    Float8,
    /// `varchar`.
    Varchar,
    /// `text`, and every type that is not known.
    #[default]
    Text,
}

/// How a value is written on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// As text.
    Text,
    /// In the type's binary form.
    Binary,
}

impl Format {
    /// The format of a wire code.
    pub(crate) fn from_code(code: i16) -> Self {
        if code == 0 {
            Format::Text
        } else {
            Format::Binary
        }
    }

    /// The format of item `index` where the codes are given for none, for all or for each.
    pub(crate) fn of_item(codes: &[i16], index: usize) -> Self {
        let code = match codes {
            [] => 0,
            [all] => *all,
            each => each.get(index).copied().unwrap_or(0),
        };
        Format::from_code(code)
    }
}

const VARIABLE_SIZE: i16 = -1;

impl SqlType {
    /// The type of a PostgreSQL type OID; none for an OID that leaves the type open.
    pub(crate) fn from_oid(oid: u32) -> Option<Self> {
        match oid {
            0 | 705 => None,
            16 => Some(SqlType::Bool),
            17 => Some(SqlType::Bytea),
            20 => Some(SqlType::Int8),
            21 => Some(SqlType::Int2),
            23 => Some(SqlType::Int4),
            700 => Some(SqlType::Float4),
            701 | 1700 => Some(SqlType::Float8),
            1043 => Some(SqlType::Varchar),
            _ => Some(SqlType::Text),
        }
    }

    /// The PostgreSQL type OID.
    pub(crate) fn oid(self) -> u32 {
        match self {
            SqlType::Bool => 16,
            SqlType::Bytea => 17,
            SqlType::Int8 => 20,
            SqlType::Int2 => 21,
            SqlType::Int4 => 23,
            SqlType::Text => 25,
            SqlType::Float4 => 700,
            SqlType::Float8 => 701,
            SqlType::Varchar => 1043,
        }
    }

    /// The size in a row description.
    pub(crate) fn size(self) -> i16 {
        match self {
            SqlType::Bool => 1,
            SqlType::Int2 => 2,
            SqlType::Int4 | SqlType::Float4 => 4,
            SqlType::Int8 | SqlType::Float8 => 8,
            SqlType::Bytea | SqlType::Varchar | SqlType::Text => VARIABLE_SIZE,
        }
    }

    /// The type of a declaration or a cast, as in `BIGINT` or `varchar(20)`.
    pub(crate) fn from_declared(declared: &str) -> Self {
        let declared = declared.trim().to_ascii_lowercase();
        let word = declared.split(['(', ' ']).next().unwrap_or_default();
        match word {
            "bool" | "boolean" => SqlType::Bool,
            "bytea" | "blob" => SqlType::Bytea,
            "smallint" | "int2" | "smallserial" => SqlType::Int2,
            "int" | "integer" | "int4" | "serial" => SqlType::Int4,
            "bigint" | "int8" | "bigserial" => SqlType::Int8,
            "real" | "float4" => SqlType::Float4,
            "double" | "float" | "float8" | "numeric" | "decimal" => SqlType::Float8,
            "varchar" | "char" | "character" => SqlType::Varchar,
            _ => SqlType::Text,
        }
    }

    /// Reads a value from the wire.
    pub(crate) fn decode(self, format: Format, bytes: &[u8]) -> Result<Value, SqlError> {
        match format {
            Format::Text => self.decode_text(bytes),
            Format::Binary => self.decode_binary(bytes),
        }
    }

    fn decode_text(self, bytes: &[u8]) -> Result<Value, SqlError> {
        let text = utf8(bytes)?;
        let invalid = || {
            let message = format!("invalid input syntax for the type: \"{text}\"");
            SqlError::new(SqlState::InvalidTextRepresentation, message)
        };
        match self {
            SqlType::Bool => parse_bool(text).map(Value::Integer).ok_or_else(invalid),
            SqlType::Int2 | SqlType::Int4 | SqlType::Int8 => text
                .trim()
                .parse()
                .map(Value::Integer)
                .map_err(|_| invalid()),
            SqlType::Float4 | SqlType::Float8 => {
                text.trim().parse().map(Value::Real).map_err(|_| invalid())
            }
            SqlType::Bytea => parse_bytea(text).map(Value::Blob).ok_or_else(invalid),
            SqlType::Varchar | SqlType::Text => Ok(Value::Text(text.to_owned())),
        }
    }

    fn decode_binary(self, bytes: &[u8]) -> Result<Value, SqlError> {
        match self {
            SqlType::Bool => Ok(Value::Integer(i64::from(fixed::<1>(bytes)?[0] != 0))),
            SqlType::Int2 => Ok(Value::Integer(i16::from_be_bytes(fixed(bytes)?).into())),
            SqlType::Int4 => Ok(Value::Integer(i32::from_be_bytes(fixed(bytes)?).into())),
            SqlType::Int8 => Ok(Value::Integer(i64::from_be_bytes(fixed(bytes)?))),
            SqlType::Float4 => Ok(Value::Real(f32::from_be_bytes(fixed(bytes)?).into())),
            SqlType::Float8 => Ok(Value::Real(f64::from_be_bytes(fixed(bytes)?))),
            SqlType::Bytea => Ok(Value::Blob(bytes.to_vec())),
            SqlType::Varchar | SqlType::Text => Ok(Value::Text(utf8(bytes)?.to_owned())),
        }
    }

    /// Writes a value for the wire; none for null.
    pub(crate) fn encode(self, format: Format, value: &Value) -> Result<Option<Vec<u8>>, SqlError> {
        if *value == Value::Null {
            return Ok(None);
        }
        match format {
            Format::Text => Ok(Some(self.text(value).into_bytes())),
            Format::Binary => self.encode_binary(value).map(Some),
        }
    }

    fn text(self, value: &Value) -> String {
        match value {
            Value::Null => String::new(),
            Value::Integer(number) if self == SqlType::Bool => {
                String::from(if *number != 0 { "t" } else { "f" })
            }
            Value::Integer(number) => number.to_string(),
            Value::Real(number) => number.to_string(),
            Value::Text(text) => text.clone(),
            Value::Blob(bytes) => bytea_text(bytes),
        }
    }

    fn encode_binary(self, value: &Value) -> Result<Vec<u8>, SqlError> {
        let bytes = match self {
            SqlType::Bool => vec![u8::from(integer(value)? != 0)],
            SqlType::Int2 => narrow::<i16>(value)?.to_be_bytes().to_vec(),
            SqlType::Int4 => narrow::<i32>(value)?.to_be_bytes().to_vec(),
            SqlType::Int8 => integer(value)?.to_be_bytes().to_vec(),
            SqlType::Float4 => (real(value)? as f32).to_be_bytes().to_vec(),
            SqlType::Float8 => real(value)?.to_be_bytes().to_vec(),
            SqlType::Bytea => match value {
                Value::Blob(bytes) => bytes.clone(),
                other => self.text(other).into_bytes(),
            },
            SqlType::Varchar | SqlType::Text => self.text(value).into_bytes(),
        };
        Ok(bytes)
    }
}

fn utf8(bytes: &[u8]) -> Result<&str, SqlError> {
    std::str::from_utf8(bytes)
        .map_err(|_| SqlError::new(SqlState::CharacterNotInRepertoire, "the text is not UTF-8"))
}

fn fixed<const SIZE: usize>(bytes: &[u8]) -> Result<[u8; SIZE], SqlError> {
    bytes.try_into().map_err(|_| {
        SqlError::new(
            SqlState::InvalidBinaryRepresentation,
            "a binary value has a wrong length",
        )
    })
}

fn parse_bool(text: &str) -> Option<i64> {
    match text.trim().to_ascii_lowercase().as_str() {
        "t" | "true" | "yes" | "on" | "1" => Some(1),
        "f" | "false" | "no" | "off" | "0" => Some(0),
        _ => None,
    }
}

fn parse_bytea(text: &str) -> Option<Vec<u8>> {
    let Some(digits) = text.strip_prefix("\\x") else {
        return Some(text.as_bytes().to_vec());
    };
    let pairs = digits.as_bytes().chunks(2);
    pairs
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}

fn bytea_text(bytes: &[u8]) -> String {
    let digits = bytes.iter().map(|byte| format!("{byte:02x}"));
    std::iter::once("\\x".to_owned()).chain(digits).collect()
}

fn integer(value: &Value) -> Result<i64, SqlError> {
    match value {
        Value::Integer(number) => Ok(*number),
        Value::Real(number) => Ok(number.round() as i64),
        Value::Text(text) => text.trim().parse().map_err(|_| unfit(value)),
        Value::Null | Value::Blob(_) => Err(unfit(value)),
    }
}

fn narrow<T: TryFrom<i64>>(value: &Value) -> Result<T, SqlError> {
    T::try_from(integer(value)?).map_err(|_| {
        let message = "the value is out of range for its type";
        SqlError::new(SqlState::NumericValueOutOfRange, message)
    })
}

fn real(value: &Value) -> Result<f64, SqlError> {
    match value {
        Value::Integer(number) => Ok(*number as f64),
        Value::Real(number) => Ok(*number),
        Value::Text(text) => text.trim().parse().map_err(|_| unfit(value)),
        Value::Null | Value::Blob(_) => Err(unfit(value)),
    }
}

fn unfit(value: &Value) -> SqlError {
    let message = format!("a {} does not fit its column's type", value.data_type());
    SqlError::new(SqlState::InvalidTextRepresentation, message)
}
