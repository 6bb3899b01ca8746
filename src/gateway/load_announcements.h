#pragma once

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "net/endpoint.h"
#include "policy/capacity_allocation.h"
#include "policy/workspace_fairness.h"

/// Datagrams in which gateways tell each other how much of the engines' capacity they use and want, and what this
/// gateway has heard of the others. They are sent only while a pool's capacity is allocated by rank.
namespace chervilpulley::gateway {

/// An announcement is used for this time. Streams run for some seconds, so an older one says little.
inline constexpr duration kAnnouncementTime = std::chrono::seconds(2);
/// Shortest time between two announcements.
inline constexpr duration kMinAnnouncementInterval = std::chrono::milliseconds(280);
/// Limit on the bytes that a gateway sends for announcements, UDP and IP headers included: two thirds of what a gateway
/// may send for control.
inline constexpr double kMaxAnnouncementBytesPerSecond = 6000;
/// Number of workspaces whose demand is announced.
inline constexpr std::size_t kMaxAnnouncedWorkspaces = 4;

/// What a gateway announces.
struct load_announcement
{
  failure_domain_id mHome;
  /// By failure domain: the gateway's own, and those that it uses or wants to use. mIsHome is not transferred; it
  /// follows from mHome.
  std::map<failure_domain_id, policy::domain_load> mDomains;
  std::vector<policy::workspace_demand> mLargest; ///< at most kMaxAnnouncedWorkspaces
  std::size_t mWorkspaces = 0;                    ///< number of workspaces with demand
};

/// Encodes an announcement in as few bytes as JSON allows: zero amounts are left out, amounts are whole numbers.
boost::json::object EncodeAnnouncement(const load_announcement& aAnnouncement);
/// Returns nothing for an object that is no announcement, or malformed: amounts that are negative or not finite, too
/// many entries, or wrong types.
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
  using sender = std::function<void(const std::vector<net::endpoint>&, const boost::json::object&)>;

  explicit load_announcements(failure_domain_id aHome)
    : mHome(std::move(aHome))
  {
  }

  /// Sets the function that sends an announcement to other gateways.
  void OnAnnounce(sender aSender) { mSender = std::move(aSender); }
  /// Sets the other live gateways. Announcements of gateways that are no longer among them are dropped.
  void SetPeers(std::vector<announcement_peer> aPeers);
  /// Records what another gateway has announced. One from an address that is not among the peers is ignored.
  void Received(const net::endpoint& aFrom, load_announcement aAnnouncement, instant aNow);
  /// Announces, if it is time to: to the gateways of the own domain, of the domains in aOwn.mDomains, and to those
  /// whose own announcement uses or wants engines of this gateway's domain; at most kMaxPeers (gateway/peer_hints.h).
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

  failure_domain_id mHome;
  sender mSender;
  std::vector<announcement_peer> mPeers;
  std::map<std::string, heard> mHeard; ///< by address
  instant mNextAt;
  std::uint64_t mSentBytes = 0;
};

} // namespace chervilpulley::gateway
