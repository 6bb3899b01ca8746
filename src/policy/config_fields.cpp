#include "policy/config_fields.h"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace chervilpulley::policy {

namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxChangeIdBytes = 128;
constexpr std::size_t kHashHexDigits = 64;
constexpr std::size_t kMaxSaltBytes = 64;
constexpr int kMaxApiKeys = 16;
constexpr std::uint64_t kMaxWeight = 1000;
constexpr std::uint64_t kMaxRequestsPerSecond = 1'000'000;
constexpr std::uint64_t kMaxPriority = 100;
constexpr std::uint64_t kMaxRetentionHours = 24 * 366;
constexpr std::uint64_t kMaxTimeoutMs = 600'000;
constexpr std::uint64_t kMaxLayers = 4096;
constexpr std::uint64_t kMaxContextTokens = 1U << 24U;
constexpr std::uint64_t kMaxRunning = 4096;
constexpr std::uint64_t kMaxQueued = 65'536;

/// Punctuation allowed in a name. A dot is not, because it ends the name in a key.
constexpr std::string_view kNamePunctuation = "-_";
constexpr std::string_view kDottedNamePunctuation = "-_.:";
constexpr std::string_view kHexDigits = "0123456789abcdef";

change_error Invalid(std::string aMessage)
{
  return change_error{ change_errc::Invalid, std::move(aMessage) };
}

bool IsLetterOrDigit(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9');
}

bool IsHex(std::string_view aText)
{
  return aText.find_first_not_of(kHexDigits) == std::string_view::npos;
}

/// Checks the fields of one object and keeps the first error.
class field_checker
{
public:
  explicit field_checker(std::string aObject)
    : mObject(std::move(aObject))
  {
  }

  void Name(const char* aField, const std::string& aName, std::string_view aPunctuation = kNamePunctuation)
  {
    const bool hasAllowedCharacters = std::all_of(aName.begin(), aName.end(), [&](char aCharacter) {
      return IsLetterOrDigit(aCharacter) || aPunctuation.find(aCharacter) != std::string_view::npos;
    });
    if (aName.empty() || aName.size() > kMaxNameBytes || !hasAllowedCharacters) {
      Fail(std::string(aField) + " must be 1 to " + std::to_string(kMaxNameBytes) + " letters, digits or any of \"" +
           std::string(aPunctuation) + "\"");
    }
  }

  void Range(const char* aField, std::uint64_t aValue, std::uint64_t aMin, std::uint64_t aMax)
  {
    if (aValue < aMin || aValue > aMax) {
      Fail(std::string(aField) + " is " + std::to_string(aValue) + ", allowed is " + std::to_string(aMin) + " to " +
           std::to_string(aMax));
    }
  }

  void Hash(const char* aField, std::string_view aHash)
  {
    const auto salt = aHash.find('$');
    const bool hasSalt = salt != std::string_view::npos && salt > 0 && salt <= kMaxSaltBytes;
    if (!hasSalt || aHash.size() - salt - 1 != kHashHexDigits || !IsHex(aHash.substr(0, salt)) ||
        !IsHex(aHash.substr(salt + 1))) {
      Fail(std::string(aField) + " must hold a salted hash, \"salt$hash\" in hex");
    }
  }

  void Fail(const std::string& aText)
  {
    if (mError.empty()) {
      mError = mObject + ": " + aText;
    }
  }

  change_result<void> Result() const
  {
    if (!mError.empty()) {
      return Invalid(mError);
    }
    return outcome::success();
  }

private:
  std::string mObject;
  std::string mError;
};

void Check(field_checker& aChecker, const admin::workspace& aWorkspace)
{
  aChecker.Name("name", aWorkspace.name());
  aChecker.Range("weight", aWorkspace.weight(), 0, kMaxWeight);
  aChecker.Range("requests_per_second", aWorkspace.requests_per_second(), 0, kMaxRequestsPerSecond);
  aChecker.Range("priority", aWorkspace.priority(), 0, kMaxPriority);
  if (aWorkspace.api_key_hashes_size() > kMaxApiKeys) {
    aChecker.Fail("more than " + std::to_string(kMaxApiKeys) + " api_key_hashes");
  }
  for (const auto& hash : aWorkspace.api_key_hashes()) {
    aChecker.Hash("api_key_hashes", hash);
  }
}

