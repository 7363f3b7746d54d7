//! Stand-ins for targets and for the platform's services.
