//! The start after controllers went down: squaring what workers report with what is stored, and going on without a
//! storm of orders. `docs/design/recovery.md` has the ways weighed and the safety argument.
//!
//! Plain data in, verdicts out: nothing here does I/O, and time comes in as an argument.
#![forbid(unsafe_code)]

mod pace;
mod phases;
mod table;

pub use pace::Pace;
pub use phases::{Act, Gathering, Phase};
pub use table::{Case, Claim, Ending, Outcome, Said, Stored, Verdict, claim, square};
