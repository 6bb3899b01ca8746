#include "processes/cluster.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "base/random.h"
#include "processes/http_call.h"

namespace chervilpulley::processes {

namespace json = boost::json;

namespace {

constexpr std::string_view kEnginePool = "engines";
constexpr std::string_view kServicePool = "services";
constexpr std::size_t kMaxShownBytes = 300;

std::vector<json::object> ReadRecords(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  const std::string lines = text.str();
  return ParseLines(std::string_view(lines).substr(0, lines.rfind('\n') + 1));
}

/// The network error or the last bytes of a response, for the message of a failed test.
std::string DescribeEnd(const response& aResponse)
{
  const std::size_t shown = std::min(aResponse.mBody.size(), kMaxShownBytes);
  const std::string end = aResponse.mBody.substr(aResponse.mBody.size() - shown);
  return aResponse.mNetError ? aResponse.mNetError->mMessage : end;
}

std::string InstanceOf(const process& aProcess)
{
  return std::string(aProcess.Listening().at("instance").as_string());
}

} // namespace

std::vector<engine_shape> TwoChains(std::uint32_t aStepUs)
{
  return { { 0, 3, "domain-a", aStepUs },
           { 4, 7, "domain-a", aStepUs },
           { 0, 3, "domain-b", aStepUs },
           { 4, 7, "domain-b", aStepUs } };
}

cluster::cluster(cluster_shape aShape)
  : mShape(std::move(aShape))
  , mSecret(RandomHex(8))
  , mOperatorKey("bootstrap." + RandomHex(8))
  , mClusterKey(RandomHex(8))
{
  mPlatform = std::make_unique<process>(
    std::vector<std::string>{ StandinPath(), "platform", "--records_file", mFolder.File("platform.records") },
    mFolder.File("platform.log"));
  for (std::size_t i = 0; i < mShape.mEngines.size(); ++i) {
    StartEngine(mShape.mEngines[i], i);
  }
  for (std::size_t i = 0; i < mShape.mServiceDomains.size(); ++i) {
    StartService(mShape.mServiceDomains[i], i);
  }
  for (const std::string& failureDomain : mShape.mEntryDomains) {
    AddEntry(failureDomain);
  }
  program_result applied;
  const bool isApplied = WaitUntil([&] {
    applied = Apply(0, DemoConfiguration());
    return applied.mStatus == 0;
  });
  if (!isApplied) {
    throw std::runtime_error("the configuration was not accepted: " + applied.mErr + "\n" + Logs());
  }
  for (std::size_t i = 0; i < mEntries.size(); ++i) {
    if (!WaitUntilServing(i)) {
      throw std::runtime_error("entry " + std::to_string(i) + " does not serve: " + Logs());
    }
  }
}

caller cluster::CallerAt(std::size_t aEntry) const
{
  return { mEntries.at(aEntry)->Address("http"), "demo." + mSecret };
}

program_result cluster::Apply(std::size_t aEntry, const std::string& aChange)
{
  return RunOperatorCommand(aEntry, { "apply", "-f", mFolder.Write("change-" + RandomHex(4) + ".ini", aChange) });
}

std::vector<std::string> cluster::OperatorCommand(std::size_t aEntry, std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.begin(), BinaryPath());
  aArguments.push_back("--address");
  aArguments.push_back(mEntries.at(aEntry)->Address("admin").Str());
  aArguments.push_back("--key-file");
  aArguments.push_back(mFolder.Write("operator.key", mOperatorKey));
  return aArguments;
}

program_result cluster::RunOperatorCommand(std::size_t aEntry, std::vector<std::string> aArguments)
{
  return RunProgram(OperatorCommand(aEntry, std::move(aArguments)));
}

std::size_t cluster::AddEntry(const std::string& aFailureDomain)
{
  mEntries.push_back(StartEntry("entry-" + std::to_string(mEntries.size()), aFailureDomain));
  Register(*mEntries.back());
  return mEntries.size() - 1;
}

std::unique_ptr<process> cluster::StartReplacement(std::size_t aIndex)
{
  const process& former = *mEntries.at(aIndex);
  const std::string failureDomain(former.Listening().at("failure_domain").as_string());
  std::unique_ptr<process> replacement = StartEntry(InstanceOf(former), failureDomain);
  Register(*replacement);
  const net::endpoint http = replacement->Address("http");
  if (!WaitUntil([&] { return Call(http, "GET", "/readyz").mStatus == 200; })) {
    throw std::runtime_error(InstanceOf(former) + " does not become ready: " + replacement->Log());
  }
  return replacement;
}

void cluster::ReplaceEntry(std::size_t aIndex, std::unique_ptr<process> aReplacement)
{
  mEntries.at(aIndex) = std::move(aReplacement);
}

std::unique_ptr<process> cluster::StartEntry(const std::string& aName, const std::string& aFailureDomain)
{
  const std::string file = mFolder.Write(aName + ".ini", Settings(aName, aFailureDomain, ""));
  return std::make_unique<process>(std::vector<std::string>{ BinaryPath(), "entry", "--settings", file },
                                   mFolder.File(aName + ".log"));
}

