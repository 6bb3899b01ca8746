#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Judges of the promises. They see only what callers were answered and what the stand-ins have recorded.
namespace chervilpulley::processes {

/// What is wrong; empty when the promise held.
using faults = std::vector<std::string>;

/// One pass through an engine's layers.
struct engine_run
{
  std::string mEngine; ///< name and process id, since an engine that was started again holds nothing of before
  std::string mRequest;
  std::uint64_t mAttempt = 0;
  std::uint64_t mPosition = 0;
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mLastLayer = 0;
  bool mPrefill = false;
  std::uint64_t mTimeUs = 0; ///< on the machine's steady clock
};

/// One call that a plain service ran.
struct service_run
{
  std::string mKey;
  std::string mPath;
  std::string mBodyDigest; ///< SHA-256 in hex
};

/// What the caller of a booking was told in the end; what says more about runs comes first.
enum class told
{
  Booked,
  Failed,
  Unknown,
  NotRun
};

struct booking
{
  std::string mBody; ///< shared only by calls that repeat the booking
  told mTold = told::Unknown;
};

/// A stream as its caller saw it.
struct seen_stream
{
  std::string mText;
  std::string mFinishReason;
  bool mDone = false; ///< [DONE] came, as the last event
};

/// Reads an engine's records; lines about other things are left out.
std::vector<engine_run> EngineRuns(std::string_view aEngine, const std::vector<boost::json::object>& aRecords);
std::vector<service_run> ServiceRuns(const std::vector<boost::json::object>& aRecords);

/// Every position of every request below aPositions was run by each layer; within an attempt each layer ran once for
/// a position and layers rose with time; no engine ran a position twice.
faults JudgeLayers(const std::vector<engine_run>& aRuns,
                   std::string_view aRequest,
                   std::uint64_t aPositions,
                   std::uint32_t aLayerCount);

/// The stream is that of an undisturbed run, whole and ended in order.
faults JudgeStream(const seen_stream& aStream,
                   std::string_view aPrompt,
                   std::uint64_t aMaxTokens,
                   std::uint32_t aLayerCount);

/// No booking ran twice, one that was confirmed ran, and one did not run whose calls were all told "not run".
faults JudgeBookings(const std::vector<service_run>& aRuns, const std::vector<booking>& aBookings);

/// Revisions that one instance reported, in order of time, never fall.
faults JudgeRevisions(const std::vector<std::uint64_t>& aRevisions);

/// No request started on an engine later than aTimeUs.
faults JudgeNoNewWork(const std::vector<engine_run>& aRuns, std::uint64_t aTimeUs);

/// Faults as one text, for a test's message.
std::string Text(const faults& aFaults);

} // namespace chervilpulley::processes
