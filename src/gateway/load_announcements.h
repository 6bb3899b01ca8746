#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "net/endpoint.h"
#include "policy/capacity_allocation.h"
#include "policy/workspace_fairness.h"

/// Datagrams in which gateways tell each other how much of the engines' capacity they use and want, and what this
/// gateway has heard of the others. They are sent only while a pool's capacity is allocated by rank. Releases without
/// them ignore the datagram and log it as an unreadable hint.
namespace chervilpulley::gateway {

/// An announcement is used for this time. Streams run for some seconds, so an older one says little.
inline constexpr duration kAnnouncementTime = std::chrono::seconds(2);
/// Shortest time between two sends of announcements.
inline constexpr duration kMinAnnouncementInterval = std::chrono::milliseconds(280);
/// Limit on the bytes that a gateway sends for announcements, UDP and IP headers included: two thirds of what a gateway
/// may send for control.
inline constexpr double kMaxAnnouncementBytesPerSecond = 6000;
/// Bytes of the headers of a datagram: IPv4 20, UDP 8.
inline constexpr std::size_t kDatagramHeaderBytes = 28;
/// Number of workspaces whose demand is announced.
inline constexpr std::size_t kMaxAnnouncedWorkspaces = 4;
/// Number of failure domains in an announcement, the own one included.
inline constexpr std::size_t kMaxAnnouncedDomains = 32;
/// Bytes of an encoded announcement. It stays under the usual MTU, so that a lost fragment loses no announcement.
inline constexpr std::size_t kMaxAnnouncementBytes = 1200;
/// Largest amount of tokens, and number of workspaces, in an announcement.
inline constexpr std::uint64_t kMaxAnnouncedAmount = 1'000'000'000;
/// Bytes of the name of a failure domain in an announcement.
inline constexpr std::size_t kMaxAnnouncedNameBytes = 64;

/// What a gateway uses of the engines of one failure domain, and wants.
struct domain_load
{
  double mInUse = 0;              ///< tokens of its streams in progress there
  policy::rank_amounts mWanted{}; ///< tokens that it would start within policy::kAllocationHorizon
};

/// What a gateway announces.
struct load_announcement
{
  failure_domain_id mHome;
  /// By failure domain: the gateway's own, under which all that it wants is, and those that it uses.
  std::map<failure_domain_id, domain_load> mDomains;
  std::vector<policy::workspace_demand> mLargest; ///< at most kMaxAnnouncedWorkspaces
  std::size_t mWorkspaces = 0;                    ///< number of workspaces with demand
  /// Time of sending in units of 100 ms of the sender's steady clock, modulo 2^16; set by
  /// load_announcements::Announce. It tells a reordered or repeated datagram from a new one.
  std::optional<std::uint16_t> mTick;
};

/// Encodes an announcement in as few bytes as JSON allows: zero amounts are left out, amounts are whole numbers. If it
/// exceeds kMaxAnnouncementBytes or kMaxAnnouncedDomains, the smallest demands of foreign domains are left out first,
/// then the smallest use of foreign domains. Foreign domains whose names exceed kMaxAnnouncedNameBytes are left out.
boost::json::object EncodeAnnouncement(const load_announcement& aAnnouncement);
/// Returns nothing for an object that is no announcement, or malformed: amounts that are negative, fractional or over
/// kMaxAnnouncedAmount, too many entries, over-long names, or wrong types. Unknown fields beside the known ones are
/// skipped, so that later releases can add some. The own domain is always among those decoded.
std::optional<load_announcement> DecodeAnnouncement(const boost::json::object& aObject);

/// A gateway that may get announcements.
struct announcement_peer
{
  failure_domain_id mDomain;
  net::endpoint mAddress;
};

/// Announcements of other gateways, and to whom this one announces. Used from a single thread.
class load_announcements
{
public:
  /// Gets the receivers and the encoded announcement.
  using sender = std::function<void(const std::vector<net::endpoint>&, const std::string&)>;

  explicit load_announcements(failure_domain_id aHome)
    : mHome(std::move(aHome))
  {
  }

  /// Sets the function that sends an announcement to other gateways.
  void OnAnnounce(sender aSender) { mSender = std::move(aSender); }
  /// Sets the other live gateways. Announcements of gateways that are no longer among them are dropped.
  void SetPeers(std::vector<announcement_peer> aPeers);
  /// Records what another gateway has announced. One from an address that is not among the peers is ignored, and so is
  /// one that was sent before the last one, unless that has expired.
  void Received(const net::endpoint& aFrom, load_announcement aAnnouncement, instant aNow);
  /// Announces, if it is time to: to the gateways of the own domain, of the domains in aOwn.mDomains, and to those
  /// whose own announcement uses or wants engines of this gateway's domain; at most kMaxPeers (gateway/peer_hints.h) in
  /// a round. If the limit on bytes makes a round longer than twice kMinAnnouncementInterval, a call sends to a part of
  /// the receivers and later calls to the rest, so that bytes are spread and each receiver gets the current state.
  void Announce(const load_announcement& aOwn, instant aNow);
  /// Visits the announcements that have not expired: aVisit(announcement, age).
  template<class Visit>
  void ForEach(instant aNow, Visit aVisit) const
  {
    for (const auto& [address, heard] : mHeard) {
      if (aNow - heard.mAt <= kAnnouncementTime) {
        aVisit(heard.mAnnouncement, aNow - heard.mAt);
      }
    }
  }
  /// Number of gateways whose announcements have not expired.
  std::size_t HeardCount(instant aNow) const;
  /// Bytes announced so far, headers included, for metrics.
  std::uint64_t SentBytes() const { return mSentBytes; }

private:
  struct heard
  {
    load_announcement mAnnouncement;
    instant mAt;
  };

  bool IsReceiver(const net::endpoint& aAddress,
                  const failure_domain_id& aDomain,
                  const load_announcement& aOwn,
                  instant aNow) const;
  std::vector<net::endpoint> ChooseReceivers(const load_announcement& aOwn, instant aNow);

  failure_domain_id mHome;
  sender mSender;
  std::map<net::endpoint, failure_domain_id> mPeers;
  std::map<net::endpoint, heard> mHeard;
  std::vector<net::endpoint> mRound; ///< receivers that get the announcement in the next calls, the first one last
  net::endpoint mLastOwn;            ///< last gateway of the own domain chosen for a round
  net::endpoint mLastForeign;        ///< last gateway of another domain chosen for a round
  std::optional<instant> mNextAt;
  std::uint64_t mSentBytes = 0;
};

} // namespace chervilpulley::gateway
