#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/endpoint.h"
#include "net/http.h"
#include "net/net_error.h"
#include "processes/checker.h"
#include "processes/process.h"

/// HTTP callers for the process tests. They record everything that a caller receives, as the checkers need it.
namespace chervilpulley::processes {

/// Called with the number of tokens received so far; returns false to hang up.
using token_observer = std::function<bool(std::size_t)>;

/// A completion request to a model.
struct completion_call
{
  std::string mPrompt;
  std::uint64_t mMaxTokens = 16;
  bool mIsStream = true;
  bool mIsChat = false;
  std::string mLastEventId; ///< resumes the stream after this event; empty for a new stream
  token_observer mOnToken;
  std::function<void(const std::string&)> mOnEventId; ///< called with the id of a token's event, before mOnToken
};

/// Response as the caller received it.
struct response
{
  unsigned mStatus = 0; ///< 0 when no response arrived
  net::http_headers mHeaders;
  std::string mBody;                       ///< complete, also of a stream
  observed_stream mStream;                 ///< text, finish reason and whether it ended
  std::string mRequest;                    ///< request id
  std::size_t mTokens = 0;                 ///< tokens received in a stream
  std::string mLastEventId;                ///< event id of the last token
  std::string mOutcome;                    ///< "not_run", "unknown" or "failed"; empty without an error
  std::optional<net::net_error> mNetError; ///< set when the connection failed
};

/// Incremental parser of a completion's server-sent events.
class event_parser
{
public:
  event_parser(response& aResponse, const completion_call& aCall);
  /// Handles a piece of the body; returns false when the observer hangs up.
  bool HandleBytes(std::string_view aPiece);

private:
  bool HandleEvent(std::string_view aEvent);
  bool HandleData(std::string_view aData, const std::string& aId);

  response& mResponse;
  const completion_call& mCall;
  std::string mPending;
};

/// Caller that sends requests to one entry with the API key of one workspace.
class caller
{
public:
  caller(net::endpoint aEntry, std::string aKey);

  /// Sends a completion request and returns when the response has ended.
  response Complete(const completion_call& aCall) const;
  /// POST /services/bookings/reserve.
  response Book(const std::string& aBody, const std::string& aIdempotencyKey) const;
  /// GET /services/stock/rope.
  response Stock() const;
  /// Sends any request with the workspace's API key.
  response Send(net::http_request aRequest) const;

private:
  net::http_request Authorized(net::http_request aRequest) const;

  net::endpoint mEntry;
  std::string mKey;
};

/// Outcome of a booking according to its response.
booking_outcome OutcomeOf(const response& aResponse);

} // namespace chervilpulley::processes
