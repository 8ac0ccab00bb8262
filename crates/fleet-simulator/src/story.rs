//! A run in words: given a fleet, when something happens, then it holds.
//!
//! Every word either does one thing or asserts one thing, and panics with what was seen where it does not hold: a
//! story is a test.

use crate::config::SimulationConfig;
use crate::network::LinkConditions;
use crate::simulation::{Simulation, SECOND};
use frostgauge_consensus::{GatewayId, Message, Micros, Outcome, RuleSource, Rules, VersionNumber};
use std::collections::BTreeSet;

/// A run being told.
pub struct Story {
    simulation: Simulation,
    editor: GatewayId,
    last: Option<u64>,
    marks: Vec<(GatewayId, u64)>,
}

/// Begins: a fleet, some seconds after its start, all of it under version 1.
pub fn given(fleet: SimulationConfig) -> Story {
    let editor = fleet.voters + 1;
    let mut story = Story { simulation: Simulation::new(fleet), editor, last: None, marks: vec![] };
    story.simulation.run(5 * SECOND);
    story.then_all_are_under(1)
}

fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}

impl Story {
    /// The run itself, for what there is no word for.
    pub fn simulation(&mut self) -> &mut Simulation {
        &mut self.simulation
    }

    /// Lets time go by. An editor that has heard nothing says it again each second, as the same proposal.
    #[must_use]
    pub fn after(mut self, seconds: f64) -> Story {
        let end = self.simulation.now() + micros(seconds);
        while self.simulation.now() + SECOND < end {
            self.simulation.run(SECOND);
            if let Some(id) = self.last.filter(|id| self.simulation.outcome(*id).is_none()) {
                self.simulation.resend(self.editor, id);
            }
        }
        self.simulation.run(end - self.simulation.now());
        self
    }

    /// Something is done to the run.
    #[must_use]
    pub fn when(mut self, what: impl FnOnce(&mut Simulation)) -> Story {
        what(&mut self.simulation);
        self
    }

    /// The editor sits at this gateway from now on.
    #[must_use]
    pub fn when_the_editor_moves_to(mut self, gateway: GatewayId) -> Story {
        self.editor = gateway;
        self
    }

    /// The editor publishes the latest rules with a change.
    #[must_use]
    pub fn when_published(mut self, change: impl FnOnce(&mut Rules)) -> Story {
        let (base, mut rules) = self.simulation.latest();
        change(&mut rules);
        self.last = Some(self.simulation.publish(self.editor, base, rules));
        self
    }

    /// Nothing comes or goes between a gateway and the keepers.
    #[must_use]
    pub fn when_cut_from_all_keepers(mut self, gateway: GatewayId) -> Story {
        for keeper in self.simulation.initial_voters() {
            self.simulation.cut_link(gateway, keeper);
            self.simulation.cut_link(keeper, gateway);
        }
        self
    }

    /// Nothing comes or goes between these and all others.
    #[must_use]
    pub fn when_cut_off(mut self, some: &[GatewayId]) -> Story {
        for other in self.simulation.gateways().filter(|g| !some.contains(g)).collect::<Vec<_>>() {
            for one in some {
                self.simulation.cut_link(*one, other);
                self.simulation.cut_link(other, *one);
            }
        }
        self
    }

    /// What one sends does not reach the other, only that way.
    #[must_use]
    pub fn when_cut_one_way(mut self, from: GatewayId, to: GatewayId) -> Story {
        self.simulation.cut_link(from, to);
        self
    }

    /// All links work again.
    #[must_use]
    pub fn when_mended(mut self) -> Story {
        self.simulation.restore_all_links();
        self
    }

    /// Processes are killed; their disks keep what was synced.
    #[must_use]
    pub fn when_killed(mut self, some: &[GatewayId]) -> Story {
        some.iter().for_each(|g| self.simulation.kill(*g, false));
        self
    }

    /// Machines lose their power: what disks had not synced is gone.
    #[must_use]
    pub fn when_power_is_lost(mut self, some: &[GatewayId]) -> Story {
        some.iter().for_each(|g| self.simulation.kill(*g, true));
        self
    }

    /// Processes that are down start again.
    #[must_use]
    pub fn when_started(mut self, some: &[GatewayId]) -> Story {
        some.iter().for_each(|g| self.simulation.start(*g));
        self
    }

    /// Processes are stopped, as by SIGSTOP.
    #[must_use]
    pub fn when_paused(mut self, some: &[GatewayId]) -> Story {
        some.iter().for_each(|g| self.simulation.pause(*g));
        self
    }

    /// They go on.
    #[must_use]
    pub fn when_resumed(mut self, some: &[GatewayId]) -> Story {
        some.iter().for_each(|g| self.simulation.resume(*g));
        self
    }

