#include "standin_platform.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

#include "chervilpulley/config.h"

namespace chervilpulley::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kLive = "/live/";
constexpr std::size_t kMaxListed = 1000;
constexpr std::uint64_t kDefaultWatchMs = 30'000;
constexpr duration kHangPoll = std::chrono::seconds(3600);

std::uint64_t ToNumber(std::string_view aText, std::uint64_t aDefault)
{
  std::uint64_t number = aDefault;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::uint64_t QueryNumber(const net::http_request& aRequest, std::string_view aName, std::uint64_t aDefault)
{
  const auto value = net::QueryValue(aRequest.mTarget, aName);
  return value ? ToNumber(*value, aDefault) : aDefault;
}

std::string EntityTag(std::uint64_t aVersion)
{
  return "\"" + std::to_string(aVersion) + "\"";
}

net::http_reply TaggedReply(unsigned aStatus, std::uint64_t aVersion, std::string aBody = {})
{
  net::http_reply reply;
  reply.mStatus = aStatus;
  reply.mHeaders.Set("ETag", EntityTag(aVersion));
  reply.mBody = std::move(aBody);
  return reply;
}

bool IsWrite(const net::http_request& aRequest)
{
  return aRequest.mMethod == "PUT" || aRequest.mMethod == "DELETE";
}

/// Encodes bytes of any content so that they can be stored in a JSON string.
std::string ToHex(std::string_view aBytes)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const char c : aBytes) {
    const auto byte = static_cast<unsigned char>(c);
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

std::string FromHex(std::string_view aText)
{
  std::string bytes;
  for (std::size_t i = 0; i + 1 < aText.size(); i += 2) {
    unsigned value = 0;
    std::from_chars(aText.data() + i, aText.data() + i + 2, value, 16);
    bytes.push_back(static_cast<char>(value));
  }
  return bytes;
}

} // namespace

platform::platform(const std::string& aStateFile)
  : mRecords("")
  , mState(aStateFile)
  , mIsPersistent(!aStateFile.empty())
{
  Restore();
}

asio::awaitable<void> platform::Handle(net::http_exchange& aExchange)
{
  const net::http_request& request = aExchange.Request();
  const std::string path(net::PathOf(request.mTarget));
  if (path == "/records") {
    co_await aExchange.Reply(LinesReply(mRecords.Text()));
  } else if (path == "/control") {
    co_await aExchange.Reply(Control(request));
  } else if (path == "/counts") {
    co_await aExchange.Reply(CallCounts());
  } else if (path.starts_with(kLive)) {
    co_await aExchange.Reply(ChangeLiveEntry(request, std::string_view(path).substr(kLive.size())));
  } else {
    co_await HandlePlatformCall(aExchange);
  }
}

asio::awaitable<void> platform::HandlePlatformCall(net::http_exchange& aExchange)
{
  const net::http_request& request = aExchange.Request();
  const std::string path(net::PathOf(request.mTarget));
  ++mCalls[request.mMethod + " " + path.substr(0, path.find('/', 1))];
  while (mFaults.mHang) {
    co_await mChanged.WaitUntil(Now() + kHangPoll);
  }
  co_await SleepFor(mFaults.mDelay);
  net::http_reply reply;
  if (path == "/live" ? mFaults.mLiveListOutage : mFaults.mOutage) {
    reply = ErrorReply(503, "the platform has an outage");
  } else if (path == "/live") {
    reply = LiveList();
  } else if (path == "/watch") {
    reply = co_await Watch(request);
  } else if (path == "/objects") {
    reply = List(request);
  } else if (path.starts_with(kObjects) && path.size() > kObjects.size()) {
    reply = Object(request, std::string_view(path).substr(kObjects.size()));
  } else {
    reply = ErrorReply(404, "no such path: " + path);
  }
  if (IsWrite(request) && reply.mStatus < 300 && mFaults.mResponsesToDrop > 0) {
    --mFaults.mResponsesToDrop;
    co_return;
  }
  co_await aExchange.Reply(std::move(reply));
}

