//! What the control plane decides, without I/O, clock or randomness.
//!
//! * [`address_index`]: which instances are at which address.
//! * [`configuration`]: the typed view of the operators' document.
//! * [`edge_configurations`]: which edge has which configuration in force.
//! * [`change_log`]: what is remembered of changes, for those that come again.
//! * [`document`]: the document itself, and changes to it; [`item_list`]: its lists.
//! * [`checked_document`]: a document with what its changes are checked against.
//! * [`document_history`]: the latest documents.
//! * [`edge_document`]: what an edge is told of a document.
//! * [`edge_update`]: what an edge is told of a configuration, read bit by bit.
//! * [`state`]: the replicated state machine: configuration, accepted changes, sealed usage.
//! * [`pending_changes`]: what is new of model servers and when it is told.
//! * [`directory`]: the model servers that exist, from their heartbeats.
//! * [`demand`]: what clients ask of each model, from the edges' reports.
//! * [`admission`]: at which model server a prompt is read next, and when, over all heads.
//! * [`autoscaling`]: how many model servers of a service run in each zone.
//! * [`estimate`]: running estimates of what is seen of model servers.
//! * [`order_progress`]: what became of an order, and how long orders take.
//! * [`operator_calls`]: what an operator's call gets, by how the head that was called stands.
//! * [`outliers`]: which model servers fail more than others, by what all heads saw.
//! * [`placement`]: which model server is ordered to load or unload what.
//! * [`training`]: training steps as part of the replicated state, with their prompts and generations.
//! * [`usage`]: requests begun, by tenant and window.
//! * [`result_code`]: the numbered results that callers get.

pub mod address_index;
pub mod admission;
pub mod autoscaling;
pub mod change_log;
pub mod checked_document;
pub mod command_outcome;
pub mod configuration;
pub mod demand;
pub mod directory;
pub mod document;
pub mod document_history;
pub mod edge_configurations;
pub mod edge_document;
pub mod edge_update;
pub mod estimate;
pub mod item_list;
pub mod operator_calls;
pub mod order;
pub mod order_durations;
pub mod order_progress;
pub mod outliers;
pub mod pending_changes;
pub mod placement;
pub mod result_code;
pub mod routes;
pub mod state;
pub mod training;
pub mod urgency;
pub mod usage;
