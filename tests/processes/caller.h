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
#include "processes/judge.h"
#include "processes/process.h"

namespace chervilpulley::processes {

/// Takes the number of tokens that have come; false hangs up.
using token_observer = std::function<bool(std::size_t)>;

/// What a caller asks of a model.
struct completion_call
{
  std::string mPrompt;
  std::uint64_t mMaxTokens = 16;
  bool mIsStream = true;
  bool mIsChat = false;
  std::string mLastEventId; ///< takes up a stream
  token_observer mOnToken;
  std::function<void(const std::string&)> mOnEventId; ///< takes the id of a token's event, before mOnToken
};

/// What a caller got.
struct answer
{
  unsigned mStatus = 0; ///< 0 when no answer came
  net::http_headers mHeaders;
  std::string mBody;                       ///< all of it, also of a stream
  seen_stream mStream;                     ///< text, reason and end
  std::string mRequest;                    ///< request id
  std::size_t mTokens = 0;                 ///< of a stream
  std::string mLastEventId;                ///< of the last token
  std::string mOutcome;                    ///< "not_run", "unknown", "failed"; empty without an error
  std::optional<net::net_error> mNetError; ///< the connection failed
};

/// Reads server-sent events of completions as they come.
class event_reader
{
public:
  event_reader(answer& aAnswer, const completion_call& aCall);
  /// Takes a piece of the body; false when the observer hangs up.
  bool Take(std::string_view aPiece);

private:
  bool TakeEvent(std::string_view aEvent);
  bool TakeData(std::string_view aData, const std::string& aId);

  answer& mAnswer;
  const completion_call& mCall;
  std::string mPending;
};

/// A caller of one workspace at one entry.
class caller
{
public:
  caller(net::endpoint aEntry, std::string aKey);

  answer Complete(const completion_call& aCall) const;
  /// POST /services/bookings/reserve.
  answer Book(const std::string& aBody, const std::string& aIdempotencyKey) const;
  /// GET /services/stock/rope.
  answer Stock() const;
  answer Send(net::http_request aRequest) const;

private:
  net::http_request Authorized(net::http_request aRequest) const;

  net::endpoint mEntry;
  std::string mKey;
};

/// What a booking's answer says of it.
told ToldBy(const answer& aAnswer);

} // namespace chervilpulley::processes
