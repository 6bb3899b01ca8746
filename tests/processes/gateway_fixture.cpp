#include "processes/gateway_fixture.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include "net/http_client.h"

namespace chervilpulley::processes {

namespace {

std::vector<std::string> FleetArguments(std::vector<std::string> aFlags)
{
  aFlags.insert(aFlags.begin(), { StandinPath(), "fleet" });
  return aFlags;
}

std::string SettingsText(const std::string& aName,
                         const net::endpoint& aStore,
                         unsigned aDrainMs,
                         double aGraceS,
                         const std::string& aMore)
{
  return fmt::format("[instance]\nid = {}\nfailure_domain = here\n"
                     "[platform]\naddress = {}\n"
                     "[security]\ncluster_key = none\n"
                     "[gateway]\ncallers = 127.0.0.1:0\nready = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
                     "drain_bound_ms = {}\nstop_grace_s = {}\n{}",
                     aName,
                     aStore.Str(),
                     aDrainMs,
                     aGraceS,
                     aMore);
}

} // namespace

gateway_fixture::gateway_fixture(std::vector<std::string> aFlags)
  : mFleet(FleetArguments(std::move(aFlags)), mFolder.File("fleet.log"))
  , mStore(mFleet.Address("http"))
{
}

process& gateway_fixture::LaunchGateway(unsigned aDrainMs)
{
  const std::string name = "gateway-" + std::to_string(mGateways.size());
  const std::string settings =
    mFolder.Write(name + ".ini", SettingsText(name, mStore, aDrainMs, mGraceS, mMoreSettings));
  mGateways.push_back(std::make_unique<process>(
    std::vector<std::string>{ BinaryPath(), "gateway", "--settings", settings }, mFolder.File(name + ".log")));
  return *mGateways.back();
}

process& gateway_fixture::RestartGateway(std::size_t aGateway)
{
  const std::string name = "gateway-" + std::to_string(aGateway);
  mGateways[aGateway]->Kill();
  mGateways[aGateway] = std::make_unique<process>(
    std::vector<std::string>{ BinaryPath(), "gateway", "--settings", mFolder.File(name + ".ini") },
    mFolder.File(name + ".log"));
  if (!WaitUntil([&] { return IsReady(*mGateways[aGateway]); })) {
    throw std::runtime_error("the gateway did not become ready: " + mGateways[aGateway]->Log());
  }
  return *mGateways[aGateway];
}

process& gateway_fixture::StartGateway(unsigned aDrainMs)
{
  process& gateway = LaunchGateway(aDrainMs);
  const std::string name = "gateway-" + std::to_string(mGateways.size() - 1);
  if (!WaitUntil([&] { return IsReady(gateway); })) {
    throw std::runtime_error("the gateway did not become ready: " + gateway.Log());
  }
  // A ready gateway is only configured; streams also need engines that hold layers.
  const bool covered = WaitUntil([&] {
    for (const auto& server : Servers()) {
      const auto& object = server.as_object();
      if (object.at("name").as_string().starts_with("engine") && object.at("end").to_number<int>() == 0) {
        return false;
      }
    }
    return true;
  });
  if (!covered) {
    throw std::runtime_error("the engines hold no layers: " + gateway.Log());
  }
  // The gateway sees the layers a moment after they are listed. Each layer has two holders.
  const std::size_t index = mGateways.size() - 1;
  const auto knowsAllHolders = [&] {
    return Metric(index, "gateway_backends") > 0 && Metric(index, "gateway_uncovered_layers") == 0 &&
           Metric(index, "gateway_layers_held_once") == 0;
  };
  if (!WaitUntil(knowsAllHolders)) {
    throw std::runtime_error("the gateway does not know two holders of each layer: " + gateway.Log());
  }
  gateway_call first;
  first.mMethod = "POST";
  first.mTarget = "/draft/first";
  first.mId = name + "-first";
  first.mOutputTokens = 2;
  if (!WaitUntil([&] { return Send(first, mGateways.size() - 1).mStatus == 200; })) {
    throw std::runtime_error("the gateway does not serve streams: " + gateway.Log());
  }
  return gateway;
}

bool gateway_fixture::IsReady(const process& aGateway) const
{
  const auto reply =
    net::FetchBlocking(aGateway.Address("admin"), { "GET", "/chervilpulley/readyz", {}, "" }, std::chrono::seconds(2));
  return reply && reply.value().mStatus == 200;
}

gateway_response gateway_fixture::Send(const gateway_call& aCall, std::size_t aGateway) const
{
  net::http_request request{ aCall.mMethod, aCall.mTarget, {}, aCall.mBody };
  request.mHeaders.Set("Host", "demo.example");
  request.mHeaders.Set("X-Attempt-Id", aCall.mId);
  request.mHeaders.Set("X-Deadline-Ms", std::to_string(aCall.mDeadlineMs));
  if (!aCall.mKey.empty()) {
    request.mHeaders.Set("X-Credential", aCall.mKey);
  }
  if (aCall.mOutputTokens > 0) {
    request.mHeaders.Set("X-Token-Counts", fmt::format("10,{}", aCall.mOutputTokens));
  }
  if (!aCall.mPromptParts.empty()) {
    request.mHeaders.Set("X-Prompt-Prefix", aCall.mPromptParts);
  }
  gateway_response response;
  const auto reply =
    net::StreamBlocking(mGateways[aGateway]->Address("http"), request, kTestTimeout, [&](std::string_view aPiece) {
      response.mBody.append(aPiece);
      if (aCall.mOnBytes) {
        aCall.mOnBytes(response.mBody);
      }
      return true;
    });
  response.mIsComplete = reply.has_value();
  if (reply) {
    response.mStatus = reply.value().mStatus;
    response.mHeaders = reply.value().mHeaders;
  }
  return response;
}

double gateway_fixture::Metric(std::size_t aGateway, std::string_view aName) const
{
  const std::string text = Call(mGateways[aGateway]->Address("admin"), "GET", "/metrics").mBody;
  const auto at = text.find("\n" + std::string(aName) + " ");
  return at == std::string::npos ? 0 : std::stod(text.substr(at + aName.size() + 2));
}

std::vector<boost::json::object> gateway_fixture::Records(std::string_view aKind, const std::string& aId) const
{
  std::vector<boost::json::object> found;
  for (boost::json::object& record : RecordsOf(mFleet)) {
    if (record.at("kind").as_string() == aKind && (aId.empty() || record.at("id").as_string() == aId)) {
      found.push_back(std::move(record));
    }
  }
  return found;
}

boost::json::array gateway_fixture::Servers() const
{
  return JsonOf(Call(mFleet.Address("http"), "GET", "/servers")).at("servers").as_array();
}

void gateway_fixture::SetServer(const std::string& aName, const std::string& aState) const
{
  Control(mFleet, { { "server", aName }, { "state", aState } });
}

std::string gateway_fixture::ServerNameAt(const std::string& aAddress) const
{
  for (const auto& server : Servers()) {
    if (server.as_object().at("address").as_string() == aAddress) {
      return std::string(server.as_object().at("name").as_string());
    }
  }
  return "";
}

std::string EventsUpTo(unsigned aLast)
{
  std::string text;
  for (unsigned event = 1; event <= aLast; ++event) {
    text += fmt::format("id: {}\ndata: token {}\n\n", event, event);
  }
  return text;
}

} // namespace chervilpulley::processes
