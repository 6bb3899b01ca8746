#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "config/config_encoding.h"
#include "config/config_error.h"
#include "config/config_replica.h"
#include "platform/object_store.h"

/// Access to the replicated log and the snapshots in the object API of the platform. Snapshots bound the time to load
/// the configuration and are split, since objects are limited in size.
namespace chervilpulley::config {

/// Outcome of the creation of a log entry.
enum class creation_status
{
  Created,
  AlreadyExists, ///< the log has an entry of this revision
  ResponseLost,  ///< the entry may have been created
  NotCreated     ///< the entry was certainly not created
};

/// Outcome of platform_log::Create.
struct creation_outcome
{
  creation_status mStatus = creation_status::NotCreated;
  std::string mMessage;
};

/// Reads and writes the log and the snapshots.
template<platform::object_store Store>
class platform_log
{
public:
  template<class T>
  using call = boost::asio::awaitable<config_result<T>>;

  explicit platform_log(Store& aStore)
    : mStore(aStore)
  {
  }

  /// Reads the entry of a revision; nothing if there is none.
  call<std::optional<admin::log_entry>> Read(revision_number aRevision)
  {
    auto object = co_await mStore.Get(LogKey(aRevision));
    if (!object) {
      if (object.error().mCode == platform::platform_errc::NotFound) {
        co_return std::optional<admin::log_entry>();
      }
      co_return ToConfigError(object.error());
    }
    auto entry = DecodeEntry(object.value().mBody, aRevision);
    if (!entry) {
      co_return entry.error();
    }
    UpdateSeenVersion(object.value().mVersion);
    co_return std::optional<admin::log_entry>(std::move(entry.value()));
  }

  /// Creates an entry under its revision, unless the log has an entry of that revision.
  boost::asio::awaitable<creation_outcome> Create(admin::log_entry aEntry)
  {
    const auto key = LogKey(revision_number(aEntry.revision()));
    auto created = co_await mStore.Create(key, aEntry.SerializeAsString());
    if (created) {
      co_return creation_outcome{ creation_status::Created, {} };
    }
    switch (created.error().mCode) {
      case platform::platform_errc::Conflict:
        co_return creation_outcome{ creation_status::AlreadyExists, created.error().mMessage };
      case platform::platform_errc::Unknown:
      case platform::platform_errc::BadReply:
        co_return creation_outcome{ creation_status::ResponseLost, created.error().mMessage };
      default:
        co_return creation_outcome{ creation_status::NotCreated, created.error().mMessage };
    }
  }

  /// Reads all entries above the replica's revision and applies them to it.
  call<void> ReadForward(config_replica& aReplica)
  {
    while (true) {
      auto entry = co_await Read(aReplica.Revision().Next());
      if (!entry) {
        co_return entry.error();
      }
      if (!entry.value()) {
        co_return outcome::success();
      }
      aReplica.Accept(*entry.value());
    }
  }

  /// Brings a replica up to date: installs the newest snapshot, then applies the entries after it.
  call<void> Load(config_replica& aReplica)
  {
    auto head = co_await ReadHead();
    if (!head) {
      co_return head.error();
    }
    if (head.value().first.mNewest.mRevision.Value() > aReplica.Revision().Value()) {
      auto state = co_await ReadSnapshot(head.value().first.mNewest);
      if (!state) {
        co_return state.error();
      }
      aReplica.Install(state.value());
    }
    co_return co_await ReadForward(aReplica);
  }

  /// Waits until the log has changed since the last call or the timeout has passed. Only one coroutine may wait.
  call<void> WaitForUpdates(const config_replica& aReplica, duration aTimeout)
  {
    if (mSeenVersion.Value() == 0 && aReplica.Revision().Value() != 0) {
      auto newest = co_await Read(aReplica.Revision());
      if (!newest) {
        co_return newest.error();
      }
    }
    auto reply = co_await mStore.Watch(kLogPrefix, mSeenVersion, aTimeout);
    if (!reply) {
      co_return ToConfigError(reply.error());
    }
    UpdateSeenVersion(reply.value().mSequence);
    co_return outcome::success();
  }

  /// Revision of the newest snapshot; 0 if there is none.
  call<revision_number> SnapshotRevision()
  {
    auto head = co_await ReadHead();
    if (!head) {
      co_return head.error();
    }
    co_return head.value().first.mNewest.mRevision;
  }

