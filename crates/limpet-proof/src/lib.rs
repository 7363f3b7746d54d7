//! Model checks and history checks of the core protocols.
