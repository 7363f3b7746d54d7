//! Guards against a load generator that counts a response which contradicts its request or itself as an
//! answer, or a consistent one as wrong.

use bytes::Bytes;
use http::Response;
use limpet_bench::load::{
    LookupInput,
    ResponseClass,
    classify_response, //
};

const REQUEST_ID: &str = "000000000000000000000000000000aa";
const OTHER_REQUEST_ID: &str = "000000000000000000000000000000bb";

/// Classifies a response whose body has the placeholders `ID` and `OTHER` for request IDs.
fn classify_body(status: u16, body: &str, input: LookupInput) -> ResponseClass {
    let body = body
        .replace("OTHER", OTHER_REQUEST_ID)
        .replace("ID", REQUEST_ID);
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap();
    classify_response(&response, REQUEST_ID, input)
}

mod answers {
    use super::{
        LookupInput,
        ResponseClass,
        classify_body, //
    };

    /// Returns the body of an answer.
    fn answer(id: &str, complete: bool, answered: &str, missing: &str, results: &str) -> String {
        format!(
            r#"{{"request_id":"{id}","complete":{complete},"found":null,"coverage":{{"answered":
            [{answered}],"missing":[{missing}]}},"results":[{results}]}}"#
        )
    }

    const FULL_RANGE: &str = r#"{"shard":"a","start":0,"end":4294967296}"#;
    const LOWER_RANGE: &str = r#"{"shard":"a","start":0,"end":10}"#;
    const UPPER_RANGE: &str = r#"{"shard":"b","start":10,"end":4294967296,"reason":"no_target"}"#;
    const OWN_RESULT: &str = r#"{"shard":"a","body":"a-0:ID:3"}"#;
    const OTHER_RESULT: &str = r#"{"shard":"a","body":"a-0:OTHER:3"}"#;

    limpet_testkit::cases! {
        consistent_answers_are_classified_by_coverage:
        complete => (answer("ID", true, FULL_RANGE, "", OWN_RESULT), ResponseClass::Complete),
        partial => (answer("ID", false, LOWER_RANGE, UPPER_RANGE, OWN_RESULT), ResponseClass::Partial),
    }

    fn consistent_answers_are_classified_by_coverage((body, expected): (String, ResponseClass)) {
        assert_eq!(classify_body(200, &body, LookupInput::BodyOnly), expected);
    }

    mod wrong {
        use super::*;

        limpet_testkit::cases! {
            inconsistent_answers_are_wrong:
            other_request_id => answer("OTHER", true, FULL_RANGE, "", ""),
            complete_with_missing_ranges => answer("ID", true, LOWER_RANGE, UPPER_RANGE, ""),
            partial_without_missing_ranges => answer("ID", false, FULL_RANGE, "", ""),
            ranges_with_a_gap => answer("ID", true, LOWER_RANGE, "", ""),
            overlapping_ranges => answer("ID", false, FULL_RANGE, UPPER_RANGE, ""),
            result_of_another_request => answer("ID", true, FULL_RANGE, "", OTHER_RESULT),
            duplicate_result => answer("ID", true, FULL_RANGE, "", &format!("{OWN_RESULT},{OWN_RESULT}")),
            not_json => "oak".into(),
        }

        fn inconsistent_answers_are_wrong(body: String) {
            let class = classify_body(200, &body, LookupInput::BodyOnly);
            assert!(matches!(class, ResponseClass::Wrong(_)), "{class:?}");
        }
    }

    #[test]
    fn record_lookups_are_complete_with_one_shard() {
        let body = answer("ID", true, LOWER_RANGE, "", OWN_RESULT);
        assert_eq!(
            classify_body(200, &body, LookupInput::Record),
            ResponseClass::Complete
        );
    }
}

#[test]
fn refusals_keep_their_code() {
    let body = r#"{"code":"rate_limited","not_run":true,"message":"m","request_id":"ID"}"#;
    let expected = ResponseClass::Refused {
        code: "rate_limited".into(),
        not_run: true,
        ticket: None,
    };
    assert_eq!(classify_body(429, body, LookupInput::BodyOnly), expected);
}

#[test]
fn refusals_of_another_request_are_wrong() {
    let body = r#"{"code":"rate_limited","not_run":true,"message":"m","request_id":"OTHER"}"#;
    let class = classify_body(429, body, LookupInput::BodyOnly);
    assert!(matches!(class, ResponseClass::Wrong(_)), "{class:?}");
}
