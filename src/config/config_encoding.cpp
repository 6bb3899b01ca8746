#include "config/config_encoding.h"

#include <boost/json/serialize.hpp>
#include <openssl/evp.h>

#include <charconv>
#include <cstdio>

#include "platform/json_fields.h"

namespace chervilpulley::config {

namespace {

constexpr std::size_t kRevisionDigits = 20;
constexpr std::size_t kBase64Group = 4;
constexpr std::size_t kBase64Bytes = 3;

config_error BadData(std::string aMessage)
{
  return config_error{ config_errc::BadData, std::move(aMessage), {} };
}

std::string PadWithZeros(std::uint64_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(kRevisionDigits - digits.size(), '0') + digits;
}

boost::json::object ToJson(const snapshot_ref& aRef)
{
  return { { "revision", aRef.mRevision.Value() }, { "name", aRef.mName }, { "parts", aRef.mParts } };
}

std::optional<snapshot_ref> ParseRef(const boost::json::object& aHead, std::string_view aName)
{
  const auto* value = aHead.if_contains({ aName.data(), aName.size() });
  if (value == nullptr || !value->is_object()) {
    return std::nullopt;
  }
  const auto revision = platform::NumberField(value->get_object(), "revision");
  const auto name = platform::TextField(value->get_object(), "name");
  const auto parts = platform::NumberField(value->get_object(), "parts");
  if (!revision || !name || !parts || *parts > UINT32_MAX) {
    return std::nullopt;
  }
  return snapshot_ref{ revision_number(*revision), *name, static_cast<std::uint32_t>(*parts) };
}

/// Distributes the fields of a state over parts of limited size. A field is never split.
class part_writer
{
public:
  part_writer(std::uint64_t aRevision, std::size_t aMaxBytes)
    : mMaxBytes(aMaxBytes)
  {
    mPart.set_revision(aRevision);
  }
  void AddObject(const admin::object& aObject)
  {
    StartPartIfFull(aObject.ByteSizeLong());
    *mPart.add_objects() = aObject;
  }
  void AddChangeId(const std::string& aId)
  {
    StartPartIfFull(aId.size());
    mPart.add_recent_change_ids(aId);
  }
  std::vector<std::string> Finish()
  {
    mParts.push_back(mPart.SerializeAsString());
    return std::move(mParts);
  }

private:
  void StartPartIfFull(std::size_t aBytes)
  {
    constexpr std::size_t kFieldOverhead = 8;
    if (mUsedBytes > 0 && mUsedBytes + aBytes + kFieldOverhead > mMaxBytes) {
      mParts.push_back(mPart.SerializeAsString());
      mPart.clear_objects();
      mPart.clear_recent_change_ids();
      mUsedBytes = 0;
    }
    mUsedBytes += aBytes + kFieldOverhead;
  }

  std::size_t mMaxBytes;
  std::size_t mUsedBytes = 0;
  admin::config_state mPart;
  std::vector<std::string> mParts;
};

} // namespace

std::string LogKey(revision_number aRevision)
{
  return kLogPrefix + PadWithZeros(aRevision.Value());
}

config_result<admin::log_entry> DecodeEntry(const std::string& aBody, revision_number aRevision)
{
  admin::log_entry entry;
  if (!entry.ParseFromString(aBody) || entry.revision() != aRevision.Value()) {
    return BadData("object \"" + LogKey(aRevision) + "\" is not the log entry of revision " +
                   std::to_string(aRevision.Value()));
  }
  return entry;
}

std::string SnapshotPartKey(const std::string& aName, std::uint32_t aPart)
{
  return "config/snapshot/" + aName + "/" + std::to_string(aPart);
}

std::string EncodeHead(const snapshot_head& aHead)
{
  return boost::json::serialize(
    boost::json::object{ { "newest", ToJson(aHead.mNewest) }, { "previous", ToJson(aHead.mPrevious) } });
}

config_result<snapshot_head> DecodeHead(const std::string& aBody)
{
  const auto body = platform::ParseObject(aBody);
  const auto newest = body ? ParseRef(*body, "newest") : std::nullopt;
  const auto previous = body ? ParseRef(*body, "previous") : std::nullopt;
  if (!newest || !previous) {
    return BadData("object \"" + std::string(kSnapshotHeadKey) + "\" can't be read");
  }
  return snapshot_head{ *newest, *previous };
}

std::vector<std::string> EncodeParts(const admin::config_state& aState, std::size_t aMaxBytes)
{
  part_writer writer(aState.revision(), aMaxBytes);
  for (const auto& object : aState.objects()) {
    writer.AddObject(object);
  }
  for (const auto& id : aState.recent_change_ids()) {
    writer.AddChangeId(id);
  }
  return writer.Finish();
}

config_result<admin::config_state> DecodeParts(const std::vector<std::string>& aParts)
{
  admin::config_state state;
  for (const auto& body : aParts) {
    admin::config_state part;
    if (!part.ParseFromString(body) || (state.revision() != 0 && part.revision() != state.revision())) {
      return BadData("a part of the snapshot of revision " + std::to_string(state.revision()) + " can't be read");
    }
    state.MergeFrom(part);
  }
  return state;
}

std::string ToBase64(std::string_view aBytes)
{
  std::string text((aBytes.size() + kBase64Bytes - 1) / kBase64Bytes * kBase64Group + 1, '\0');
  const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                   reinterpret_cast<const unsigned char*>(aBytes.data()),
                                   static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> FromBase64(std::string_view aText)
{
  if (aText.size() % kBase64Group != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / kBase64Group * kBase64Bytes, '\0');
  const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                   reinterpret_cast<const unsigned char*>(aText.data()),
                                   static_cast<int>(aText.size()));
  if (size < 0) {
    return std::nullopt;
  }
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() && aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

} // namespace chervilpulley::config
