#include "standin_store.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

#include "json_body.h"

namespace chervilpulley::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kObjects = "/chervilpulley/objects/";
/// How long a silent store holds a connection before it closes it without a response.
constexpr duration kUnresponsiveTime = std::chrono::seconds(60);
constexpr std::uint64_t kMaxWaitMs = 30'000;

std::uint64_t QueryNumber(const net::http_request& aRequest, std::string_view aName, std::uint64_t aDefault)
{
  const auto text = net::QueryValue(aRequest.mTarget, aName);
  std::uint64_t number = aDefault;
  if (text) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

net::http_reply EmptyReply(unsigned aStatus)
{
  return net::JsonReply(aStatus, "{}");
}

/// The revision that a write requires the object to have; 0 if the write is unconditional.
std::uint64_t RequiredRevision(const json::object& aBody)
{
  const auto* metadata = aBody.if_contains("metadata");
  const auto* revision =
    metadata != nullptr && metadata->is_object() ? metadata->as_object().if_contains("revision") : nullptr;
  return revision != nullptr && revision->is_number() ? revision->to_number<std::uint64_t>() : 0;
}

} // namespace

bool object_store::IsCall(std::string_view aTarget)
{
  return aTarget.starts_with(kObjects);
}

json::object object_store::ToJson(const std::string& aName, const stored_object& aObject) const
{
  return { { "metadata",
             { { "name", aName },
               { "revision", aObject.mRevision },
               { "createRev", aObject.mCreateRevision },
               { "finalizers", json::array() },
               { "deleting", false } } },
           { "spec", aObject.mSpec },
           { "status", nullptr } };
}

void object_store::Write(const std::string& aKind, const std::string& aName, json::value aSpec)
{
  auto [found, isNew] = mObjects[aKind].try_emplace(aName);
  stored_object& object = found->second;
  if (!isNew && object.mSpec == aSpec) {
    return;
  }
  object.mRevision = ++mRevision;
  object.mCreateRevision = isNew ? mRevision : object.mCreateRevision;
  object.mSpec = std::move(aSpec);
  mChanges.push_back({ mRevision, aKind, ToJson(aName, object), false });
  mChanged.NotifyAll();
}

void object_store::WriteRaw(const std::string& aKind, const std::string& aName, const std::string& aSpec)
{
  const std::string placeholder = "raw spec " + std::to_string(mRawSpecs.size());
  mRawSpecs['"' + placeholder + '"'] = aSpec;
  Write(aKind, aName, json::value(placeholder));
}

void object_store::InsertRawSpecs(std::string& aBody) const
{
  for (const auto& [placeholder, spec] : mRawSpecs) {
    for (auto at = aBody.find(placeholder); at != std::string::npos; at = aBody.find(placeholder, at + spec.size())) {
      aBody.replace(at, placeholder.size(), spec);
    }
  }
}

void object_store::Remove(const std::string& aKind, const std::string& aName)
{
  const auto found = mObjects[aKind].find(aName);
  if (found == mObjects[aKind].end()) {
    return;
  }
  const stored_object object = found->second;
  mObjects[aKind].erase(found);
  mChanges.push_back({ ++mRevision, aKind, ToJson(aName, object), true });
  mChanged.NotifyAll();
}

void object_store::SetFaults(const json::object& aFaults)
{
  json_body body(json::serialize(aFaults));
  mIsDown = body.Flag("down", mIsDown);
  mIsUnresponsive = body.Flag("silent", mIsUnresponsive);
  mResponsesToDrop = body.Number("lose_answers", mResponsesToDrop);
  if (body.Flag("forget")) {
    mChanges.clear();
    mCompactedRevision = mRevision;
  }
  if (body.Flag("copy")) {
    mCopy = { mObjects, mRevision };
  }
  if (body.Flag("restore")) {
    Restore();
  }
  mChanged.NotifyAll();
}

void object_store::Restore()
{
  mObjects = mCopy.mObjects;
  mRevision = mCopy.mRevision;
  mCompactedRevision = mRevision;
  mChanges.clear();
  ++mEra;
}

asio::awaitable<void> object_store::Handle(net::http_exchange& aExchange)
{
  const net::http_request request = aExchange.Request();
  if (mIsUnresponsive) {
    co_await SleepFor(kUnresponsiveTime);
    co_return;
  }
  net::http_reply reply;
  if (mIsDown) {
    reply = EmptyReply(503);
  } else {
    reply = co_await HandleRequest(request);
    InsertRawSpecs(reply.mBody);
  }
  if (mResponsesToDrop > 0 && request.mMethod != "GET") {
    --mResponsesToDrop;
    co_return; // the connection closes without a response
  }
  reply.mHeaders.Set("Store-Era", std::to_string(mEra));
  co_await aExchange.Reply(std::move(reply));
}

