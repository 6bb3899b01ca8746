#include "standin_fleet.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "json_body.h"
#include "standin_fleet_server.h"

namespace chervilpulley::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// A call to this path and a name writes its body, as it is, as the spec of an entry of the list.
constexpr std::string_view kRawEntries = "/raw_entries/";
constexpr std::string_view kHost = "demo.example";
constexpr std::uint64_t kRouteTimeoutMs = 8'000;

/// A route of the configuration, in the form of the users' platform.
json::object MakeRoute(const char* aName, const char* aPrefix, const char* aKind, const char* aService, int aAttempts)
{
  return { { "name", aName },          { "host", kHost },
           { "pathPrefix", aPrefix },  { "kind", aKind },
           { "service", aService },    { "timeoutMs", kRouteTimeoutMs },
           { "targetLatencyMs", 500 }, { "gapTargetMs", 200 },
           { "priority", 1 },          { "maxAttempts", aAttempts },
           { "anonymous", false },     { "resumable", std::string_view(aKind) == "streaming" } };
}

} // namespace

fleet::fleet(asio::io_context& aContext, fleet_options aOptions)
  : mContext(aContext)
  , mOptions(aOptions)
{
  for (std::uint32_t each = 0; each < aOptions.mEngines; ++each) {
    mServers.push_back(std::make_unique<fleet_server>(aContext, *this, fmt::format("engine-{}", each), "engines"));
  }
  for (std::uint32_t each = 0; each < aOptions.mServices; ++each) {
    mServers.push_back(std::make_unique<fleet_server>(aContext, *this, fmt::format("service-{}", each), "services"));
  }
  WriteConfiguration(1, "key-1");
}

fleet::~fleet() = default;

fleet_server* fleet::FindServer(const std::string& aAddress)
{
  for (const auto& server : mServers) {
    if (server->Address() == aAddress) {
      return server.get();
    }
  }
  return nullptr;
}

void fleet::RecordSilence(const std::string& aAddress) const
{
  for (const auto& server : mServers) {
    server->RecordSilence(aAddress);
  }
}

/// Writes the configuration to the store. aKey is the API key of workspace-1.
void fleet::WriteConfiguration(std::uint64_t aVersion, const std::string& aKey)
{
  mVersion = aVersion;
  mKey = aKey;
  json::object engine{ { "slots", 64 },
                       { "kvTokenBytes", 8'000 },
                       { "stride", 1 },
                       { "step_ms", 1.0 },
                       { "read_per_s", 100'000 },
                       { "layers", mOptions.mLayers },
                       { "layerMb", 100 },
                       { "activationBytes", 1'000 },
                       { "pipeMbps", 10'000 },
                       { "loads_at_once", 4 },
                       { "usual", { { "prompt", 10 }, { "answer", 20 } } },
                       { "models", json::array{ json::object{ { "name", "m" }, { "loadS", 0.1 } } } },
                       { "kinds",
                         json::array{ json::object{ { "name", "card" },
                                                    { "mb", 100 * (mOptions.mLayersPerEngine + 0.5) / 0.73 },
                                                    { "pace", 1 } } } } };
  json::array routes{ MakeRoute("streams", "/draft/", "streaming", "engines", 2),
                      MakeRoute("bookings", "/book/", "unsafe", "services", 2),
                      MakeRoute("lookups", "/look/", "safe", "services", 2) };
  if (mOptions.mHasOnceRoute) {
    json::object once = MakeRoute("once", "/once/", "streaming", "engines", 2);
    once["resumable"] = false;
    routes.push_back(std::move(once));
  }
  json::object spec{
    { "version", aVersion },
    { "routes", std::move(routes) },
    { "services",
      json::array{ json::object{ { "name", "engines" }, { "healthPath", "/h" }, { "engine", engine } },
                   json::object{ { "name", "services" }, { "healthPath", "/h" } } } },
    { "limits",
      { { "maxHeaderBytes", 4'096 }, { "maxBodyBytes", mOptions.mMaxBodyBytes }, { "headerTimeoutMs", 1'000 } } },
    { "tenants", json::array{ json::object{ { "name", "workspace-1" }, { "apiKeys", json::array{ aKey } } } } }
  };
  mStore.Write("config", "main", std::move(spec));
}

asio::awaitable<void> fleet::Handle(net::http_exchange& aExchange)
{
  const net::http_request& request = aExchange.Request();
  const std::string_view path = net::PathOf(request.mTarget);
  if (object_store::IsCall(request.mTarget)) {
    co_await mStore.Handle(aExchange);
  } else if (path == "/records") {
    co_await aExchange.Reply(LinesReply(mRecords.Text()));
  } else if (path.starts_with(kRawEntries)) {
    mStore.WriteRaw("servers", std::string(path.substr(kRawEntries.size())), request.mBody);
    co_await aExchange.Reply(ObjectReply(200, {}));
  } else if (path == "/control") {
    co_await aExchange.Reply(Control(request));
  } else {
    co_await aExchange.Reply(ServerList());
  }
}

/// Handles a control call, with any of these members:
/// {"server":NAME,"state":STATE} sets the state of a server, see fleet_server::SetState(),
/// {"remove_entry":NAME} removes an entry of the list,
/// {"store":{faults}} sets faults of the store, {"write_again":true} writes the last configuration and the entries of
/// the servers that are up, as the operator and the servers do after the store has come back from a copy, and
/// {"version":N,"key":KEY} writes a new configuration.
net::http_reply fleet::Control(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  if (body.Has("server")) {
    for (const auto& server : mServers) {
      if (server->Name() == body.Text("server")) {
        server->SetState(body.Text("state"));
      }
    }
  }
  if (body.Has("remove_entry")) {
    mStore.Remove("servers", body.Text("remove_entry"));
  }
  if (body.Has("store")) {
    mStore.SetFaults(body.Object().at("store").as_object());
  }
  if (body.Flag("write_again")) {
    WriteConfiguration(mVersion, mKey);
    for (const auto& server : mServers) {
      server->RegisterAgain();
    }
  }
  if (body.Has("version")) {
    WriteConfiguration(body.Number("version"), body.Text("key"));
  }
  return body.Error().empty() ? ObjectReply(200, {}) : ErrorReply(400, body.Error());
}

net::http_reply fleet::ServerList() const
{
  json::array servers;
  for (const auto& server : mServers) {
    servers.push_back(json::object{ { "name", server->Name() },
                                    { "address", server->Address() },
                                    { "from", server->FirstLayer() },
                                    { "end", server->EndLayer() } });
  }
  return ObjectReply(200, { { "servers", servers } });
}

} // namespace chervilpulley::standin
