#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "processes/caller.h"
#include "processes/judge.h"
#include "processes/process.h"

namespace chervilpulley::processes {

/// An engine of a cluster and the failure domain that it is in.
struct engine_shape
{
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mLastLayer = 0;
  std::string mFailureDomain = "domain-a";
  std::uint32_t mStepUs = 500; ///< of one layer
  bool mIsBehindRelay = false; ///< links to its sidecar go through a relay
  bool mKvImport = true;
  bool mCheckFence = true;
};

/// What a cluster consists of.
struct cluster_shape
{
  std::vector<engine_shape> mEngines;
  std::vector<std::string> mServiceDomains; ///< failure domain of each plain service
  std::vector<std::string> mEntryDomains{ "domain-a" };
  std::uint32_t mLayerCount = 8;
  std::map<std::string, std::string> mLimits{}; ///< keys of the section "limits" of all settings
};

/// Two chains of two stages each, over two failure domains.
std::vector<engine_shape> TwoChains(std::uint32_t aStepUs = 500);

/// A backend server with the process beside it.
struct backend
{
  std::string mName;
  std::string mFailureDomain;
  std::string mRecordsFile;
  std::unique_ptr<process> mServer;
  std::unique_ptr<process> mRelay; ///< null when links go straight to the sidecar
  std::unique_ptr<process> mSidecar;
};

/// A deployment on loopback: stand-ins, sidecars and entries, each a process of its own.
class cluster
{
public:
  /// Starts all and applies the configuration of the demo; returns when every entry answers.
  explicit cluster(cluster_shape aShape);
  cluster(const cluster&) = delete;
  cluster& operator=(const cluster&) = delete;

  process& Platform() { return *mPlatform; }
  backend& Engine(std::size_t aIndex) { return mEngines.at(aIndex); }
  backend& Service(std::size_t aIndex) { return mServices.at(aIndex); }
  process& Entry(std::size_t aIndex) { return *mEntries.at(aIndex); }
  std::size_t EntryCount() const { return mEntries.size(); }

  /// A caller of the workspace "demo".
  caller CallerAt(std::size_t aEntry) const;
  /// Applies a change in INI text at an entry.
  finished Apply(std::size_t aEntry, const std::string& aChange);
  /// Runs a command for operators at an entry.
  finished Operate(std::size_t aEntry, std::vector<std::string> aWords);
  /// Starts a further entry and puts it on the live list; returns its index.
  std::size_t AddEntry(const std::string& aFailureDomain);
  /// Starts an engine that has ended again, at its old address.
  void RestartEngine(std::size_t aIndex);
  /// Starts the process beside an engine again, under its old name and at new addresses.
  void RestartSidecar(std::size_t aIndex);
  void RestartServiceSidecar(std::size_t aIndex);
  /// Starts an entry that has ended again, under its old name and at new addresses, and waits until it is ready.
  std::unique_ptr<process> StartReplacement(std::size_t aIndex);
  /// Puts a replacement in the place of an entry, as a balancer does once it is ready.
  void ReplaceEntry(std::size_t aIndex, std::unique_ptr<process> aReplacement);
  /// The engine that most recently ran a pass that starts at a layer.
  std::size_t ServingEngine(std::uint32_t aFirstLayer) const;
  /// Writes a process's line of the live list.
  void Register(const process& aProcess, const std::string& aState = "live");
  void Unregister(const process& aProcess);
  /// Sends short requests to an entry until it answers them.
  bool WaitUntilServing(std::size_t aEntry);

  /// What the engines, or the services, have run, also those that have ended.
  std::vector<engine_run> EngineRunsSoFar() const;
  std::vector<engine_run> RunsOf(const backend& aEngine) const;
  std::vector<service_run> ServiceRunsSoFar() const;
  /// Faults of one answer and of what the engines ran for it.
  faults Judge(const answer& aAnswer, const std::string& aPrompt, std::uint64_t aMaxTokens) const;
  /// The error output of all processes, for the message of a failed test.
  std::string Logs() const;

private:
  void StartEngine(const engine_shape& aShape, std::size_t aIndex);
  void StartService(const std::string& aFailureDomain, std::size_t aIndex);
  std::unique_ptr<process> StartEntry(const std::string& aName, const std::string& aFailureDomain);
  std::unique_ptr<process> StartSidecar(const backend& aBackend, const std::string& aKind);
  std::string Settings(const std::string& aInstance, const std::string& aFailureDomain, const std::string& aMore) const;
  std::vector<std::string> EngineWords(const engine_shape& aShape, const std::string& aRecordsFile) const;
  std::string DemoConfiguration() const;
  bool WaitUntilKnown(std::size_t aEntry);

  cluster_shape mShape;
  temporary_folder mFolder;
  std::string mSecret;
  std::string mOperatorKey;
  std::string mClusterKey;
  std::unique_ptr<process> mPlatform;
  std::vector<backend> mEngines;
  std::vector<backend> mServices;
  std::vector<std::unique_ptr<process>> mEntries;
};

} // namespace chervilpulley::processes
