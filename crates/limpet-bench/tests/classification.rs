//! Guards against a load generator that counts an inconsistent response as an answer, or the reverse.

use bytes::Bytes;
use http::Response;
use limpet_bench::load::{
    LookupInput,
    ResponseClass,
    classify, //
};

const ID: &str = "000000000000000000000000000000aa";
const OTHER: &str = "000000000000000000000000000000bb";

fn classify_body(status: u16, body: &str, input: LookupInput) -> ResponseClass {
    let body = body.replace("OTHER", OTHER).replace("ID", ID);
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap();
    classify(&response, ID, input)
}

mod answers {
    use super::{
        LookupInput,
        ResponseClass,
        classify_body, //
    };

    fn answer(id: &str, complete: bool, answered: &str, missing: &str, results: &str) -> String {
        format!(
            r#"{{"request_id":"{id}","complete":{complete},"found":null,"coverage":{{"answered":
            [{answered}],"missing":[{missing}]}},"results":[{results}]}}"#
        )
    }

    const ALL: &str = r#"{"shard":"a","start":0,"end":4294967296}"#;
    const LEFT: &str = r#"{"shard":"a","start":0,"end":10}"#;
    const RIGHT: &str = r#"{"shard":"b","start":10,"end":4294967296,"reason":"no_target"}"#;
    const OWN_REQUEST: &str = r#"{"shard":"a","body":"a-0:ID:3"}"#;
    const OTHER_REQUEST: &str = r#"{"shard":"a","body":"a-0:OTHER:3"}"#;

    limpet_testkit::cases! {
        consistent_answers_are_classified_by_coverage:
        complete => (answer("ID", true, ALL, "", OWN_REQUEST), ResponseClass::Complete),
        partial => (answer("ID", false, LEFT, RIGHT, OWN_REQUEST), ResponseClass::Partial),
    }

    fn consistent_answers_are_classified_by_coverage((body, expected): (String, ResponseClass)) {
        assert_eq!(classify_body(200, &body, LookupInput::BodyOnly), expected);
    }

    mod wrong {
        use super::*;

        limpet_testkit::cases! {
            inconsistent_answers_are_wrong:
            other_request_id => answer("OTHER", true, ALL, "", ""),
            complete_with_missing_ranges => answer("ID", true, LEFT, RIGHT, ""),
            partial_without_missing_ranges => answer("ID", false, ALL, "", ""),
            incomplete_ranges => answer("ID", true, LEFT, "", ""),
            overlapping_ranges => answer("ID", false, ALL, RIGHT, ""),
            result_of_another_request => answer("ID", true, ALL, "", OTHER_REQUEST),
            duplicate_result => answer("ID", true, ALL, "", &format!("{OWN_REQUEST},{OWN_REQUEST}")),
            not_json => "oak".into(),
        }

        fn inconsistent_answers_are_wrong(body: String) {
            let class = classify_body(200, &body, LookupInput::BodyOnly);
            assert!(matches!(class, ResponseClass::Wrong(_)), "{class:?}");
        }
    }

    #[test]
    fn record_lookups_are_complete_with_one_shard() {
        let body = answer("ID", true, LEFT, "", OWN_REQUEST);
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
