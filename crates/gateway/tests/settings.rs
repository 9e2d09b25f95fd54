//! The settings of a node.

use keeljunction_core::ErrorKind;
use keeljunction_gateway::settings::Settings;

const EXAMPLE: &str = include_str!("../../../examples/gateway.yaml");
const SPILL: &str = "  spill_mbps: 15 ";

#[test]
fn spill_budget_has_a_default() {
    assert!(EXAMPLE.contains(SPILL));
    let without: String =
        EXAMPLE.lines().filter(|line| !line.starts_with(SPILL)).map(|l| format!("{l}\n")).collect();
    let settings = Settings::parse(&without).expect("settings");
    assert_eq!(settings.regions.spill_mbps, 15.0);
    assert_eq!(settings.regions.data_centres.len(), 2);
}

#[test]
fn cluster_names_that_cannot_be_part_of_a_header_are_rejected() {
    const CLUSTER: &str = "cluster: hall ";
    assert!(EXAMPLE.contains(CLUSTER));
    for name in ["a b", "a/b", &"a".repeat(65)] {
        let text = EXAMPLE.replace(CLUSTER, &format!("cluster: \"{name}\" "));
        let error = Settings::parse(&text).expect_err("an error");
        assert_eq!(error.get_kind(), ErrorKind::InvalidValue);
        assert!(format!("{:?}", error.get_context()).contains("node.cluster"), "{error}");
    }
    let without = EXAMPLE.replace(CLUSTER, "");
    assert_eq!(Settings::parse(&without).expect("settings").node.cluster, "");
}

#[test]
fn negative_spill_budget_is_rejected_with_the_allowed_range() {
    let below = EXAMPLE.replace(SPILL, "  spill_mbps: -1 ");
    let error = Settings::parse(&below).expect_err("an error");
    assert_eq!(error.get_kind(), ErrorKind::InvalidValue);
    let context = format!("{:?}", error.get_context());
    assert!(context.contains("regions.spill_mbps") && context.contains("0 to"), "{context}");
}
