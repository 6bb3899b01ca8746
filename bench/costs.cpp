#include <benchmark/benchmark.h>

#include <malloc.h>
#include <memory>
#include <random>

#include "chervilpulley/policy.h"
#include "generated/link.pb.h"
#include "policy/config_rules.h"

/// Measures processor time and memory of single calls of the policies.
namespace {

using namespace chervilpulley;
using namespace chervilpulley::policy;

std::vector<route_candidate> MakeCandidates(std::size_t aCount)
{
  std::vector<route_candidate> candidates(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    candidates[i].mInstance = instance_id("instance-" + std::to_string(i));
    candidates[i].mFailureDomain = failure_domain_id("domain-" + std::to_string(i % 20));
    candidates[i].mLastLayer = layer_index(15);
    candidates[i].mSlots = 16;
    candidates[i].mRunning = static_cast<std::uint32_t>(i % 17);
    candidates[i].mStep = duration(10000 + 1000 * (i % 3));
    candidates[i].mCostToGo = duration(90000);
  }
  return candidates;
}

void RouteChoice(benchmark::State& aState)
{
  const std::vector<route_candidate> candidates = MakeCandidates(static_cast<std::size_t>(aState.range(0)));
  const route_request request{ layer_index(0), token_count(800) };
  std::mt19937_64 random(1);
  for (auto unused : aState) {
    benchmark::DoNotOptimize(ChooseRoute(candidates, request, { random(), random() }));
  }
}
BENCHMARK(RouteChoice)->Arg(10)->Arg(40)->Arg(160);

void CostToGoOfSuccessors(benchmark::State& aState)
{
  const std::vector<route_candidate> candidates = MakeCandidates(static_cast<std::size_t>(aState.range(0)));
  std::vector<route_candidate> successors = candidates;
  for (route_candidate& successor : successors) {
    successor.mFirstLayer = layer_index(16);
    successor.mLastLayer = layer_index(31);
  }
  const stage_load own{ layer_index(15), 32, 2, 16, 16, duration(10000) };
  for (auto unused : aState) {
    benchmark::DoNotOptimize(CostToGo(own, successors));
  }
}
BENCHMARK(CostToGoOfSuccessors)->Arg(10)->Arg(40)->Arg(160);

void AdmitAndGrant(benchmark::State& aState)
{
  const auto workspaces = static_cast<std::size_t>(aState.range(0));
  admission_queue queue(2 * workspaces + 2);
  std::vector<admission_request> requests(workspaces);
  for (std::size_t i = 0; i < workspaces; ++i) {
    requests[i].mWorkspace = workspace_id("workspace-" + std::to_string(i));
    requests[i].mPromptTokens = token_count(800);
    requests[i].mOutputTokens = token_count(239);
  }
  instant now{ std::chrono::hours(1) };
  for (const admission_request& request : requests) {
    (void)queue.Offer(request, now);
  }
  std::size_t turn = 0;
  for (auto unused : aState) {
    now += duration(1000);
    benchmark::DoNotOptimize(queue.Next(now));
    benchmark::DoNotOptimize(queue.Offer(requests[turn++ % workspaces], now));
  }
}
BENCHMARK(AdmitAndGrant)->Arg(10)->Arg(300)->Arg(9300);

std::vector<subset_member> MakeMembers(const std::string& aRole, std::size_t aCount)
{
  std::vector<subset_member> members(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    members[i] = { KeyOf(instance_id(aRole + std::to_string(i))), member_key(i % 20) };
  }
  return members;
}

void SubsetOfAll(benchmark::State& aState)
{
  const auto count = static_cast<std::size_t>(aState.range(0));
  const std::vector<subset_member> servers = MakeMembers("s", count);
  const std::vector<subset_member> entries = MakeMembers("e", count * 390 / 3400);
  for (auto unused : aState) {
    benchmark::DoNotOptimize(ChooseSubset(servers, entries, entries[0], 40));
  }
}
BENCHMARK(SubsetOfAll)->Arg(340)->Arg(1000)->Arg(3400)->Unit(benchmark::kMicrosecond);

void PlanOfAll(benchmark::State& aState)
{
  std::vector<placement_server> servers(static_cast<std::size_t>(aState.range(0)));
  std::vector<placement_model> models(10);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    servers[i].mInstance = instance_id("s" + std::to_string(i));
    servers[i].mFailureDomain = failure_domain_id("d" + std::to_string(i % 20));
    servers[i].mMemory = 40e9;
  }
  for (std::size_t i = 0; i < models.size(); ++i) {
    models[i] = { model_name("m" + std::to_string(i)), 32, 1e9, 2, 1.0 + static_cast<double>(i) };
  }
  for (auto unused : aState) {
    benchmark::DoNotOptimize(PlanPlacement(servers, models));
  }
}
BENCHMARK(PlanOfAll)->Arg(40)->Arg(400)->Arg(3400)->Unit(benchmark::kMillisecond);

