//! Request targets with text of any characters.

use hyper::Uri;
use keeljunction_gateway::http::Target;
use proptest::prelude::*;

#[test]
fn reserved_characters_are_encoded_and_others_are_not() {
    let target = Target::new("/rows")
        .with_parameter("source", "a-b_c.d~e0 &+#%?=;/\"\\\n\0")
        .with_parameter("limit", 500);
    let expected = "/rows?source=a-b_c.d~e0%20%26%2B%23%25%3F%3D%3B%2F%22%5C%0A%00&limit=500";
    assert_eq!(target.as_str(), expected);
}

#[test]
fn a_segment_is_one_segment() {
    let target = Target::new("/objects").with_segment("../a/b?c#d").with_parameter("from", 7);
    assert_eq!(target.as_str(), "/objects/..%2Fa%2Fb%3Fc%23d?from=7");
}

proptest! {
    #[test]
    fn any_text_makes_a_valid_target(segment in ".{0,40}", value in ".{0,40}") {
        let target = Target::new("/x").with_segment(&segment).with_parameter("v", &value);
        let uri: Uri = target.as_str().parse().expect("a target");
        prop_assert_eq!(uri.path().matches('/').count(), 2);
        let query = uri.query().expect("a query");
        prop_assert!(query.starts_with("v=") && !query.contains(['&', '+', '#']));
    }
}
