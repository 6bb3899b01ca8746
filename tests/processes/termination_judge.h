#pragma once

#include <boost/json/object.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/endpoint.h"

/// Judges what callers got from gateways that were terminated, by the records of backend servers and gateways.
namespace chervilpulley::processes {

/// Time of the steady clock in milliseconds, as in the records of the stand-ins.
std::int64_t SteadyMs();

/// One process of a gateway. The thread that terminates it writes what the callers' threads read.
struct gateway_life
{
  std::string mName; ///< begins the ids of all requests sent to it
  net::endpoint mCallers;
  std::atomic<std::int64_t> mTerminatedMs = 0; ///< when SIGTERM was sent; 0 before
  std::atomic<std::int64_t> mExitedMs = 0;
  std::atomic<bool> mIsFrozen = false; ///< was stopped by SIGSTOP for some time
  std::atomic<bool> mIsKilled = false; ///< still ran at the end of its grace period
  int mStatus = 0;
};

/// One request of a caller, and what it got.
struct request_outcome
{
  std::string mId;
  std::string mKind; ///< "lookup", "booking" or "stream"
  std::shared_ptr<gateway_life> mGateway;
  unsigned mEvents = 0; ///< of a whole stream
  unsigned mDeadlineMs = 0;
  std::int64_t mSentMs = 0;
  std::int64_t mOpenMs = 0;   ///< the connection was certainly open then, with nothing to read
  std::int64_t mEndedMs = 0;  ///< when the caller saw the end of the connection
  bool mIsAfterClose = false; ///< an earlier response on the connection has the header Connection: close
  bool mIsBehindCut = false;  ///< an earlier response on the connection is not complete
  bool mIsSlow = false;       ///< the caller reads slowly, so that it may see the end of the connection late
  bool mIsSent = false;
  bool mGaveUp = false; ///< the caller waited far longer than the deadline
  unsigned mStatus = 0; ///< 0 when there is no whole head
  bool mIsComplete = false;
  std::string mBody;
};

/// What the gateways' logs say of one request.
struct request_log
{
  bool mIsPassedOn = false; ///< sent to a backend server
  bool mIsServed = false;   ///< a gateway logged that the caller received the whole response
  std::string mLines;
};

class termination_judge
{
public:
  /// @param aGraceS time from SIGTERM to SIGKILL
  /// @param aRecords of the stand-in fleet
  termination_judge(double aGraceS, const std::vector<boost::json::object>& aRecords);

  /// Reads the structured log of a gateway.
  void AddLog(const std::string& aGateway, const std::string& aOutput);
  /// What is wrong with an outcome, in words; empty if nothing is.
  std::string FaultOf(const request_outcome& aOutcome);
  /// Log lines and records of a request, and the times of its gateway.
  std::string Evidence(const request_outcome& aOutcome) const;
  /// How many requests without a complete response there were, by the reason why they count as no fault.
  const std::map<std::string, std::size_t>& Excuses() const { return mExcuses; }

private:
  std::string WrongResponse(const request_outcome& aOutcome) const;
  std::string WrongRuns(const request_outcome& aOutcome) const;
  std::string ExcuseOf(const request_outcome& aOutcome) const;
  bool LastServerDid(const request_outcome& aOutcome, std::string_view aKind) const;
  std::int64_t LastPartMs(const request_outcome& aOutcome) const;
  bool WasAtWork(const request_outcome& aOutcome) const;
  std::string CrossingOf(const request_outcome& aOutcome) const;
  std::size_t Runs(const std::string& aId) const;
  const std::vector<boost::json::object>& RecordsOf(const std::string& aId) const;

  std::int64_t mGraceMs;
  std::map<std::string, std::vector<boost::json::object>> mRecords; ///< by request id, in order of time
  std::map<std::string, request_log> mLogs;
  std::map<std::string, std::string> mStopLines; ///< by gateway: signals, connections cut, stop
  std::map<std::string, std::size_t> mExcuses;
};

} // namespace chervilpulley::processes