admin::object MakeWorkspace(std::size_t aNumber, std::uint32_t aWeight)
{
  admin::object object;
  admin::workspace& workspace = *object.mutable_workspace();
  workspace.set_name("workspace-" + std::to_string(aNumber));
  workspace.set_weight(aWeight);
  workspace.set_requests_per_second(100);
  workspace.add_api_key_hashes(std::string(32, 'a') + "$" + std::string(64, 'b'));
  return object;
}

config_objects MakeWorkspaces(std::size_t aCount)
{
  std::vector<admin::object> objects(aCount);
  for (std::size_t i = 0; i < aCount; ++i) {
    objects[i] = MakeWorkspace(i, 1);
  }
  return config_objects::FromObjects(objects);
}

void ConfigChange(benchmark::State& aState)
{
  config_objects objects = MakeWorkspaces(static_cast<std::size_t>(aState.range(0)));
  admin::change change;
  change.set_change_id("change-1");
  admin::operation& operation = *change.add_operations();
  operation.set_op(admin::CHANGE_OP_PUT);
  operation.mutable_ref()->set_kind(admin::OBJECT_KIND_WORKSPACE);
  operation.mutable_ref()->set_name("workspace-7");
  *operation.mutable_object() = MakeWorkspace(7, 3);
  std::uint64_t revision = 1;
  for (auto unused : aState) {
    auto after = ApplyChecked(objects, change, ++revision);
    if (!after) {
      aState.SkipWithError(after.error().mMessage.c_str());
      break;
    }
    objects = std::move(after.value());
  }
}
BENCHMARK(ConfigChange)->Arg(10)->Arg(1000)->Arg(9300);

void RateReport(benchmark::State& aState)
{
  rate_coordinator coordinator;
  instant now{ std::chrono::hours(1) };
  std::uint64_t turn = 0;
  std::vector<workspace_id> workspaces(100);
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    workspaces[i] = workspace_id("workspace-" + std::to_string(i));
  }
  for (auto unused : aState) {
    now += duration(100);
    ++turn;
    benchmark::DoNotOptimize(
      coordinator.Report(member_key(turn % 390), workspaces[turn % 100], { 3.0 }, { 100.0 }, now));
  }
}
BENCHMARK(RateReport);

void SuspectCheck(benchmark::State& aState)
{
  crash_suspects suspects;
  const instant now{ std::chrono::hours(1) };
  for (std::uint64_t i = 0; i < 16; ++i) {
    suspects.Started(request_digest(i), now);
  }
  std::uint64_t turn = 100;
  for (auto unused : aState) {
    benchmark::DoNotOptimize(suspects.Check(request_digest(++turn), false, now));
  }
}
BENCHMARK(SuspectCheck);

void StallAllowance(benchmark::State& aState)
{
  stall_detector detector(duration(1000000));
  const stream_kind kind("model/accelerator");
  gap_statistics own;
  for (auto unused : aState) {
    own.Observed(duration(34000));
    detector.TokenObserved(kind, duration(34000));
    benchmark::DoNotOptimize(detector.TokenAllowance(kind, own));
  }
}
BENCHMARK(StallAllowance);