asio::awaitable<net::http_reply> platform::Watch(const net::http_request& aRequest)
{
  const std::string prefix = net::QueryValue(aRequest.mTarget, "prefix").value_or("");
  const std::uint64_t after = QueryNumber(aRequest, "after", 0);
  const std::uint64_t timeoutMs = QueryNumber(aRequest, "timeout_ms", kDefaultWatchMs);
  const instant deadline = Now() + std::chrono::milliseconds(timeoutMs);
  while (!HasUpdates(prefix, after) && !mFaults.mOutage && Now() < deadline) {
    co_await mChanged.WaitUntil(deadline);
  }
  while (mFaults.mHang) {
    co_await mChanged.WaitUntil(Now() + kHangPoll);
  }
  if (mFaults.mOutage) {
    co_return ErrorReply(503, "the platform has an outage");
  }
  json::array events;
  for (auto at = mObjects.lower_bound(prefix); at != mObjects.end() && at->first.starts_with(prefix); ++at) {
    if (at->second.mVersion > after) {
      events.push_back(
        { { "key", at->first }, { "version", at->second.mVersion }, { "deleted", at->second.mDeleted } });
    }
  }
  json::object body;
  body["sequence"] = mSequence;
  body["events"] = std::move(events);
  co_return ObjectReply(200, body);
}

net::http_reply platform::Object(const net::http_request& aRequest, std::string_view aKey)
{
  if (aRequest.mMethod == "GET") {
    return Get(aKey);
  }
  if (aRequest.mMethod == "PUT") {
    return Put(aRequest, aKey);
  }
  if (aRequest.mMethod == "DELETE") {
    return Delete(aRequest, aKey);
  }
  return ErrorReply(405, aRequest.mMethod + " is not allowed on an object");
}

net::http_reply platform::Get(std::string_view aKey) const
{
  const stored_object* found = Find(aKey);
  if (found == nullptr) {
    return ErrorReply(404, "no object " + std::string(aKey));
  }
  return TaggedReply(200, found->mVersion, found->mBody);
}

net::http_reply platform::Put(const net::http_request& aRequest, std::string_view aKey)
{
  if (aRequest.mBody.size() > kMaxObjectBytes) {
    return ErrorReply(413, "object " + std::string(aKey) + " is over 1000000 bytes");
  }
  const bool existed = Find(aKey) != nullptr;
  if (!ConditionHolds(aRequest, aKey)) {
    return ErrorReply(412, "the condition on " + std::string(aKey) + " does not hold");
  }
  const std::uint64_t version = Store(aKey, aRequest.mBody, false, aRequest.mHeaders.Get("X-Writer"));
  return TaggedReply(existed ? 200 : 201, version);
}

net::http_reply platform::Delete(const net::http_request& aRequest, std::string_view aKey)
{
  if (Find(aKey) == nullptr) {
    return ErrorReply(404, "no object " + std::string(aKey));
  }
  if (!ConditionHolds(aRequest, aKey)) {
    return ErrorReply(412, "the condition on " + std::string(aKey) + " does not hold");
  }
  Store(aKey, "", true, aRequest.mHeaders.Get("X-Writer"));
  net::http_reply reply;
  reply.mStatus = 204;
  return reply;
}

net::http_reply platform::List(const net::http_request& aRequest) const
{
  const std::string prefix = net::QueryValue(aRequest.mTarget, "prefix").value_or("");
  const std::string after = net::QueryValue(aRequest.mTarget, "after").value_or("");
  const std::size_t limit = std::min<std::size_t>(QueryNumber(aRequest, "limit", kMaxListed), kMaxListed);
  json::array objects;
  auto at = after < prefix ? mObjects.lower_bound(prefix) : mObjects.upper_bound(after);
  for (; at != mObjects.end() && at->first.starts_with(prefix) && objects.size() < limit; ++at) {
    if (!at->second.mDeleted) {
      objects.push_back(
        { { "key", at->first }, { "version", at->second.mVersion }, { "size", at->second.mBody.size() } });
    }
  }
  json::object body;
  body["objects"] = std::move(objects);
  return ObjectReply(200, body);
}

net::http_reply platform::LiveList() const
{
  std::map<std::string, json::object> instances;
  const instant visible = Now() - mFaults.mLiveListDelay;
  for (const live_change& change : mLiveChanges) {
    if (change.mTime <= visible) {
      instances[change.mInstance] = change.mLine;
    }
  }
  json::array lines;
  for (const auto& [name, line] : instances) {
    if (!line.empty()) {
      lines.push_back(line);
    }
  }
  json::object body;
  body["instances"] = std::move(lines);
  return ObjectReply(200, body);
}

