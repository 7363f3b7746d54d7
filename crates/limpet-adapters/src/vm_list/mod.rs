//! Reads the list of VMs.
