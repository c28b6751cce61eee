//! Records as entries send and store them.

use lycheehaven_types::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::origins::Origin;

/// Streams that the same service and software began.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Service, empty for streams of which several origins are stated.
    pub service: Name,
    /// Version of the software.
    pub software: Name,
    /// Keys of the streams.
    pub streams: Vec<u64>,
}

impl Group {
    /// Returns what began the streams, or `None` if that is ambiguous.
    pub(crate) fn origin(&self) -> Option<Origin> {
        (!self.service.is_empty()).then(|| Origin {
            service: self.service.clone(),
            software: self.software.clone(),
        })
    }

    /// Adds a stream to the group of its origin.
    pub(crate) fn add(groups: &mut Vec<Self>, origin: Option<&Origin>, stream: u64) {
        let belongs = |group: &&mut Self| match origin {
            Some(origin) => group.service == origin.service && group.software == origin.software,
            None => group.service.is_empty(),
        };
        if let Some(group) = groups.iter_mut().find(belongs) {
            group.streams.push(stream);
            return;
        }
        groups.push(Self {
            service: origin
                .map(|origin| origin.service.clone())
                .unwrap_or_default(),
            software: origin
                .map(|origin| origin.software.clone())
                .unwrap_or_default(),
            streams: vec![stream],
        });
    }
}
