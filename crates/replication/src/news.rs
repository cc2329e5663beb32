//! [`Message::Pull`] and [`Message::Update`] as values of their own.

use protocol::{
    ConfigurationUpdate, ControlPlaneInfo, Message, OriginUpdate, OriginVersion, Subscriber,
};
use std::time::Duration;

/// Asks for what the speaker lacks: [`Message::Pull`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pull {
    /// Who pulls.
    pub subscriber: Subscriber,
    /// How long the answer may wait for news, in ms.
    pub wait_ms: u32,
    /// Number of the ledger's last change that the speaker has.
    pub index: u64,
    /// Version of the configuration that it has.
    pub configuration_version: u64,
    /// Mark of the fleet that it has.
    pub control_plane_version: u64,
    /// What it has of each source. A number of `u64::MAX` says that it wants nothing more of this life.
    pub origins: Vec<OriginVersion>,
}

impl Pull {
    /// As a message.
    pub fn into_message(self) -> Message {
        let Self {
            subscriber,
            wait_ms,
            index,
            configuration_version,
            control_plane_version,
            origins,
        } = self;
        Message::Pull {
            subscriber,
            wait_ms,
            index,
            configuration_version,
            control_plane_version,
            origins,
        }
    }

    /// The pull that a message is.
    ///
    /// # Errors
    /// The message back, where it is another one.
    pub fn from_message(message: Message) -> Result<Self, Box<Message>> {
        match message {
            Message::Pull {
                subscriber,
                wait_ms,
                index,
                configuration_version,
                control_plane_version,
                origins,
            } => Ok(Self {
                subscriber,
                wait_ms,
                index,
                configuration_version,
                control_plane_version,
                origins,
            }),
            other => Err(Box::new(other)),
        }
    }
}

/// [`Update::age_ms`] of a speaker that has had no proof in this life: what it says of the configuration may be as old
/// as its disk.
pub const AGE_UNKNOWN: u32 = u32::MAX;

/// What a puller lacked: [`Message::Update`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Who speaks; 0 for an agent.
    pub member: u64,
    /// Since when, at most, the speaker may have missed what the primary acknowledged, in ms; [`AGE_UNKNOWN`]
    /// where it has had no proof in this life.
    pub age_ms: u32,
    /// How long the speaker had the pull before it answered, in ms.
    pub held_ms: u32,
    /// Configuration and drains.
    pub configuration: Option<ConfigurationUpdate>,
    /// Hosts and coordinators.
    pub origins: Vec<OriginUpdate>,
    /// Sources that are no more.
    pub removed_origins: Vec<u64>,
    /// The control plane.
    pub control_plane: Option<ControlPlaneInfo>,
}

impl Update {
    /// Whether it says nothing but its age.
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none()
            && self.origins.is_empty()
            && self.removed_origins.is_empty()
            && self.control_plane.is_none()
    }

    /// Counts the age from `asked`, when the pull left, to `now`: however long the answer lay in a buffer, of this
    /// process or on the way, it can't be taken for a fresh one. The time that the speaker held the pull isn't
    /// counted, as the age it tells is that at the end of it.
    pub fn aged(mut self, asked: Duration, now: Duration) -> Self {
        if self.age_ms != AGE_UNKNOWN {
            let held = Duration::from_millis(self.held_ms.into());
            let travelled = now.saturating_sub(asked).saturating_sub(held);
            let travelled_ms = u32::try_from(travelled.as_millis()).unwrap_or(AGE_UNKNOWN);
            self.age_ms = self.age_ms.saturating_add(travelled_ms);
        }
        self
    }

    /// As a message.
    pub fn into_message(self) -> Message {
        let Self {
            member,
            age_ms,
            held_ms,
            configuration,
            origins,
            removed_origins,
            control_plane,
        } = self;
        Message::Update {
            member,
            age_ms,
            held_ms,
            configuration,
            origins,
            removed_origins,
            control_plane,
        }
    }

    /// The news that a message is.
    ///
    /// # Errors
    /// The message back, where it is another one.
    pub fn from_message(message: Message) -> Result<Self, Box<Message>> {
        match message {
            Message::Update {
                member,
                age_ms,
                held_ms,
                configuration,
                origins,
                removed_origins,
                control_plane,
            } => Ok(Self {
                member,
                age_ms,
                held_ms,
                configuration,
                origins,
                removed_origins,
                control_plane,
            }),
            other => Err(Box::new(other)),
        }
    }
}
