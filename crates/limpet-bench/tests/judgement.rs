//! Guards against a load tool that counts a wrong response as an answer, or the reverse.

use bytes::Bytes;
use http::Response;
use limpet_bench::load::{
    LookupNeed,
    Outcome,
    classify, //
};

const ID: &str = "000000000000000000000000000000aa";
const OTHER: &str = "000000000000000000000000000000bb";

fn outcome(status: u16, body: &str, need: LookupNeed) -> Outcome {
    let body = body.replace("OTHER", OTHER).replace("ID", ID);
    let mut response = Response::new(Bytes::from(body));
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap();
    classify(&response, ID, need)
}

mod answers {
    use super::{
        LookupNeed,
        Outcome,
        outcome, //
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
    const OWN: &str = r#"{"shard":"a","body":"a-0:ID:3"}"#;
    const CROSSED: &str = r#"{"shard":"a","body":"a-0:OTHER:3"}"#;

    limpet_testkit::cases! {
        a_true_answer_is_counted:
        complete => (answer("ID", true, ALL, "", OWN), Outcome::Complete),
        partial => (answer("ID", false, LEFT, RIGHT, OWN), Outcome::Partial),
    }

    fn a_true_answer_is_counted((body, expected): (String, Outcome)) {
        assert_eq!(outcome(200, &body, LookupNeed::Nothing), expected);
    }

    mod wrong {
        use super::*;

        limpet_testkit::cases! {
            a_false_answer_is_wrong:
            of_another_request => answer("OTHER", true, ALL, "", ""),
            complete_with_missing => answer("ID", true, LEFT, RIGHT, ""),
            partial_without_missing => answer("ID", false, ALL, "", ""),
            ranges_left_out => answer("ID", true, LEFT, "", ""),
            overlapping => answer("ID", false, ALL, RIGHT, ""),
            crossed_result => answer("ID", true, ALL, "", CROSSED),
            doubled_result => answer("ID", true, ALL, "", &format!("{OWN},{OWN}")),
            not_json => "oak".into(),
        }

        fn a_false_answer_is_wrong(body: String) {
            let judged = outcome(200, &body, LookupNeed::Nothing);
            assert!(matches!(judged, Outcome::Wrong(_)), "{judged:?}");
        }
    }

    #[test]
    fn a_record_covers_only_its_shard() {
        let body = answer("ID", true, LEFT, "", OWN);
        assert_eq!(outcome(200, &body, LookupNeed::Record), Outcome::Complete);
    }
}

#[test]
fn a_refusal_keeps_its_code() {
    let body = r#"{"code":"rate_limited","not_run":true,"message":"m","request_id":"ID"}"#;
    let expected = Outcome::Refused {
        code: "rate_limited".into(),
        not_run: true,
        ticket: None,
    };
    assert_eq!(outcome(429, body, LookupNeed::Nothing), expected);
}

#[test]
fn a_refusal_of_another_request_is_wrong() {
    let body = r#"{"code":"rate_limited","not_run":true,"message":"m","request_id":"OTHER"}"#;
    let judged = outcome(429, body, LookupNeed::Nothing);
    assert!(matches!(judged, Outcome::Wrong(_)), "{judged:?}");
}
