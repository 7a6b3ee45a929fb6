//! The fields of a model call's body that are needed for routing.
//!
//! All other values are checked and skipped without being stored: a parsed value takes many times the memory of its
//! text, which may be megabytes of single digits.

use std::fmt;
use std::marker::PhantomData;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// The fields of a model call's body that are needed for routing. Of a repeated field, the last one counts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CallBody {
    /// Name of the model.
    pub model: String,
    /// Whether the response is a stream of events.
    pub is_stream: bool,
    /// Identifier of the chat, if it is a text.
    pub chat_id: Option<String>,
    /// Identifier of the user, if it is a text.
    pub user: Option<String>,
    /// The prompt, if it is a text.
    pub prompt: Option<String>,
    /// The messages, if they are a list.
    pub messages: Messages,
}

/// What is needed of a list of messages.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Messages {
    /// Whether there is any message.
    pub is_present: bool,
    /// Content of the first one, if it is a text.
    pub first: Option<String>,
}

impl CallBody {
    /// Parses a body and checks that the required fields are present.
    pub fn parse(bytes: &[u8]) -> Result<Self, String> {
        let Fields(body) = serde_json::from_slice::<Fields<Self>>(bytes)
            .map_err(|e| format!("the body is not JSON: {e}"))?;
        if body.model.is_empty() {
            return Err("`model` is missing".into());
        }
        if !body.messages.is_present && body.prompt.is_none() {
            return Err("`messages` or `prompt` is missing".into());
        }
        Ok(body)
    }
}

/// A value of any type, of which some is kept.
trait Kept: Default {
    /// Takes a text.
    fn take_text(&mut self, _text: &str) {}

    /// Takes a truth value.
    fn take_flag(&mut self, _flag: bool) {}

    /// Takes the value of a field.
    fn take_field<'de, A>(&mut self, _name: &str, map: &mut A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        map.next_value::<IgnoredAny>().map(drop)
    }

    /// Takes the first item of a list. Returns whether there is one.
    fn take_first<'de, A>(&mut self, seq: &mut A) -> Result<bool, A::Error>
    where
        A: SeqAccess<'de>,
    {
        Ok(seq.next_element::<IgnoredAny>()?.is_some())
    }
}

impl Kept for CallBody {
    fn take_field<'de, A>(&mut self, name: &str, map: &mut A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        match name {
            "model" => self.model = map.next_value::<Fields<Text>>()?.0.0.unwrap_or_default(),
            "stream" => self.is_stream = map.next_value::<Fields<Flag>>()?.0.0,
            "chat_id" => self.chat_id = map.next_value::<Fields<Text>>()?.0.0,
            "user" => self.user = map.next_value::<Fields<Text>>()?.0.0,
            "prompt" => self.prompt = map.next_value::<Fields<Text>>()?.0.0,
            "messages" => self.messages = map.next_value::<Fields<Messages>>()?.0,
            _ => drop(map.next_value::<IgnoredAny>()?),
        }
        Ok(())
    }
}

impl Kept for Messages {
    fn take_first<'de, A>(&mut self, seq: &mut A) -> Result<bool, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let first = seq.next_element::<Fields<Message>>()?;
        self.is_present = first.is_some();
        self.first = first.and_then(|Fields(message)| message.0);
        Ok(self.is_present)
    }
}

/// A text, if the value is one.
#[derive(Default)]
struct Text(Option<String>);

impl Kept for Text {
    fn take_text(&mut self, text: &str) {
        self.0 = Some(text.to_owned());
    }
}

/// A truth value; any other value is false.
#[derive(Default)]
struct Flag(bool);

impl Kept for Flag {
    fn take_flag(&mut self, flag: bool) {
        self.0 = flag;
    }
}

/// The content of a message, if it is a text.
#[derive(Default)]
struct Message(Option<String>);

impl Kept for Message {
    fn take_field<'de, A>(&mut self, name: &str, map: &mut A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        match name {
            "content" => self.0 = map.next_value::<Fields<Text>>()?.0.0,
            _ => drop(map.next_value::<IgnoredAny>()?),
        }
        Ok(())
    }
}

/// Reads a value of any type and keeps what `T` takes of it.
struct Fields<T>(T);

impl<'de, T> Deserialize<'de> for Fields<T>
where
    T: Kept,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(AnyVisitor(PhantomData)).map(Self)
    }
}

struct AnyVisitor<T>(PhantomData<T>);

impl<'de, T> Visitor<'de> for AnyVisitor<T>
where
    T: Kept,
{
    type Value = T;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("any value")
    }

    fn visit_unit<E>(self) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_bool<E>(self, flag: bool) -> Result<T, E> {
        let mut kept = T::default();
        kept.take_flag(flag);
        Ok(kept)
    }

    fn visit_i64<E>(self, _: i64) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_u64<E>(self, _: u64) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_f64<E>(self, _: f64) -> Result<T, E> {
        Ok(T::default())
    }

    fn visit_str<E>(self, text: &str) -> Result<T, E> {
        let mut kept = T::default();
        kept.take_text(text);
        Ok(kept)
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<T, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut kept = T::default();
        if kept.take_first(&mut seq)? {
            while seq.next_element::<IgnoredAny>()?.is_some() {}
        }
        Ok(kept)
    }

    fn visit_map<A>(self, mut map: A) -> Result<T, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut kept = T::default();
        while let Some(name) = map.next_key::<String>()? {
            kept.take_field(&name, &mut map)?;
        }
        Ok(kept)
    }
}
