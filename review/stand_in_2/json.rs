//! JSON, as much of it as calls to the store need.

use std::{iter::Peekable, str::Chars};

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Other,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        value(&mut text.chars().peekable())
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|it| it.0 == name).map_or(&Json::Other, |it| &it.1)
            }
            _ => &Json::Other,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

fn skip(input: &mut Peekable<Chars<'_>>) {
    while input.next_if(|it| it.is_whitespace() || matches!(it, ',' | ':')).is_some() {}
}

fn text(input: &mut Peekable<Chars<'_>>) -> Option<String> {
    let mut text = String::new();
    loop {
        match input.next()? {
            '"' => return Some(text),
            '\\' => match input.next()? {
                'n' => text.push('\n'),
                'u' => {
                    let code: String = input.by_ref().take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                }
                it => text.push(it),
            },
            it => text.push(it),
        }
    }
}

fn value(input: &mut Peekable<Chars<'_>>) -> Option<Json> {
    skip(input);
    match *input.peek()? {
        '"' => {
            input.next();
            Some(Json::Text(text(input)?))
        }
        '[' => {
            input.next();
            let mut items = Vec::new();
            loop {
                skip(input);
                if input.next_if_eq(&']').is_some() {
                    return Some(Json::List(items));
                }
                items.push(value(input)?);
            }
        }
        '{' => {
            input.next();
            let mut fields = Vec::new();
            loop {
                skip(input);
                if input.next_if_eq(&'}').is_some() {
                    return Some(Json::Table(fields));
                }
                input.next_if_eq(&'"')?;
                let name = text(input)?;
                fields.push((name, value(input)?));
            }
        }
        _ => {
            let mut word = String::new();
            while let Some(it) =
                input.next_if(|it| it.is_alphanumeric() || matches!(it, '-' | '+' | '.'))
            {
                word.push(it);
            }
            (!word.is_empty()).then(|| word.parse().map_or(Json::Other, Json::Number))
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word =
            part.iter().fold(0u32, |word, it| word << 8 | u32::from(*it)) << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
