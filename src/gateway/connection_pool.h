#pragma once

#include <concepts>
#include <limits>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilpulley/policy_types.h"
#include "net/endpoint.h"

/// Pool of idle connections to servers, for reuse. Servers start and terminate all day, so expired connections are
/// closed even if no request goes to their server any more.
namespace chervilpulley::gateway {

/// Maximum number of idle connections to one server.
inline constexpr std::size_t kMaxIdlePerServer = 64;
/// Interval between two searches for expired connections.
inline constexpr duration kSweepInterval = std::chrono::seconds(1);

/// A connection that is closed by its destructor. IsReusable() returns whether it is open and no unexpected bytes have
/// arrived.
template<class Connection>
concept idle_connection = std::movable<Connection> && requires(Connection& aConnection)
{
  {
    aConnection.IsReusable()
    } -> std::same_as<bool>;
};

/// Idle connections by server, each with the time at which it expires.
template<idle_connection Connection>
class connection_pool
{
public:
  /// Adds an idle connection, which expires after aLifetime; closes it if there are enough for its server.
  void Put(const net::endpoint& aServer, Connection aConnection, duration aLifetime, instant aNow)
  {
    Sweep(aNow);
    auto& idle = mByServer[aServer];
    if (idle.size() < kMaxIdlePerServer && mSize < mMaxSize) {
      idle.push_back({ std::move(aConnection), aNow + aLifetime });
      ++mSize;
    }
  }

  /// Removes and returns a reusable connection to aServer, or returns nothing.
  std::optional<Connection> Take(const net::endpoint& aServer, instant aNow)
  {
    Sweep(aNow);
    const auto found = mByServer.find(aServer);
    if (found == mByServer.end()) {
      return std::nullopt;
    }
    // The connection added last has been idle for the shortest time.
    auto& idle = found->second;
    while (!idle.empty()) {
      entry last = std::move(idle.back());
      idle.pop_back();
      --mSize;
      if (last.mExpiry >= aNow && last.mConnection.IsReusable()) {
        return std::move(last.mConnection);
      }
    }
    return std::nullopt;
  }

  std::size_t Size() const { return mSize; }
  /// Limits the number of idle connections to all servers.
  void SetMaxSize(std::size_t aSize) { mMaxSize = aSize; }

private:
  struct entry
  {
    Connection mConnection;
    instant mExpiry;
  };

  void Sweep(instant aNow)
  {
    if (aNow < mNextSweep) {
      return;
    }
    mNextSweep = aNow + kSweepInterval;
    for (auto server = mByServer.begin(); server != mByServer.end();) {
      mSize -= std::erase_if(server->second, [&](const entry& aEntry) { return aEntry.mExpiry < aNow; });
      server = server->second.empty() ? mByServer.erase(server) : std::next(server);
    }
  }

  std::unordered_map<net::endpoint, std::vector<entry>> mByServer;
  instant mNextSweep;
  std::size_t mSize = 0;
  std::size_t mMaxSize = std::numeric_limits<std::size_t>::max();
};

} // namespace chervilpulley::gateway
