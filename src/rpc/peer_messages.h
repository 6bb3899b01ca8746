#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// The control calls between processes as plain values; schema/peer.json declares them.
namespace chervilpulley {
namespace rpc {

/// What an instance last said of its configuration.
struct instance_report
{
  std::string mInstance;
  std::string mFailureDomain;
  std::uint64_t mRevision = 0;
  std::uint64_t mAgeMs = 0; ///< time since the instance said so
};

/// Asks for what the configuration log holds after a revision.
struct pull_config_request
{
  std::uint64_t mAfterRevision = 0;
  std::string mInstance; ///< who asks
  std::string mFailureDomain;
  std::uint32_t mWaitMs = 0;             ///< longest wait for a revision above mAfterRevision
  std::vector<instance_report> mReports; ///< what the asker has heard since its last call
  bool mWantsList = false;               ///< the asker takes its live list from the receiver
  std::uint64_t mListDigest = 0;         ///< of the live list that the asker has
};

/// How the live list of the receiver differs from the one that the asker has.
struct list_difference
{
  std::uint64_t mDigest = 0;         ///< of the receiver's list; 0 when there is nothing to tell
  bool mFull = false;                ///< mChanged is the whole list
  std::string mChanged;              ///< encoded instances that are new or have changed
  std::vector<std::string> mRemoved; ///< instances that are gone
};

struct pull_config_reply
{
  std::uint64_t mRevision = 0;
  std::vector<std::string> mEntries; ///< encoded log entries after mAfterRevision, in order
  std::string mSnapshot;             ///< encoded whole state, in place of entries that are no longer at hand
  list_difference mList;
};

/// Tells an instance to take no new work, or to take it again.
struct drain_request
{
  bool mUndo = false;
};

struct drain_reply
{
  std::uint32_t mRunning = 0; ///< requests still in progress
};

/// Says that a request was running when a backend server crashed.
struct report_suspect_request
{
  std::string mDigest; ///< of workspace, model and body
  std::uint32_t mCrashes = 0;
  std::uint32_t mTtlMs = 0; ///< how long to remember it
};

struct report_suspect_reply
{
  std::uint32_t mCrashes = 0; ///< that the receiver knows of now
};

struct get_status_reply
{
  std::uint64_t mRevision = 0;
  std::vector<instance_report> mInstances; ///< instances that the receiver has heard of lately
  std::string mStatus;                     ///< encoded admin.instance_status of the receiver
};

/// Answers control calls. Called on any thread; must not block.
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
