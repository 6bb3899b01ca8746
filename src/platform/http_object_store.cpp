#include "platform/http_object_store.h"

#include <charconv>
#include <optional>

#include "platform/json_fields.h"
#include "platform/platform_status.h"

namespace chervilpulley::platform {

namespace {

std::string ObjectTarget(std::string_view aKey)
{
  return "/objects/" + net::PercentEncode(aKey);
}

std::string Quoted(object_version aVersion)
{
  return "\"" + std::to_string(aVersion.Value()) + "\"";
}

/// Version from the ETag header, which is a quoted number: "N".
std::optional<object_version> ParseETag(const net::http_reply& aReply)
{
  std::string_view tag = aReply.mHeaders.Get("ETag");
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  tag = tag.substr(1, tag.size() - 2);
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(tag.data(), tag.data() + tag.size(), number);
  if (parsed.ec != std::errc{} || parsed.ptr != tag.data() + tag.size()) {
    return std::nullopt;
  }
  return object_version(number);
}

std::optional<object_summary> ParseSummary(const boost::json::value& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  const auto key = TextField(aValue.get_object(), "key");
  const auto version = NumberField(aValue.get_object(), "version");
  if (!key || !version) {
    return std::nullopt;
  }
  return object_summary{ *key, object_version(*version) };
}

std::optional<std::vector<object_summary>> ParseSummaries(const boost::json::object& aObject, std::string_view aName)
{
  const auto* array = ArrayField(aObject, aName);
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<object_summary> summaries;
  summaries.reserve(array->size());
  for (const auto& value : *array) {
    auto summary = ParseSummary(value);
    if (!summary) {
      return std::nullopt;
    }
    summaries.push_back(std::move(*summary));
  }
  return summaries;
}

} // namespace

http_object_store::http_object_store(ref<net::http_client> aClient,
                                     net::endpoint aPlatform,
                                     instance_id aWriter,
                                     duration aTimeout)
  : mClient(std::move(aClient))
  , mPlatform(std::move(aPlatform))
  , mWriter(std::move(aWriter))
  , mTimeout(aTimeout)
{
}

platform_call<stored_object> http_object_store::Get(std::string aKey)
{
  auto reply = co_await Read(ObjectTarget(aKey), mTimeout);
  if (auto error = ReadError(reply, "object \"" + aKey + "\"")) {
    co_return *error;
  }
  const auto version = ParseETag(reply.value());
  if (!version) {
    co_return BadReply("object \"" + aKey + "\" came without a version");
  }
  co_return stored_object{ std::move(reply.value().mBody), *version };
}

platform_call<object_version> http_object_store::Create(std::string aKey, std::string aBody)
{
  return Put(std::move(aKey), std::move(aBody), { "If-None-Match", "*" });
}

platform_call<object_version> http_object_store::Update(std::string aKey, std::string aBody, object_version aVersion)
{
  return Put(std::move(aKey), std::move(aBody), { "If-Match", Quoted(aVersion) });
}

platform_call<void> http_object_store::Delete(std::string aKey, object_version aVersion)
{
  net::http_request request;
  request.mMethod = "DELETE";
  request.mTarget = ObjectTarget(aKey);
  request.mHeaders.Set("If-Match", Quoted(aVersion));
  request.mHeaders.Set("X-Writer", mWriter.Str());
  auto reply = co_await mClient->Fetch(mPlatform, std::move(request), mTimeout);
  if (auto error = WriteError(reply, "object \"" + aKey + "\"")) {
    co_return *error;
  }
  co_return outcome::success();
}

platform_call<std::vector<object_summary>> http_object_store::List(std::string aPrefix,
                                                                   std::string aAfter,
                                                                   std::size_t aLimit)
{
  const std::string target = "/objects?prefix=" + net::PercentEncode(aPrefix) + "&after=" + net::PercentEncode(aAfter) +
                             "&limit=" + std::to_string(aLimit);
  auto reply = co_await Read(target, mTimeout);
  if (auto error = ReadError(reply, "list of \"" + aPrefix + "\"")) {
    co_return *error;
  }
  const auto body = ParseObject(reply.value().mBody);
  auto objects = body ? ParseSummaries(*body, "objects") : std::nullopt;
  if (!objects) {
    co_return BadReply("list of \"" + aPrefix + "\" can't be read");
  }
  co_return std::move(*objects);
}

platform_call<watch_reply> http_object_store::Watch(std::string aPrefix, object_version aAfter, duration aTime)
{
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
  const std::string target = "/watch?prefix=" + net::PercentEncode(aPrefix) +
                             "&after=" + std::to_string(aAfter.Value()) + "&timeout_ms=" + std::to_string(milliseconds);
  auto reply = co_await Read(target, aTime + mTimeout);
  if (auto error = ReadError(reply, "watch of \"" + aPrefix + "\"")) {
    co_return *error;
  }
  const auto body = ParseObject(reply.value().mBody);
  const auto sequence = body ? NumberField(*body, "sequence") : std::nullopt;
  auto events = body ? ParseSummaries(*body, "events") : std::nullopt;
  if (!sequence || !events) {
    co_return BadReply("watch of \"" + aPrefix + "\" can't be read");
  }
  co_return watch_reply{ object_version(*sequence), std::move(*events) };
}

platform_call<object_version> http_object_store::Put(std::string aKey, std::string aBody, net::http_header aCondition)
{
  net::http_request request;
  request.mMethod = "PUT";
  request.mTarget = ObjectTarget(aKey);
  request.mHeaders.Set(aCondition.mName, aCondition.mValue);
  request.mHeaders.Set("X-Writer", mWriter.Str());
  request.mBody = std::move(aBody);
  auto reply = co_await mClient->Fetch(mPlatform, std::move(request), mTimeout);
  if (auto error = WriteError(reply, "object \"" + aKey + "\"")) {
    co_return *error;
  }
  const auto version = ParseETag(reply.value());
  if (!version) {
    co_return BadReply("object \"" + aKey + "\" was written, but its version can't be read");
  }
  co_return *version;
}

boost::asio::awaitable<net::net_result<net::http_reply>> http_object_store::Read(std::string aTarget, duration aTimeout)
{
  net::http_request request;
  request.mTarget = std::move(aTarget);
  return mClient->Fetch(mPlatform, std::move(request), aTimeout);
}

static_assert(object_store<http_object_store>);

} // namespace chervilpulley::platform