void Check(field_checker& aChecker, const admin::route& aRoute)
{
  aChecker.Name("workspace", aRoute.workspace());
  aChecker.Name("name", aRoute.name());
  aChecker.Name("pool", aRoute.pool());
  aChecker.Range("retention_hours", aRoute.retention_hours(), 0, kMaxRetentionHours);
  aChecker.Range("timeout_ms", aRoute.timeout_ms(), 0, kMaxTimeoutMs);
}

void Check(field_checker& aChecker, const admin::model_version& aModel)
{
  aChecker.Name("name", aModel.name(), kDottedNamePunctuation);
  aChecker.Name("pool", aModel.pool());
  aChecker.Range("layer_count", aModel.layer_count(), 1, kMaxLayers);
  aChecker.Range("context_tokens", aModel.context_tokens(), 0, kMaxContextTokens);
}

void Check(field_checker& aChecker, const admin::backend_pool& aPool)
{
  aChecker.Name("name", aPool.name());
  aChecker.Range("max_running", aPool.max_running(), 0, kMaxRunning);
  aChecker.Range("max_queued", aPool.max_queued(), 0, kMaxQueued);
  if (aPool.kind() != admin::BACKEND_KIND_ENGINE && aPool.kind() != admin::BACKEND_KIND_SERVICE) {
    aChecker.Fail("kind must be engine or service");
  }
}

void Check(field_checker& aChecker, const admin::placement& aPlacement)
{
  aChecker.Name("instance", aPlacement.instance(), kDottedNamePunctuation);
  aChecker.Name("model", aPlacement.model(), kDottedNamePunctuation);
  if (aPlacement.first_layer() > aPlacement.last_layer()) {
    aChecker.Fail("first_layer " + std::to_string(aPlacement.first_layer()) + " is above last_layer " +
                  std::to_string(aPlacement.last_layer()));
  }
}

void Check(field_checker& aChecker, const admin::operator_key& aKey)
{
  aChecker.Name("name", aKey.name());
  aChecker.Hash("key_hash", aKey.key_hash());
  if (aKey.role() < admin::ROLE_READER || aKey.role() > admin::ROLE_OPERATOR) {
    aChecker.Fail("role must be reader, clerk or operator");
  }
  if (aKey.role() == admin::ROLE_CLERK) {
    aChecker.Name("workspace", aKey.workspace());
  } else if (!aKey.workspace().empty()) {
    aChecker.Fail("workspace is only for the role clerk");
  }
}

} // namespace

change_result<void> CheckFields(const admin::object& aObject)
{
  admin::object_ref ref;
  ref.set_kind(KindOf(aObject));
  ref.set_name(NameOf(aObject));
  field_checker checker(Describe(ref));
  switch (aObject.value_case()) {
    case admin::object::kWorkspace:
      Check(checker, aObject.workspace());
      break;
    case admin::object::kRoute:
      Check(checker, aObject.route());
      break;
    case admin::object::kModel:
      Check(checker, aObject.model());
      break;
    case admin::object::kPool:
      Check(checker, aObject.pool());
      break;
    case admin::object::kPlacement:
      Check(checker, aObject.placement());
      break;
    case admin::object::kOperatorKey:
      Check(checker, aObject.operator_key());
      break;
    case admin::object::VALUE_NOT_SET:
      return Invalid("object without a value");
  }
  return checker.Result();
}

change_result<void> CheckChangeId(const std::string& aChangeId)
{
  const bool isPrintable = std::all_of(
    aChangeId.begin(), aChangeId.end(), [](char aCharacter) { return aCharacter > ' ' && aCharacter <= '~'; });
  if (aChangeId.empty() || aChangeId.size() > kMaxChangeIdBytes || !isPrintable) {
    return Invalid("change_id must be 1 to " + std::to_string(kMaxChangeIdBytes) +
                   " printable ASCII characters without spaces");
  }
  return outcome::success();
}

} // namespace chervilpulley::policy
