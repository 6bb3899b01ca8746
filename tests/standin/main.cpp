/// Starts one of the stand-ins for the outside systems (platform, engine, plain service, fleet of backend servers, TCP
/// relay), so that processes can be tested under faults without the real ones.

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <unistd.h>

#include "net/http_server.h"
#include "standin_engine.h"
#include "standin_fleet.h"
#include "standin_platform.h"
#include "standin_relay.h"
#include "standin_service.h"

DEFINE_string(listen, "127.0.0.1:0", "address for HTTP, ip:port");
DEFINE_string(records_file, "", "file that keeps the records (of a platform: all of its state) across restarts");
DEFINE_string(model, "demo", "engine: model version to serve");
DEFINE_uint32(layer_count, 8, "engine: layers of the model");
DEFINE_uint32(first_layer, 0, "engine: first layer to serve");
DEFINE_uint32(last_layer, 7, "engine: last layer to serve, inclusive");
DEFINE_uint32(step_us, 500, "engine: time of one step in one layer, in microseconds");
DEFINE_uint32(prefill_us_per_token, 50, "engine: prefill time per token, in microseconds");
DEFINE_string(accelerator, "standin", "engine: kind of accelerator");
DEFINE_bool(kv_import, true, "engine: accept KV caches exported by another engine");
DEFINE_bool(check_fence, true, "engine: refuse load orders with an older fence");
DEFINE_uint32(max_batch, 64, "engine: maximum number of requests that run at once");
DEFINE_uint32(engines, 4, "fleet: number of engines");
DEFINE_uint32(fleet_layers, 8, "fleet: number of layers of the model");
DEFINE_uint32(layers_that_fit, 4, "fleet: layers that fit on one engine");
DEFINE_uint32(services, 2, "fleet: number of plain services");
DEFINE_uint32(event_ms, 10, "fleet: time between the events of a stream, in milliseconds");
DEFINE_uint32(max_body_bytes, 10'000, "fleet: limit on the bodies of callers' requests");
DEFINE_bool(once_route, false, "fleet: add a route /once/ whose streams may not be resumed");
DEFINE_string(target, "", "relay: address to forward to, ip:port");

namespace {

namespace asio = boost::asio;
namespace net = chervilpulley::net;
namespace standin = chervilpulley::standin;

constexpr std::size_t kMaxBodyBytes = 16U << 20U;

/// Prints an error and exits with status 2.
[[noreturn]] void Fail(const std::string& aMessage)
{
  std::cerr << "standin: " << aMessage << "\n";
  std::exit(2);
}

net::endpoint ParseFlagEndpoint(const std::string& aFlag, const std::string& aText)
{
  auto endpoint = net::ParseEndpoint(aText);
  if (!endpoint) {
    Fail("--" + aFlag + ": " + endpoint.error().mMessage);
  }
  return endpoint.value();
}

standin::engine_options EngineOptions()
{
  standin::engine_options options;
  options.mModel = FLAGS_model;
  options.mLayerCount = FLAGS_layer_count;
  options.mFirstLayer = FLAGS_first_layer;
  options.mLastLayer = FLAGS_last_layer;
  options.mStepPerLayer = std::chrono::microseconds(FLAGS_step_us);
  options.mPrefillPerToken = std::chrono::microseconds(FLAGS_prefill_us_per_token);
  options.mAccelerator = FLAGS_accelerator;
  options.mKvImport = FLAGS_kv_import;
  options.mCheckFence = FLAGS_check_fence;
  options.mMaxBatch = FLAGS_max_batch;
  options.mRecordsFile = FLAGS_records_file;
  if (options.mFirstLayer > options.mLastLayer || options.mLastLayer >= options.mLayerCount) {
    Fail("--first_layer and --last_layer must be a range within --layer_count");
  }
  return options;
}

/// Serves a role over HTTP until the process is terminated. First prints one JSON line with the role, the process ID
/// and the addresses, which scripts and tests read.
template<class Role>
void Serve(asio::io_context& aContext, const std::string& aName, Role& aRole, boost::json::object aAddresses = {})
{
  net::http_limits limits;
  limits.mMaxBodyBytes = kMaxBodyBytes;
  auto server = net::http_server::Start(
    aContext,
    ParseFlagEndpoint("listen", FLAGS_listen),
    [&aRole](net::http_exchange& aExchange) -> asio::awaitable<void> { return aRole.Handle(aExchange); },
    limits);
  if (!server) {
    Fail(server.error().mMessage);
  }
  boost::json::object listening = std::move(aAddresses);
  listening["role"] = aName;
  listening["pid"] = getpid();
  listening["http"] = server.value()->LocalEndpoint().Str();
  boost::json::object line;
  line["listening"] = std::move(listening);
  std::cout << boost::json::serialize(line) << std::endl;
  aContext.run();
}

void ServeRelay(asio::io_context& aContext)
{
  standin::relay role(aContext, ParseFlagEndpoint("listen", "127.0.0.1:0"), ParseFlagEndpoint("target", FLAGS_target));
  Serve(aContext, "relay", role, { { "link", role.LocalEndpoint().Str() } });
}

} // namespace

int main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("standin platform|engine|service|fleet|relay [flags]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const std::string role = aCount == 2 ? aArguments[1] : "";
  asio::io_context context(1);
  if (role == "platform") {
    standin::platform platform(FLAGS_records_file);
    Serve(context, role, platform);
  } else if (role == "engine") {
    standin::engine engine(EngineOptions());
    Serve(context, role, engine);
  } else if (role == "service") {
    standin::service service(FLAGS_records_file);
    Serve(context, role, service);
  } else if (role == "fleet") {
    standin::fleet_options options;
    options.mEngines = FLAGS_engines;
    options.mServices = FLAGS_services;
    options.mLayers = FLAGS_fleet_layers;
    options.mLayersPerEngine = FLAGS_layers_that_fit;
    options.mEventInterval = std::chrono::milliseconds(FLAGS_event_ms);
    options.mHasOnceRoute = FLAGS_once_route;
    options.mMaxBodyBytes = FLAGS_max_body_bytes;
    standin::fleet fleet(context, options);
    Serve(context, role, fleet);
  } else if (role == "relay") {
    ServeRelay(context);
  } else {
    Fail("the role must be platform, engine, service, fleet or relay, not \"" + role + "\"");
  }
  return 0;
}
