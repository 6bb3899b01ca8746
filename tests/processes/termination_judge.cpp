#include "processes/termination_judge.h"

#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <sstream>

#include "base/clock.h"
#include "processes/gateway_fixture.h"

namespace chervilpulley::processes {

namespace {

/// A request that was sent so long before the end of its connection does not cross it.
constexpr std::int64_t kCrossingMs = 200;
constexpr std::int64_t kRouteTimeoutMs = 8'000;
/// A server that is still at work in this last part of the grace period excuses a cut ...
constexpr double kLastPart = 1.0 / 6;
/// ... of a request that was sent within this part of the grace period.
constexpr double kEarlyPart = 3.0 / 8;

std::string KindOf(const boost::json::object& aRecord)
{
  return std::string(aRecord.at("kind").as_string());
}

std::int64_t AtOf(const boost::json::object& aRecord)
{
  return aRecord.contains("at_ms") ? aRecord.at("at_ms").to_number<std::int64_t>() : 0;
}

bool IsEvent(const std::string& aLine, std::string_view aEvent)
{
  return aLine.find(fmt::format("\"event\":\"{}\"", aEvent)) != std::string::npos;
}

std::string WholeBody(const request_outcome& aOutcome)
{
  return aOutcome.mKind == "stream" ? EventsUpTo(aOutcome.mEvents) : "answer to " + aOutcome.mId;
}

} // namespace

std::int64_t SteadyMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now().time_since_epoch()).count();
}

termination_judge::termination_judge(double aGraceS, const std::vector<boost::json::object>& aRecords)
  : mGraceMs(static_cast<std::int64_t>(aGraceS * 1000))
{
  for (const boost::json::object& record : aRecords) {
    if (const auto* id = record.if_contains("id")) {
      mRecords[std::string(id->as_string())].push_back(record);
    }
  }
}

void termination_judge::AddLog(const std::string& aGateway, const std::string& aOutput)
{
  static constexpr std::string_view kRequest = "\"request\":\"";
  std::istringstream lines(aOutput);
  for (std::string line; std::getline(lines, line);) {
    const std::size_t at = line.find(kRequest);
    if (at == std::string::npos) {
      const bool isKept = IsEvent(line, "signal") || IsEvent(line, "connection_cut") || IsEvent(line, "stopped");
      mStopLines[aGateway] += isKept ? line + "\n" : "";
      continue;
    }
    const std::size_t begin = at + kRequest.size();
    request_log& log = mLogs[line.substr(begin, line.find('"', begin) - begin)];
    log.mIsPassedOn |= IsEvent(line, "stream_sent") || IsEvent(line, "call_sent");
    log.mIsServed |= IsEvent(line, "stream_served") || IsEvent(line, "call_served");
    log.mLines += line + "\n";
  }
}

const std::vector<boost::json::object>& termination_judge::RecordsOf(const std::string& aId) const
{
  static const std::vector<boost::json::object> kNone;
  const auto found = mRecords.find(aId);
  return found == mRecords.end() ? kNone : found->second;
}

std::size_t termination_judge::Runs(const std::string& aId) const
{
  const auto& records = RecordsOf(aId);
  return static_cast<std::size_t>(
    std::count_if(records.begin(), records.end(), [](const auto& aRecord) { return KindOf(aRecord) == "run"; }));
}

std::string termination_judge::FaultOf(const request_outcome& aOutcome)
{
  if (std::string fault = WrongRuns(aOutcome); !fault.empty()) {
    return fault;
  }
  if (std::string fault = WrongResponse(aOutcome); !fault.empty()) {
    return fault;
  }
  if (aOutcome.mIsComplete) {
    return "";
  }
  const std::string excuse = ExcuseOf(aOutcome);
  ++mExcuses[excuse];
  const auto log = mLogs.find(aOutcome.mId);
  if (log != mLogs.end() && log->second.mIsServed && !aOutcome.mGateway->mIsKilled) {
    return "the gateway has logged a complete response, which did not reach the caller";
  }
  return excuse.empty() ? "LOST: no complete response" : "";
}

std::string termination_judge::WrongRuns(const request_outcome& aOutcome) const
{
  const std::size_t runs = Runs(aOutcome.mId);
  const unsigned status = aOutcome.mStatus;
  if (aOutcome.mKind == "booking" && runs > 1) {
    return "a booking ran twice";
  }
  if (aOutcome.mKind == "booking" && runs > 0 && (status == 503 || status == 429 || status == 421 || status == 408)) {
    return "a booking ran that was refused";
  }
  if (aOutcome.mIsAfterClose && runs > 0) {
    return "a request ran after a response with Connection: close";
  }
  return "";
}

std::string termination_judge::WrongResponse(const request_outcome& aOutcome) const
{
  if (aOutcome.mStatus != 200) {
    return "";
  }
  const std::string whole = WholeBody(aOutcome);
  if (aOutcome.mIsComplete ? aOutcome.mBody != whole : !whole.starts_with(aOutcome.mBody)) {
    return "the response's body is wrong";
  }
  return aOutcome.mIsComplete && aOutcome.mKind == "booking" && Runs(aOutcome.mId) == 0 ? "a booking did not run" : "";
}

