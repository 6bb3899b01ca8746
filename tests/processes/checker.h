#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Checkers of the product's guarantees. They use only the responses that callers received and the records of the
/// stand-ins.
namespace chervilpulley::processes {

/// Descriptions of violated guarantees; empty when they held.
using violations = std::vector<std::string>;

/// One pass through an engine's layers.
struct engine_run
{
  std::string mEngine; ///< name and process id, since a restarted engine has lost its state
  std::string mRequest;
  std::uint64_t mAttempt = 0;
  std::uint64_t mPosition = 0;
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mLastLayer = 0;
  bool mPrefill = false;
  std::uint64_t mTimeUs = 0; ///< on the host's steady clock
};

/// One call that a plain service ran.
struct service_run
{
  std::string mKey;
  std::string mPath;
  std::string mBodyDigest; ///< SHA-256 in hex
};

/// Final outcome that the caller of a booking received; outcomes that say more about runs come first.
enum class booking_outcome
{
  Booked,
  Failed,
  Unknown,
  NotRun
};

/// One call of a booking.
struct booking
{
  std::string mBody; ///< shared only by retries of the booking
  booking_outcome mReportedOutcome = booking_outcome::Unknown;
};

/// A stream as its caller received it.
struct observed_stream
{
  std::string mText;
  std::string mFinishReason;
  bool mDone = false; ///< [DONE] arrived, as the last event
};

/// Reads an engine's records; other records are left out.
std::vector<engine_run> EngineRuns(std::string_view aEngine, const std::vector<boost::json::object>& aRecords);
/// Reads a plain service's records.
std::vector<service_run> ServiceRuns(const std::vector<boost::json::object>& aRecords);

/// Each layer ran every position of the request below aPositions; within an attempt each layer ran a position once and
/// layers ran in ascending order; no engine ran a position twice.
violations CheckLayers(const std::vector<engine_run>& aRuns,
                       std::string_view aRequest,
                       std::uint64_t aPositions,
                       std::uint32_t aLayerCount);

/// The stream is that of an undisturbed run: complete and ended normally.
violations CheckStream(const observed_stream& aStream,
                       std::string_view aPrompt,
                       std::uint64_t aMaxTokens,
                       std::uint32_t aLayerCount);

/// No booking ran twice, each confirmed booking ran, and no booking ran whose calls were all reported as "not run".
violations CheckBookings(const std::vector<service_run>& aRuns, const std::vector<booking>& aBookings);

/// The revisions that one instance reported, in order of time, never decrease.
violations CheckRevisions(const std::vector<std::uint64_t>& aRevisions);

/// No request started on an engine later than aTimeUs.
violations CheckNoNewWork(const std::vector<engine_run>& aRuns, std::uint64_t aTimeUs);

/// Violations as one text, for a test's message.
std::string Text(const violations& aViolations);

} // namespace chervilpulley::processes
