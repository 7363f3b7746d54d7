//! Macros shared by the test files.

/// Names one test per case and runs each through one function.
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
    ($run:ident: $($(#[$meta:meta])* $name:ident => $arg:expr),+ $(,)?) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                $run($arg);
            }
        )+
    };
}