void cluster::RestartEngine(std::size_t aIndex)
{
  backend& engine = mEngines.at(aIndex);
  std::vector<std::string> arguments = EngineArguments(mShape.mEngines.at(aIndex), engine.mRecordsFile);
  arguments.push_back("--listen");
  arguments.push_back(engine.mServer->Address("http").Str());
  engine.mServer->Kill();
  engine.mServer = std::make_unique<process>(arguments, mFolder.File(engine.mName + ".log"));
}

void cluster::RestartSidecar(std::size_t aIndex)
{
  backend& engine = mEngines.at(aIndex);
  engine.mSidecar->Kill();
  engine.mSidecar = StartSidecar(engine, "engine");
  Register(*engine.mSidecar);
}

void cluster::RestartServiceSidecar(std::size_t aIndex)
{
  backend& service = mServices.at(aIndex);
  service.mSidecar->Kill();
  service.mSidecar = StartSidecar(service, "service");
  Register(*service.mSidecar);
}

std::size_t cluster::ServingEngine(std::uint32_t aFirstLayer) const
{
  std::optional<std::size_t> newest;
  std::uint64_t newestTime = 0;
  for (std::size_t i = 0; i < mEngines.size(); ++i) {
    for (const engine_run& run : RunsOf(mEngines[i])) {
      if (run.mFirstLayer == aFirstLayer && run.mTimeUs >= newestTime) {
        newest = i;
        newestTime = run.mTimeUs;
      }
    }
  }
  return newest.value();
}

void cluster::Register(const process& aProcess, const std::string& aState)
{
  json::object line = aProcess.Listening();
  line.erase("pid");
  line["state"] = aState;
  for (const backend& each : mEngines) {
    if (each.mSidecar.get() == &aProcess && each.mRelay) {
      line["link"] = each.mRelay->Address("link").Str();
    }
  }
  Call(mPlatform->Address("http"), "PUT", "/live/" + InstanceOf(aProcess), json::serialize(line));
}

void cluster::Unregister(const process& aProcess)
{
  Call(mPlatform->Address("http"), "DELETE", "/live/" + InstanceOf(aProcess));
}

bool cluster::WaitUntilServing(std::size_t aEntry)
{
  const caller probe = CallerAt(aEntry);
  const bool completes = mEngines.empty() || WaitUntil([&] {
                           completion_call call{ "Warm up", 1 };
                           call.mIsStream = false;
                           return probe.Complete(call).mStatus == 200;
                         });
  const bool looksUp = mServices.empty() || WaitUntil([&] { return probe.Stock().mStatus == 200; });
  return completes && looksUp && WaitUntilBackendsUp(aEntry);
}

/// Waits until an entry reports the backend server of every sidecar as up.
bool cluster::WaitUntilBackendsUp(std::size_t aEntry)
{
  return WaitUntil([&] {
    const program_result status = RunOperatorCommand(aEntry, { "status", "-o", "json" });
    if (status.mStatus != 0) {
      return false;
    }
    std::size_t up = 0;
    const json::value reply = json::parse(status.mOut);
    const json::value* instances = reply.as_object().if_contains("instances");
    for (const json::value& instance : instances == nullptr ? json::array() : instances->as_array()) {
      const json::value* flag = instance.as_object().if_contains("backend_up");
      up += flag != nullptr && flag->is_bool() && flag->as_bool() ? 1 : 0;
    }
    return up >= mEngines.size() + mServices.size();
  });
}

