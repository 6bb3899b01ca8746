#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_server.h"
#include "signal.h"

/// A backend server of the stand-in fleet, which can be made slow, unreachable or faulty to test how gateways handle
/// it.
namespace chervilpulley::standin {

class fleet;

/// Seconds that a server in state "pausing" asks for in its responses.
inline constexpr unsigned kPauseSeconds = 3;

/// An engine or a plain service of the fleet, at its own address.
class fleet_server
{
public:
  fleet_server(boost::asio::io_context& aContext, fleet& aFleet, std::string aName, std::string aPool);

  const std::string& Name() const { return mName; }
  std::string Address() const { return mServer->LocalEndpoint().Str(); }
  std::uint32_t FirstLayer() const { return mFirstLayer; }
  std::uint32_t EndLayer() const { return mEndLayer; }
  /// Sets the state:
  /// - "ok": works without faults
  /// - "dark": never responds
  /// - "slow": an engine that reports a high slowdown factor and takes longer for each event
  /// - "closing": refuses to join a new path of a running stream, before the list says that it leaves
  /// - "refusing": responds that it did not execute the request
  /// - "pausing": responds that it did not execute the request and wants no other for kPauseSeconds
  /// - "repeating": refuses every fourth request, and writes the last refusal of a connection once more on it: before
  ///   its next response, a moment after it or beside it, in turn
  /// - "repeating_unnamed": the same, but what it writes once more names no request
  /// - "failing": runs the request and responds with status 500; "failingN" with status N
  /// - "failing-with-events": responds with status 500 and a body that looks like a stream
  /// - "unstamped": responds with such a body, status 200 and no stamp
  /// - "mistyped": responds with such a body, status 200 and the content type of a page
  /// - "encoded": responds with such a body, status 200 and a content encoding
  /// - "flooding": sends a response without end
  /// - "cutting": closes the connection before or in the middle of a response
  /// - "announcing": works, and every response says that it leaves; the list does not
  /// - "limitedN": works, and every response names N as the requests a second that it takes from all gateways
  /// - "uneven": a plain service of which every eighth call takes 24 times as long as the others
  /// - "leaving": listed as draining, and refuses to join a new path of a running stream
  /// - "gone": dark, and removed from the list
  /// - "unlisted": works, and is removed from the list
  /// - "reborn": restarted under the same ID without its former state; "ok" from then on
  void SetState(const std::string& aState);
  /// Writes the entry of this server again, unless it is dark or gone.
  void RegisterAgain();
  /// Records that streams which this server runs wait for the server at an address, which does nothing any more.
  void RecordSilence(const std::string& aAddress) const;
  /// Whether the server is reachable and holds all layers from aFrom to before aEnd.
  bool HoldsLayers(std::uint32_t aFrom, std::uint32_t aEnd) const
  {
    return mFirstLayer <= aFrom && aEnd <= mEndLayer && !IsDark();
  }

private:
  /// A stage of a path: an engine and its layers, mEndLayer exclusive.
  struct stage
  {
    std::string mAddress;
    std::uint32_t mFirstLayer = 0;
    std::uint32_t mEndLayer = 0;
  };
  /// A stream that this server runs as the first stage of its path.
  struct running_stream
  {
    std::vector<stage> mPath;
    std::string mFaultyAddress; ///< address of the engine it waits for; empty if none
  };

  /// A connection on which requests were refused.
  struct kept_connection
  {
    std::optional<net::http_reply> mRefusal; ///< the last one
    unsigned mRequests = 0;                  ///< after the first refusal
  };

  bool IsDark() const { return mState == "dark" || mState == "gone"; }
  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);
  boost::asio::awaitable<void> Run(net::http_exchange& aExchange);
  boost::asio::awaitable<void> Flood(net::http_exchange& aExchange, const std::string& aId);
  boost::asio::awaitable<void> RunRepeating(net::http_exchange& aExchange);
  boost::asio::awaitable<void> RepeatRefusal(net::http_exchange& aExchange, net::http_reply aRefusal);
  boost::asio::awaitable<void> Stream(net::http_exchange& aExchange, std::string aId, net::http_reply aHead);
  bool HasSlowStage(const std::string& aId) const;
  boost::asio::awaitable<bool> WaitForPath(const std::string& aId);
  net::http_reply Report() const;
  net::http_reply HandleOrder(const net::http_request& aRequest);
  net::http_reply Place(const net::http_request& aRequest);
  net::http_reply Repath(const net::http_request& aRequest);
  net::http_reply NotExecutedReply(unsigned aStatus, const std::string& aFaultyAddress, const std::string& aId) const;
  bool IsImitating() const;
  net::http_reply ImitatedStream(const std::string& aId) const;
  net::http_reply Announce(net::http_reply aReply) const;
  std::string NamedLimit() const;
  void Record(std::string_view aKind, const std::string& aId, const net::http_request& aRequest) const;
  void RecordEnd(std::string_view aKind, const std::string& aId, std::uint64_t aEvents) const;
  std::string FindFaultyAddress(const std::vector<stage>& aPath) const;
  static std::vector<stage> ParsePath(std::string_view aText);
  void Register();

  fleet& mFleet;
  std::string mName;
  std::string mPool;
  std::string mState = "ok";
  ref<net::http_server> mServer;
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mEndLayer = 0;
  std::uint64_t mOrderCount = 0;
  std::uint64_t mFence = 0;
  std::uint64_t mStartedAt = 1; ///< grows with each restart
  std::map<std::string, running_stream> mRunning;
  std::map<const net::http_exchange*, kept_connection> mKept; ///< in the states that repeat refusals
  unsigned mRequestsWhileRepeating = 0;
  unsigned mCallsWhileUneven = 0;
};

} // namespace chervilpulley::standin
