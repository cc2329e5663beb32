//! [`Message::Pull`] and [`Message::Update`] as structs.

use protocol::{
    ConfigurationUpdate, ControlPlaneInfo, Message, OriginUpdate, OriginVersion, Subscriber,
    TenantsUpdate,
};
use std::time::Duration;

/// Request for the updates that the sender lacks: [`Message::Pull`].
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pull {
    /// Sender of the pull.
    pub subscriber: Subscriber,
    /// Longest time for which the answer may wait for an update, in ms.
    pub wait_ms: u32,
    /// Index of the last change of the replicated state known to the sender.
    pub index: u64,
    /// Configuration version known to the sender.
    pub configuration_version: u64,
    /// Version of the [`ControlPlaneInfo`] known to the sender.
    pub control_plane_version: u64,
    /// Version vector of the sender. A sequence number of `u64::MAX` means that the sender wants no more records of
    /// this incarnation.
    pub origins: Vec<OriginVersion>,
}

impl Pull {
    /// Converts the struct to a message.
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

    /// Extracts a pull from a message.
    ///
    /// # Errors
    /// Returns the message unchanged if it is of another kind.
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

/// [`Update::age_ms`] of a sender that has had no contact with a primary in its incarnation. Its configuration may be
/// as old as the state on its disk.
pub const AGE_UNKNOWN: u32 = u32::MAX;

/// Updates that a subscriber lacked: [`Message::Update`], or [`Message::UpdateWithTenants`] if the tenants changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Member id of the sender; 0 for an agent.
    pub member: u64,
    /// Upper bound of the time for which the sender may have missed committed changes, in ms; [`AGE_UNKNOWN`] if it has
    /// had no contact with a primary in its incarnation.
    pub age_ms: u32,
    /// Time for which the sender held the pull before it answered, in ms.
    pub held_ms: u32,
    /// Changes of the configuration and of the draining hosts.
    pub configuration: Option<ConfigurationUpdate>,
    /// Changes of the tenants, which belong to those of the configuration.
    pub tenants: Option<TenantsUpdate>,
    /// Records of hosts and coordinators.
    pub origins: Vec<OriginUpdate>,
    /// Ids of members that are no longer origins.
    pub removed_origins: Vec<u64>,
    /// Members of the control plane, if they changed.
    pub control_plane: Option<ControlPlaneInfo>,
}

impl Update {
    /// Whether the update contains nothing but its age.
    pub fn is_empty(&self) -> bool {
        self.configuration.is_none()
            && self.origins.is_empty()
            && self.removed_origins.is_empty()
            && self.control_plane.is_none()
    }

    /// Adds the network time of pull and answer to the age, given the time at which the pull was sent and the current
    /// time. An answer that was buffered for long thus can't pass for a fresh one. The time for which the sender held
    /// the pull isn't added, as the sender's age refers to the end of that time.
    pub fn aged(mut self, sent_at: Duration, now: Duration) -> Self {
        if self.age_ms != AGE_UNKNOWN {
            let held = Duration::from_millis(self.held_ms.into());
            let network_time = now.saturating_sub(sent_at).saturating_sub(held);
            let network_time_ms = u32::try_from(network_time.as_millis()).unwrap_or(AGE_UNKNOWN);
            self.age_ms = self.age_ms.saturating_add(network_time_ms);
        }
        self
    }

    /// Converts the struct to a message.
    pub fn into_message(self) -> Message {
        let Self {
            member,
            age_ms,
            held_ms,
            configuration,
            tenants,
            origins,
            removed_origins,
            control_plane,
        } = self;
        match tenants {
            None => Message::Update {
                member,
                age_ms,
                held_ms,
                configuration,
                origins,
                removed_origins,
                control_plane,
            },
            Some(tenants) => Message::UpdateWithTenants {
                member,
                age_ms,
                held_ms,
                configuration,
                origins,
                removed_origins,
                control_plane,
                tenants,
            },
        }
    }

    /// Extracts an update from a message.
    ///
    /// # Errors
    /// Returns the message unchanged if it is of another kind.
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
                tenants: None,
                origins,
                removed_origins,
                control_plane,
            }),
            Message::UpdateWithTenants {
                member,
                age_ms,
                held_ms,
                configuration,
                origins,
                removed_origins,
                control_plane,
                tenants,
            } => Ok(Self {
                member,
                age_ms,
                held_ms,
                configuration,
                tenants: Some(tenants),
                origins,
                removed_origins,
                control_plane,
            }),
            other => Err(Box::new(other)),
        }
    }
}
