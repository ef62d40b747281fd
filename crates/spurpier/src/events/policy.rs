//! Events of the platform and policies: numbers 4000 to 4999.

crate::declare_events! {
    POLICY_IN_FORCE = 4001, "policy_in_force", Info, "a newer policy is in force on this node", "none";
    POLICY_HEAD_UNREADABLE = 4002, "policy_head_unreadable", Warn, "the policy head could not be read from the platform", "check the platform; the known policy stays in force meanwhile";
    POLICY_DOCUMENT_UNREADABLE = 4003, "policy_document_unreadable", Warn, "the document of a newer policy could not be read", "check the platform's object store; the node also asks its peers";
    POLICY_DOCUMENT_INVALID = 4004, "policy_document_invalid", Error, "the document of a newer policy is not valid and was rejected", "publish a valid policy; check whether the object is damaged or this node is outdated";
    POLICY_VERSION_DISPUTED = 4005, "policy_version_disputed", Error, "a policy with the version in force has a different digest", "find the source that announces it; the table service must never accept a version twice";
    MACHINE_LIST_UNREADABLE = 4006, "machine_list_unreadable", Warn, "the machine list could not be read from the platform", "check the platform; membership continues by gossip meanwhile";
}