net::http_reply platform::ChangeLiveEntry(const net::http_request& aRequest, std::string_view aInstance)
{
  json::object line;
  if (aRequest.mMethod == "PUT") {
    const json_body body(aRequest.mBody);
    if (!body.Error().empty()) {
      return ErrorReply(400, body.Error());
    }
    line = body.Object();
    line["instance"] = aInstance;
  } else if (aRequest.mMethod != "DELETE") {
    return ErrorReply(405, aRequest.mMethod + " is not allowed on a line of the live list");
  }
  if (mIsPersistent) {
    mState.Append({ { "live", aInstance }, { "line", line } });
  }
  mLiveChanges.push_back({ Now(), std::string(aInstance), std::move(line) });
  return ObjectReply(200, {});
}

net::http_reply platform::Control(const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  faults changed = mFaults;
  changed.mOutage = body.Flag("outage", changed.mOutage);
  changed.mLiveListOutage = body.Flag("list_outage", changed.mLiveListOutage);
  changed.mHang = body.Flag("hang", changed.mHang);
  changed.mResponsesToDrop = body.Number("lose_answers", changed.mResponsesToDrop);
  if (body.Has("slow_ms")) {
    changed.mDelay = std::chrono::milliseconds(body.Number("slow_ms"));
  }
  if (body.Has("list_lag_ms")) {
    changed.mLiveListDelay = std::chrono::milliseconds(body.Number("list_lag_ms"));
  }
  if (!body.Error().empty()) {
    return ErrorReply(400, body.Error());
  }
  mFaults = changed;
  mChanged.NotifyAll();
  return ObjectReply(200, {});
}

net::http_reply platform::CallCounts() const
{
  json::object body;
  for (const auto& [kind, count] : mCalls) {
    body[kind] = count;
  }
  return ObjectReply(200, body);
}

const platform::stored_object* platform::Find(std::string_view aKey) const
{
  const auto found = mObjects.find(aKey);
  return found == mObjects.end() || found->second.mDeleted ? nullptr : &found->second;
}

/// Whether the If-Match or If-None-Match header of a write, if any, allows it.
bool platform::ConditionHolds(const net::http_request& aRequest, std::string_view aKey) const
{
  const stored_object* found = Find(aKey);
  if (aRequest.mHeaders.Get("If-None-Match") == "*") {
    return found == nullptr;
  }
  if (!aRequest.mHeaders.Has("If-Match")) {
    return true;
  }
  return found != nullptr && aRequest.mHeaders.Get("If-Match") == EntityTag(found->mVersion);
}

/// Writes an object, or marks it as deleted, and returns its new version.
std::uint64_t platform::Store(std::string_view aKey, std::string aBody, bool aDeleted, std::string_view aWriter)
{
  ++mSequence;
  json::object record{ { "key", aKey }, { "version", mSequence }, { "writer", aWriter }, { "deleted", aDeleted } };
  mRecords.Append(record);
  if (mIsPersistent) {
    record["body_hex"] = ToHex(aBody);
    mState.Append(record);
  }
  mObjects[std::string(aKey)] = { mSequence, aDeleted, std::move(aBody) };
  mChanged.NotifyAll();
  return mSequence;
}

/// Whether an object with the prefix has changed after a version.
bool platform::HasUpdates(std::string_view aPrefix, std::uint64_t aAfter) const
{
  for (auto at = mObjects.lower_bound(aPrefix); at != mObjects.end() && at->first.starts_with(aPrefix); ++at) {
    if (at->second.mVersion > aAfter) {
      return true;
    }
  }
  return false;
}

/// Reads the state file of the previous run. Restored live list entries are dated back so that they show despite a
/// delay.
void platform::Restore()
{
  for (const std::string& line : mState.Lines()) {
    json_body record(line);
    if (record.Has("live")) {
      const json::value* live = record.Object().if_contains("line");
      mLiveChanges.push_back({ Now() - kHangPoll, record.Text("live"), live->as_object() });
      continue;
    }
    mSequence = record.Number("version");
    mObjects[record.Text("key")] = { mSequence, record.Flag("deleted"), FromHex(record.Text("body_hex")) };
    json::object visible = record.Object();
    visible.erase("body_hex");
    mRecords.Append(visible);
  }
}

} // namespace chervilpulley::standin
