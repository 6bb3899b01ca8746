#include "config/instance_table.h"

#include <algorithm>
#include <set>
#include <unordered_set>
#include <utility>

#include "base/random.h"

namespace chervilpulley::config {

namespace {

constexpr std::size_t kMaxRetainedChanges = 64;

/// Digest of one instance. The digest of a list is the XOR of these, so that an update costs only its changed
/// instances.
std::uint64_t InstanceDigest(const platform::live_instance& aInstance)
{
  return StableHash(platform::FormatLiveList({ aInstance }));
}

} // namespace

bool instance_table::Set(const std::vector<platform::live_instance>& aInstances)
{
  std::lock_guard lock(mMutex);
  return Update(aInstances, MissingIn(aInstances));
}

bool instance_table::Apply(const rpc::list_difference& aDifference)
{
  if (aDifference.mDigest == 0 || aDifference.mChanged.empty()) {
    return false;
  }
  const auto changed = platform::ParseLiveList(aDifference.mChanged);
  if (!changed) {
    return false;
  }
  std::lock_guard lock(mMutex);
  return Update(changed.value(), aDifference.mFull ? MissingIn(changed.value()) : aDifference.mRemoved);
}

rpc::list_difference instance_table::DifferenceSince(std::uint64_t aDigest) const
{
  std::lock_guard lock(mMutex);
  rpc::list_difference difference;
  difference.mDigest = mDigest;
  if (aDigest == mDigest) {
    return difference;
  }
  const auto knownChange = std::find_if(
    mChanges.rbegin(), mChanges.rend(), [&](const change& aChange) { return aChange.mDigestBefore == aDigest; });
  std::vector<platform::live_instance> changed;
  if (knownChange == mChanges.rend()) {
    difference.mFull = true;
    for (const auto& entry : mInstances) {
      changed.push_back(entry.second);
    }
  } else {
    std::set<std::string> names;
    for (auto change = mChanges.rbegin(); change != knownChange + 1; ++change) {
      names.insert(change->mInstances.begin(), change->mInstances.end());
    }
    for (const auto& name : names) {
      auto found = mInstances.find(name);
      if (found == mInstances.end()) {
        difference.mRemoved.push_back(name);
      } else {
        changed.push_back(found->second);
      }
    }
  }
  difference.mChanged = platform::FormatLiveList(changed);
  return difference;
}

std::vector<platform::live_instance> instance_table::List() const
{
  std::lock_guard lock(mMutex);
  std::vector<platform::live_instance> list;
  list.reserve(mInstances.size());
  for (const auto& entry : mInstances) {
    list.push_back(entry.second);
  }
  return list;
}

std::uint64_t instance_table::Digest() const
{
  std::lock_guard lock(mMutex);
  return mDigest;
}

bool instance_table::Update(const std::vector<platform::live_instance>& aChanged,
                            const std::vector<std::string>& aRemoved)
{
  change applied{ mDigest, {} };
  for (const auto& instance : aChanged) {
    auto [place, inserted] = mInstances.try_emplace(instance.mInstance.Str());
    if (!inserted && place->second == instance) {
      continue;
    }
    if (!inserted) {
      mDigest ^= InstanceDigest(place->second);
    }
    place->second = instance;
    mDigest ^= InstanceDigest(instance);
    applied.mInstances.push_back(place->first);
  }
  for (const auto& name : aRemoved) {
    auto found = mInstances.find(name);
    if (found != mInstances.end()) {
      mDigest ^= InstanceDigest(found->second);
      mInstances.erase(found);
      applied.mInstances.push_back(name);
    }
  }
  if (applied.mInstances.empty()) {
    return false;
  }
  mChanges.push_back(std::move(applied));
  if (mChanges.size() > kMaxRetainedChanges) {
    mChanges.pop_front();
  }
  return true;
}

std::vector<std::string> instance_table::MissingIn(const std::vector<platform::live_instance>& aInstances) const
{
  std::unordered_set<std::string> present;
  for (const auto& instance : aInstances) {
    present.insert(instance.mInstance.Str());
  }
  std::vector<std::string> missing;
  for (const auto& entry : mInstances) {
    if (present.count(entry.first) == 0) {
      missing.push_back(entry.first);
    }
  }
  return missing;
}

} // namespace chervilpulley::config
