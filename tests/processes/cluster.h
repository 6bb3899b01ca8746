#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "processes/caller.h"
#include "processes/checker.h"
#include "processes/process.h"

/// A deployment of real processes on loopback, for tests that kill, freeze and replace them.
namespace chervilpulley::processes {

/// Settings of one engine of a cluster.
struct engine_shape
{
  std::uint32_t mFirstLayer = 0;
  std::uint32_t mLastLayer = 0;
  std::string mFailureDomain = "domain-a";
  std::uint32_t mStepUs = 500; ///< run time of one layer, in microseconds
  bool mIsBehindRelay = false; ///< links to its sidecar pass through a stand-in relay
  bool mKvImport = true;
  bool mCheckFence = true;
};

/// Processes of a cluster and their settings.
struct cluster_shape
{
  std::vector<engine_shape> mEngines;
  std::vector<std::string> mServiceDomains; ///< failure domain of each plain service
  std::vector<std::string> mEntryDomains{ "domain-a" };
  std::uint32_t mLayerCount = 8;
  std::map<std::string, std::string> mLimits{}; ///< section "limits" of the settings of all processes
};

/// Two chains of two stages each, over two failure domains.
std::vector<engine_shape> TwoChains(std::uint32_t aStepUs = 500);

/// A backend server with its sidecar.
struct backend
{
  std::string mName;
  std::string mFailureDomain;
  std::string mRecordsFile;
  std::unique_ptr<process> mServer;
  std::unique_ptr<process> mRelay; ///< null when links go directly to the sidecar
  std::unique_ptr<process> mSidecar;
};

/// A deployment on loopback: stand-ins, sidecars and entries, each in its own process.
class cluster
{
public:
  /// Starts all processes and applies the demo configuration; returns when every entry serves requests.
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
  /// Value of the Authorization header of this caller.
  std::string Authorization() const { return "Bearer demo." + mSecret; }
  /// Applies a change in INI text at an entry.
  program_result Apply(std::size_t aEntry, const std::string& aChange);
  /// Runs an operator command at an entry.
  program_result RunOperatorCommand(std::size_t aEntry, std::vector<std::string> aArguments);
  /// Arguments of an operator command at an entry, for a program that runs beside the test.
  std::vector<std::string> OperatorCommand(std::size_t aEntry, std::vector<std::string> aArguments);
  /// Starts another entry and adds it to the live list; returns its index.
  std::size_t AddEntry(const std::string& aFailureDomain);
  /// Kills an engine if it still runs, and starts it again at its old address.
  void RestartEngine(std::size_t aIndex);
  /// Kills an engine's sidecar if it still runs, and starts it again under its old name at new addresses.
  void RestartSidecar(std::size_t aIndex);
  /// Does the same for the sidecar of a plain service.
  void RestartServiceSidecar(std::size_t aIndex);
  /// Starts a replacement for an entry that has exited, under its old name at new addresses, and waits until it is
  /// ready.
  std::unique_ptr<process> StartReplacement(std::size_t aIndex);
  /// Replaces an entry, as a load balancer does once the replacement is ready.
  void ReplaceEntry(std::size_t aIndex, std::unique_ptr<process> aReplacement);
  /// Index of the engine that most recently ran a pass whose first layer is aFirstLayer.
  std::size_t ServingEngine(std::uint32_t aFirstLayer) const;
  /// Writes a process's entry in the live list.
  void Register(const process& aProcess, const std::string& aState = "live");
  /// Removes a process from the live list.
  void Unregister(const process& aProcess);
  /// Sends short requests to an entry until they succeed and the entry reports every backend server as up.
  bool WaitUntilServing(std::size_t aEntry);

  /// Recorded runs of all engines or all plain services, including those that have exited.
  std::vector<engine_run> AllEngineRuns() const;
  std::vector<engine_run> RunsOf(const backend& aEngine) const;
  std::vector<service_run> AllServiceRuns() const;
  /// Violations in one response and in the engine runs of its request.
  violations CheckCompletion(const response& aResponse, const std::string& aPrompt, std::uint64_t aMaxTokens) const;
  /// The error output of all processes, for the message of a failed test.
  std::string Logs() const;

private:
  void StartEngine(const engine_shape& aShape, std::size_t aIndex);
  void StartService(const std::string& aFailureDomain, std::size_t aIndex);
  std::unique_ptr<process> StartEntry(const std::string& aName, const std::string& aFailureDomain);
  std::unique_ptr<process> StartSidecar(const backend& aBackend, const std::string& aKind);
  std::string Settings(const std::string& aInstance, const std::string& aFailureDomain, const std::string& aMore) const;
  std::vector<std::string> EngineArguments(const engine_shape& aShape, const std::string& aRecordsFile) const;
  std::string DemoConfiguration() const;
  bool WaitUntilBackendsUp(std::size_t aEntry);

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
