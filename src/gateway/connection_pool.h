#pragma once

#include <concepts>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chervilpulley/policy_types.h"
#include "net/endpoint.h"

/// Connections to servers that are idle and may be used again. Servers come and go all day, so what is too old is
/// closed also where nobody asks for that server any more.
namespace chervilpulley::gateway {

/// Kept connections to one server.
inline constexpr std::size_t kMostKept = 64;
/// Time between two searches for connections that are too old.
inline constexpr duration kSweepPause = std::chrono::seconds(1);

/// Closes when it is destroyed; says whether it is open and nothing has come.
template<class Connection>
concept idle_connection = std::movable<Connection> && requires(Connection& aConnection)
{
  {
    aConnection.IsQuiet()
    } -> std::same_as<bool>;
};

template<idle_connection Connection>
class connection_pool
{
public:
  void Keep(const net::endpoint& aServer, Connection aConnection, duration aKeepFor, instant aNow)
  {
    Sweep(aNow);
    auto& kept = mByServer[aServer];
    if (kept.size() < kMostKept) {
      kept.push_back({ std::move(aConnection), aNow + aKeepFor });
    }
  }

  std::optional<Connection> Take(const net::endpoint& aServer, instant aNow)
  {
    Sweep(aNow);
    const auto found = mByServer.find(aServer);
    if (found == mByServer.end()) {
      return std::nullopt;
    }
    // The last one kept was idle for the shortest time.
    auto& kept = found->second;
    while (!kept.empty()) {
      entry last = std::move(kept.back());
      kept.pop_back();
      if (last.mUntil >= aNow && last.mConnection.IsQuiet()) {
        return std::move(last.mConnection);
      }
    }
    return std::nullopt;
  }

  std::size_t Size() const
  {
    std::size_t size = 0;
    for (const auto& [server, kept] : mByServer) {
      size += kept.size();
    }
    return size;
  }

private:
  struct entry
  {
    Connection mConnection;
    instant mUntil;
  };

  void Sweep(instant aNow)
  {
    if (aNow < mNextSweep) {
      return;
    }
    mNextSweep = aNow + kSweepPause;
    for (auto server = mByServer.begin(); server != mByServer.end();) {
      std::erase_if(server->second, [&](const entry& aEntry) { return aEntry.mUntil < aNow; });
      server = server->second.empty() ? mByServer.erase(server) : std::next(server);
    }
  }

  std::unordered_map<net::endpoint, std::vector<entry>> mByServer;
  instant mNextSweep;
};

} // namespace chervilpulley::gateway
