#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "config/config_store.h"
#include "config/peer_client.h"
#include "config/peer_server.h"
#include "generated/settings.pb.h"
#include "link/frames.h"
#include "link/provider_links.h"
#include "net/http_client.h"
#include "platform/http_object_store.h"
#include "platform/live_list.h"
#include "runtime/process.h"

/// State shared by the entry and sidecar roles: the event loop, the HTTP client, the live list, the configuration store
/// and the local revision.
namespace chervilpulley::runtime {

/// Addresses from the settings, parsed.
struct parsed_addresses
{
  net::endpoint mHttp;
  net::endpoint mLink;
  net::endpoint mPeer;
  net::endpoint mAdmin;
  net::endpoint mPlatform;
  net::endpoint mBackend; ///< of a sidecar only
};
/// Parses the addresses; an error names the settings key. The backend's address is parsed only when aHasBackend is set.
result<parsed_addresses, std::string> ParseAddresses(const settings::settings& aSettings, bool aHasBackend);

/// Owns what every entry and sidecar needs. Thread-safe.
class instance_core
{
public:
  using live_instances = std::vector<platform::live_instance>;

  instance_core(const settings::settings& aSettings, parsed_addresses aAddresses);

  boost::asio::io_context& Context() { return mContext; }
  const settings::settings& Settings() const { return mSettings; }
  const parsed_addresses& Addresses() const { return mAddresses; }
  const instance_id& Instance() const { return mInstance; }
  /// This process's entry of the live list, without addresses.
  platform::live_instance Self() const;
  const ref<net::http_client>& Http() const { return mHttp; }
  /// The configuration's revision in force here, for the frames that this process sends.
  const ref<link::local_revision>& LocalRevision() const { return mLocalRevision; }
  health& Health() { return mHealth; }

  /// Starts to follow the live list; aOnList is called with each new state of the list.
  void FollowLiveList(std::function<void(const live_instances&)> aOnList);
  /// The live list that was received last.
  live_instances Live() const;
  /// Whether the last read of the live list from the platform succeeded. Only meaningful in a process that reads the
  /// list from the platform itself.
  bool IsPlatformUp() const { return mPlatformUp; }

  config::config_store& Config() { return *mConfig; }
  const ref<config::config_store>& ConfigRef() const { return mConfig; }
  platform::http_object_store& Store() { return mStore; }
  const ref<config::peer_client>& Peers() const { return mPeers; }
  /// Starts to serve control calls of other processes and to follow the configuration.
  result<void, std::string> StartPeers(config::control_handler& aHandler);
  /// Address at which control calls are served; valid after StartPeers().
  net::endpoint PeerEndpoint() const { return mPeerServer->LocalEndpoint(); }
  /// A status with the fields that every role reports.
  admin::instance_status BaseStatus(const std::string& aRole) const;

  /// Options of links to other processes, from the settings.
  link::link_options LinkOptions() const;
  /// The first message of this process on each link.
  link::hello Hello(const std::string& aRole) const;

private:
  boost::asio::awaitable<void> PollLiveList();
  void RecordPlatformState(bool aIsUp);
  void HandleLiveList(const live_instances& aLive);

  const settings::settings mSettings;
  const parsed_addresses mAddresses;
  const instance_id mInstance;
  boost::asio::io_context mContext;
  ref<net::http_client> mHttp;
  ref<link::local_revision> mLocalRevision;
  health mHealth;
  platform::http_object_store mStore;
  ref<config::peer_client> mPeers;
  ref<config::config_store> mConfig;
  ref<net::http_server> mPeerServer;
  std::function<void(const live_instances&)> mOnList;
  mutable std::mutex mLiveMutex;
  live_instances mLive;
  std::atomic<bool> mPlatformUp{ false };
};

} // namespace chervilpulley::runtime