/// Why a request without a complete response is no fault; empty if it is one.
std::string termination_judge::ExcuseOf(const request_outcome& aOutcome) const
{
  if (aOutcome.mGateway->mIsFrozen || aOutcome.mGateway->mIsKilled) {
    return "gateway frozen or killed";
  }
  if (aOutcome.mGaveUp) {
    return "";
  }
  if (std::string crossing = CrossingOf(aOutcome); !crossing.empty()) {
    return crossing;
  }
  if (aOutcome.mEndedMs - aOutcome.mSentMs >= std::min<std::int64_t>(aOutcome.mDeadlineMs, kRouteTimeoutMs)) {
    return "deadline";
  }
  if (LastServerDid(aOutcome, "broke_off")) {
    return "server broke off";
  }
  // Silence is no reason to end a response sooner.
  if (LastServerDid(aOutcome, "silent") && aOutcome.mEndedMs >= LastPartMs(aOutcome)) {
    return "server silent";
  }
  return WasAtWork(aOutcome) ? "server at work to the last" : "";
}

/// How a request that was passed on to no server crossed the close of its connection; empty if it did not.
std::string termination_judge::CrossingOf(const request_outcome& aOutcome) const
{
  const auto log = mLogs.find(aOutcome.mId);
  const bool isRead = log != mLogs.end();
  if (Runs(aOutcome.mId) > 0 || (isRead && log->second.mIsPassedOn)) {
    return "";
  }
  if (aOutcome.mIsAfterClose) {
    return "sent beside or after a response with Connection: close";
  }
  if (!aOutcome.mIsSent || aOutcome.mOpenMs - aOutcome.mSentMs <= kCrossingMs) {
    return "crossed the close";
  }
  // A pipelined request is not read while the response before it has not ended.
  if (aOutcome.mIsBehindCut && !isRead) {
    return "pipelined behind a response that was cut";
  }
  return aOutcome.mIsSlow && !isRead ? "crossed the close, unseen by a slow caller" : "";
}

/// Whether there is a record of a kind from the server that ran the request last, before the caller's connection ended.
bool termination_judge::LastServerDid(const request_outcome& aOutcome, std::string_view aKind) const
{
  const auto& records = RecordsOf(aOutcome.mId);
  const auto run =
    std::find_if(records.rbegin(), records.rend(), [](const auto& aRecord) { return KindOf(aRecord) == "run"; });
  return run != records.rend() && std::any_of(records.rbegin(), run, [&](const auto& aRecord) {
           return KindOf(aRecord) == aKind && AtOf(aRecord) <= aOutcome.mEndedMs &&
                  aRecord.at("server") == run->at("server");
         });
}

/// When the last part of the grace period of the request's gateway began; never for one that was not terminated.
std::int64_t termination_judge::LastPartMs(const request_outcome& aOutcome) const
{
  const std::int64_t terminated = aOutcome.mGateway->mTerminatedMs;
  return terminated == 0 ? std::numeric_limits<std::int64_t>::max()
                         : terminated + static_cast<std::int64_t>(static_cast<double>(mGraceMs) * (1 - kLastPart));
}

/// Whether the request was sent early, and a server still ran it in the last part of the grace period.
bool termination_judge::WasAtWork(const request_outcome& aOutcome) const
{
  const std::int64_t terminated = aOutcome.mGateway->mTerminatedMs;
  const auto early = terminated + static_cast<std::int64_t>(static_cast<double>(mGraceMs) * kEarlyPart);
  const std::int64_t late = LastPartMs(aOutcome);
  if (aOutcome.mSentMs > early || aOutcome.mEndedMs < late || Runs(aOutcome.mId) == 0) {
    return false;
  }
  const auto& records = RecordsOf(aOutcome.mId);
  const auto end = std::find_if(records.rbegin(), records.rend(), [](const auto& aRecord) {
    return KindOf(aRecord) != "repath" && KindOf(aRecord) != "path_refused";
  });
  return end != records.rend() && (KindOf(*end) == "run" || AtOf(*end) >= late);
}

std::string termination_judge::Evidence(const request_outcome& aOutcome) const
{
  const gateway_life& gateway = *aOutcome.mGateway;
  std::string text = fmt::format("{} ({}, {} events, deadline {} ms) got status {} and {} bytes, {}\n",
                                 aOutcome.mId,
                                 aOutcome.mKind,
                                 aOutcome.mEvents,
                                 aOutcome.mDeadlineMs,
                                 aOutcome.mStatus,
                                 aOutcome.mBody.size(),
                                 aOutcome.mIsComplete ? "complete" : "not complete");
  text += fmt::format("sent at {}, open at {}, connection ended at {}; after close {}, slow {}, sent {}, gave up {}\n",
                      aOutcome.mSentMs,
                      aOutcome.mOpenMs,
                      aOutcome.mEndedMs,
                      aOutcome.mIsAfterClose,
                      aOutcome.mIsSlow,
                      aOutcome.mIsSent,
                      aOutcome.mGaveUp);
  text += fmt::format("{}: SIGTERM at {}, exit at {} with status {}, frozen {}, killed {}\n",
                      gateway.mName,
                      gateway.mTerminatedMs.load(),
                      gateway.mExitedMs.load(),
                      gateway.mStatus,
                      gateway.mIsFrozen.load(),
                      gateway.mIsKilled.load());
  if (const auto lines = mStopLines.find(gateway.mName); lines != mStopLines.end()) {
    text += lines->second;
  }
  // The requests of the same connection, up to this one.
  const std::string connection = aOutcome.mId.substr(0, aOutcome.mId.rfind('-') + 1);
  for (auto log = mLogs.lower_bound(connection); log != mLogs.end() && log->first.starts_with(connection); ++log) {
    text += log->second.mLines;
  }
  for (const boost::json::object& record : RecordsOf(aOutcome.mId)) {
    text += boost::json::serialize(record) + "\n";
  }
  return text + (mLogs.contains(aOutcome.mId) ? "" : "no line of this request in the gateways' logs\n");
}

} // namespace chervilpulley::processes
