#include "platform/live_list.h"

#include <boost/json/serialize.hpp>

#include <optional>

#include "base/json_split.h"
#include "platform/json_fields.h"
#include "platform/platform_status.h"

namespace chervilpulley::platform {

namespace {

std::optional<instance_role> ParseRole(const std::string& aText)
{
  if (aText == "entry") {
    return instance_role::Entry;
  }
  if (aText == "sidecar") {
    return instance_role::Sidecar;
  }
  return std::nullopt;
}

/// Reads an optional address into aEndpoint; false when it is present and malformed.
bool ReadAddress(const boost::json::object& aItem, std::string_view aName, net::endpoint& aEndpoint)
{
  const auto text = TextField(aItem, aName);
  if (!text || text->empty()) {
    return true;
  }
  auto parsed = net::ParseEndpoint(*text);
  if (!parsed || parsed.value().mPort == 0) {
    return false;
  }
  aEndpoint = std::move(parsed.value());
  return true;
}

std::optional<live_instance> ParseInstance(const boost::json::object& aItem)
{
  const auto name = TextField(aItem, "instance");
  const auto role = ParseRole(TextField(aItem, "role").value_or(""));
  const auto domain = TextField(aItem, "failure_domain");
  const auto state = TextField(aItem, "state").value_or("live");
  if (!name || name->empty() || !role || !domain || domain->empty() || (state != "live" && state != "leaving")) {
    return std::nullopt;
  }
  live_instance instance;
  instance.mInstance = instance_id(*name);
  instance.mRole = *role;
  instance.mFailureDomain = failure_domain_id(*domain);
  instance.mPool = pool_name(TextField(aItem, "pool").value_or(""));
  instance.mLeaving = state == "leaving";
  const bool read = ReadAddress(aItem, "http", instance.mHttp) && ReadAddress(aItem, "link", instance.mLink) &&
                    ReadAddress(aItem, "peer", instance.mPeer) && ReadAddress(aItem, "admin", instance.mAdmin);
  return read ? std::optional(std::move(instance)) : std::nullopt;
}

void WriteAddress(boost::json::object& aItem, std::string_view aName, const net::endpoint& aEndpoint)
{
  if (aEndpoint.mPort != 0) {
    aItem[boost::json::string_view(aName.data(), aName.size())] = aEndpoint.Str();
  }
}

boost::json::object ToJson(const live_instance& aInstance)
{
  boost::json::object item;
  item["instance"] = aInstance.mInstance.Str();
  item["role"] = aInstance.mRole == instance_role::Entry ? "entry" : "sidecar";
  item["failure_domain"] = aInstance.mFailureDomain.Str();
  item["pool"] = aInstance.mPool.Str();
  item["state"] = aInstance.mLeaving ? "leaving" : "live";
  WriteAddress(item, "http", aInstance.mHttp);
  WriteAddress(item, "link", aInstance.mLink);
  WriteAddress(item, "peer", aInstance.mPeer);
  WriteAddress(item, "admin", aInstance.mAdmin);
  return item;
}

} // namespace

platform_result<std::vector<live_instance>> ParseLiveList(const std::string& aBody)
{
  // Split first, so that an item that can't be read concerns itself alone.
  const auto body = json_members::Split(aBody);
  const auto items = body ? SplitArray(body->Find("instances")) : std::nullopt;
  if (!items) {
    return BadReply("live list can't be read");
  }
  std::vector<live_instance> instances;
  instances.reserve(items->size());
  for (const std::string_view text : *items) {
    const auto item = ParseObject(text);
    if (auto instance = item ? ParseInstance(*item) : std::nullopt) {
      instances.push_back(std::move(*instance));
    }
  }
  return instances;
}

std::string FormatLiveList(const std::vector<live_instance>& aInstances)
{
  boost::json::array items;
  items.reserve(aInstances.size());
  for (const auto& instance : aInstances) {
    items.push_back(ToJson(instance));
  }
  return boost::json::serialize(boost::json::object{ { "instances", std::move(items) } });
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
