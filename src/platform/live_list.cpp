#include "platform/live_list.h"

#include <boost/json/serialize.hpp>

#include <optional>

#include "platform/json_fields.h"
#include "platform/platform_status.h"

namespace chervilpulley::platform {

namespace {

std::optional<instance_role> RoleOf(const std::string& aText)
{
  if (aText == "entry") {
    return instance_role::Entry;
  }
  if (aText == "sidecar") {
    return instance_role::Sidecar;
  }
  return std::nullopt;
}

/// Reads an address; false when there is one that can't be read.
bool ReadAddress(const boost::json::object& aLine, std::string_view aName, net::endpoint& aEndpoint)
{
  const auto text = TextField(aLine, aName);
  if (!text || text->empty()) {
    return true;
  }
  auto parsed = net::ParseEndpoint(*text);
  if (!parsed) {
    return false;
  }
  aEndpoint = std::move(parsed.value());
  return true;
}

std::optional<live_instance> InstanceOf(const boost::json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  const auto& line = aValue.get_object();
  const auto name = TextField(line, "instance");
  const auto role = RoleOf(TextField(line, "role").value_or(""));
  const auto domain = TextField(line, "failure_domain");
  const auto state = TextField(line, "state").value_or("live");
  if (!name || name->empty() || !role || !domain || domain->empty() || (state != "live" && state != "leaving")) {
    return std::nullopt;
  }
  live_instance instance;
  instance.mInstance = instance_id(*name);
  instance.mRole = *role;
  instance.mFailureDomain = failure_domain_id(*domain);
  instance.mPool = pool_name(TextField(line, "pool").value_or(""));
  instance.mLeaving = state == "leaving";
  const bool read = ReadAddress(line, "http", instance.mHttp) && ReadAddress(line, "link", instance.mLink) &&
                    ReadAddress(line, "peer", instance.mPeer) && ReadAddress(line, "admin", instance.mAdmin);
  return read ? std::optional(std::move(instance)) : std::nullopt;
}

void WriteAddress(boost::json::object& aLine, std::string_view aName, const net::endpoint& aEndpoint)
{
  if (aEndpoint.mPort != 0) {
    aLine[boost::json::string_view(aName.data(), aName.size())] = aEndpoint.Str();
  }
}

boost::json::object ToJson(const live_instance& aInstance)
{
  boost::json::object line;
  line["instance"] = aInstance.mInstance.Str();
  line["role"] = aInstance.mRole == instance_role::Entry ? "entry" : "sidecar";
  line["failure_domain"] = aInstance.mFailureDomain.Str();
  line["pool"] = aInstance.mPool.Str();
  line["state"] = aInstance.mLeaving ? "leaving" : "live";
  WriteAddress(line, "http", aInstance.mHttp);
  WriteAddress(line, "link", aInstance.mLink);
  WriteAddress(line, "peer", aInstance.mPeer);
  WriteAddress(line, "admin", aInstance.mAdmin);
  return line;
}

} // namespace

platform_result<std::vector<live_instance>> ParseLiveList(const std::string& aBody)
{
  const auto body = ParseObject(aBody);
  const auto* lines = body ? ArrayField(*body, "instances") : nullptr;
  if (lines == nullptr) {
    return BadReply("live list can't be read");
  }
  std::vector<live_instance> instances;
  instances.reserve(lines->size());
  for (const auto& line : *lines) {
    if (auto instance = InstanceOf(line)) {
      instances.push_back(std::move(*instance));
    }
  }
  return instances;
}

std::string FormatLiveList(const std::vector<live_instance>& aInstances)
{
  boost::json::array lines;
  lines.reserve(aInstances.size());
  for (const auto& instance : aInstances) {
    lines.push_back(ToJson(instance));
  }
  return boost::json::serialize(boost::json::object{ { "instances", std::move(lines) } });
}

platform_call<std::vector<live_instance>> ReadLiveList(ref<net::http_client> aClient,
                                                       net::endpoint aPlatform,
                                                       duration aTimeout)
{
  net::http_request request;
  request.mTarget = "/live";
  const auto reply = co_await aClient->Fetch(std::move(aPlatform), std::move(request), aTimeout);
  if (auto error = ReadError(reply, "live list")) {
    co_return *error;
  }
  co_return ParseLiveList(reply.value().mBody);
}

} // namespace chervilpulley::platform
