//! Macros for the test files of all crates.

/// Defines one test per case; each calls the same function with the argument of its case.
///
/// # Examples
///
/// ```
/// limpet_testkit::cases! {
///     doubles:
///     zero => (0, 0),
///     three => (3, 6),
/// }
///
/// fn doubles((input, expected): (u32, u32)) {
///     assert_eq!(input * 2, expected);
/// }
/// ```
#[macro_export]
macro_rules! cases {
    ($test:ident: $($(#[$meta:meta])* $name:ident => $arg:expr),+ $(,)?) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $test($arg);
            }
        )+
    };
}

/// Defines one asynchronous test per case, like [`cases`]; the test file must depend on `tokio`.
///
/// # Examples
///
/// ```
/// limpet_testkit::async_cases! {
///     doubles:
///     zero => (0, 0),
///     three => (3, 6),
/// }
///
/// async fn doubles((input, expected): (u32, u32)) {
///     assert_eq!(input * 2, expected);
/// }
/// ```
#[macro_export]
macro_rules! async_cases {
    ($test:ident: $($(#[$meta:meta])* $name:ident => $arg:expr),+ $(,)?) => {
        $(
            $(#[$meta])*
            #[tokio::test]
            async fn $name() {
                $test($arg).await;
            }
        )+
    };
}
