//! Priority of a call chain, assigned once at the root and the same at every hop.

use crate::{contract::RequestClass, name::RequestId};
use serde::{Deserialize, Serialize};

/// Number of priority levels within a class.
pub const CLASS_LEVELS: u16 = 1 << 10;

/// Priority of a chain; smaller values are more important.
///
/// The high part is the class and the low part a hash of the request id. So every gate sheds the same
/// requests, and the other chains complete. The scheme is that of DAGOR, "Overload Control for
/// Scaling WeChat Microservices", SoCC 2018.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CallPriority(pub u16);

impl CallPriority {
    /// The most important priority.
    pub const HIGHEST: CallPriority = CallPriority(0);
    /// The least important priority.
    pub const LOWEST: CallPriority = CallPriority(3 * CLASS_LEVELS - 1);

    /// Returns the priority of the root request `id` of class `class`.
    pub fn for_request(class: RequestClass, id: &RequestId) -> CallPriority {
        let hash = blake3::hash(id.as_str().as_bytes());
        let low = u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]) % CLASS_LEVELS;
        CallPriority(class.rank() * CLASS_LEVELS + low)
    }

    /// Returns the class.
    pub fn class(self) -> RequestClass {
        match self.0 / CLASS_LEVELS {
            0 => RequestClass::Critical,
            1 => RequestClass::Normal,
            _ => RequestClass::Background,
        }
    }
}
