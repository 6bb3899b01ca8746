#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Messages of the control calls between processes as plain values; schema/peer.json declares the calls.
namespace chervilpulley {
namespace rpc {

/// Configuration revision that an instance last reported.
struct instance_report
{
  std::string mInstance;
  std::string mFailureDomain;
  std::uint64_t mRevision = 0;
  std::uint64_t mAgeMs = 0; ///< time since the report
};

/// Requests the entries of the configuration log after a revision.
struct pull_config_request
{
  std::uint64_t mAfterRevision = 0;
  std::string mInstance; ///< the requester
  std::string mFailureDomain;
  std::uint32_t mWaitMs = 0;             ///< maximum wait for a revision above mAfterRevision
  std::vector<instance_report> mReports; ///< reports that the requester has received since its last call
  bool mWantsList = false;               ///< the requester gets its live list from the receiver
  std::uint64_t mListDigest = 0;         ///< digest of the requester's live list
};

/// Difference between the live lists of the receiver and the requester.
struct list_difference
{
  std::uint64_t mDigest = 0;         ///< of the receiver's list; 0 when there is no difference to report
  bool mFull = false;                ///< mChanged holds the complete list
  std::string mChanged;              ///< encoded instances that were added or have changed
  std::vector<std::string> mRemoved; ///< instances that were removed
  std::uint32_t mAgeMs = 0;          ///< time since the receiver's list was read from the platform
};

struct pull_config_reply
{
  std::uint64_t mRevision = 0;
  std::vector<std::string> mEntries; ///< encoded log entries after mAfterRevision, in order
  std::string mSnapshot;             ///< encoded complete state, instead of entries that are no longer available
  list_difference mList;
};

/// Makes an instance refuse new work, or accept it again.
struct drain_request
{
  bool mUndo = false; ///< accept new work again
};

struct drain_reply
{
  std::uint32_t mRunning = 0; ///< requests still in progress
};

/// Reports a request that was running when a backend server crashed.
struct report_suspect_request
{
  /// Of workspace, model, length and prompt; or a comma-separated list of the digests of the prompt's beginnings and of
  /// all of it.
  std::string mDigest;
  std::uint32_t mCrashes = 0;
  std::uint32_t mTtlMs = 0; ///< how long the receiver keeps the report
};

struct report_suspect_reply
{
  std::uint32_t mCrashes = 0; ///< crashes that the receiver has on record now
};

struct get_status_reply
{
  std::uint64_t mRevision = 0;
  std::vector<instance_report> mInstances; ///< latest reports that the receiver has of instances
  std::string mStatus;                     ///< encoded admin.instance_status of the receiver
};

/// Handles control calls. Called on any thread; must not block.
class peer_handler
{
public:
  virtual ~peer_handler() = default;
  virtual pull_config_reply PullConfig(const pull_config_request& aRequest) = 0;
  virtual drain_reply Drain(const drain_request& aRequest) = 0;
  virtual report_suspect_reply ReportSuspect(const report_suspect_request& aRequest) = 0;
  virtual get_status_reply GetStatus() = 0;
};

} // namespace rpc
} // namespace chervilpulley