std::vector<engine_run> cluster::AllEngineRuns() const
{
  std::vector<engine_run> all;
  for (const backend& engine : mEngines) {
    const std::vector<engine_run> runs = RunsOf(engine);
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

std::vector<engine_run> cluster::RunsOf(const backend& aEngine) const
{
  return EngineRuns(aEngine.mName, ReadRecords(aEngine.mRecordsFile));
}

std::vector<service_run> cluster::AllServiceRuns() const
{
  std::vector<service_run> all;
  for (const backend& service : mServices) {
    const std::vector<service_run> runs = ServiceRuns(ReadRecords(service.mRecordsFile));
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

violations cluster::CheckCompletion(const response& aResponse,
                                    const std::string& aPrompt,
                                    std::uint64_t aMaxTokens) const
{
  violations found = CheckStream(aResponse.mStream, aPrompt, aMaxTokens, mShape.mLayerCount);
  if (!found.empty()) {
    found.push_back("the response has status " + std::to_string(aResponse.mStatus) + " and ends with " +
                    DescribeEnd(aResponse));
    return found;
  }
  for (std::string& violation : CheckLayers(AllEngineRuns(), aResponse.mRequest, aMaxTokens, mShape.mLayerCount)) {
    found.push_back(std::move(violation));
  }
  return found;
}

std::string cluster::Logs() const
{
  std::string text;
  const auto add = [&](const std::string& aName, const process* aProcess) {
    if (aProcess != nullptr) {
      text += "== " + aName + "\n" + aProcess->Log();
    }
  };
  for (const std::vector<backend>* backends : { &mEngines, &mServices }) {
    for (const backend& each : *backends) {
      add(each.mName, each.mServer.get());
      add("sidecar-" + each.mName, each.mSidecar.get());
    }
  }
  for (const std::unique_ptr<process>& entry : mEntries) {
    add(InstanceOf(*entry), entry.get());
  }
  return text;
}

void cluster::StartEngine(const engine_shape& aShape, std::size_t aIndex)
{
  backend engine;
  engine.mName = "engine-" + std::to_string(aIndex);
  engine.mFailureDomain = aShape.mFailureDomain;
  engine.mRecordsFile = mFolder.File(engine.mName + ".records");
  engine.mServer =
    std::make_unique<process>(EngineArguments(aShape, engine.mRecordsFile), mFolder.File(engine.mName + ".log"));
  engine.mSidecar = StartSidecar(engine, "engine");
  if (aShape.mIsBehindRelay) {
    engine.mRelay = std::make_unique<process>(
      std::vector<std::string>{ StandinPath(), "relay", "--target", engine.mSidecar->Address("link").Str() },
      mFolder.File(engine.mName + "-relay.log"));
  }
  mEngines.push_back(std::move(engine));
  Register(*mEngines.back().mSidecar);
}

void cluster::StartService(const std::string& aFailureDomain, std::size_t aIndex)
{
  backend service;
  service.mName = "service-" + std::to_string(aIndex);
  service.mFailureDomain = aFailureDomain;
  service.mRecordsFile = mFolder.File(service.mName + ".records");
  service.mServer = std::make_unique<process>(
    std::vector<std::string>{ StandinPath(), "service", "--records_file", service.mRecordsFile },
    mFolder.File(service.mName + ".log"));
  service.mSidecar = StartSidecar(service, "service");
  mServices.push_back(std::move(service));
  Register(*mServices.back().mSidecar);
}

std::unique_ptr<process> cluster::StartSidecar(const backend& aBackend, const std::string& aKind)
{
  const std::string name = "sidecar-" + aBackend.mName;
  std::ostringstream more;
  more << "[backend]\naddress = " << aBackend.mServer->Address("http").Str() << "\nkind = " << aKind
       << "\npool = " << (aKind == "engine" ? kEnginePool : kServicePool) << "\nprobe_interval_ms = 50\n";
  const std::string file = mFolder.Write(name + ".ini", Settings(name, aBackend.mFailureDomain, more.str()));
  return std::make_unique<process>(std::vector<std::string>{ BinaryPath(), "sidecar", "--settings", file },
                                   mFolder.File(name + ".log"));
}

std::string cluster::Settings(const std::string& aInstance,
                              const std::string& aFailureDomain,
                              const std::string& aMore) const
{
  std::ostringstream text;
  text << "[instance]\nid = " << aInstance << "\nfailure_domain = " << aFailureDomain
       << "\n[platform]\naddress = " << mPlatform->Address("http").Str()
       << "\nlist_interval_ms = 100\n[security]\ncluster_key = " << mClusterKey
       << "\nbootstrap_operator_key = " << mOperatorKey << "\n[limits]\n";
  for (const auto& [key, value] : mShape.mLimits) {
    text << key << " = " << value << "\n";
  }
  text << aMore;
  return text.str();
}

std::vector<std::string> cluster::EngineArguments(const engine_shape& aShape, const std::string& aRecordsFile) const
{
  return { StandinPath(),
           "engine",
           "--layer_count=" + std::to_string(mShape.mLayerCount),
           "--first_layer=" + std::to_string(aShape.mFirstLayer),
           "--last_layer=" + std::to_string(aShape.mLastLayer),
           "--step_us=" + std::to_string(aShape.mStepUs),
           std::string("--kv_import=") + (aShape.mKvImport ? "true" : "false"),
           std::string("--check_fence=") + (aShape.mCheckFence ? "true" : "false"),
           "--records_file=" + aRecordsFile };
}

std::string cluster::DemoConfiguration() const
{
  const std::string salt = RandomHex(8);
  std::ostringstream text;
  text << "[pool " << kEnginePool << "]\nkind = engine\n"
       << "[pool " << kServicePool << "]\nkind = service\n"
       << "[model demo]\nlayer_count = " << mShape.mLayerCount << "\npool = " << kEnginePool << "\n"
       << "[workspace demo]\nweight = 1\napi_key_hashes = " << salt << "$" << Sha256Hex(salt + mSecret) << "\n"
       << "[route demo/bookings]\npool = " << kServicePool << "\nkey_required = true\n"
       << "[route demo/stock]\npool = " << kServicePool << "\nidempotent = true\n";
  return text.str();
}

} // namespace chervilpulley::processes
