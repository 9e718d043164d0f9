//! Changed settings at a sender that has messages in hand.

use super::{MessageId, Policy, Settings};

impl Policy {
    /// What is held keeps its aim, its deadline, its class and its tenant; all that comes next goes by the new
    /// settings, attempts allowed among them: a message that has had more is answered.
    pub(super) fn adopt(&mut self, settings: &Settings) {
        // Who sent how much goes by the tenant's name, wherever its place is now.
        let places = settings.tenants_after(&self.settings);
        let rates = std::mem::replace(&mut self.tenants, vec![(0.0, self.now); settings.tenants.len()]);
        for (rate, place) in rates.into_iter().zip(&places) {
            if let Some(now) = self.tenants.get_mut(*place) {
                *now = rate;
            }
        }
        for held in self.held.values_mut() {
            held.message.tenant = places.get(held.message.tenant).copied().unwrap_or(usize::MAX);
        }
        if settings.idle_close != self.settings.idle_close {
            self.keep = settings.idle_close;
        }
        // What was told of a limit in another form is no figure of this one; whoever has the list tells it anew.
        if (settings.weights, settings.report) != (self.settings.weights, self.settings.report) {
            self.routes.values_mut().for_each(|route| (route.told, route.reported) = (0.0, 0.0));
        }
        self.settings = settings.clone();
    }

    /// Whether a message that is held goes by the class at this position.
    pub fn holds_class(&self, class: usize) -> bool {
        self.held.values().any(|held| held.message.class == class)
    }

    /// The position of the class that a message goes by, if it is held.
    pub fn class_of(&self, message: MessageId) -> Option<usize> {
        Some(self.held.get(&message)?.message.class)
    }
}
