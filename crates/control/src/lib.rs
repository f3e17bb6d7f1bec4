//! The decisions of the control plane, without I/O, clock or randomness.
//!
//! `now` is the time of a monotonic clock in milliseconds, which the caller supplies. Errors of operators are
//! [`configuration::Rejection`]s with a [`result_code::ResultCode`].
//!
//! Replicated state:
//! * [`state`]: the state machine, its commands and snapshots; [`command_outcome`]: the results of commands.
//! * [`change_log`]: accepted changes, which are recognised when they are sent again.
//! * [`deregistrations`]: model servers that have deregistered, committed or on the way there.
//! * [`training`]: training steps with their prompts and generations.
//!
//! Configuration:
//! * [`configuration`]: the parsed items of the operators' document.
//! * [`document`]: the document, and updates to it; [`item_list`]: its lists; [`document_history`]: the
//!   latest documents.
//! * [`checked_document`]: a valid document, and the checks of a change to it; [`prepared_change`]: a change
//!   that is
//!   parsed and checked outside the event loop.
//! * [`edge_document`]: the part of a document that is sent to edges; [`edge_update`]: how edges parse it.
//! * [`routes`]: the routing table of an edge.
//! * [`edge_configurations`]: which edge has which configuration in force.
//! * [`operator_calls`]: how a core answers an operator's call; [`result_code`]: the numbered results.
//!
//! Model servers:
//! * [`directory`]: the list of model servers; [`address_index`]: their instances by address.
//! * [`pending_changes`]: changes of model servers that wait for their publication.
//! * [`outliers`]: model servers that fail much more than the others.
//!
//! Decisions of the leader:
//! * [`demand`]: demand by model and adapter, from the edges' reports.
//! * [`placement`]: which models each model server is ordered to load or unload.
//! * [`model_catalog`]: the models of a service, and what fits a model server.
//! * [`order`]: orders; [`order_progress`]: the state of an order by a report; [`order_durations`]: how long
//!   orders
//!   take.
//! * [`admission`]: which model server prefills a prompt next, and when, over all edges.
//! * [`autoscaling`]: how many model servers of a service run in each zone.
//! * [`usage`]: requests that began to run, by tenant and window.
//!
//! Shared with the edges:
//! * [`estimate`]: running estimates with priors; [`decay`]: exponential decay; [`timestamped`]: values that
//!   expire.
//! * [`urgency`]: priorities of requests, and the slots that are reserved for urgent ones.

pub mod address_index;
pub mod admission;
pub mod autoscaling;
pub mod change_log;
pub mod checked_document;
pub mod command_outcome;
pub mod configuration;
pub mod decay;
pub mod demand;
pub mod deregistrations;
pub mod directory;
pub mod document;
pub mod document_history;
mod document_index;
pub mod edge_configurations;
pub mod edge_document;
pub mod edge_update;
pub mod estimate;
pub mod item_list;
pub mod model_catalog;
pub mod operator_calls;
pub mod order;
pub mod order_durations;
pub mod order_progress;
pub mod outliers;
pub mod pending_changes;
pub mod placement;
pub mod prepared_change;
pub mod result_code;
pub mod routes;
pub mod state;
pub mod timestamped;
pub mod training;
pub mod urgency;
pub mod usage;
