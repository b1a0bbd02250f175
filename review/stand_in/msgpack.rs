//! As much of MessagePack as the edge nodes' protocol needs.

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Str(String),
    Bin(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    pub fn field(&self, name: &str) -> Option<&str> {
        let Value::Map(entries) = self else { return None };
        entries.iter().find_map(|(key, value)| match (key, value) {
            (Value::Str(key), Value::Str(value)) if key == name => Some(value.as_str()),
            _ => None,
        })
    }
}

pub fn write(out: &mut Vec<u8>, value: &Value) {
    match value {
        Value::Nil => out.push(0xc0),
        Value::Bool(flag) => out.push(if *flag { 0xc3 } else { 0xc2 }),
        Value::Int(number) if (0..128).contains(number) => out.push(*number as u8),
        Value::Int(number) => {
            out.push(0xce);
            out.extend((*number as u32).to_be_bytes());
        }
        Value::Str(text) => {
            out.push(0xd9);
            out.push(text.len() as u8);
            out.extend(text.as_bytes());
        }
        Value::Bin(bytes) => {
            out.push(0xc5);
            out.extend((bytes.len() as u16).to_be_bytes());
            out.extend(bytes);
        }
        Value::Array(items) => {
            out.push(0x90 | items.len() as u8);
            items.iter().for_each(|item| write(out, item));
        }
        Value::Map(entries) => {
            out.push(0x80 | entries.len() as u8);
            for (key, value) in entries {
                write(out, key);
                write(out, value);
            }
        }
    }
}

/// Reads one value from the front of `input`, and how long it is; none until it is complete.
pub fn read(input: &[u8]) -> Option<(Value, usize)> {
    let mut at = 0;
    let value = read_at(input, &mut at)?;
    Some((value, at))
}

fn take<'a>(input: &'a [u8], at: &mut usize, length: usize) -> Option<&'a [u8]> {
    let bytes = input.get(*at..*at + length)?;
    *at += length;
    Some(bytes)
}

fn number(input: &[u8], at: &mut usize, length: usize) -> Option<u64> {
    Some(take(input, at, length)?.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
}

fn read_at(input: &[u8], at: &mut usize) -> Option<Value> {
    let marker = number(input, at, 1)? as u8;
    let text = |input: &[u8], at: &mut usize, length: usize| {
        Some(Value::Str(String::from_utf8_lossy(take(input, at, length)?).into_owned()))
    };
    Some(match marker {
        0x00..=0x7f => Value::Int(i64::from(marker)),
        0x80..=0x8f => map(input, at, usize::from(marker & 0xf))?,
        0x90..=0x9f => array(input, at, usize::from(marker & 0xf))?,
        0xa0..=0xbf => text(input, at, usize::from(marker & 0x1f))?,
        0xc0 => Value::Nil,
        0xc2 => Value::Bool(false),
        0xc3 => Value::Bool(true),
        0xc4..=0xc6 => {
            let length = number(input, at, 1 << (marker - 0xc4))? as usize;
            Value::Bin(take(input, at, length)?.to_vec())
        }
        0xcc..=0xcf => Value::Int(number(input, at, 1 << (marker - 0xcc))? as i64),
        0xd9..=0xdb => {
            let length = number(input, at, 1 << (marker - 0xd9))? as usize;
            text(input, at, length)?
        }
        0xdc | 0xdd => {
            let length = number(input, at, if marker == 0xdc { 2 } else { 4 })? as usize;
            array(input, at, length)?
        }
        0xde | 0xdf => {
            let length = number(input, at, if marker == 0xde { 2 } else { 4 })? as usize;
            map(input, at, length)?
        }
        0xe0..=0xff => Value::Int(i64::from(marker as i8)),
        _ => Value::Nil,
    })
}

fn array(input: &[u8], at: &mut usize, length: usize) -> Option<Value> {
    (0..length).map(|_| read_at(input, at)).collect::<Option<Vec<_>>>().map(Value::Array)
}

fn map(input: &[u8], at: &mut usize, length: usize) -> Option<Value> {
    let entry = |at: &mut usize| Some((read_at(input, at)?, read_at(input, at)?));
    (0..length).map(|_| entry(at)).collect::<Option<Vec<_>>>().map(Value::Map)
}
