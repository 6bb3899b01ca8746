#include "admin/key_hashes.h"

#include "base/random.h"

namespace chervilpulley::admin {

namespace {

constexpr std::size_t kFingerprintChars = 12;

/// Whether an object is of a kind with key hashes and contains none.
bool HasNoHash(const object& aObject)
{
  if (aObject.has_workspace()) {
    return aObject.workspace().api_key_hashes().empty();
  }
  return aObject.has_operator_key() && aObject.operator_key().key_hash().empty();
}

/// Copies the hashes from an object of the same kind; returns whether there were any.
bool CopyHashes(const object& aFrom, object& aTo)
{
  if (aFrom.has_workspace() && aTo.has_workspace()) {
    *aTo.mutable_workspace()->mutable_api_key_hashes() = aFrom.workspace().api_key_hashes();
    return !aFrom.workspace().api_key_hashes().empty();
  }
  if (aFrom.has_operator_key() && aTo.has_operator_key()) {
    aTo.mutable_operator_key()->set_key_hash(aFrom.operator_key().key_hash());
    return !aFrom.operator_key().key_hash().empty();
  }
  return false;
}

/// A short digest of a hash, by which a change of the hash can be recognized.
std::string Fingerprint(const std::string& aHash)
{
  return "fingerprint:" + Sha256Hex(aHash).substr(0, kFingerprintChars);
}

void MaskHashes(object& aObject)
{
  if (aObject.has_workspace()) {
    for (std::string& hash : *aObject.mutable_workspace()->mutable_api_key_hashes()) {
      hash = Fingerprint(hash);
    }
  }
  if (aObject.has_operator_key() && !aObject.operator_key().key_hash().empty()) {
    aObject.mutable_operator_key()->set_key_hash(Fingerprint(aObject.operator_key().key_hash()));
  }
}

bool KeepHashes(operation& aOperation, const config::config_view& aView)
{
  const bool mayReplace = aOperation.op() == CHANGE_OP_PUT || aOperation.op() == CHANGE_OP_UPDATE;
  if (!mayReplace || !HasNoHash(aOperation.object())) {
    return false;
  }
  const object* current = aView.Find(aOperation.ref());
  if (current == nullptr || !CopyHashes(*current, *aOperation.mutable_object())) {
    return false;
  }
  if (aOperation.expected_version() == 0) {
    aOperation.set_expected_version(current->version());
  }
  return true;
}

} // namespace

void RemoveKeyHashes(object& aObject)
{
  if (aObject.has_workspace()) {
    aObject.mutable_workspace()->clear_api_key_hashes();
  }
  if (aObject.has_operator_key()) {
    aObject.mutable_operator_key()->clear_key_hash();
  }
}

void MaskKeyHashes(log_entry& aEntry)
{
  for (operation& each : *aEntry.mutable_change()->mutable_operations()) {
    if (each.has_object()) {
      MaskHashes(*each.mutable_object());
    }
  }
  for (object& each : *aEntry.mutable_previous()) {
    MaskHashes(each);
  }
}

bool KeepKeyHashes(change& aChange, const config::config_view& aView)
{
  bool filled = false;
  for (operation& each : *aChange.mutable_operations()) {
    filled = KeepHashes(each, aView) || filled;
  }
  return filled;
}

} // namespace chervilpulley::admin