  /// Writes a snapshot and makes it the newest one, unless one of the same or a higher revision exists.
  call<void> SaveSnapshot(admin::config_state aState)
  {
    const auto parts = EncodeParts(aState, kMaxPartBytes);
    const revision_number revision(aState.revision());
    const snapshot_ref snapshot{ revision,
                                 std::to_string(revision.Value()) + "-" + RandomHex(kNonceBytes),
                                 static_cast<std::uint32_t>(parts.size()) };
    for (std::uint32_t i = 0; i < snapshot.mParts; ++i) {
      auto written = co_await CreateWithRetries(SnapshotPartKey(snapshot.mName, i), parts[i]);
      if (!written) {
        co_return written.error();
      }
    }
    co_return co_await PublishSnapshot(snapshot);
  }

private:
  static constexpr std::size_t kMaxPartBytes = 700'000;
  static constexpr std::size_t kNonceBytes = 8;
  static constexpr unsigned kMaxAttempts = 4;

  using head_object = std::pair<snapshot_head, platform::object_version>;

  static config_error ToConfigError(const platform::platform_error& aError)
  {
    const bool unreadable = aError.mCode == platform::platform_errc::BadReply;
    return config_error{ unreadable ? config_errc::BadData : config_errc::Unavailable, aError.mMessage, {} };
  }

  void UpdateSeenVersion(platform::object_version aVersion)
  {
    if (aVersion.Value() > mSeenVersion.Value()) {
      mSeenVersion = aVersion;
    }
  }

  /// The head object and its version; version 0 if there is none.
  call<head_object> ReadHead()
  {
    auto object = co_await mStore.Get(kSnapshotHeadKey);
    if (!object) {
      if (object.error().mCode == platform::platform_errc::NotFound) {
        co_return head_object();
      }
      co_return ToConfigError(object.error());
    }
    auto head = DecodeHead(object.value().mBody);
    if (!head) {
      co_return head.error();
    }
    co_return head_object(head.value(), object.value().mVersion);
  }

  call<admin::config_state> ReadSnapshot(snapshot_ref aSnapshot)
  {
    std::vector<std::string> parts;
    for (std::uint32_t i = 0; i < aSnapshot.mParts; ++i) {
      auto part = co_await mStore.Get(SnapshotPartKey(aSnapshot.mName, i));
      if (!part) {
        co_return ToConfigError(part.error());
      }
      parts.push_back(std::move(part.value().mBody));
    }
    co_return DecodeParts(parts);
  }

  /// Creates an object, with retries. No other process uses the key, so an existing object is from an earlier attempt.
  call<void> CreateWithRetries(std::string aKey, std::string aBody)
  {
    for (unsigned i = 0;; ++i) {
      auto created = co_await mStore.Create(aKey, aBody);
      if (created || created.error().mCode == platform::platform_errc::Conflict) {
        co_return outcome::success();
      }
      if (i + 1 == kMaxAttempts) {
        co_return ToConfigError(created.error());
      }
    }
  }

  /// Makes a snapshot the newest one and deletes the parts of the one that is no longer referenced.
  call<void> PublishSnapshot(snapshot_ref aSnapshot)
  {
    for (unsigned i = 0; i < kMaxAttempts; ++i) {
      auto read = co_await ReadHead();
      if (!read) {
        co_return read.error();
      }
      const auto [head, version] = read.value();
      if (head.mNewest.mName == aSnapshot.mName) {
        co_return outcome::success();
      }
      if (head.mNewest.mRevision.Value() >= aSnapshot.mRevision.Value()) {
        co_await DeleteParts(aSnapshot);
        co_return outcome::success();
      }
      const auto body = EncodeHead({ aSnapshot, head.mNewest });
      if (co_await WriteHead(body, version)) {
        co_await DeleteParts(head.mPrevious);
        co_return outcome::success();
      }
    }
    co_return config_error{ config_errc::Unavailable, "snapshot head was not written", {} };
  }

  /// Writes the head object. Returns whether it did.
  /// @param aVersion version of the head object to be replaced; 0 if there is none.
  boost::asio::awaitable<bool> WriteHead(std::string aBody, platform::object_version aVersion)
  {
    if (aVersion.Value() == 0) {
      auto created = co_await mStore.Create(kSnapshotHeadKey, aBody);
      co_return created.has_value();
    }
    auto updated = co_await mStore.Update(kSnapshotHeadKey, aBody, aVersion);
    co_return updated.has_value();
  }

  /// Deletes the parts of an unreferenced snapshot. Parts left over after a failure are harmless.
  boost::asio::awaitable<void> DeleteParts(snapshot_ref aSnapshot)
  {
    for (std::uint32_t i = 0; i < aSnapshot.mParts; ++i) {
      const auto key = SnapshotPartKey(aSnapshot.mName, i);
      auto part = co_await mStore.Get(key);
      if (part) {
        co_await mStore.Delete(key, part.value().mVersion);
      }
    }
  }

  Store& mStore;
  platform::object_version mSeenVersion; ///< highest version of an object of the log that was read or seen
};

} // namespace chervilpulley::config
