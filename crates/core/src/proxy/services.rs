//! Map from services to values.

/// One value per service, sorted by name.
#[derive(Clone, Debug, PartialEq)]
pub struct Services<T> {
    rows: Vec<(String, T)>,
}

impl<T> Default for Services<T> {
    fn default() -> Self {
        Self { rows: Vec::new() }
    }
}

impl<T: Default> Services<T> {
    /// Value of a service, if there is one.
    pub fn get(&self, service: &str) -> Option<&T> {
        self.find(service).ok().map(|at| &self.rows[at].1)
    }

    /// Value of a service, created with the default if there is none.
    pub fn get_or_default(&mut self, service: &str) -> &mut T {
        let at = self.find(service).unwrap_or_else(|at| {
            self.rows.insert(at, (service.to_string(), T::default()));
            at
        });
        &mut self.rows[at].1
    }

    /// All services and their values, sorted by service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &T)> {
        self.rows.iter().map(|(service, value)| (service.as_str(), value))
    }

    /// All services and their values, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&str, &mut T)> {
        self.rows
            .iter_mut()
            .map(|(service, value)| (service.as_str(), value))
    }

    fn find(&self, service: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|(have, _)| have.as_str().cmp(service))
    }
}
