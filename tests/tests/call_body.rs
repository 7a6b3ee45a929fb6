//! What is read of the body of a model call.
//!
//! Only some fields are stored, since a body may be megabytes of values that take many times their text in memory.

use jujubedoor_node::callers::call_body::CallBody;
use jujubedoor_node::callers::call_body::Messages;

fn parse(text: &str) -> Result<CallBody, String> {
    CallBody::parse(text.as_bytes())
}

#[test]
fn fields_are_found() {
    let text = r#"{"extra":[{"model":"no"},1.5,-1,null,"x"],"model":"m","stream":true,"user":"u","chat_id":"c",
        "messages":[{"role":"user","content":"first","model":"no"},{"content":"second"},7]}"#;
    let messages = Messages { is_present: true, first: Some("first".into()) };
    let expected = CallBody {
        model: "m".into(),
        is_stream: true,
        chat_id: Some("c".into()),
        user: Some("u".into()),
        prompt: None,
        messages,
    };
    assert_eq!(parse(text), Ok(expected));
}

/// Guards against a value of another type that becomes an error although it is not needed.
#[test]
fn other_types_are_ignored() {
    let body =
        parse(r#"{"model":"m","prompt":"p","stream":"yes","user":{"a":[1]},"chat_id":3,"messages":"none"}"#);
    assert_eq!(body, Ok(CallBody { model: "m".into(), prompt: Some("p".into()), ..CallBody::default() }));
    let body = parse(r#"{"model":"m","messages":[{"content":["parts"]}]}"#).expect("messages of parts");
    assert_eq!(body.messages, Messages { is_present: true, first: None });
}

/// The last one of repeated fields counted when the whole body was stored.
#[test]
fn last_field_counts() {
    let body = parse(r#"{"model":"a","prompt":"p","model":"b","prompt":"q"}"#).expect("a valid body");
    assert_eq!((body.model.as_str(), body.prompt.as_deref()), ("b", Some("q")));
}

#[test]
fn required_fields() {
    for text in ["[]", "{}", "3", r#"{"model":"","prompt":"p"}"#, r#"{"model":["m"],"prompt":"p"}"#] {
        assert_eq!(parse(text), Err("`model` is missing".into()), "{text}");
    }
    for text in [r#"{"model":"m"}"#, r#"{"model":"m","messages":[]}"#, r#"{"model":"m","prompt":["p"]}"#] {
        assert_eq!(parse(text), Err("`messages` or `prompt` is missing".into()), "{text}");
    }
    for text in ["", "{", r#"{"model":"m","prompt":"p"} x"#, r#"{"model":"m","prompt":"p","a":[1,}"#] {
        assert!(parse(text).is_err_and(|e| e.starts_with("the body is not JSON")), "{text}");
    }
}
