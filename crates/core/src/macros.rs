//! Macros that derive the traits of data types, used in the whole workspace.

/// Derives the common traits of a data type.
#[macro_export]
macro_rules! plain {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
}

/// Derives the common traits of a data type that is stored or sent as JSON.
#[macro_export]
macro_rules! record {
    ($(#[$meta:meta])* pub struct $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct $($rest)*
    };
    ($(#[$meta:meta])* pub enum $($rest:tt)*) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum $($rest)*
    };
}

/// Declares a `Copy` index into an arena.
#[macro_export]
macro_rules! arena_key {
    ($(#[$meta:meta])* $name:ident($int:ty)) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl $name {
            /// Position in the arena.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}
