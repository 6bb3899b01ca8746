#pragma once

#include <array>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "chervilpulley/config.h"

namespace chervilpulley {

/// A thread-safe map whose entries are distributed over shards, each with its own lock, so that threads seldom wait for
/// one another.
template<class Key, class Value>
class sharded_map
{
public:
  /// Inserts unless the key exists; returns whether it inserted.
  bool Insert(const Key& aKey, Value aValue)
  {
    shard& s = ShardOf(aKey);
    std::lock_guard lock(s.mMutex);
    return s.mEntries.emplace(aKey, std::move(aValue)).second;
  }

  /// Returns a copy of a key's value; nothing when the key does not exist.
  std::optional<Value> Find(const Key& aKey) const
  {
    const shard& s = ShardOf(aKey);
    std::lock_guard lock(s.mMutex);
    auto found = s.mEntries.find(aKey);
    if (found == s.mEntries.end()) {
      return std::nullopt;
    }
    return found->second;
  }

  /// Removes a key; returns whether it existed.
  bool Erase(const Key& aKey)
  {
    shard& s = ShardOf(aKey);
    std::lock_guard lock(s.mMutex);
    return s.mEntries.erase(aKey) > 0;
  }

  /// Calls aFunction with the map of the key's shard while holding the shard's lock, and returns its result.
  template<class Function>
  auto WithShard(const Key& aKey, Function&& aFunction)
  {
    shard& s = ShardOf(aKey);
    std::lock_guard lock(s.mMutex);
    return aFunction(s.mEntries);
  }

  /// Copies of all values. Shards are copied one after another, so this is no snapshot of the whole map.
  std::vector<Value> Values() const
  {
    std::vector<Value> values;
    for (const shard& s : mShards) {
      std::lock_guard lock(s.mMutex);
      for (const auto& entry : s.mEntries) {
        values.push_back(entry.second);
      }
    }
    return values;
  }

  /// Number of entries; other threads may change it while it is counted.
  std::size_t Size() const
  {
    std::size_t total = 0;
    for (const shard& s : mShards) {
      std::lock_guard lock(s.mMutex);
      total += s.mEntries.size();
    }
    return total;
  }

private:
  struct shard
  {
    mutable std::mutex mMutex;
    std::unordered_map<Key, Value> mEntries;
  };

  shard& ShardOf(const Key& aKey) { return mShards[std::hash<Key>{}(aKey) % kShardCount]; }
  const shard& ShardOf(const Key& aKey) const { return mShards[std::hash<Key>{}(aKey) % kShardCount]; }

  std::array<shard, kShardCount> mShards;
};

} // namespace chervilpulley
