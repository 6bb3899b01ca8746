#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "net/endpoint.h"
#include "policy/member_table.h"
#include "policy/permits.h"

/// The limits that backend servers name, and the permits with which the gateways together keep to them: this gateway
/// asks the coordinator of a limited server for permits, and grants those of the servers that it coordinates itself.
/// Coordinators are found by hashing over the live gateways, so that no election and no store call is needed; one that
/// does not answer is replaced by the next. Used from a single thread.
namespace chervilpulley::gateway {

/// Number of gateways that may coordinate a server: without an answer of any of them, it gets no requests from here.
inline constexpr std::size_t kMaxCoordinators = 3;

/// A live gateway that can grant permits.
struct permit_peer
{
  instance_id mInstance;
  failure_domain_id mDomain;
  net::endpoint mAddress;
};

/// A gateway's ask for permits of one server, with what it knows of the limit.
struct permit_ask
{
  policy::server_start mServer;
  instance_id mGateway;
  policy::permit_demand mDemand;
  std::optional<double> mLimit; ///< requests a second; nothing when the server names no limit any more
  duration mKnownFor{ 0 };      ///< since the server said so
};

/// The coordinator's response.
struct permit_grant
{
  policy::server_start mServer;
  std::uint32_t mPermits = 0;
  std::optional<double> mLimit; ///< as in the ask, if the coordinator knows nothing newer
  duration mKnownFor{ 0 };
};

/// How a limit became known.
enum class limit_source
{
  Response, ///< of the server to this gateway
  Hint      ///< of another gateway
};

/// A limit in force, for metrics.
struct server_limit
{
  backend_id mServer;
  double mPerSecond = 0;
  std::size_t mUsedLately = 0; ///< requests of this gateway in the last second
};

/// All limits that this gateway knows of.
class server_limits
{
public:
  using ask_sender = std::function<void(const net::endpoint&, const permit_ask&)>;

  explicit server_limits(failure_domain_id aHome)
    : mHome(std::move(aHome))
  {
  }

  /// Sets the name under which this gateway asks.
  void SetSelf(instance_id aSelf) { mSelf = std::move(aSelf); }
  /// Sets the function that sends an ask to another gateway.
  void OnAsk(ask_sender aSender) { mSender = std::move(aSender); }
  /// Sets the callback for the response to an ask, with permits or without.
  void OnPermits(std::function<void()> aCallback) { mOnPermits = std::move(aCallback); }
  /// Sets the function that calls TimePassed() soon, because an ask may be due.
  void OnAskDue(std::function<void()> aSchedule) { mSchedule = std::move(aSchedule); }
  /// Sets the other live gateways.
  void SetPeers(std::vector<permit_peer> aPeers) { mPeers = std::move(aPeers); }

  /// Applies what a response of a server says: the limit that it names, or that it names none.
  /// @param aSentAt when the request was sent. Responses on different connections may overtake each other, so a limit
  /// ends or rises only with the response to a request that was sent after it was last named.
  void Responded(const policy::server_start& aServer,
                 const failure_domain_id& aDomain,
                 std::optional<double> aLimit,
                 instant aSentAt,
                 instant aNow);

  /// Whether a server may be sent a request now: it names no limit, or a permit is left.
  bool MayBegin(const policy::server_start& aServer, instant aNow) const;
  /// Uses up a permit for a request that is sent.
  void Begun(const policy::server_start& aServer, instant aNow);
  /// Records that a request went elsewhere, or waits, because no permit was left.
  void Missed(const policy::server_start& aServer, bool aIsNew, instant aNow);
  /// Whether it is worth waiting for permits of a limited server: the last ask was not answered without any.
  bool MayGetPermits(const policy::server_start& aServer, instant aNow) const;
  /// Whether a server names a limit.
  bool IsLimited(const policy::server_start& aServer) const;
  /// Rate at which this gateway gets permits for a limited server.
  double PermitsPerSecond(const policy::server_start& aServer) const;
  /// Whether no server names a limit.
  bool IsEmpty() const { return mLimited == 0; }
  std::vector<server_limit> InForce(instant aNow) const;
  /// Drops what was known of earlier processes of a server.
  void Restarted(const policy::server_start& aServer);

  /// Sends the asks that are due; called periodically.
  void TimePassed(instant aNow);
  /// Responds to another gateway's ask, as the coordinator of the server.
  permit_grant Grant(const permit_ask& aAsk, const failure_domain_id& aDomain, instant aNow);
  /// Applies the response of the gateway at aFrom.
  void Granted(const net::endpoint& aFrom, const permit_grant& aGrant, instant aNow);

private:
  struct pending_ask
  {
    instance_id mCoordinator;
    permit_ask mAsk;
    instant mAskedAt; ///< when it was first sent
    instant mSentAt;  ///< when it was last sent
    int mSends = 1;
  };

  /// What is known of one process of a server.
  struct limited_server
  {
    failure_domain_id mDomain;
    std::optional<double> mLimit;
    instant mChangedAt; ///< when mLimit was last named, or found to have ended
    instant mUsedAt;    ///< last request, response, ask or grant
    policy::held_permits mPermits;
    policy::permit_source mSource; ///< used while this gateway is the coordinator
    std::optional<pending_ask> mPending;
    instance_id mCoordinator;
  };

  void Set(const policy::server_start& aServer,
           limited_server& aState,
           std::optional<double> aLimit,
           limit_source aSource,
           instant aChangedAt);
  limited_server& State(const policy::server_start& aServer, const failure_domain_id& aDomain, instant aNow);
  std::vector<const permit_peer*> Coordinators(const policy::server_start& aServer,
                                               const failure_domain_id& aDomain,
                                               instant aNow) const;
  void Ask(const policy::server_start& aServer, limited_server& aState, const permit_ask& aAsk, instant aNow);
  void NotifyEnd(const policy::server_start& aServer, const limited_server& aState, instant aNow);
  void RepeatAsk(const policy::server_start& aServer, limited_server& aState, instant aNow);
  void Receive(limited_server& aState, std::uint32_t aPermits, instant aAskedAt, instant aNow);

  failure_domain_id mHome;
  instance_id mSelf;
  ask_sender mSender;
  std::function<void()> mOnPermits;
  std::function<void()> mSchedule;
  bool mIsScheduled = false;
  std::vector<permit_peer> mPeers;
  std::map<instance_id, instant> mSilentUntil; ///< gateways that did not answer
  std::map<policy::server_start, limited_server> mServers;
  std::size_t mLimited = 0; ///< servers that name a limit
};

std::string_view ToText(limit_source aSource);

} // namespace chervilpulley::gateway