    /// Links lose and double so many messages in a thousand, and take up to so many milliseconds.
    #[must_use]
    pub fn when_links_are_bad(mut self, loss: u32, doubled: u32, most_ms: u64) -> Story {
        self.simulation.set_link_conditions(LinkConditions { loss, doubled, delay: (500, most_ms * 1_000) });
        self
    }

    /// An operator says something to all keepers.
    #[must_use]
    pub fn when_operator_says(mut self, message: Message) -> Story {
        self.simulation.broadcast(self.editor, message);
        self
    }

    /// The keeper that the others follow.
    pub fn leader(&self) -> GatewayId {
        let leads = |g: &GatewayId| {
            let keeper = self.simulation.process(*g).and_then(|p| p.replica());
            keeper.is_some_and(frostgauge_consensus::Replica::is_leader)
        };
        self.simulation.gateways().find(leads).expect("some keeper leads")
    }

    /// No gateway acted against a version for longer than `within_ms` after its first act, sums were kept, and
    /// there is one record.
    #[must_use]
    pub fn then_no_one_contradicts(self) -> Story {
        let checks = self.simulation.invariants();
        assert_eq!(checks.violation_count(), 0, "{:#?}", checks.violations());
        self
    }

    /// Acts went on without any contradiction at all, not only for a short while.
    #[must_use]
    pub fn then_no_one_contradicts_for_a_moment(self) -> Story {
        let worst = self.simulation.invariants().worst_contradiction();
        assert_eq!(worst, 0, "{worst} µs");
        self.then_no_one_contradicts()
    }

    /// All gateways act under this version alone.
    #[must_use]
    pub fn then_all_are_under(mut self, version: VersionNumber) -> Story {
        let all: Vec<GatewayId> = self.simulation.gateways().collect();
        for gateway in all {
            self = self.then_is_under(gateway, version);
        }
        self
    }

    /// A gateway acts under this version alone.
    #[must_use]
    pub fn then_is_under(mut self, gateway: GatewayId, version: VersionNumber) -> Story {
        let under = self.simulation.rule_source(gateway).expect("it runs");
        assert_eq!(under.versions(), BTreeSet::from([version]), "gateway {gateway} acts under {under:?}");
        self
    }

    /// A gateway acts on the ground of this version.
    #[must_use]
    pub fn then_is_on_ground_of(mut self, gateway: GatewayId, version: VersionNumber) -> Story {
        let under = self.simulation.rule_source(gateway).expect("it runs");
        assert_eq!(under, RuleSource::Fallback(Some(version)), "gateway {gateway}");
        self
    }

    /// From here on, requests through a gateway are counted.
    #[must_use]
    pub fn when_counted(mut self, some: &[GatewayId]) -> Story {
        self.marks = some.iter().map(|g| (*g, self.simulation.invariants().requests_through(*g))).collect();
        self
    }

    /// Since it was counted, servers got at least so many requests through each.
    #[must_use]
    pub fn then_each_served(self, least: u64) -> Story {
        for (gateway, before) in &self.marks {
            let served = self.simulation.invariants().requests_through(*gateway) - before;
            assert!(served >= least, "gateway {gateway} served {served}, {least} at least were wanted");
        }
        self
    }

    /// Since it was counted, servers got at most so many requests through each.
    #[must_use]
    pub fn then_each_served_at_most(self, most: u64) -> Story {
        for (gateway, before) in &self.marks {
            let served = self.simulation.invariants().requests_through(*gateway) - before;
            assert!(served <= most, "gateway {gateway} served {served}, {most} at most were wanted");
        }
        self
    }

    /// The editor was told a number.
    #[must_use]
    pub fn then_numbered(self, version: VersionNumber) -> Story {
        let told = self.last.and_then(|id| self.simulation.outcome(id));
        assert_eq!(told, Some(&Outcome::Numbered(version)));
        self
    }

    /// The editor was told something.
    #[must_use]
    pub fn then_told(self, what: impl FnOnce(&Outcome) -> bool) -> Story {
        let told =
            self.last.and_then(|id| self.simulation.outcome(id)).expect("the editor was told something");
        assert!(what(told), "the editor was told {told:?}");
        self
    }

    /// The editor was told nothing yet.
    #[must_use]
    pub fn then_told_nothing(self) -> Story {
        let told = self.last.and_then(|id| self.simulation.outcome(id));
        assert_eq!(told, None);
        self
    }

    /// Nothing that an editor was told is missing at any keeper that runs.
    #[must_use]
    pub fn then_nothing_told_is_lost(self) -> Story {
        let keepers: Vec<GatewayId> = self
            .simulation
            .gateways()
            .filter(|g| self.simulation.process(*g).is_some_and(|p| p.replica().is_some()))
            .collect();
        for keeper in keepers {
            assert_eq!(self.simulation.invariants().versions_lost_at(keeper), 0, "at keeper {keeper}");
        }
        self
    }

    /// Everything is checked that holds of any run.
    pub fn the_end(self) {
        let _ = self.then_no_one_contradicts();
    }
}