asio::awaitable<net::http_reply> object_store::HandleRequest(const net::http_request& aRequest)
{
  std::string path(net::PathOf(aRequest.mTarget).substr(kObjects.size()));
  const std::size_t slash = path.find('/');
  const std::string kind = path.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
  if (aRequest.mMethod == "POST") {
    co_return Create(kind, aRequest);
  }
  if (aRequest.mMethod == "PUT") {
    co_return Put(kind, name, aRequest);
  }
  if (aRequest.mMethod == "DELETE") {
    co_return Delete(kind, name, aRequest);
  }
  if (net::QueryValue(aRequest.mTarget, "watch")) {
    net::http_reply reply = co_await Watch(kind, aRequest);
    co_return reply;
  }
  if (name.empty()) {
    co_return List(kind, aRequest);
  }
  const auto found = mObjects[kind].find(name);
  if (found == mObjects[kind].end()) {
    co_return EmptyReply(404);
  }
  co_return ObjectReply(200, ToJson(name, found->second));
}

net::http_reply object_store::Create(const std::string& aKind, const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  const auto* metadata = body.Object().if_contains("metadata");
  if (metadata == nullptr || !metadata->is_object() || !metadata->as_object().contains("name")) {
    return EmptyReply(400);
  }
  const std::string name(metadata->as_object().at("name").as_string());
  const auto found = mObjects[aKind].find(name);
  if (found != mObjects[aKind].end()) {
    return ObjectReply(409, ToJson(name, found->second));
  }
  Write(aKind, name, body.Object().contains("spec") ? body.Object().at("spec") : json::value());
  return ObjectReply(200, ToJson(name, mObjects[aKind][name]));
}

net::http_reply object_store::Put(const std::string& aKind, const std::string& aName, const net::http_request& aRequest)
{
  json_body body(aRequest.mBody);
  const auto found = mObjects[aKind].find(aName);
  if (found == mObjects[aKind].end()) {
    return EmptyReply(404);
  }
  const std::uint64_t condition = RequiredRevision(body.Object());
  if (condition != 0 && condition != found->second.mRevision) {
    return ObjectReply(409, ToJson(aName, found->second));
  }
  Write(aKind, aName, body.Object().contains("spec") ? body.Object().at("spec") : json::value());
  return ObjectReply(200, ToJson(aName, found->second));
}

net::http_reply object_store::Delete(const std::string& aKind,
                                     const std::string& aName,
                                     const net::http_request& aRequest)
{
  const auto found = mObjects[aKind].find(aName);
  if (found == mObjects[aKind].end()) {
    return EmptyReply(404);
  }
  const auto condition = net::QueryValue(aRequest.mTarget, "revision");
  if (condition && *condition != std::to_string(found->second.mRevision)) {
    return ObjectReply(409, ToJson(aName, found->second));
  }
  Remove(aKind, aName);
  return EmptyReply(200);
}

net::http_reply object_store::List(const std::string& aKind, const net::http_request& aRequest)
{
  // Pages of three objects, so that readers have to request more than one page.
  constexpr std::size_t kPage = 3;
  const std::string after = net::QueryValue(aRequest.mTarget, "after").value_or("");
  json::array items;
  bool isTruncated = false;
  const kind_objects& objects = mObjects[aKind];
  for (auto object = objects.upper_bound(after); object != objects.end(); ++object) {
    if (items.size() == kPage) {
      isTruncated = true;
      break;
    }
    items.push_back(ToJson(object->first, object->second));
  }
  return ObjectReply(200, { { "items", items }, { "truncated", isTruncated }, { "currentRev", mRevision } });
}

asio::awaitable<net::http_reply> object_store::Watch(const std::string& aKind, const net::http_request& aRequest)
{
  const std::uint64_t after = QueryNumber(aRequest, "watch", 0);
  const auto wait = std::chrono::milliseconds(std::min(kMaxWaitMs, QueryNumber(aRequest, "waitMs", 0)));
  const instant deadline = Now() + wait;
  const std::uint64_t era = mEra;
  while (true) {
    // A watch that waits is cut off when the store returns to a copy.
    if (after < mCompactedRevision || after > mRevision || era != mEra) {
      co_return EmptyReply(410);
    }
    json::array events;
    for (const change& each : mChanges) {
      if (each.mRevision > after && each.mKind == aKind) {
        events.push_back(json::object{ { "deleted", each.mIsDeleted }, { "object", each.mObject } });
      }
    }
    if (!events.empty() || Now() >= deadline || mIsDown) {
      co_return ObjectReply(mIsDown ? 503 : 200, { { "events", events }, { "currentRev", mRevision } });
    }
    co_await mChanged.WaitUntil(deadline);
  }
}

} // namespace chervilpulley::standin