/// Size of the link frame with one load report, without the overhead of WebSocket, TCP and IP.
void LoadReportBytes(benchmark::State& aState)
{
  link::frame frame;
  frame.set_config_revision(4'000'000);
  link::load_report& report = *frame.mutable_load();
  report.set_instance("instance-0123");
  report.set_pool("drafting-large");
  report.set_backend_up(true);
  report.set_model("model-0@12");
  report.set_first_layer(16);
  report.set_last_layer(31);
  report.set_queued(12);
  report.set_running(16);
  report.set_slots(16);
  report.set_step_us(20000);
  report.set_prefill_us_per_token(40);
  report.set_cost_to_go_us(90000);
  report.set_accelerator("kind-a");
  report.set_age_us(250000);
  for (auto unused : aState) {
    benchmark::DoNotOptimize(frame.SerializeAsString());
  }
  aState.counters["bytes"] = static_cast<double>(frame.ByteSizeLong());
}
BENCHMARK(LoadReportBytes)->Iterations(3);

std::size_t HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

/// Reports the heap bytes per item of what aMake builds for aCount items.
template<class Make>
void ReportMemory(benchmark::State& aState, std::size_t aCount, Make&& aMake)
{
  double bytes = 0.0;
  for (auto unused : aState) {
    const std::size_t before = HeapBytes();
    auto made = aMake(aCount);
    bytes = static_cast<double>(HeapBytes() - before) / static_cast<double>(aCount);
    benchmark::DoNotOptimize(made);
  }
  aState.counters["bytes"] = bytes;
}

void MemoryPerBackendServer(benchmark::State& aState)
{
  ReportMemory(aState, 10000, [](std::size_t aCount) { return MakeCandidates(aCount); });
}
BENCHMARK(MemoryPerBackendServer)->Iterations(3);

void MemoryPerWorkspaceBucket(benchmark::State& aState)
{
  ReportMemory(aState, 9300, [](std::size_t aCount) {
    std::unordered_map<workspace_id, rate_bucket> buckets;
    for (std::size_t i = 0; i < aCount; ++i) {
      buckets[workspace_id("workspace-" + std::to_string(i))];
    }
    return buckets;
  });
}
BENCHMARK(MemoryPerWorkspaceBucket)->Iterations(3);

void MemoryPerWorkspaceConfig(benchmark::State& aState)
{
  ReportMemory(aState, 9300, [](std::size_t aCount) { return MakeWorkspaces(aCount); });
}
BENCHMARK(MemoryPerWorkspaceConfig)->Iterations(3);

void MemoryPerWaitingWorkspace(benchmark::State& aState)
{
  ReportMemory(aState, 9300, [](std::size_t aCount) {
    auto queue = std::make_unique<admission_queue>(2 * aCount);
    for (std::size_t i = 0; i < aCount; ++i) {
      admission_request request;
      request.mWorkspace = workspace_id("workspace-" + std::to_string(i));
      (void)queue->Offer(request, instant());
    }
    return queue;
  });
}
BENCHMARK(MemoryPerWaitingWorkspace)->Iterations(3);

void MemoryPerSuspect(benchmark::State& aState)
{
  ReportMemory(aState, 4096, [](std::size_t aCount) {
    auto suspects = std::make_unique<crash_suspects>(aCount);
    for (std::uint64_t i = 0; i < aCount; ++i) {
      suspects->Merge({ request_digest(i), suspicion::Suspect, kSuspicionTime }, instant());
    }
    return suspects;
  });
}
BENCHMARK(MemoryPerSuspect)->Iterations(3);

void MemoryPerStream(benchmark::State& aState)
{
  ReportMemory(aState, 10000, [](std::size_t aCount) { return std::vector<gap_statistics>(aCount); });
}
BENCHMARK(MemoryPerStream)->Iterations(3);

} // namespace
