//! Guards against shipped examples that differ from the generator's output or from the sizes of the
//! users' fleets.

use std::path::PathBuf;

use limpet_bench::example::{
    ExampleFleet,
    ExampleUser,
    TARGET_PORT_DEFAULT,
    example_api_key,
    render_config,
    target_specs, //
};
use limpet_config::Config;

limpet_testkit::cases! {
    shipped_examples_match_the_generator:
    authority => (ExampleUser::Authority, "authority.toml", 105),
    peachtree => (ExampleUser::Peachtree, "peachtree.toml", 97),
}

fn shipped_examples_match_the_generator((user, file, target_count): (ExampleUser, &str, usize)) {
    let fleet = ExampleFleet::for_user(user);
    let text = render_config(&fleet, TARGET_PORT_DEFAULT);
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let shipped = std::fs::read_to_string(root.join("examples").join(file)).unwrap();
    assert_eq!(
        text, shipped,
        "run `limpet-bench example` and commit the result"
    );
    let config = Config::parse(&text).unwrap();
    assert_eq!(
        (config.targets().count(), config.teams.len()),
        (target_count, 8)
    );
    let specs = target_specs(&fleet, TARGET_PORT_DEFAULT);
    for (target_ref, spec) in config.targets().zip(&specs) {
        assert_eq!(
            (target_ref.target.addr, target_ref.shard.range),
            (spec.addr, spec.range)
        );
        assert_eq!(target_ref.target.name, spec.name);
    }
    for team in &config.teams {
        let digest = blake3::hash(example_api_key(&team.name).as_bytes());
        assert_eq!(team.key_digests, [*digest.as_bytes()]);
    }
}

#[test]
fn replicas_of_a_shard_are_in_different_zones() {
    for user in [ExampleUser::Authority, ExampleUser::Peachtree] {
        let text = render_config(&ExampleFleet::for_user(user), TARGET_PORT_DEFAULT);
        let config = Config::parse(&text).unwrap();
        for shard in config.services.iter().flat_map(|service| &service.shards) {
            let mut zones: Vec<&str> = shard.targets.iter().map(|target| &*target.zone).collect();
            zones.sort_unstable();
            zones.dedup();
            assert_eq!(zones.len(), shard.targets.len(), "{}", shard.name);
        }
    }
}
