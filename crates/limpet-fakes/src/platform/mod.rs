//! Stand-in for the configuration service and the list of VMs.
