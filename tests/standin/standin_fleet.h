#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "record_log.h"
#include "standin_store.h"

/// Stands in for a deployment on the users' platform, in one process: the store, engines that serve ranges of layers,
/// and plain services, each at its own address. Control calls inject faults, and everything that runs is recorded, so
/// that tests can check gateways against failing backend servers.
namespace chervilpulley::standin {

/// Size and speed of the simulated deployment.
struct fleet_options
{
  std::uint32_t mEngines = 4;
  std::uint32_t mServices = 2;
  std::uint32_t mLayers = 8;
  std::uint32_t mLayersPerEngine = 4;                      ///< layers that fit on one engine
  std::uint32_t mMaxBodyBytes = 10'000;                    ///< limit on callers' bodies in the configuration
  bool mHasOnceRoute = false;                              ///< streams under /once/ may not be resumed
  duration mEventInterval = std::chrono::milliseconds(10); ///< time between the events of a stream
};

class fleet_server;

/// The store and all backend servers of the deployment.
class fleet
{
public:
  fleet(boost::asio::io_context& aContext, fleet_options aOptions);
  ~fleet();

  /// Handles calls to the store, to /control and to /records; responds to any other path with the list of servers.
  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);

  const fleet_options& Options() const { return mOptions; }
  object_store& Store() { return mStore; }
  record_log& Records() { return mRecords; }
  /// Records all streams that wait for the server at an address.
  void RecordSilence(const std::string& aAddress) const;
  /// Returns nullptr if no server has the address.
  fleet_server* FindServer(const std::string& aAddress);

private:
  net::http_reply Control(const net::http_request& aRequest);
  net::http_reply ServerList() const;
  void WriteConfiguration(std::uint64_t aVersion, const std::string& aKey);

  boost::asio::io_context& mContext;
  fleet_options mOptions;
  std::uint64_t mVersion = 0; ///< of the last configuration
  std::string mKey;
  object_store mStore;
  record_log mRecords{ "" };
  std::vector<std::unique_ptr<fleet_server>> mServers;
};

} // namespace chervilpulley::standin
