//! Guards against shipped examples that differ from their generator or from the users' sizes.

use std::path::PathBuf;

use limpet_bench::example::{
    ExampleShape,
    ExampleUser,
    TARGET_PORT_DEFAULT,
    example_key,
    render,
    target_specs, //
};
use limpet_config::Config;

limpet_testkit::cases! {
    a_shipped_example_is_what_the_generator_writes:
    authority => (ExampleUser::Authority, "authority.toml", 105),
    peachtree => (ExampleUser::Peachtree, "peachtree.toml", 97),
}

fn a_shipped_example_is_what_the_generator_writes(
    (user, file, targets): (ExampleUser, &str, usize),
) {
    let shape = ExampleShape::of_user(user);
    let text = render(&shape, TARGET_PORT_DEFAULT);
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let shipped = std::fs::read_to_string(root.join("examples").join(file)).unwrap();
    assert_eq!(
        text, shipped,
        "run `limpet-bench example` and commit the result"
    );
    let config = Config::parse(&text).unwrap();
    assert_eq!((config.targets().count(), config.teams.len()), (targets, 8));
    let specs = target_specs(&shape, TARGET_PORT_DEFAULT);
    for (site, spec) in config.targets().zip(&specs) {
        assert_eq!(
            (site.target.addr, site.shard.range),
            (spec.addr, spec.range)
        );
        assert_eq!(site.target.name, spec.name);
    }
    for team in &config.teams {
        let digest = blake3::hash(example_key(&team.name).as_bytes());
        assert_eq!(team.key_digests, [*digest.as_bytes()]);
    }
}

#[test]
fn replicas_of_a_shard_are_in_different_zones() {
    for user in [ExampleUser::Authority, ExampleUser::Peachtree] {
        let text = render(&ExampleShape::of_user(user), TARGET_PORT_DEFAULT);
        let config = Config::parse(&text).unwrap();
        for shard in config.services.iter().flat_map(|service| &service.shards) {
            let mut zones: Vec<&str> = shard.targets.iter().map(|t| &*t.zone).collect();
            zones.sort_unstable();
            zones.dedup();
            assert_eq!(zones.len(), shard.targets.len(), "{}", shard.name);
        }
    }
}
