#pragma once

#include <boost/json/array.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "processes/http_call.h"
#include "processes/process.h"

/// Gateways in front of a fleet of stand-ins in the form of the users' platform.
namespace chervilpulley::processes {

/// What a caller got.
struct gateway_answer
{
  unsigned mStatus = 0; ///< 0 when no answer came
  net::http_headers mHeaders;
  std::string mBody;
  bool mIsWhole = false;
};

/// How a request is sent.
struct gateway_call
{
  std::string mMethod = "GET";
  std::string mTarget;
  std::string mId;
  std::string mBody;
  std::string mKey = "key-1";
  unsigned mTokens = 0; ///< of a stream's answer
  unsigned mPatienceMs = 8000;
  std::function<void(const std::string&)> mOnBytes; ///< of a stream
};

struct gateway_fixture
{
  temporary_folder mFolder;
  process mFleet;
  std::vector<std::unique_ptr<process>> mGateways;

  /// @param aFlags of the fleet.
  explicit gateway_fixture(std::vector<std::string> aFlags = {});

  /// Starts a gateway, which listens when this returns.
  process& LaunchGateway(unsigned aDrainMs = 2000);
  /// Starts a gateway and waits until it is ready.
  process& StartGateway(unsigned aDrainMs = 2000);
  bool IsReady(const process& aGateway) const;
  gateway_answer Send(const gateway_call& aCall, std::size_t aGateway = 0) const;

  /// Value of a gateway's metric that has no labels; 0 when it has none.
  double Metric(std::size_t aGateway, std::string_view aName) const;
  std::vector<boost::json::object> Records(std::string_view aKind, const std::string& aId = {}) const;
  std::size_t Runs(const std::string& aId) const { return Records("run", aId).size(); }
  /// Servers whose state can be set, with the layers that they hold.
  boost::json::array Servers() const;
  void SetServer(const std::string& aName, const std::string& aState) const;
  /// Name of the server at an address.
  std::string NameAt(const std::string& aAddress) const;
};

/// The events 1 to aLast as the engines write them.
std::string EventsUpTo(unsigned aLast);

} // namespace chervilpulley::processes
