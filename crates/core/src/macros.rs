//! Derive sets shared by the whole workspace.

/// Derives the common set for a plain data type.
#[macro_export]
macro_rules! plain {
    ($($item:tt)*) => {
        #[derive(Clone, Debug, PartialEq)]
        $($item)*
    };
}

/// Derives the common set for data that crosses a process boundary as JSON.
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

/// Declares a small `Copy` key into an arena.
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
