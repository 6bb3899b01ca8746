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

/// A deployment in the form of the users' platform, in one process: the store, engines that hold ranges of layers, and
/// plain services, each at an address of its own. Faults come by control calls; what ran is recorded.
namespace chervilpulley::standin {

struct fleet_options
{
  std::uint32_t mEngines = 4;
  std::uint32_t mServices = 2;
  std::uint32_t mLayers = 8;
  std::uint32_t mLayersPerEngine = 4; ///< on one engine
  duration mEventInterval = std::chrono::milliseconds(10);
};

class fleet_server;

class fleet
{
public:
  fleet(boost::asio::io_context& aContext, fleet_options aOptions);
  ~fleet();

  /// Calls to the store, to /control and to /records.
  boost::asio::awaitable<void> Handle(net::http_exchange& aExchange);

  const fleet_options& Options() const { return mOptions; }
  object_store& Store() { return mStore; }
  record_log& Records() { return mRecords; }
  fleet_server* FindServer(const std::string& aAddress);

private:
  net::http_reply Control(const net::http_request& aRequest);
  net::http_reply ServerList() const;
  void WriteConfiguration(std::uint64_t aVersion, const std::string& aKey);

  boost::asio::io_context& mContext;
  fleet_options mOptions;
  object_store mStore;
  record_log mRecords{ "" };
  std::vector<std::unique_ptr<fleet_server>> mServers;
};

} // namespace chervilpulley::standin
