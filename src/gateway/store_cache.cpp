#include "gateway/store_cache.h"

#include <algorithm>

namespace chervilpulley::gateway {

void store_cache::UpdateConfiguration(wire::record aConfiguration, std::uint64_t aVersion, instant aRequestedAt)
{
  if (mConfiguration && aVersion < mConfigurationVersion) {
    return;
  }
  const bool isNew = !mConfiguration || aVersion > mConfigurationVersion;
  mConfiguration = std::move(aConfiguration);
  mConfigurationVersion = aVersion;
  Confirmed(aRequestedAt);
  if (isNew) {
    Notify();
  }
}

void store_cache::Confirmed(instant aRequestedAt)
{
  const bool isLater = !mConfirmed || aRequestedAt >= *mConfirmed + kMinConfirmationStep;
  mConfirmed = std::max(mConfirmed, std::optional(aRequestedAt));
  if (isLater) {
    mConfirmation = relay_confirmation(mConfirmation.Value() + 1);
    Notify();
  }
}

void store_cache::ListConfirmed(instant aConfirmedAt)
{
  mListConfirmed = std::max(mListConfirmed, std::optional(aConfirmedAt));
}

std::optional<duration> store_cache::ListAge(instant aNow) const
{
  return mListConfirmed ? std::optional<duration>(aNow - *mListConfirmed) : std::nullopt;
}

void store_cache::Listed(std::vector<wire::record> aItems, const policy::store_revision& aRevision)
{
  mMembers.clear();
  for (wire::record& item : aItems) {
    const std::string name = item.mName;
    mMembers.insert_or_assign(name, std::move(item));
  }
  mMembersRevision = aRevision;
  mBatchesBegin = aRevision;
  mBatches.clear();
  mListIsLost = false;
  Notify();
}

void store_cache::Changed(std::vector<wire::record_change> aChanges, const policy::store_revision& aRevision)
{
  if (aRevision <= mMembersRevision || aRevision.mEra != mMembersRevision.mEra) {
    return;
  }
  mMembersRevision = aRevision;
  if (aChanges.empty()) {
    return;
  }
  for (const wire::record_change& change : aChanges) {
    if (change.mIsDeleted) {
      mMembers.erase(change.mObject.mName);
    } else {
      mMembers.insert_or_assign(change.mObject.mName, change.mObject);
    }
  }
  mBatches.push_back({ aRevision, std::move(aChanges) });
  if (mBatches.size() > kMaxBatches) {
    mBatchesBegin = mBatches.front().mRevision;
    mBatches.pop_front();
  }
  Notify();
}

void store_cache::ListLost()
{
  if (!mListIsLost) {
    mListIsLost = true;
    Notify();
  }
}

bool store_cache::HasUpdates(const cache_position& aReader) const
{
  const bool hasNewConfiguration = mConfiguration && mConfigurationVersion > aReader.mConfiguration;
  const policy::store_revision lastChange = mBatches.empty() ? mBatchesBegin : mBatches.back().mRevision;
  return hasNewConfiguration || lastChange > aReader.mMembers || mListIsLost;
}

cache_updates store_cache::UpdatesSince(const cache_position& aReader, instant aNow) const
{
  cache_updates updates;
  if (mConfirmed) {
    updates.mConfirmedAge = aNow - *mConfirmed;
  }
  updates.mStoreServedFor = mStoreServedFor ? mStoreServedFor() : std::nullopt;
  updates.mConfirmation = mConfirmation;
  updates.mListAge = ListAge(aNow);
  updates.mListIsLost = mListIsLost;
  updates.mMembersRevision = mMembersRevision;
  if (mConfiguration) {
    updates.mConfigurationVersion = mConfigurationVersion;
    const bool isSmall = mConfiguration->mSpec.size() <= kMaxRelayedBytes;
    if (mConfigurationVersion > aReader.mConfiguration && isSmall) {
      updates.mConfiguration = mConfiguration;
    }
  }
  if (aReader.mMembers >= mBatchesBegin && aReader.mMembers.mNumber > 0) {
    // A reader's revision may lie within a batch. Applying changes a second time in order is harmless.
    for (const batch& each : mBatches) {
      if (each.mRevision > aReader.mMembers) {
        updates.mChanges.insert(updates.mChanges.end(), each.mChanges.begin(), each.mChanges.end());
      }
    }
    return updates;
  }
  AddWholeList(updates);
  return updates;
}

void store_cache::AddWholeList(cache_updates& aUpdates) const
{
  std::size_t bytes = 0;
  for (const auto& [name, object] : mMembers) {
    bytes += object.mSpec.size();
  }
  aUpdates.mIsTooLarge = bytes > kMaxRelayedBytes;
  if (aUpdates.mIsTooLarge) {
    return;
  }
  aUpdates.mIsWhole = true;
  for (const auto& [name, object] : mMembers) {
    aUpdates.mChanges.push_back({ object, false });
  }
}

void store_cache::Notify() const
{
  if (mOnUpdates) {
    mOnUpdates();
  }
}

} // namespace chervilpulley::gateway
