#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The catalogue of events in the structured log: the only place that defines an event's name, fields and description.
/// docs/EVENTS.md is generated from it, and `chervilpulley explain` uses it to describe the history of a request.
namespace chervilpulley {

/// Class of a line for rate limiting; each rank has its own limit.
enum class log_rank
{
  Routine, ///< a request that succeeded
  Notable  ///< a refusal, failure, retry or path replacement, or a change of state
};

/// What a line is about; `chervilpulley explain` selects the lines for a request's history by it.
enum class log_topic
{
  Request,    ///< one request, named in the line
  RequestEnd, ///< the end of a request
  Backend,    ///< the state of a backend server, named in the line
  Layers,     ///< the layers that engines hold, and the leadership of layer placement
  Gateway,    ///< whether this gateway serves: its start and end, configuration and store
  Other       ///< nothing that affects the outcome of a request
};

/// Events in the order of the catalogue. A unit test derives each enumerator from the event's name.
enum class log_event : std::uint8_t
{
  Started,
  CallersAccepted,
  Ready,
  NotReady,
  Signal,
  SettingsReloaded,
  Stopped,
  HandlerFailed,
  StoreLost,
  StoreRegained,
  StoreRestored,
  ConfigurationInForce,
  ConfigurationOlder,
  ConfigurationUnreadable,
  StoreWitnessed,
  BoundsTooShort,
  RelayFollowed,
  RelayFailed,
  ListRestored,
  ListUnreadable,
  ListEntryUnreadable,
  ChangesUnreadable,
  ObjectWrittenAgain,
  GatewaysCounted,
  BackendSeen,
  BackendLeaving,
  BackendPaused,
  BackendLimited,
  BackendLimitEnded,
  LimitCoordinator,
  BackendUnlisted,
  BackendGone,
  BackendUnconfirmed,
  BackendBelievedLost,
  BackendUnreachable,
  BackendMoving,
  BackendPace,
  ReportMissing,
  HintTold,
  HintUnreadable,
  LossHintChecked,
  DutyTaken,
  DutyLeft,
  DutyGivenUp,
  LayersOrdered,
  LayersHeld,
  OrderRefused,
  OrderWithoutEffect,
  CrashSuspected,
  CrashTraitBlocked,
  CrashesRead,
  CrashesWritten,
  CrashesUnreadable,
  CrashBlockContradicted,
  CrashSuspectCleared,
  RequestUnreadable,
  RequestRefused,
  RequestCondemned,
  StreamSent,
  NoPath,
  CapacityScarce,
  CapacitySufficient,
  EngineRefused,
  RetryShareHeld,
  RetryPermitted,
  RetryDenied,
  StallSuspected,
  StreamRepathed,
  RepathRefused,
  StreamFailed,
  StreamServed,
  StreamEnded,
  ServerRefused,
  ServerFailed,
  ServerSlow,
  CallSent,
  CallServed,
  CallEnded,
  ResponseInvalid,
  RequestCut,
  ConnectionCut,
  AcceptFailed,
  CallerMemoryLimited,
  CallerConnectionsLimited
};

/// The catalogue's entry for an event.
struct log_event_entry
{
  log_event mEvent;
  std::string_view mName;
  log_rank mRank;
  log_topic mTopic;
  std::string_view mFields;  ///< names, separated by spaces
  std::string_view mMeaning; ///< description for operators
};

const log_event_entry& EntryOf(log_event aEvent);
/// Finds an event by its name; nothing when it is unknown, as in lines of another release.
std::optional<log_event> EventNamed(std::string_view aName);
/// Returns the contents of docs/EVENTS.md.
std::string EventsReference();

} // namespace chervilpulley
